#include "settings/settings.hpp"

#include "settings/document.hpp"

namespace tarragonquay::settings
{

namespace
{

constexpr std::int64_t max_interval_ms = 3'600'000;
// A removed member is fenced for 5 s plus a margin; a longer view lease could
// outlive that.
constexpr std::int64_t max_view_lease_ms = 5'000;

void read_addresses(reader& root, daemon_settings& values)
{
    auto listen = root.nested("listen");
    for (const char* key : {"entry", "operator", "peer"})
        listen.require(key);
    listen.read_address("entry", values.listen.entry, true);
    listen.read_address("operator", values.listen.operators, true);
    listen.read_address("peer", values.listen.peer);
    listen.reject_unknown_keys();

    values.advertise = values.listen;
    auto advertise = root.nested("advertise");
    advertise.read_address("entry", values.advertise.entry);
    advertise.read_address("peer", values.advertise.peer);
    advertise.reject_unknown_keys();
}

void read_placement(reader node, placement& values)
{
    node.read("enabled", values.enabled);
    node.read("loads_per_second", values.loads_per_second, 0.001, 1e6);
    node.read("loads_at_once", values.loads_at_once, 1, 1'000'000);
    node.read("adapters_in_flight", values.adapters_in_flight, 1, 1'000'000);
    node.reject_unknown_keys();
}

void read_tls(reader node, tls& values)
{
    node.read("certificate_file", values.certificate_file);
    node.read("key_file", values.key_file);
    if (values.certificate_file.empty() != values.key_file.empty())
        node.reject(
            "key_file", "certificate_file and key_file must be set together");
    node.reject_unknown_keys();
}

void read_log(reader node, daemon_settings& values)
{
    node.read("level", values.log_level);
    const bool known =
        values.log_level == "debug" || values.log_level == "info" ||
        values.log_level == "warning" || values.log_level == "error";
    if (!known)
        node.reject("level", "expected debug, info, warning or error");
    node.reject_unknown_keys();
}

void read_intervals(reader& root, daemon_settings& values)
{
    root.read("view_lease_ms", values.view_lease_ms, 500, max_view_lease_ms);
    root.read("head_poll_ms", values.head_poll_ms, 50, max_interval_ms);
    root.read("entries_keep_ms", values.entries_keep_ms, 0, max_interval_ms);
    root.read("stop_ms", values.stop_ms, 0, max_interval_ms);
    if (values.head_poll_ms * 2 > values.view_lease_ms)
        root.reject("head_poll_ms",
            "must be at most half of view_lease_ms, else one lost answer "
            "ends the lease");
}

void read_root(reader& root, daemon_settings& values)
{
    std::string instance;
    root.read("instance", instance);
    values.instance = instance_id(instance);
    root.read("availability_zone", values.availability_zone);
    root.read("region", values.region);
    for (const char* key :
        {"instance", "availability_zone", "region", "listen", "platform"})
        root.require(key);
    auto platform = root.nested("platform");
    platform.require("address");
    platform.read_address("address", values.platform_address);
    platform.reject_unknown_keys();
    root.read_addresses("peers", values.peers);
    root.read("traffic_threads", values.traffic_threads, 1, 256);
    root.read("events_kept", values.events_kept, 16, 1'000'000);
    read_intervals(root, values);
    read_log(root.nested("log"), values);
    read_tls(root.nested("operator_tls"), values.operator_tls);
    read_placement(root.nested("placement"), values.placement);
}

} // namespace

result<daemon_settings> parse(const std::string& text, const std::string& name)
{
    daemon_settings values;
    auto read = read_document(text, name,
        [&](reader& root)
        {
            read_root(root, values);
            read_addresses(root, values);
        });
    if (!read)
        return tl::unexpected<error>(read.error());
    return values;
}

result<daemon_settings> load(const std::string& path)
{
    const auto text = read_file(path);
    if (!text)
        return tl::unexpected<error>(text.error());
    return parse(*text, path);
}

} // namespace tarragonquay::settings
