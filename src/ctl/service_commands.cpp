#include "ctl/commands.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "ctl/output.hpp"

namespace tarragonquay::ctl
{

namespace
{

void add_service(CLI::App& app, action& chosen)
{
    auto* group = app.add_subcommand("service", "Plain services");
    group->require_subcommand(1);
    auto name = std::make_shared<std::string>();
    auto routes = std::make_shared<std::vector<std::string>>();
    auto* put = group->add_subcommand("put", "Create or replace a service");
    put->add_option("name", *name, "Service")->required();
    put->add_option("--route", *routes,
           "PREFIX:METHOD:idempotent|not_idempotent|by_method[:open]; an empty "
           "METHOD means any, open needs no key; may be repeated")
        ->allow_extra_args(false);
    put->final_callback(
        [&chosen, name, routes]
        {
            chosen = [name, routes](command_context& context) -> result<void>
            {
                config::Change change;
                change.mutable_put_service()->set_name(*name);
                for (const auto& text : *routes)
                {
                    auto route = parse_route(text);
                    if (!route)
                        return tl::unexpected(route.error());
                    *change.mutable_put_service()->add_routes() =
                        std::move(*route);
                }
                return send_change(context, std::move(change));
            };
        });
    add_removal(*group, "remove", "Remove a service without endpoints", chosen,
        [](config::Change& change) { return change.mutable_remove_service(); });
    group->add_subcommand("list", "List the services")
        ->final_callback(
            [&chosen]
            {
                chosen = [](command_context& context)
                {
                    return print_list(
                        context,
                        [](const auto& whole, auto& part)
                        { *part.mutable_services() = whole.services(); },
                        [](const auto& whole)
                        { return services_table(whole).to_string(); });
                };
            });
}

void add_endpoint_put(CLI::App& group, action& chosen)
{
    auto value = std::make_shared<config::Endpoint>();
    value->set_accelerators(1);
    auto* put = group.add_subcommand("put", "Create or replace an endpoint");
    put->add_option_function<std::string>(
           "id", [value](const auto& id) { value->set_id(id); }, "Endpoint")
        ->required();
    put->add_option_function<std::string>(
           "--endpoint-address",
           [value](const auto& address) { value->set_address(address); },
           "ip:port of the endpoint")
        ->required();
    put->add_option_function<std::string>(
           "--zone",
           [value](const auto& zone) { value->set_availability_zone(zone); },
           "Availability zone")
        ->required();
    put->add_option_function<std::string>(
           "--region",
           [value](const auto& region) { value->set_region(region); }, "Region")
        ->required();
    put->add_option_function<std::string>(
        "--service",
        [value](const auto& service)
        {
            value->set_service(service);
            value->set_kind(config::Endpoint::SERVICE);
        },
        "Plain service that it serves; an engine without this option");
    put->add_flag_function(
        "--honours-fencing",
        [value](auto count) { value->set_honours_fencing(count > 0); },
        "The engine refuses commands with an old fencing number");
    put->add_option_function<std::int32_t>(
        "--accelerators",
        [value](auto count) { value->set_accelerators(count); },
        "Number of accelerators (default 1)");
    put->add_option_function<std::int64_t>(
        "--capacity-bytes",
        [value](auto bytes) { value->set_capacity_bytes(bytes); },
        "Memory of its accelerators (default 0)");
    put->final_callback(
        [&chosen, value]
        {
            chosen = [value](command_context& context)
            {
                config::Change change;
                *change.mutable_put_endpoint() = *value;
                return send_change(context, std::move(change));
            };
        });
}

void add_endpoint(CLI::App& app, action& chosen)
{
    auto* group =
        app.add_subcommand("endpoint", "Engines and service replicas");
    group->require_subcommand(1);
    add_endpoint_put(*group, chosen);
    add_removal(*group, "remove", "Remove an endpoint", chosen,
        [](config::Change& change)
        { return change.mutable_remove_endpoint(); });
    group->add_subcommand("list", "List the endpoints")
        ->final_callback(
            [&chosen]
            {
                chosen = [](command_context& context)
                {
                    return print_list(
                        context,
                        [](const auto& whole, auto& part)
                        { *part.mutable_endpoints() = whole.endpoints(); },
                        [](const auto& whole)
                        { return endpoints_table(whole).to_string(); });
                };
            });
}

} // namespace

result<config::Route> parse_route(const std::string& text)
{
    std::vector<std::string> parts;
    for (std::size_t start = 0; start <= text.size();)
    {
        const auto end = std::min(text.find(':', start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    const bool has_open = parts.size() == 4 && parts[3] == "open";
    config::Route route;
    if (parts.size() != 3 && !has_open)
        return fail(error_code::invalid_settings,
            fmt::format("route '{}' is not PREFIX:METHOD:REPEAT[:open]", text));
    route.set_path_prefix(parts[0]);
    route.set_method(parts[1]);
    route.set_open_to_all(has_open);
    if (parts[2] == "idempotent")
        route.set_repeat(config::Route::IDEMPOTENT);
    else if (parts[2] == "not_idempotent")
        route.set_repeat(config::Route::NOT_IDEMPOTENT);
    else if (parts[2] != "by_method")
        return fail(error_code::invalid_settings,
            fmt::format("route '{}': '{}' is not idempotent, not_idempotent "
                        "or by_method",
                text, parts[2]));
    return route;
}

void add_service_commands(CLI::App& app, action& chosen)
{
    add_service(app, chosen);
    add_endpoint(app, chosen);
}

} // namespace tarragonquay::ctl
