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

/// An HTTP request as received, with the caller's key still in it.
struct raw_request
{
    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;
};

/// A parsed request. The caller's key is removed from the query and the header
/// fields and held in `key`.
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
    /// Secret of the caller; empty when the request has no key.
    std::string key;
    std::string idempotency_key;
    routing::priority priority = routing::priority::normal;
    time_point received_at;
    time_point deadline;

    std::string parameter(std::string_view name) const;
};

/// Validates a request and extracts the key from its header fields and query.
/// Fails with invalid_argument.
result<caller_request> parse_request(raw_request raw, std::string request_id,
    time_point now, duration default_deadline);

/// Header fields that may be sent to an endpoint.
std::vector<header> forwarded_headers(const caller_request& request);

/// Decodes %XX. Fails with invalid_argument on a malformed sequence.
result<std::string> percent_decode(std::string_view text);

/// Whether the arrays and objects of a JSON text are nested at most `limit`
/// levels deep.
bool nesting_within(std::string_view json, int limit);

} // namespace tarragonquay::ingress
