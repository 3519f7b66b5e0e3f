#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "explain/log_line.hpp"

namespace tarragonquay::explain
{

/// Log lines of several gateways about one request, with its outcome.
struct request_report
{
    /// Lines with the id of the request and those that may have led to its
    /// outcome, in causal order. Lines of one instance keep their order.
    std::vector<log_line> lines;
    /// `reason` of the request's last line that has one.
    std::string outcome;
    /// Index in `lines` of the line that caused the outcome; none if the
    /// request was answered or no line shows the cause.
    std::optional<std::size_t> cause;
    /// One sentence that explains the cause.
    std::string explanation;
    /// Clock offsets in milliseconds against the instance that received the
    /// request, by instance. The times of `lines` are corrected by them.
    std::map<std::string, std::int64_t> clock_offsets_ms;

    bool operator==(const request_report&) const = default;
};

/// Builds the report of a request. The lines of each instance must be in the
/// order in which they were written.
/// Fails with `not_found` when no line names the request.
result<request_report> explain_request(
    const std::string& request_id, const std::vector<log_line>& all);

} // namespace tarragonquay::explain
