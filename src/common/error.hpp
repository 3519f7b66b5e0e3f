#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace tarragonquay
{

/// Every failure that the daemons report.
enum class error_code
{
    invalid_argument,
    invalid_settings,
    not_found,
    already_exists,
    conflict,
    payload_too_large,
    missing_key,
    unknown_key,
    withdrawn_key,
    no_view_lease,
    rate_limited,
    no_share,
    request_exceeds_burst,
    unknown_model,
    model_not_ready,
    no_endpoint,
    overloaded,
    deadline_exceeded,
    cancelled,
    stopping,
    store_unavailable,
    store_outcome_unknown,
    idempotency_key_reused,
    order_in_progress,
    outcome_unknown,
    connect_failed,
    connection_broken,
    wrong_answer,
    incomplete_answer,
    invalid_answer,
    endpoint_rejected,
    no_memory,
    stale_fencing,
    not_in_force,
    peer_unreachable,
    malformed_message,
    unsupported,
    internal
};

/// Whether an endpoint ran the request of the caller that failed.
enum class execution_state
{
    /// No byte reached an endpoint, or the endpoint verifiably rejected the
    /// request.
    not_run,
    /// The request may or may not have run.
    unknown,
    completed
};

/// Snake-case name of a code, as used in responses and logs.
std::string_view to_string(error_code code);
std::string_view to_string(execution_state state);

/// Returns the code with this name, or `internal` if there is none.
error_code error_code_from_string(std::string_view name);

/// Failure with a code and a human-readable message.
class error
{
public:
    error(error_code code, std::string message,
        execution_state execution = execution_state::not_run)
        : code_(code), execution_(execution), message_(std::move(message))
    {
    }

    error_code code() const { return code_; }
    const std::string& message() const { return message_; }
    execution_state execution() const { return execution_; }

    /// Returns the same failure with another execution state.
    error with_execution(execution_state execution) const
    {
        return {code_, message_, execution};
    }

    bool operator==(const error&) const = default;

private:
    error_code code_;
    execution_state execution_;
    std::string message_;
};

template <class T>
using result = tl::expected<T, error>;

/// Shorthand for a failed result.
inline tl::unexpected<error> fail(error_code code, std::string message,
    execution_state execution = execution_state::not_run)
{
    return tl::unexpected<error>(error(code, std::move(message), execution));
}

} // namespace tarragonquay
