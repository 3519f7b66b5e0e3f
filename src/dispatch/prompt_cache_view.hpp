#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "dispatch/prompt.hpp"

namespace tarragonquay::dispatch
{

/// Prompt prefixes that one engine probably still keeps, judged by what was
/// sent to it. The engine drops the least recently used prefixes when its
/// cache is full, and so does this view.
class prompt_cache_view
{
public:
    /// Tokens of the prompt that the engine has to read.
    std::int64_t uncached_tokens(const prompt& request) const
    {
        const auto hashes = request.prefix_hashes();
        auto left = request.prompt_tokens;
        for (std::size_t i = 0; i < hashes.size(); ++i)
        {
            if (!entries_.contains(hashes[i]))
                break;
            left -= request.parts[i].tokens;
        }
        return std::max<std::int64_t>(left, 1);
    }

    /// Notes that the engine has read the prompt.
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
        std::list<std::uint64_t>::iterator place;
    };

    void touch(std::uint64_t hash, std::int64_t tokens)
    {
        const auto found = entries_.find(hash);
        if (found != entries_.end())
        {
            order_.splice(order_.end(), order_, found->second.place);
            return;
        }
        const auto place = order_.insert(order_.end(), hash);
        entries_.emplace(hash, entry{tokens, place});
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
    // The least recently used first.
    std::list<std::uint64_t> order_;
    std::int64_t tokens_ = 0;
};

} // namespace tarragonquay::dispatch
