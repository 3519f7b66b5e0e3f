#pragma once

#include <string>
#include <utility>
#include <vector>

#include "common/clock.hpp"
#include "common/error.hpp"
#include "endpoints/http_connection.hpp"
#include "routing/types.hpp"

namespace tarragonquay::ingress
{

using endpoints::header;

/// A request as it arrived.
struct raw_request
{
    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;
};

/// A request without the caller's key, which is kept apart.
struct caller_request
{
    std::string request_id;
    std::string method;
    /// As sent, for forwarding.
    std::string raw_path;
    /// Percent-decoded, for matching.
    std::string path;
    /// As sent, without the question mark and without api_key.
    std::string query;
    std::vector<std::pair<std::string, std::string>> parameters;
    std::vector<header> headers;
    std::string body;
    /// Secret of the caller; empty for none.
    std::string key;
    std::string idempotency_key;
    routing::priority priority = routing::priority::normal;
    time_point received_at;
    time_point deadline;

    std::string parameter(std::string_view name) const;
};

/// Checks a request and takes the key out of the header fields and the
/// query. Fails with invalid_argument.
result<caller_request> parse_request(raw_request raw, std::string request_id,
    time_point now, duration default_deadline);

/// Header fields that may be sent to an endpoint.
std::vector<header> forwarded_headers(const caller_request& request);

/// Decodes %XX; fails on malformed sequences.
result<std::string> percent_decode(std::string_view text);

/// Whether arrays and objects are nested at most this deep.
bool nesting_within(std::string_view json, int limit);

} // namespace tarragonquay::ingress
