#include <string_view>

#include <fmt/format.h>

#include "operators/service.hpp"

namespace tarragonquay::operators
{

namespace
{

constexpr std::size_t max_request_bytes = 256UL * 1024;
constexpr std::size_t max_text_bytes = 256;
constexpr int max_timeline_events = 10'000;

result<void> check_text(std::string_view field, const std::string& text)
{
    if (text.empty())
        return fail(
            error_code::invalid_argument, fmt::format("{} is missing", field));
    if (text.size() > max_text_bytes)
        return fail(error_code::payload_too_large,
            fmt::format("{} has {} bytes, at most {}", field, text.size(),
                max_text_bytes));
    return {};
}

} // namespace

Failure to_failure(const error& reason, std::int64_t current_revision)
{
    Failure failure;
    failure.set_code(std::string(to_string(reason.code())));
    failure.set_message(reason.message());
    failure.set_current_revision(current_revision);
    return failure;
}

result<void> validate(const Apply_request& request)
{
    if (auto checked = check_text("operation_id", request.operation_id());
        !checked)
        return checked;
    const auto size = request.ByteSizeLong();
    if (size > max_request_bytes)
        return fail(error_code::payload_too_large,
            fmt::format("the request has {} bytes, at most {}", size,
                max_request_bytes));
    if (request.expected_revision() < -1)
        return fail(error_code::invalid_argument,
            "expected_revision must be -1 or more");
    switch (request.change().kind_case())
    {
    case config::Change::KIND_NOT_SET:
        return fail(error_code::invalid_argument, "the change has no kind");
    case config::Change::kMembership:
    case config::Change::kEpochOpen:
        return fail(error_code::unsupported,
            "only instances may change membership and epochs");
    default:
        return {};
    }
}

result<void> validate(const Show_order_request& request)
{
    if (auto checked = check_text("workspace", request.workspace()); !checked)
        return checked;
    return check_text("idempotency_key", request.idempotency_key());
}

result<void> validate(const Resolve_order_request& request)
{
    if (auto checked = check_text("workspace", request.workspace()); !checked)
        return checked;
    if (auto checked = check_text("idempotency_key", request.idempotency_key());
        !checked)
        return checked;
    if (request.outcome() != Resolve_order_request::RAN &&
        request.outcome() != Resolve_order_request::DID_NOT_RUN)
        return fail(
            error_code::invalid_argument, "outcome must be RAN or DID_NOT_RUN");
    if (request.expected_version() < 1)
        return fail(error_code::invalid_argument,
            "expected_version must be the version from ShowOrder");
    return check_text("resolved_by", request.resolved_by());
}

result<void> validate(const Timeline_request& request)
{
    if (request.limit() < 0 || request.limit() > max_timeline_events)
        return fail(error_code::invalid_argument,
            fmt::format("limit must be 0 to {}", max_timeline_events));
    if (request.all_instances() && !request.after_cursor().empty())
        return fail(error_code::invalid_argument,
            "after_cursor can't be combined with all_instances: a cursor is a "
            "place in the events of one instance");
    return {};
}

} // namespace tarragonquay::operators
