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

/// What the logs of several gateways tell about one request.
struct request_story
{
    /// Lines that name the request and those that may have led to its outcome,
    /// in causal order. Lines of one instance keep their order.
    std::vector<log_line> lines;
    /// `reason` of the request's last line that has one.
    std::string outcome;
    /// Index in `lines` of the first decision that caused the outcome; none
    /// for an answered request and where no line shows it.
    std::optional<std::size_t> cause;
    /// What the cause means, in one sentence.
    std::string explanation;
    /// Clocks that differ from that of the instance that took the request, in
    /// milliseconds. The times of `lines` are corrected by them.
    std::map<std::string, std::int64_t> clock_offsets_ms;

    bool operator==(const request_story&) const = default;
};

/// Merges log lines, each instance's in the order in which they were written.
/// Fails with `not_found` when no line names the request.
result<request_story> explain_request(
    const std::string& request_id, const std::vector<log_line>& all);

} // namespace tarragonquay::explain
