#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "common/digest.hpp"
#include "common/error.hpp"
#include "common/ids.hpp"

namespace tarragonquay::dispatch
{

/// A part of a prompt. Requests may share leading parts; the last part is
/// specific to the request or its session.
struct prompt_part
{
    std::uint64_t id = 0;
    std::int64_t tokens = 0;

    auto operator<=>(const prompt_part&) const = default;
};

/// The properties of a completion request that the choice of an engine depends
/// on.
struct prompt
{
    model_id model;
    /// Empty for the model itself.
    adapter_id adapter;
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;
    std::vector<prompt_part> parts;

    auto operator<=>(const prompt&) const = default;

    /// Hashes of the leading parts for this model and adapter: the n-th value
    /// stands for the first n + 1 parts.
    std::vector<std::uint64_t> prefix_hashes() const
    {
        std::vector<std::uint64_t> out;
        auto hash = fast_hash(adapter.str(), fast_hash(model.str()));
        for (const auto& part : parts)
        {
            const std::string_view bytes(
                reinterpret_cast<const char*>(&part.id), sizeof(part.id));
            hash = fast_hash(bytes, hash);
            out.push_back(hash);
        }
        return out;
    }
};

/// Parses "ID:TOKENS,ID:TOKENS" with hexadecimal ids.
result<std::vector<prompt_part>> parse_prompt_parts(std::string_view text);

} // namespace tarragonquay::dispatch
