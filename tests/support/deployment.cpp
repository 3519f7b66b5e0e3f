#include "support/deployment.hpp"

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace tarragonquay::test_support
{

std::unique_ptr<deployment> deployment::start(const deployment_options& options)
{
    std::unique_ptr<deployment> made(new deployment(options));
    made->start_endpoints();
    if (options.proxies)
        made->start_proxies();
    for (std::size_t i = 0; i < made->daemons_.size(); ++i)
    {
        auto& instance = made->daemons_[i];
        instance.advertised_peer = made->route_address(
            made->peer_route(i), loopback(instance.peer_port));
    }
    for (std::size_t i = 0; i < made->daemons_.size(); ++i)
    {
        made->write_settings(i);
        made->start_daemon(i);
    }
    return made;
}

deployment::deployment(const deployment_options& options)
    : options_(options), exceptions_at_start_(std::uncaught_exceptions())
{
    folder_ = (std::filesystem::temp_directory_path() / "tq-settings-XXXXXX")
                  .string();
    if (mkdtemp(folder_.data()) == nullptr)
        throw std::runtime_error("cannot make a temporary folder");
    for (int i = 0; i < options.daemons; ++i)
    {
        daemon_instance instance;
        instance.id = fmt::format("i{}", i + 1);
        instance.entry_port = free_port();
        instance.operator_port = free_port();
        instance.peer_port = free_port();
        instance.settings_path = folder_ + "/" + instance.id + ".yaml";
        daemons_.push_back(std::move(instance));
    }
}

deployment::~deployment()
{
    if (std::uncaught_exceptions() > exceptions_at_start_)
        print_timeline();
    daemons_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void deployment::print_timeline() const
{
    for (std::size_t i = 0; i < daemons_.size(); ++i)
    {
        if (!daemons_[i].child || !daemons_[i].child->running())
            continue;
        const auto shown =
            process::run("tqctl", {"--address", operator_address(i), "timeline",
                                      "--all", "--limit", "100"});
        if (shown.exit_code != 0)
            continue;
        std::cerr << "--- merged time line, asked of " << daemons_[i].id << "\n"
                  << shown.output << "---\n";
        return;
    }
}

void deployment::start_endpoints()
{
    platform_ = process::start_standin("platform", options_.platform_arguments);
    for (int i = 0; i < options_.engines; ++i)
    {
        std::vector<std::string> arguments = {"--capacity-bytes",
            std::to_string(options_.engine_capacity_bytes), "--honours-fencing",
            honours_fencing(i) ? "true" : "false"};
        arguments.insert(arguments.end(), options_.engine_arguments.begin(),
            options_.engine_arguments.end());
        engines_.push_back(process::start_standin("engine", arguments));
    }
    for (int i = 0; i < options_.services; ++i)
        services_.push_back(process::start_standin("service", {}));
    for (std::size_t i = 0; i < engines_.size(); ++i)
        list_instance(fmt::format("e{}", i + 1), engine_address(i));
    for (std::size_t i = 0; i < services_.size(); ++i)
        list_instance(fmt::format("s{}", i + 1), service_address(i));
    for (const auto& instance : daemons_)
        list_instance(instance.id, loopback(instance.entry_port));
}

void deployment::start_proxies()
{
    std::vector<std::string> targets;
    for (std::size_t i = 0; i < engines_.size(); ++i)
        targets.push_back(engine_address(i));
    for (std::size_t i = 0; i < services_.size(); ++i)
        targets.push_back(service_address(i));
    for (const auto& instance : daemons_)
        targets.push_back(loopback(instance.peer_port));
    targets.insert(
        targets.end(), daemons_.size(), platform_->address("platform"));
    std::vector<std::string> arguments;
    for (const auto& target : targets)
        arguments.insert(
            arguments.end(), {"--listen", "127.0.0.1:0", "--target", target});
    proxy_ = process::start_standin("proxy", arguments);
}

void deployment::list_instance(
    const std::string& id, const std::string& address, bool leaving)
{
    const auto reply = post(platform_admin(), "/admin/instances",
        {{"id", id}, {"address", address}, {"leaving", leaving}});
    if (reply.status != 200)
        throw std::runtime_error("cannot list instance " + id);
}

void deployment::unlist_instance(const std::string& id)
{
    if (post(
            platform_admin(), "/admin/instances", {{"id", id}, {"erase", true}})
            .status != 200)
        throw std::runtime_error("cannot unlist instance " + id);
}

void deployment::write_settings(std::size_t i) const
{
    const auto& instance = daemons_.at(i);
    std::vector<std::string> peers;
    for (const auto& other : daemons_)
        if (other.id != instance.id)
            peers.push_back("\"" + other.advertised_peer + "\"");
    std::ofstream file(instance.settings_path);
    file << fmt::format("instance: {}\navailability_zone: {}\nregion: r1\n",
        instance.id, zone(i));
    file << fmt::format(
        "listen: {{entry: \"{}\", operator: \"{}\", peer: \"{}\"}}\n",
        loopback(instance.entry_port), loopback(instance.operator_port),
        loopback(instance.peer_port));
    file << fmt::format("advertise: {{entry: \"{}\", peer: \"{}\"}}\n",
        loopback(instance.entry_port), instance.advertised_peer);
    file << fmt::format("platform: {{address: \"{}\"}}\npeers: [{}]\n",
        route_address(store_route(i), platform_->address("platform")),
        fmt::join(peers, ", "));
    file << fmt::format("traffic_threads: {}\nlog: {{level: info}}\n",
        options_.traffic_threads);
    if (options_.view_lease_ms != 0)
        file << fmt::format("view_lease_ms: {}\n", options_.view_lease_ms);
    if (options_.head_poll_ms != 0)
        file << fmt::format("head_poll_ms: {}\n", options_.head_poll_ms);
    if (options_.stop_ms != 0)
        file << fmt::format("stop_ms: {}\n", options_.stop_ms);
    const auto with_placement =
        daemons_.size() -
        static_cast<std::size_t>(options_.daemons_without_placement);
    if (i >= with_placement)
        file << "placement: {enabled: false}\n";
}

void deployment::start_daemon(std::size_t i)
{
    auto& instance = daemons_.at(i);
    instance.child.reset();
    instance.child = process::start_bound(
        instance.id, "tarragonquayd", {"--settings", instance.settings_path});
    for (const char* name : {"entry", "operator", "peer"})
        instance.child->address(name);
}

bool deployment::wait_healthy(std::size_t i, milliseconds time) const
{
    return eventually(
        [&] { return fetch(entry(i), "/healthz").status == 200; }, time);
}

bool deployment::wait_epoch_open(
    const std::vector<std::size_t>& members, milliseconds time) const
{
    std::vector<std::string> ids;
    ids.reserve(members.size());
    for (const auto i : members)
        ids.push_back(daemons_.at(i).id);
    const auto ready = [&](std::size_t i)
    {
        const auto found = status(i);
        // A restarted instance is listed while its predecessor is still a
        // member; it names the membership as what it waits for.
        return found.is_object() && found.value("epoch_open", false) &&
               found.value("members", std::vector<std::string>()) == ids &&
               fetch(entry(i), "/healthz")
                   .json()
                   .value("waiting_for", "")
                   .empty();
    };
    return eventually([&]
        { return std::all_of(members.begin(), members.end(), ready); },
        time);
}

nlohmann::json deployment::status(std::size_t i) const
{
    const auto outcome = tqctl(i, {"status", "--timeout", "3000"});
    if (outcome.exit_code != 0)
        return nullptr;
    return nlohmann::json::parse(outcome.output, nullptr, false);
}

void deployment::platform_mode(const nlohmann::json& mode) const
{
    if (post(platform_admin(), "/admin/mode", mode).status != 200)
        throw std::runtime_error("the platform refused the mode");
}

std::string deployment::entry(std::size_t i) const
{
    return loopback(daemons_.at(i).entry_port);
}

std::string deployment::operator_address(std::size_t i) const
{
    return loopback(daemons_.at(i).operator_port);
}

std::string deployment::peer_address(std::size_t i) const
{
    return loopback(daemons_.at(i).peer_port);
}

std::string deployment::engine_address(std::size_t i) const
{
    return engines_.at(i)->address("engine");
}

std::string deployment::service_address(std::size_t i) const
{
    return services_.at(i)->address("service");
}

std::string deployment::platform_admin() const
{
    return platform_->address("admin");
}

std::string deployment::engine_route_address(std::size_t i) const
{
    return route_address(engine_route(i), engine_address(i));
}

std::string deployment::service_route_address(std::size_t i) const
{
    return route_address(service_route(i), service_address(i));
}

std::string deployment::zone(std::size_t i) const
{
    const auto zones = static_cast<std::size_t>(options_.availability_zones);
    return fmt::format("z{}", i % zones + 1);
}

bool deployment::honours_fencing(int engine) const
{
    return engine < options_.engines - options_.engines_without_fencing;
}

std::string deployment::route_address(
    std::size_t route, const std::string& own) const
{
    return proxy_ ? proxy_->address(fmt::format("proxy-{}", route)) : own;
}

void deployment::fault(std::size_t route, nlohmann::json fault)
{
    if (!proxy_)
        throw std::runtime_error("this deployment has no proxies");
    fault["route"] = route;
    if (post(proxy_->address("admin"), "/admin/routes", fault).status != 200)
        throw std::runtime_error("the proxy refused the fault");
}

void deployment::fault_platform(nlohmann::json fault_body)
{
    for (std::size_t i = 0; i < daemons_.size(); ++i)
        fault(store_route(i), fault_body);
}

void deployment::fault_store(std::size_t i, nlohmann::json fault_body)
{
    fault(store_route(i), std::move(fault_body));
}

void deployment::fault_engine(std::size_t i, nlohmann::json fault_body)
{
    fault(engine_route(i), std::move(fault_body));
}

void deployment::fault_service(std::size_t i, nlohmann::json fault_body)
{
    fault(service_route(i), std::move(fault_body));
}

void deployment::fault_peer(std::size_t i, nlohmann::json fault_body)
{
    fault(peer_route(i), std::move(fault_body));
}

run_outcome deployment::tqctl(
    std::size_t i, std::vector<std::string> arguments) const
{
    std::vector<std::string> all = {
        "--address", operator_address(i), "--output", "json"};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return process::run("tqctl", std::move(all));
}

std::string deployment::apply(
    std::size_t i, std::vector<std::string> arguments) const
{
    const std::string text = fmt::format("{}", fmt::join(arguments, " "));
    const auto outcome = tqctl(i, std::move(arguments));
    if (outcome.exit_code != 0)
        throw std::runtime_error(fmt::format("tqctl {}: exit code {}: {}{}",
            text, outcome.exit_code, outcome.output, outcome.errors));
    return outcome.output;
}

void deployment::put_workspace(
    const std::string& id, std::int64_t rate, std::int64_t burst)
{
    apply(0, {"workspace", "put", id, "--rate", std::to_string(rate), "--burst",
                 std::to_string(burst)});
}

std::string deployment::issue_key(
    const std::string& id, const std::string& workspace)
{
    const auto answer =
        apply(0, {"key", "issue", id, "--workspace", workspace});
    return nlohmann::json::parse(answer).at("secret").get<std::string>();
}

void deployment::withdraw_key(const std::string& id)
{
    apply(0, {"key", "withdraw", id});
}

void deployment::put_model(
    const std::string& id, const std::string& version, std::int64_t bytes)
{
    apply(0, {"model", "put", id, "--version", version, "--bytes",
                 std::to_string(bytes)});
}

void deployment::put_adapter(const std::string& id, const std::string& model,
    const std::string& version, std::int64_t bytes)
{
    apply(0, {"adapter", "put", id, "--model", model, "--version", version,
                 "--bytes", std::to_string(bytes)});
}

void deployment::put_service(
    const std::string& name, const std::vector<std::string>& routes)
{
    std::vector<std::string> arguments = {"service", "put", name};
    for (const auto& route : routes)
        arguments.insert(arguments.end(), {"--route", route});
    apply(0, std::move(arguments));
}

void deployment::put_endpoints(const std::string& service_name)
{
    for (std::size_t i = 0; i < engines_.size(); ++i)
    {
        std::vector<std::string> more = {"--accelerators", "1",
            "--capacity-bytes", std::to_string(options_.engine_capacity_bytes)};
        if (honours_fencing(static_cast<int>(i)))
            more.emplace_back("--honours-fencing");
        put_endpoint(fmt::format("e{}", i + 1), engine_route_address(i), i,
            std::move(more));
    }
    for (std::size_t i = 0; i < services_.size(); ++i)
        put_endpoint(fmt::format("s{}", i + 1), service_route_address(i), i,
            {"--service", service_name});
}

void deployment::put_endpoint(const std::string& id, const std::string& address,
    std::size_t i, std::vector<std::string> more)
{
    // --address is already the address of the daemon that tqctl calls.
    std::vector<std::string> arguments = {"endpoint", "put", id,
        "--endpoint-address", address, "--zone", zone(i), "--region", "r1"};
    arguments.insert(arguments.end(), more.begin(), more.end());
    apply(0, std::move(arguments));
}

} // namespace tarragonquay::test_support
