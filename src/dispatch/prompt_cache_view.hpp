#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "dispatch/prompt.hpp"

namespace tarragonquay::dispatch
{

/// Predicts which prompt prefixes one engine has cached, based on the prompts
/// that were sent to it. Like the engine, it evicts the least recently used
/// prefixes when the cache is full.
class prompt_cache_view
{
public:
    /// Prompt tokens that are not expected in the cache; at least 1.
    std::int64_t uncached_tokens(const prompt& request) const
    {
        const auto hashes = request.prefix_hashes();
        auto uncached = request.prompt_tokens;
        for (std::size_t i = 0; i < hashes.size(); ++i)
        {
            if (!entries_.contains(hashes[i]))
                break;
            uncached -= request.parts[i].tokens;
        }
        return std::max<std::int64_t>(uncached, 1);
    }

    /// Records that the engine reads the prompt, and evicts down to the
    /// capacity.
    void insert(const prompt& request, std::int64_t capacity_tokens)
    {
        const auto hashes = request.prefix_hashes();
        for (std::size_t i = 0; i < hashes.size(); ++i)
            touch(hashes[i], request.parts[i].tokens);
        while (tokens_ > capacity_tokens && !order_.empty())
            evict_oldest();
    }

    void clear()
    {
        entries_.clear();
        order_.clear();
        tokens_ = 0;
    }

private:
    struct entry
    {
        std::int64_t tokens = 0;
        std::list<std::uint64_t>::iterator position;
    };

    void touch(std::uint64_t hash, std::int64_t tokens)
    {
        const auto found = entries_.find(hash);
        if (found != entries_.end())
        {
            order_.splice(order_.end(), order_, found->second.position);
            return;
        }
        const auto position = order_.insert(order_.end(), hash);
        entries_.emplace(hash, entry{tokens, position});
        tokens_ += tokens;
    }

    void evict_oldest()
    {
        const auto found = entries_.find(order_.front());
        tokens_ -= found->second.tokens;
        entries_.erase(found);
        order_.pop_front();
    }

    std::unordered_map<std::uint64_t, entry> entries_;
    // Least recently used first.
    std::list<std::uint64_t> order_;
    std::int64_t tokens_ = 0;
};

} // namespace tarragonquay::dispatch
