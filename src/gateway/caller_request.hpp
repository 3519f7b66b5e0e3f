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

/// A request as it was read from a caller's connection.
struct raw_request
{
    std::string method;
    std::string target;
    std::vector<endpoints::header> headers;
    std::string body;
};

/// A caller's request, decoded.
struct caller_request
{
    std::string id;
    std::string method;
    /// Path and query, unchanged.
    std::string target;
    std::string host;
    std::string key;
    std::string body;
    /// Fields that go to the endpoint as they are.
    std::vector<endpoints::header> headers;
    time_point arrived_at;
    /// When the caller gives up; none when it did not tell.
    std::optional<time_point> deadline;
    std::optional<dispatch::prompt> prompt;
    /// Prompt and output tokens; none for a request without them.
    std::optional<std::int64_t> tokens;
    /// Last event of the stream that the caller has.
    std::optional<std::int64_t> last_event;
};

/// Decodes a request. Fields that concern one connection, or that only the
/// gateway may set, are left out. Fails with invalid_argument.
result<caller_request> parse_request(
    raw_request raw, const header_names& names, time_point arrived_at);

/// Whether a field concerns one connection only.
bool is_hop_by_hop(std::string_view name);

/// Equal without regard to the case of letters.
bool equal_ignoring_case(std::string_view a, std::string_view b);

} // namespace tarragonquay::gateway
