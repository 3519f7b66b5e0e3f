#include "settings/gateway_settings.hpp"

#include <cmath>

#include "settings/document.hpp"

namespace tarragonquay::settings
{

namespace
{

constexpr std::int64_t max_interval_ms = 3'600'000;

void read_listen(reader node, gateway_addresses& values)
{
    for (const char* key : {"callers", "entries", "readiness", "peers"})
        node.require(key);
    node.read_address("callers", values.callers);
    node.read_address("entries", values.entries);
    node.read_address("readiness", values.readiness);
    node.read_address("peers", values.peers);
    if (node.contains("metrics"))
        node.read_address("metrics", values.metrics);
    node.reject_unknown_keys();
}

// Reads an interval given in seconds, possibly fractional.
void read_seconds(reader& node, const char* key, std::int64_t& value_ms)
{
    constexpr double ms_per_s = 1'000;
    auto seconds = static_cast<double>(value_ms) / ms_per_s;
    node.read(key, seconds, 0.02, 3'600);
    value_ms = std::llround(seconds * ms_per_s);
}

// Without the key, there is no value.
void read_number(reader& node, const char* key, std::optional<double>& value,
    double lowest, double highest)
{
    if (!node.contains(key))
        return;
    value = lowest;
    node.read(key, *value, lowest, highest);
}

void read_bounds(reader node, gateway_bounds& values)
{
    read_seconds(node, "stop_s", values.stop_ms);
    read_seconds(node, "entries_keep_s", values.entries_keep_ms);
    node.read(
        "placement_lease_ms", values.placement_lease_ms, 100, max_interval_ms);
    node.read("endpoint_heartbeat_ms", values.endpoint_heartbeat_ms, 10,
        max_interval_ms);
    node.read("directory_recovery_ms", values.directory_recovery_ms, 0,
        max_interval_ms);
    node.read("repeat_ratio", values.repeat_ratio, 0, 100);
    read_seconds(node, "repeat_window_s", values.repeat_window_ms);
    node.read("repeat_slack", values.repeat_slack, 0, 1e9);
    read_seconds(node, "load_window_s", values.load_window_ms);
    node.read("load_overshoot", values.load_overshoot, 1, 100);
    node.read("load_slack", values.load_slack, 0, 1e6);
    node.read("evacuate_ms", values.evacuate_ms, 0, max_interval_ms);
    read_seconds(node, "max_endpoint_pause_s", values.max_endpoint_pause_ms);
    read_number(node, "cold_overshoot", values.cold_overshoot, 1, 100);
    read_number(node, "cold_slack", values.cold_slack, 0, 1e6);
    node.reject_unknown_keys();
}

void read_log(reader node, std::string& level)
{
    node.read("level", level);
    const bool known = level == "debug" || level == "info" ||
                       level == "warning" || level == "error";
    if (!known)
        node.reject("level", "expected debug, info, warning or error");
    node.reject_unknown_keys();
}

void read_root(reader& root, gateway_settings& values)
{
    std::string instance;
    root.read("instance", instance);
    values.instance = instance_id(instance);
    root.read("availability_zone", values.availability_zone);
    root.read("region", values.region);
    for (const char* key : {"instance", "availability_zone", "listen", "store"})
        root.require(key);
    read_listen(root.nested("listen"), values.listen);
    auto store = root.nested("store");
    store.require("address");
    store.read_address("address", values.store_address);
    store.reject_unknown_keys();
    root.read_addresses("seeds", values.seeds);
    root.read("feed_wait_ms", values.feed_wait_ms, 100, 30'000);
    root.read("max_connections", values.max_connections, 1, 1'000'000);
    root.read("processor_share", values.processor_share, 0.001, 1'024);
    read_log(root.nested("log"), values.log_level);
    read_bounds(root.nested("bounds"), values.bounds);
}

} // namespace

result<gateway_settings> parse_gateway(
    const std::string& text, const std::string& name)
{
    gateway_settings values;
    auto read = read_document(
        text, name, [&](reader& root) { read_root(root, values); });
    if (!read)
        return tl::unexpected<error>(read.error());
    return values;
}

result<gateway_settings> load_gateway(const std::string& path)
{
    const auto text = read_file(path);
    if (!text)
        return tl::unexpected<error>(text.error());
    return parse_gateway(*text, path);
}

} // namespace tarragonquay::settings
