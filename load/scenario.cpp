#include "load/scenario.hpp"

#include <set>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace tarragonquay::load
{
namespace
{

size_range range_from(const YAML::Node& node)
{
    const size_range range =
        node.IsSequence() ? size_range{node[0].as<int>(), node[1].as<int>()}
                          : size_range{node.as<int>(), node.as<int>()};
    if (range.lowest < 1 || range.highest < range.lowest)
        throw YAML::Exception(node.Mark(), "not a valid range of sizes");
    return range;
}

void check_keys(const YAML::Node& node, const std::set<std::string>& known)
{
    for (const auto& entry : node)
        if (known.count(entry.first.as<std::string>()) == 0)
            throw YAML::Exception(entry.first.Mark(),
                "unknown key \"" + entry.first.as<std::string>() + "\"");
}

template <class T>
void set(const YAML::Node& node, const char* key, T& value)
{
    if (node[key])
        value = node[key].as<T>();
}

workspace_load workspace_from(const YAML::Node& node)
{
    check_keys(
        node, {"name", "key", "requests_per_second", "prompt_bytes",
                  "max_tokens", "stream", "priority", "deadline_ms", "models",
                  "zipf_exponent", "order_share", "service", "order_path"});
    workspace_load load;
    load.name = node["name"].as<std::string>();
    set(node, "key", load.key);
    set(node, "requests_per_second", load.requests_per_second);
    if (node["prompt_bytes"])
        load.prompt_bytes = range_from(node["prompt_bytes"]);
    if (node["max_tokens"])
        load.max_tokens = range_from(node["max_tokens"]);
    set(node, "stream", load.stream);
    set(node, "priority", load.priority);
    set(node, "deadline_ms", load.deadline_ms);
    set(node, "models", load.models);
    set(node, "zipf_exponent", load.zipf_exponent);
    set(node, "order_share", load.order_share);
    set(node, "service", load.service);
    set(node, "order_path", load.order_path);
    if (load.requests_per_second <= 0 || load.deadline_ms <= 0)
        throw YAML::Exception(node.Mark(),
            "requests_per_second and deadline_ms must be positive");
    if (load.models.empty() && load.order_share < 1)
        throw YAML::Exception(node.Mark(), "models must not be empty");
    return load;
}

} // namespace

result<scenario> read_scenario(const std::string& path)
{
    try
    {
        const YAML::Node root = YAML::LoadFile(path);
        check_keys(root, {"seed", "workspaces"});
        scenario read;
        set(root, "seed", read.seed);
        for (const auto& node : root["workspaces"])
            read.workspaces.push_back(workspace_from(node));
        if (read.workspaces.empty())
            throw YAML::Exception(root.Mark(), "workspaces must not be empty");
        return read;
    }
    catch (const YAML::Exception& failure)
    {
        return fail(error_code::invalid_settings,
            fmt::format("{}:{}: {}", path, failure.mark.line + 1, failure.msg));
    }
}

} // namespace tarragonquay::load
