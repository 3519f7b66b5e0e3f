#include "catalog/conversion.hpp"

namespace tarragonquay::catalog::conversion
{

namespace
{

repeat_rule to_rule(config::Route::Repeat repeat)
{
    switch (repeat)
    {
    case config::Route::IDEMPOTENT:
        return repeat_rule::idempotent;
    case config::Route::BY_METHOD:
        return repeat_rule::by_method;
    default:
        // A value from a newer schema is treated as not idempotent, so that
        // the call is never retried.
        return repeat_rule::not_idempotent;
    }
}

config::Route::Repeat to_message(repeat_rule rule)
{
    switch (rule)
    {
    case repeat_rule::idempotent:
        return config::Route::IDEMPOTENT;
    case repeat_rule::not_idempotent:
        return config::Route::NOT_IDEMPOTENT;
    case repeat_rule::by_method:
        break;
    }
    return config::Route::BY_METHOD;
}

} // namespace

workspace from_proto(const config::Workspace& message)
{
    return {workspace_id(message.id()), message.rate_tokens_per_second(),
        message.burst_tokens()};
}

api_key from_proto(const config::Api_key& message)
{
    return {key_id(message.id()), workspace_id(message.workspace()),
        message.secret_sha256(), message.withdrawn()};
}

model from_proto(const config::Model& message)
{
    return {model_id(message.id()), message.version(), message.bytes()};
}

adapter from_proto(const config::Adapter& message)
{
    return {adapter_id(message.id()), model_id(message.model()),
        message.version(), message.bytes()};
}

service from_proto(const config::Service& message)
{
    service value{service_id(message.name()), {}};
    for (const auto& rule : message.routes())
        value.routes.push_back({rule.path_prefix(), rule.method(),
            to_rule(rule.repeat()), rule.open_to_all()});
    return value;
}

endpoint from_proto(const config::Endpoint& message)
{
    return {endpoint_id(message.id()), message.address(),
        message.availability_zone(), message.region(),
        message.kind() == config::Endpoint::SERVICE ? endpoint_kind::service
                                                    : endpoint_kind::engine,
        service_id(message.service()), message.honours_fencing(),
        message.accelerators(), message.capacity_bytes()};
}

std::vector<member> from_proto(
    const google::protobuf::RepeatedPtrField<config::Member>& messages)
{
    std::vector<member> members;
    for (const auto& message : messages)
        members.push_back(
            {instance_id(message.instance()), message.incarnation(),
                message.peer_address(), message.entry_address(),
                message.availability_zone(), message.region()});
    return members;
}

void to_proto(const workspace& value, config::Workspace& message)
{
    message.set_id(value.id.str());
    message.set_rate_tokens_per_second(value.rate_tokens_per_second);
    message.set_burst_tokens(value.burst_tokens);
}

void to_proto(const api_key& value, config::Api_key& message)
{
    message.set_id(value.id.str());
    message.set_workspace(value.workspace.str());
    message.set_secret_sha256(value.secret_sha256);
    message.set_withdrawn(value.withdrawn);
}

void to_proto(const model& value, config::Model& message)
{
    message.set_id(value.id.str());
    message.set_version(value.version);
    message.set_bytes(value.bytes);
}

void to_proto(const adapter& value, config::Adapter& message)
{
    message.set_id(value.id.str());
    message.set_model(value.model.str());
    message.set_version(value.version);
    message.set_bytes(value.bytes);
}

void to_proto(const service& value, config::Service& message)
{
    message.set_name(value.name.str());
    for (const auto& rule : value.routes)
    {
        auto& added = *message.add_routes();
        added.set_path_prefix(rule.path_prefix);
        added.set_method(rule.method);
        added.set_repeat(to_message(rule.repeat));
        added.set_open_to_all(rule.open_to_all);
    }
}

void to_proto(const endpoint& value, config::Endpoint& message)
{
    message.set_id(value.id.str());
    message.set_address(value.address);
    message.set_availability_zone(value.availability_zone);
    message.set_region(value.region);
    message.set_kind(value.kind == endpoint_kind::service
                         ? config::Endpoint::SERVICE
                         : config::Endpoint::ENGINE);
    message.set_service(value.service.str());
    message.set_honours_fencing(value.honours_fencing);
    message.set_accelerators(value.accelerators);
    message.set_capacity_bytes(value.capacity_bytes);
}

void to_proto(const member& value, config::Member& message)
{
    message.set_instance(value.instance.str());
    message.set_incarnation(value.incarnation);
    message.set_peer_address(value.peer_address);
    message.set_entry_address(value.entry_address);
    message.set_availability_zone(value.availability_zone);
    message.set_region(value.region);
}

} // namespace tarragonquay::catalog::conversion
