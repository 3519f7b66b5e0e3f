#include "ctl/options.hpp"

#include <exception>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace tarragonquay::ctl
{

namespace
{

result<void> merge_settings(global_options& options)
{
    const auto& path = options.settings_file;
    try
    {
        const auto root = YAML::LoadFile(path);
        if (!root.IsMap())
            return fail(error_code::invalid_settings,
                fmt::format("{}: the settings must be a map", path));
        for (const auto& entry : root)
        {
            const auto key = entry.first.as<std::string>();
            const auto value = entry.second.as<std::string>();
            if (key != "address" && key != "ca_file")
                return fail(error_code::invalid_settings,
                    fmt::format("{}:{}: unknown key '{}'", path,
                        entry.first.Mark().line + 1, key));
            auto& field = key == "address" ? options.address : options.ca_file;
            if (field.empty())
                field = value;
        }
    }
    catch (const YAML::Exception& problem)
    {
        return fail(error_code::invalid_settings,
            fmt::format("{}: {}", path, problem.what()));
    }
    return {};
}

} // namespace

exit_code exit_code_of(error_code code)
{
    switch (code)
    {
    case error_code::conflict:
        return exit_code::conflict;
    case error_code::not_in_force:
        return exit_code::not_in_force;
    case error_code::peer_unreachable:
    case error_code::store_outcome_unknown:
        return exit_code::unreachable;
    case error_code::invalid_settings:
        return exit_code::usage;
    default:
        return exit_code::failed;
    }
}

result<global_options> resolve(global_options given, const char* environment)
{
    if (given.address.empty() && environment != nullptr)
        given.address = environment;
    if (!given.settings_file.empty())
    {
        if (auto merged = merge_settings(given); !merged)
            return tl::unexpected(merged.error());
    }
    if (given.address.empty())
        return fail(error_code::invalid_settings,
            "no address: give --address, TQCTL_ADDRESS or --settings");
    return given;
}

} // namespace tarragonquay::ctl
