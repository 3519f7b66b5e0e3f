#include "ctl/output.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

namespace tarragonquay::ctl
{

namespace
{

std::string yes_or_no(bool value)
{
    return value ? "yes" : "no";
}

std::string revision_of(
    const config::Snapshot& snapshot, const std::string& entity)
{
    const auto it = snapshot.entity_revisions().find(entity);
    return it == snapshot.entity_revisions().end() ? "-"
                                                   : std::to_string(it->second);
}

std::string describe_routes(const config::Service& service)
{
    std::string text;
    for (const auto& route : service.routes())
    {
        if (!text.empty())
            text += ' ';
        text += fmt::format("{}:{}:{}{}", route.path_prefix(), route.method(),
            route.repeat() == config::Route::BY_METHOD    ? "by_method"
            : route.repeat() == config::Route::IDEMPOTENT ? "idempotent"
                                                          : "not_idempotent",
            route.open_to_all() ? ":open" : "");
    }
    return text;
}

template <class Strings>
std::string joined(const Strings& parts)
{
    return fmt::format("{}", fmt::join(parts.begin(), parts.end(), ","));
}

} // namespace

text_table::text_table(std::vector<std::string> header)
{
    rows_.push_back(std::move(header));
}

void text_table::add(std::vector<std::string> cells)
{
    rows_.push_back(std::move(cells));
}

std::string text_table::to_string() const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto& row : rows_)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto& row : rows_)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += fmt::format("{:<{}}", row[i], widths[i] + 2);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

std::string to_json(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    // Fails only for messages with Any fields, which the schema lacks.
    const auto status =
        google::protobuf::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text : std::string("{}\n");
}

text_table workspaces_table(const config::Snapshot& snapshot)
{
    text_table table({"WORKSPACE", "RATE", "BURST", "REVISION"});
    for (const auto& value : snapshot.workspaces())
        table.add({value.id(), std::to_string(value.rate_tokens_per_second()),
            std::to_string(value.burst_tokens()),
            revision_of(snapshot, "workspace/" + value.id())});
    return table;
}

text_table keys_table(const config::Snapshot& snapshot)
{
    text_table table({"KEY", "WORKSPACE", "WITHDRAWN", "REVISION"});
    for (const auto& value : snapshot.keys())
        table.add({value.id(), value.workspace(), yes_or_no(value.withdrawn()),
            revision_of(snapshot, "key/" + value.id())});
    return table;
}

text_table models_table(const config::Snapshot& snapshot)
{
    text_table table({"MODEL", "VERSION", "BYTES", "REVISION"});
    for (const auto& value : snapshot.models())
        table.add({value.id(), value.version(), std::to_string(value.bytes()),
            revision_of(snapshot, "model/" + value.id())});
    return table;
}

text_table adapters_table(const config::Snapshot& snapshot)
{
    text_table table({"ADAPTER", "MODEL", "VERSION", "BYTES", "REVISION"});
    for (const auto& value : snapshot.adapters())
        table.add({value.id(), value.model(), value.version(),
            std::to_string(value.bytes()),
            revision_of(snapshot, "adapter/" + value.id())});
    return table;
}

text_table services_table(const config::Snapshot& snapshot)
{
    text_table table({"SERVICE", "REVISION", "ROUTES"});
    for (const auto& value : snapshot.services())
        table.add(
            {value.name(), revision_of(snapshot, "service/" + value.name()),
                describe_routes(value)});
    return table;
}

text_table endpoints_table(const config::Snapshot& snapshot)
{
    text_table table({"ENDPOINT", "ADDRESS", "ZONE", "REGION", "SERVICE",
        "FENCING", "ACCELERATORS", "BYTES", "REVISION"});
    for (const auto& value : snapshot.endpoints())
        table.add({value.id(), value.address(), value.availability_zone(),
            value.region(), value.service().empty() ? "-" : value.service(),
            yes_or_no(value.honours_fencing()),
            std::to_string(value.accelerators()),
            std::to_string(value.capacity_bytes()),
            revision_of(snapshot, "endpoint/" + value.id())});
    return table;
}

