#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "support/http_client.hpp"
#include "support/process.hpp"

namespace tarragonquay::test_support
{

struct deployment_options
{
    int daemons = 3;
    int engines = 2;
    int services = 1;
    /// Instances and endpoints are spread over this many zones.
    int availability_zones = 2;
    /// Puts a proxy before the platform, the endpoints and the peers.
    bool proxies = false;
    int traffic_threads = 2;
    std::int64_t engine_capacity_bytes = 80'000'000'000;
    /// The last engines ignore fencing numbers.
    int engines_without_fencing = 0;
    /// The last daemons never hold the placement lease.
    int daemons_without_placement = 0;
    /// 0 keeps the product's default.
    int view_lease_ms = 0;
    int head_poll_ms = 0;
    int stop_ms = 0;
    std::vector<std::string> platform_arguments;
    std::vector<std::string> engine_arguments;
};

/// A platform, endpoints, optional proxies and daemons on loopback addresses.
///
/// The daemons' ports stay the same over restarts. Processes are ended by the
/// destructor, daemons first. When a test failure is being unwound, it prints
/// the merged time line and the last lines of each process's output, so a test
/// keeps its deployment in a local variable.
class deployment
{
public:
    static std::unique_ptr<deployment> start(const deployment_options& options);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    process& platform() { return *platform_; }
    process& engine(std::size_t i) { return *engines_.at(i); }
    process& service(std::size_t i) { return *services_.at(i); }
    process& daemon(std::size_t i) { return *daemons_.at(i).child; }
    std::size_t daemons() const { return daemons_.size(); }

    std::string entry(std::size_t i) const;
    std::string operator_address(std::size_t i) const;
    std::string peer_address(std::size_t i) const;
    /// Own address of an endpoint, for its admin interface.
    std::string engine_address(std::size_t i) const;
    std::string service_address(std::size_t i) const;
    std::string platform_admin() const;
    /// Addresses by which the daemons reach an endpoint; the proxy's, if any.
    std::string engine_route_address(std::size_t i) const;
    std::string service_route_address(std::size_t i) const;

    /// Puts an instance or endpoint on the platform's list, or changes it.
    void list_instance(const std::string& id, const std::string& address,
        bool leaving = false);
    void unlist_instance(const std::string& id);

    /// Applies faults to one proxy route; see "tq-standin proxy --help".
    void fault_platform(nlohmann::json fault);
    /// Only what one daemon exchanges with the platform.
    void fault_store(std::size_t i, nlohmann::json fault);
    void fault_engine(std::size_t i, nlohmann::json fault);
    void fault_service(std::size_t i, nlohmann::json fault);
    /// Everything that other instances send to this one.
    void fault_peer(std::size_t i, nlohmann::json fault);

    /// Sets the mode of the platform, see "tq-standin platform --help".
    void platform_mode(const nlohmann::json& mode) const;

    /// Starts a daemon again with the same settings.
    void start_daemon(std::size_t i);
    /// Whether /healthz of the daemon answers 200 in time.
    bool wait_healthy(
        std::size_t i, milliseconds time = milliseconds(20'000)) const;

    /// Whether all listed daemons are the members and the epoch is open.
    bool wait_epoch_open(const std::vector<std::size_t>& members,
        milliseconds time = milliseconds(40'000)) const;
    /// What "tqctl status" answers; null when it fails.
    nlohmann::json status(std::size_t i) const;

    /// Runs tqctl against one daemon and adds "--output json".
    run_outcome tqctl(std::size_t i, std::vector<std::string> arguments) const;

    // All calls of tqctl that set up the configuration. Each throws when the
    // command fails.
    void put_workspace(
        const std::string& id, std::int64_t rate, std::int64_t burst);
    /// Returns the secret of the new key.
    std::string issue_key(const std::string& id, const std::string& workspace);
    void withdraw_key(const std::string& id);
    void put_model(
        const std::string& id, const std::string& version, std::int64_t bytes);
    void put_adapter(const std::string& id, const std::string& model,
        const std::string& version, std::int64_t bytes);
    /// Routes as in "tqctl service put --route".
    void put_service(
        const std::string& name, const std::vector<std::string>& routes = {});
    /// Makes all engines and services of this deployment known; the services
    /// serve the service name.
    void put_endpoints(const std::string& service_name);

private:
    struct daemon_instance
    {
        std::string id;
        int entry_port = 0;
        int operator_port = 0;
        int peer_port = 0;
        std::string advertised_peer;
        std::string settings_path;
        std::unique_ptr<process> child;
    };

    explicit deployment(const deployment_options& options);
    /// Prints the events of all daemons, merged by time.
    void print_timeline() const;
    void start_endpoints();
    void start_proxies();
    void write_settings(std::size_t i) const;
    /// Runs tqctl, throws when it fails, and returns what it printed.
    std::string apply(std::size_t i, std::vector<std::string> arguments) const;
    void put_endpoint(const std::string& id, const std::string& address,
        std::size_t i, std::vector<std::string> more);
    std::string zone(std::size_t i) const;
    bool honours_fencing(int engine) const;
    /// Address by which the daemons reach a target; the proxy's, if any.
    std::string route_address(std::size_t route, const std::string& own) const;
    void fault(std::size_t route, nlohmann::json fault);
    // Routes of the proxy: engines, services, peers, the platform for each
    // daemon.
    std::size_t engine_route(std::size_t i) const { return i; }
    std::size_t service_route(std::size_t i) const
    {
        return engines_.size() + i;
    }
    std::size_t peer_route(std::size_t i) const
    {
        return engines_.size() + services_.size() + i;
    }
    std::size_t store_route(std::size_t i) const
    {
        return peer_route(daemons_.size()) + i;
    }

    deployment_options options_;
    const int exceptions_at_start_;
    std::string folder_;
    std::unique_ptr<process> platform_;
    std::vector<std::unique_ptr<process>> engines_;
    std::vector<std::unique_ptr<process>> services_;
    std::unique_ptr<process> proxy_;
    std::vector<daemon_instance> daemons_;
};

} // namespace tarragonquay::test_support
