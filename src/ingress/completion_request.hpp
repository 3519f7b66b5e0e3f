#pragma once

#include <cstdint>
#include <string>

#include "common/error.hpp"
#include "common/ids.hpp"
#include "routing/types.hpp"

namespace tarragonquay::ingress
{

/// Body of POST /v1/chat/completions.
struct completion_request
{
    model_id model;
    adapter_id adapter;
    /// JSON array, as it is sent to the engine.
    std::string messages;
    std::int64_t max_tokens = 0;
    bool stream = false;
    /// Upper bound of the prompt's tokens.
    std::int64_t prompt_tokens = 0;

    auto operator<=>(const completion_request&) const = default;
};

/// Fails with invalid_argument.
result<completion_request> parse_completion(const std::string& body);

/// Body for the engine, which always streams.
std::string engine_body(
    const completion_request& request, routing::priority priority);

} // namespace tarragonquay::ingress
