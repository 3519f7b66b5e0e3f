#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.hpp"
#include "common/error.hpp"
#include "dispatch/prompt.hpp"
#include "endpoints/http_connection.hpp"
#include "gateway/dialect.hpp"

namespace tarragonquay::gateway
{

/// An undecoded request from a caller's connection.
struct raw_request
{
    std::string method;
    std::string target;
    std::vector<endpoints::header> headers;
    std::string body;
};

/// A decoded request of a caller.
struct caller_request
{
    std::string id;
    std::string method;
    /// Path and query, unchanged.
    std::string target;
    std::string host;
    std::string key;
    std::string body;
    /// Header fields that are forwarded to the endpoint unchanged.
    std::vector<endpoints::header> headers;
    time_point arrived_at;
    /// When the caller stops waiting; none when the request does not say.
    std::optional<time_point> deadline;
    std::optional<dispatch::prompt> prompt;
    /// Sum of prompt and output tokens; none for a request without counts.
    std::optional<std::int64_t> tokens;
    /// Id of the last event of the stream that the caller has got.
    std::optional<std::int64_t> last_event;
};

/// Decodes a request. Omits hop-by-hop fields and fields that only the gateway
/// may set. Fails with invalid_argument if the request has no id.
result<caller_request> parse_request(
    raw_request raw, const header_names& names, time_point arrived_at);

/// Whether a header field is hop-by-hop, that is, must not be forwarded.
bool is_hop_by_hop(std::string_view name);

/// Compares header field names, ignoring case.
bool equal_ignoring_case(std::string_view a, std::string_view b);

} // namespace tarragonquay::gateway