std::string describe(const config::Snapshot& snapshot)
{
    auto text = fmt::format("revision {}, epoch {} {}\n", snapshot.revision(),
        snapshot.epoch(), snapshot.epoch_open() ? "open" : "closed");
    text_table members({"MEMBER", "PEER ADDRESS", "ENTRY ADDRESS", "ZONE"});
    for (const auto& value : snapshot.members())
        members.add({value.instance(), value.peer_address(),
            value.entry_address(), value.availability_zone()});
    for (const auto& table : {workspaces_table(snapshot), keys_table(snapshot),
             models_table(snapshot), adapters_table(snapshot),
             services_table(snapshot), endpoints_table(snapshot), members})
        text += '\n' + table.to_string();
    return text;
}

std::string describe(const operators::Status_reply& status)
{
    auto text = fmt::format(
        "instance {} ({})\nrevision {}\nview lease {}\nstore {}\n"
        "stopping {}\nplacement holder {}\nepoch {} {}\nmembers {}\n\n",
        status.instance(), status.incarnation(), status.applied_revision(),
        status.view_lease_valid() ? "valid" : "lapsed",
        status.store_reachable() ? "reachable" : "unreachable",
        yes_or_no(status.stopping()), yes_or_no(status.placement_holder()),
        status.epoch(), status.epoch_open() ? "open" : "closed",
        joined(status.members()));
    text_table endpoints({"ENDPOINT", "SUSPECTED", "LEAVING", "USED",
        "CAPACITY", "IN FLIGHT", "READY MODELS"});
    for (const auto& value : status.endpoints())
        endpoints.add({value.endpoint(), yes_or_no(value.suspected()),
            yes_or_no(value.leaving()), std::to_string(value.used_bytes()),
            std::to_string(value.capacity_bytes()),
            std::to_string(value.in_flight()), joined(value.ready_models())});
    text_table workspaces(
        {"WORKSPACE", "SHARES", "LEVEL", "ADMITTED", "REFUSED"});
    for (const auto& value : status.workspaces())
        workspaces.add({value.workspace(), std::to_string(value.shares()),
            std::to_string(value.level_tokens()),
            std::to_string(value.admitted_tokens()),
            std::to_string(value.refused_requests())});
    return text + endpoints.to_string() + '\n' + workspaces.to_string();
}

std::string describe(const operators::Timeline_reply& timeline)
{
    text_table table({"TIME", "INSTANCE", "KIND", "SUBJECT", "DETAIL"});
    for (const auto& event : timeline.events())
        table.add({fmt::format("{}.{}", event.wall_ms(), event.logical()),
            event.instance(), event.kind(), event.subject(), event.detail()});
    auto text = table.to_string();
    if (timeline.missing_instances_size() > 0)
        text += fmt::format(
            "without an answer: {}\n", joined(timeline.missing_instances()));
    if (timeline.dropped_events() > 0)
        text +=
            fmt::format("no longer kept: {} events after the given cursor\n",
                timeline.dropped_events());
    if (!timeline.cursor().empty())
        text += fmt::format("cursor: {}\n", timeline.cursor());
    return text;
}

std::string describe(const records::Order_record& order, std::int64_t version)
{
    return fmt::format("order {}\nstate {}\nversion {}\nservice {}\n"
                       "request {} {}\ninstance {} ({})\nattempt {}\n"
                       "status {}\nresolved by {}\n",
        order.order_id(), records::Order_record::State_Name(order.state()),
        version, order.service(), order.method(), order.path(),
        order.instance(), order.incarnation(), order.attempt_id(),
        order.status(),
        order.resolved_by().empty() ? "-" : order.resolved_by());
}

} // namespace tarragonquay::ctl
