#include "gateway/placement_agent.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "gateway/limited_engines.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
using placement::command_kind;
using std::chrono::milliseconds;

namespace
{

/// Planning starts without engines that have not reported within this time.
constexpr milliseconds initial_read_timeout{1'500};
/// Demand reported by a peer expires after this time; in a large fleet, another
/// relay may report the same demand by then.
constexpr milliseconds peer_demand_lifetime{1'500};
/// Engine time in ms per second that a replica must gain for each gigabyte.
constexpr double min_gain_ms_per_gigabyte = 1.0;
constexpr double engine_ms_per_second = 1'000;
constexpr std::int64_t max_loading_replicas = 6;
/// A model whose demand rises tenfold gets all its replicas in one plan.
constexpr double loading_replicas_by_demand = 1.0;
/// With one load at a time, the weight store would be idle between loads.
constexpr std::int64_t min_concurrent_loads = 2;
/// Demand below this counts as zero.
constexpr double min_demand_ms_per_s = 0.5;
/// Time since the last change that is assumed for a model that this lease
/// holder has not changed.
constexpr double never_changed_s = 1e6;

double seconds_since(time_point then, time_point now)
{
    return std::chrono::duration<double>(now - then).count();
}

} // namespace

void placement_agent::on_lease_acquired(
    time_point now, time_point previous_ended)
{
    active_ = true;
    ++lease_generation_;
    engines_.clear();
    adapter_loads_.clear();
    trends_.clear();
    // If no other instance held the lease in between, all loads are known.
    if (fencing_() != last_fencing_)
        loads_.note_takeover(previous_ended);
    last_fencing_ = fencing_();
    // Reports show the commands of the previous lease holder only after this
    // delay.
    first_read_at_ = now + engine_account::report_lag;
}

void placement_agent::on_lease_lost()
{
    active_ = false;
    ++lease_generation_;
}

void placement_agent::put_peer_demand(const instance_id& peer,
    std::vector<std::pair<demanded_model, double>> rates)
{
    if (rates.empty())
    {
        peer_demand_.erase(peer);
        return;
    }
    peer_demand_[peer] = {{rates.begin(), rates.end()},
        std::chrono::steady_clock::now() + peer_demand_lifetime};
}

placement_agent::rates placement_agent::sum_demand(time_point now)
{
    rates out;
    for (const auto& [key, rate] : ctx_.demand.rates(now))
        out[key] += rate;
    std::erase_if(peer_demand_,
        [now](const auto& each) { return now >= each.second.expires_at; });
    for (const auto& [peer, report] : peer_demand_)
        for (const auto& [key, rate] : report.demand)
            out[key] += rate;
    return out;
}

bool placement_agent::usable(const endpoint_id& id, time_point now) const
{
    const auto* entry = ctx_.pool.find(id);
    return entry != nullptr &&
           ctx_.pool.accepts_requests({id, entry->started_unix_ms}, now) &&
           !ctx_.pool.suspended(id, now);
}

void placement_agent::update_engines()
{
    for (const auto& entry : ctx_.pool.entries())
    {
        const auto* service = ctx_.routes->find_service(entry.service);
        if (service == nullptr || !service->engines)
            continue;
        const auto found = engines_.find(entry.id);
        if (found == engines_.end() ||
            found->second.started_unix_ms() != entry.started_unix_ms)
            engines_[entry.id] = engine_account(entry.started_unix_ms);
    }
    std::erase_if(engines_, [this](const auto& each)
        { return ctx_.pool.find(each.first) == nullptr; });
}

void placement_agent::read_unknown_engines(time_point now)
{
    if (now < first_read_at_)
        return;
    for (auto& [id, account] : engines_)
        if (!account.known() && !account.polling)
        {
            account.polling = true;
            asio::co_spawn(ctx_.io, poll_engine(id), asio::detached);
        }
}

void placement_agent::tick(time_point now)
{
    if (!active_ || !ctx_.routes || !may_command_())
        return;
    update_engines();
    read_unknown_engines(now);
    update_demand(now);
    plan_all(now);
}

void placement_agent::update_demand(time_point now)
{
    demand_ = sum_demand(now);
    for (const auto& service : ctx_.routes->document().services)
    {
        if (!service.engines)
            continue;
        for (const auto& model : service.engines->models)
        {
            const auto found = demand_.find({service.id, model.id, {}});
            trends_[{service.id, model.id}].add(
                found == demand_.end() ? 0 : found->second, now);
        }
    }
}

void placement_agent::plan_all(time_point now)
{
    if (!active_ || !ctx_.routes || !may_command_())
        return;
    for (const auto& service : ctx_.routes->document().services)
        if (service.engines)
            plan_service(service, demand_, now);
}

utilization_targets placement_agent::targets_of(
    const routes::service& service) const
{
    const auto& group = *service.engines;
    std::int64_t engine_bytes = 0;
    for (const auto& [id, account] : engines_)
    {
        const auto* entry = ctx_.pool.find(id);
        if (entry != nullptr && entry->service == service.id &&
            !ctx_.pool.in_evacuated_zone(id))
            engine_bytes += group.weight_bytes;
    }
    std::int64_t model_bytes = 0;
    for (const auto& model : group.models)
        model_bytes += model.weight_bytes;
    return utilization_targets::create(engine_bytes, model_bytes);
}

// Each replica has a limited number of adapter slots. Returns the slots needed
// by concurrently used adapters as the engine time for which the planner would
// add the same number of replicas.
double placement_agent::engine_time_for_adapters(const routes::service& service,
    const model_id& model, const rates& demand, double add_above)
{
    const auto slots = service.engines->adapter_slots;
    if (slots <= 0)
        return 0;
    double in_use = 0;
    for (auto it = demand.lower_bound({service.id, model, {}});
         it != demand.end() && it->first.service == service.id &&
         it->first.model == model;
         ++it)
        if (!it->first.adapter.empty())
            in_use += 1 - std::exp(-it->second * adapter_eviction::use_s);
    return in_use / static_cast<double>(slots) * engine_ms_per_second *
           add_above;
}

std::vector<placement::model_view> placement_agent::make_models(
    const routes::service& service, const rates& demand, time_point now,
    const std::vector<placement::engine_view>& engines)
{
    std::vector<placement::model_view> out;
    const auto add_above = targets_of(service).add_above;
    std::set<endpoint_id> limited;
    for (const auto& each : engines)
        if (ctx_.pool.takes_few(each.id, now))
            limited.insert(each.id);
    for (const auto& model : service.engines->models)
    {
        placement::model_view view;
        view.id = model.id;
        view.bytes = model.weight_bytes;
        const auto measured = demand.find({service.id, model.id, {}});
        view.tokens_per_second =
            measured == demand.end() ? 0 : measured->second;
        // The demand forecast for the time when a load started now has
        // finished.
        const auto load_s = model.load_s > 0 ? model.load_s : 0;
        view.tokens_per_second = std::max(view.tokens_per_second,
            trends_[{service.id, model.id}].forecast(load_s));
        view.tokens_per_second = std::max(view.tokens_per_second,
            engine_time_for_adapters(service, model.id, demand, add_above));
        view.tokens_per_second *= demand_factor(model.id, engines, limited);
        const bool served = std::any_of(engines.begin(), engines.end(),
            [&](const placement::engine_view& engine)
            {
                return std::any_of(engine.replicas.begin(),
                    engine.replicas.end(),
                    [&](const placement::replica_view& each)
                    { return each.model == model.id && each.ready; });
            });
        const std::pair key(service.id, model.id);
        if (served || view.tokens_per_second < min_demand_ms_per_s)
            waiting_since_.erase(key);
        else
        {
            view.waiting = 1;
            view.waiting_s = seconds_since(
                waiting_since_.emplace(key, now).first->second, now);
        }
        const auto changed = changed_at_.find(key);
        view.unchanged_s = changed == changed_at_.end()
                               ? never_changed_s
                               : seconds_since(changed->second, now);
        out.push_back(std::move(view));
    }
    return out;
}

placement::cluster_view placement_agent::make_view(
    const routes::service& service, const rates& demand, time_point now)
{
    placement::cluster_view view;
    for (const auto& [id, account] : engines_)
    {
        const auto* entry = ctx_.pool.find(id);
        if (entry == nullptr || entry->service != service.id)
            continue;
        // Engines of an evacuated zone are not planned with, and keep what they
        // hold: the zone may come back at any time.
        const bool evacuated = ctx_.pool.in_evacuated_zone(id);
        if (!evacuated)
            view.engines.push_back(account.view(id, *service.engines,
                usable(id, now), !entry->leaving && !usable(id, now)));
        // The reports that show the end of a command are not read there.
        if (!account.pending() ||
            (evacuated && now >= account.pending()->expires_at))
            continue;
        if (!account.pending()->load)
            ++view.unloads_open;
        else if (!account.has_local_copy(account.pending()->model))
            ++view.loads_open;
    }
    view.models = make_models(service, demand, now, view.engines);
    view.loads_allowed =
        loads_.allowed(load_limit::create(service.engines->loads_per_second,
                           ctx_.settings.bounds),
            now);
    return view;
}

bool placement_agent::engines_known(
    const service_id& service, time_point now) const
{
    if (now >= first_read_at_ + initial_read_timeout)
        return true;
    return std::all_of(engines_.begin(), engines_.end(),
        [&](const auto& each)
        {
            const auto* entry = ctx_.pool.find(each.first);
            return entry == nullptr || entry->service != service ||
                   !usable(each.first, now) || each.second.known();
        });
}

void placement_agent::plan_service(
    const routes::service& service, const rates& demand, time_point now)
{
    // A model on an engine whose report was not read yet would look missing.
    if (now < first_read_at_ || !engines_known(service.id, now))
        return;
    const auto& group = *service.engines;
    const auto view = make_view(service, demand, now);
    placement::planner_limits limits;
    limits.loads_per_second = group.loads_per_second;
    double load_s = 0;
    for (const auto& model : group.models)
        load_s = std::max(load_s, model.load_s);
    // The weight store serves this many concurrent loads without slowing down.
    limits.concurrent_loads = std::max<std::int64_t>(
        min_concurrent_loads, std::llround(group.loads_per_second * load_s));
    limits.replica_tokens_per_second = engine_ms_per_second;
    const auto targets = targets_of(service);
    limits.add_above = targets.add_above;
    limits.remove_below = targets.remove_below;
    limits.min_gain_per_gigabyte = min_gain_ms_per_gigabyte;
    limits.max_loading_replicas = max_loading_replicas;
    limits.loading_replicas_by_demand = loading_replicas_by_demand;
    limits.idle_models_last = true;
    limits.busiest_models_first = true;
    limits.idle_below = min_demand_ms_per_s;
    limits.min_residence_s = 1.0;
    limits.residence_s_per_gigabyte = 0.02;
    const auto moves = placement::plan(view, limits);
    if (!moves.empty())
        log_view(view);
    for (const auto& move : moves)
        start_move(move, service, now);
}

void placement_agent::log_view(const placement::cluster_view& view)
{
    nlohmann::ordered_json models;
    for (const auto& model : view.models)
    {
        int ready = 0;
        int pending = 0;
        for (const auto& engine : view.engines)
            for (const auto& each : engine.replicas)
                if (each.model == model.id)
                    ++(each.ready ? ready : pending);
        models[model.id.str()] = {
            std::lround(model.tokens_per_second), ready, pending};
    }
    ctx_.log.info("placement_view", {{"engine_ms_per_s_ready_coming", models},
                                        {"loads_open", view.loads_open},
                                        {"unloads_open", view.unloads_open},
                                        {"loads_allowed", view.loads_allowed}});
}

void placement_agent::start_move(
    const placement::move& move, const routes::service& service, time_point now)
{
    ctx_.log.info("placement_move",
        {{"command", placement::to_string(move.kind)},
            {"engine", move.endpoint.str()}, {"model", move.model.str()},
            {"fencing", fencing_()}});
    if (move.kind == command_kind::load_model &&
        !engines_[move.endpoint].has_local_copy(move.model))
        loads_.note_load(now);
    changed_at_[{service.id, move.model}] = now;
    engines_[move.endpoint].call_in_flight = true;
    asio::co_spawn(ctx_.io,
        send_command({move.endpoint, move.kind, move.model, {}, service.id}),
        asio::detached);
}

} // namespace tarragonquay::gateway
