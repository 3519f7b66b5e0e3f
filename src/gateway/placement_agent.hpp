#pragma once

#include <utility>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "gateway/adapter_eviction.hpp"
#include "gateway/context.hpp"
#include "gateway/demand_trend.hpp"
#include "gateway/engine_accounts.hpp"
#include "gateway/load_window.hpp"
#include "gateway/peer_link.hpp"
#include "gateway/utilization_targets.hpp"
#include "placement/planner.hpp"

namespace tarragonquay::gateway
{

/// Sends commands to the engines while this gateway holds the placement lease:
/// places models by demand and loads adapters that requests need.
class placement_agent
{
public:
    /// `may_command` returns whether the lease is valid now; `fencing` returns
    /// its fencing number.
    placement_agent(context& ctx, peer_link& peers,
        std::function<bool()> may_command,
        std::function<std::int64_t()> fencing)
        : ctx_(ctx),
          peers_(peers),
          may_command_(std::move(may_command)),
          fencing_(std::move(fencing))
    {
    }

    /// No other holder has sent commands after `previous_ended`.
    void on_lease_acquired(time_point now, time_point previous_ended);
    void on_lease_lost();

    void put_peer_demand(const instance_id& peer,
        std::vector<std::pair<demanded_model, double>> rates);
    void request_adapter(const demanded_model& requested);

    /// Reads the reports of engines whose state is unknown, then plans.
    void tick(time_point now);

private:
    using rates = std::map<demanded_model, double>;
    struct reported_demand
    {
        rates demand;
        time_point expires_at;
    };

    /// A command to an engine.
    struct command
    {
        endpoint_id engine;
        placement::command_kind kind = placement::command_kind::load_model;
        model_id model;
        adapter_id adapter;
        service_id service;
    };

    void update_engines();
    void read_unknown_engines(time_point now);
    rates sum_demand(time_point now);
    void update_demand(time_point now);
    void plan_all(time_point now);
    void plan_service(
        const routes::service& service, const rates& demand, time_point now);
    placement::cluster_view make_view(
        const routes::service& service, const rates& demand, time_point now);
    std::vector<placement::model_view> make_models(
        const routes::service& service, const rates& demand, time_point now,
        const std::vector<placement::engine_view>& engines);
    void log_view(const placement::cluster_view& view);
    void start_move(const placement::move& move, const routes::service& service,
        time_point now);
    bool usable(const endpoint_id& id, time_point now) const;
    /// Whether the state of each usable engine of the service is known, or the
    /// time to read it has passed.
    bool engines_known(const service_id& service, time_point now) const;

    /// Whether the engine gets commands and reads of its report: it is neither
    /// leaving nor paused.
    bool accepts_calls(const endpoints::directory_entry& engine) const;
    boost::asio::awaitable<void> send_command(command issued);
    boost::asio::awaitable<void> load_adapter(
        demanded_model requested, endpoint_id engine);
    /// Sends one command; returns whether the engine has accepted it or its
    /// effect was already in place. An accepted adapter unload returns false,
    /// since its slot is freed later.
    boost::asio::awaitable<bool> post_command(const command& issued);
    boost::asio::awaitable<bool> read_report(endpoint_id id);
    boost::asio::awaitable<void> poll_engine(endpoint_id id);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    void record_accepted(const command& issued);
    void record_model_command(
        engine_account& account, const command& issued, time_point now);
    static double engine_time_for_adapters(const routes::service& service,
        const model_id& model, const rates& demand, double add_above);
    utilization_targets targets_of(const routes::service& service) const;
    void publish_residency(const endpoint_id& id);
    /// Chooses the engine to load an adapter on; empty if there is none.
    endpoint_id choose_engine(const demanded_model& requested, time_point now);
    /// A loaded adapter and the demand for it.
    struct adapter_use
    {
        model_id model;
        adapter_id adapter;
        double rate = 0;
    };

    /// The loaded adapter with the lowest demand, which is evicted next; its id
    /// is empty if no adapter is loaded.
    adapter_use least_used_adapter(
        const engine_account& account, const service_id& service) const;

    context& ctx_;
    peer_link& peers_;
    const std::function<bool()> may_command_;
    const std::function<std::int64_t()> fencing_;
    bool active_ = false;
    /// Changes with each lease; coroutines that were started under another
    /// lease stop.
    int lease_generation_ = 0;
    std::map<endpoint_id, engine_account> engines_;
    std::map<instance_id, reported_demand> peer_demand_;
    /// Sum over all instances as of the latest tick.
    rates demand_;
    /// Adapters that are being loaded, with the time after which the load may
    /// be requested again.
    std::map<demanded_model, time_point> adapter_loads_;
    std::map<std::pair<service_id, model_id>, time_point> changed_at_;
    std::map<std::pair<service_id, model_id>, time_point> waiting_since_;
    std::map<std::pair<service_id, model_id>, demand_trend> trends_;
    load_window loads_;
    adapter_eviction adapter_eviction_;
    time_point first_read_at_{};
    std::int64_t last_fencing_ = 0;
};

} // namespace tarragonquay::gateway
