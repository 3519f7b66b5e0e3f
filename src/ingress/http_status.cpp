#include "ingress/http_status.hpp"

#include <nlohmann/json.hpp>

namespace tarragonquay::ingress
{

int http_status(error_code code)
{
    switch (code)
    {
    case error_code::invalid_argument:
    case error_code::malformed_message:
        return 400;
    case error_code::missing_key:
    case error_code::unknown_key:
    case error_code::withdrawn_key:
        return 401;
    case error_code::not_found:
    case error_code::unknown_model:
        return 404;
    case error_code::already_exists:
    case error_code::conflict:
    case error_code::order_in_progress:
    case error_code::outcome_unknown:
    case error_code::stale_fencing:
        return 409;
    case error_code::payload_too_large:
        return 413;
    case error_code::idempotency_key_reused:
        return 422;
    case error_code::rate_limited:
    case error_code::request_exceeds_burst:
        return 429;
    case error_code::cancelled:
        // Non-standard, but used by several servers for a client that closed
        // its connection.
        return 499;
    case error_code::unsupported:
        return 501;
    case error_code::connect_failed:
    case error_code::connection_broken:
    case error_code::wrong_answer:
    case error_code::incomplete_answer:
    case error_code::invalid_answer:
    case error_code::endpoint_rejected:
        return 502;
    case error_code::no_view_lease:
    case error_code::no_share:
    case error_code::model_not_ready:
    case error_code::no_endpoint:
    case error_code::overloaded:
    case error_code::stopping:
    case error_code::store_unavailable:
    case error_code::store_outcome_unknown:
    case error_code::not_in_force:
    case error_code::peer_unreachable:
        return 503;
    case error_code::deadline_exceeded:
        return 504;
    case error_code::no_memory:
        return 507;
    case error_code::invalid_settings:
    case error_code::internal:
        return 500;
    }
    return 500;
}

std::string error_body(const error& cause, const std::string& request_id)
{
    const nlohmann::json body{{"error",
        {{"code", to_string(cause.code())}, {"message", cause.message()},
            {"execution", to_string(cause.execution())},
            {"request_id", request_id}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace tarragonquay::ingress
