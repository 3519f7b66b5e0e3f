#include "common/error.hpp"

#include <array>
#include <utility>

namespace tarragonquay
{

namespace
{

using entry = std::pair<error_code, std::string_view>;

constexpr std::array code_names{
    entry{error_code::invalid_argument, "invalid_argument"},
    entry{error_code::invalid_settings, "invalid_settings"},
    entry{error_code::not_found, "not_found"},
    entry{error_code::already_exists, "already_exists"},
    entry{error_code::conflict, "conflict"},
    entry{error_code::payload_too_large, "payload_too_large"},
    entry{error_code::missing_key, "missing_key"},
    entry{error_code::unknown_key, "unknown_key"},
    entry{error_code::withdrawn_key, "withdrawn_key"},
    entry{error_code::no_view_lease, "no_view_lease"},
    entry{error_code::rate_limited, "rate_limited"},
    entry{error_code::no_share, "no_share"},
    entry{error_code::request_exceeds_burst, "request_exceeds_burst"},
    entry{error_code::unknown_model, "unknown_model"},
    entry{error_code::model_not_ready, "model_not_ready"},
    entry{error_code::no_endpoint, "no_endpoint"},
    entry{error_code::overloaded, "overloaded"},
    entry{error_code::deadline_exceeded, "deadline_exceeded"},
    entry{error_code::cancelled, "cancelled"},
    entry{error_code::stopping, "stopping"},
    entry{error_code::store_unavailable, "store_unavailable"},
    entry{error_code::store_outcome_unknown, "store_outcome_unknown"},
    entry{error_code::idempotency_key_reused, "idempotency_key_reused"},
    entry{error_code::order_in_progress, "order_in_progress"},
    entry{error_code::outcome_unknown, "outcome_unknown"},
    entry{error_code::connect_failed, "connect_failed"},
    entry{error_code::connection_broken, "connection_broken"},
    entry{error_code::wrong_answer, "wrong_answer"},
    entry{error_code::incomplete_answer, "incomplete_answer"},
    entry{error_code::invalid_answer, "invalid_answer"},
    entry{error_code::endpoint_rejected, "endpoint_rejected"},
    entry{error_code::no_memory, "no_memory"},
    entry{error_code::stale_fencing, "stale_fencing"},
    entry{error_code::not_in_force, "not_in_force"},
    entry{error_code::peer_unreachable, "peer_unreachable"},
    entry{error_code::malformed_message, "malformed_message"},
    entry{error_code::unsupported, "unsupported"},
    entry{error_code::internal, "internal"},
};

} // namespace

std::string_view to_string(error_code code)
{
    for (const auto& [candidate, name] : code_names)
    {
        if (candidate == code)
            return name;
    }
    return "internal";
}

std::string_view to_string(execution_state state)
{
    switch (state)
    {
    case execution_state::not_run:
        return "not_run";
    case execution_state::unknown:
        return "unknown";
    case execution_state::completed:
        return "completed";
    }
    return "unknown";
}

error_code error_code_from_string(std::string_view name)
{
    for (const auto& [code, candidate] : code_names)
    {
        if (candidate == name)
            return code;
    }
    return error_code::internal;
}

} // namespace tarragonquay
