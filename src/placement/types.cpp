#include "placement/types.hpp"

#include "catalog/types.hpp"
#include "records.pb.h"

namespace tarragonquay::placement
{
namespace
{

using kind_message = records::Command_intent;

kind_message::Kind to_proto(command_kind kind)
{
    switch (kind)
    {
    case command_kind::load_model:
        return kind_message::LOAD_MODEL;
    case command_kind::unload_model:
        return kind_message::UNLOAD_MODEL;
    case command_kind::load_adapter:
        return kind_message::LOAD_ADAPTER;
    case command_kind::unload_adapter:
        return kind_message::UNLOAD_ADAPTER;
    }
    return kind_message::KIND_UNSPECIFIED;
}

result<command_kind> from_proto(kind_message::Kind kind)
{
    switch (kind)
    {
    case kind_message::LOAD_MODEL:
        return command_kind::load_model;
    case kind_message::UNLOAD_MODEL:
        return command_kind::unload_model;
    case kind_message::LOAD_ADAPTER:
        return command_kind::load_adapter;
    case kind_message::UNLOAD_ADAPTER:
        return command_kind::unload_adapter;
    default:
        return fail(error_code::malformed_message, "Unknown command kind.");
    }
}

// Larger numbers are treated as corrupt, so that increments never overflow.
constexpr std::int64_t max_number = 1'000'000'000'000'000;
// Same limit as in engine reports, which may contain models and adapters that
// are not configured and whose names the configuration would reject.
constexpr std::size_t max_text_bytes = 512;

bool in_range(std::int64_t value, std::int64_t minimum)
{
    return value >= minimum && value <= max_number;
}

bool is_for_adapter(command_kind kind)
{
    return kind == command_kind::load_adapter ||
           kind == command_kind::unload_adapter;
}

bool names_are_valid(const kind_message& message, command_kind kind)
{
    const auto is_short = [](const std::string& text)
    { return text.size() <= max_text_bytes; };
    return catalog::is_valid_id(message.command_id()) &&
           catalog::is_valid_id(message.endpoint()) &&
           is_short(message.model()) && is_short(message.adapter()) &&
           is_short(message.version()) &&
           is_short(message.engine_incarnation()) &&
           // The ledger treats an empty adapter name as a model command.
           is_for_adapter(kind) != message.adapter().empty();
}

} // namespace

std::string_view to_string(command_kind kind)
{
    switch (kind)
    {
    case command_kind::load_model:
        return "load_model";
    case command_kind::unload_model:
        return "unload_model";
    case command_kind::load_adapter:
        return "load_adapter";
    case command_kind::unload_adapter:
        return "unload_adapter";
    }
    return "";
}

std::string to_row(const intent& value)
{
    records::Command_intent message;
    message.set_command_id(value.command_id);
    message.set_endpoint(value.endpoint.str());
    message.set_engine_incarnation(value.engine_incarnation);
    message.set_fencing(value.fencing);
    message.set_kind(to_proto(value.kind));
    message.set_model(value.model.str());
    message.set_adapter(value.adapter.str());
    message.set_version(value.version);
    message.set_bytes(value.bytes);
    message.set_deadline_unix_ms(value.deadline_unix_ms);
    return message.SerializeAsString();
}

result<intent> intent_from_row(const std::string& bytes)
{
    records::Command_intent message;
    if (!message.ParseFromString(bytes))
        return fail(
            error_code::malformed_message, "The intent can't be parsed.");
    const auto kind = from_proto(message.kind());
    if (!kind)
        return tl::unexpected<error>(kind.error());
    // Fencing numbers of commands start at 1.
    if (!names_are_valid(message, *kind) || !in_range(message.fencing(), 1) ||
        message.bytes() < 0 || message.deadline_unix_ms() < 0)
        return fail(error_code::malformed_message,
            "The intent has a name or a number out of range.");
    return intent{message.command_id(), endpoint_id(message.endpoint()),
        message.engine_incarnation(), message.fencing(), *kind,
        model_id(message.model()), adapter_id(message.adapter()),
        message.version(), message.bytes(), message.deadline_unix_ms()};
}

std::string to_row(const lease& value)
{
    records::Placement_lease message;
    message.set_instance(value.instance);
    message.set_incarnation(value.incarnation);
    message.set_fencing(value.fencing);
    message.set_renewals(value.renewals);
    message.set_released(value.released);
    return message.SerializeAsString();
}

result<lease> lease_from_row(const std::string& bytes)
{
    records::Placement_lease message;
    if (!message.ParseFromString(bytes))
        return fail(
            error_code::malformed_message, "The lease can't be parsed.");
    if (!in_range(message.fencing(), 0) || !in_range(message.renewals(), 0) ||
        message.instance().empty() ||
        message.instance().size() > max_text_bytes ||
        message.incarnation().size() > max_text_bytes)
        return fail(error_code::malformed_message,
            "The lease has a name or a number out of range.");
    return lease{message.instance(), message.incarnation(), message.fencing(),
        message.renewals(), message.released()};
}

} // namespace tarragonquay::placement
