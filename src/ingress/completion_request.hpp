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
    /// JSON array that is forwarded to the engine.
    std::string messages;
    std::int64_t max_tokens = 0;
    bool stream = false;
    /// Upper bound of the tokens in the prompt.
    std::int64_t prompt_tokens = 0;

    auto operator<=>(const completion_request&) const = default;
};

/// Parses and validates the JSON body. Fails with invalid_argument.
result<completion_request> parse_completion(const std::string& body);

/// JSON body of the request to the engine, which always asks for a stream.
std::string engine_body(
    const completion_request& request, routing::priority priority);

} // namespace tarragonquay::ingress
