#include "gateway/placement_agent.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "common/digest.hpp"
#include "gateway/engine_client.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
using placement::command_kind;
using std::chrono::milliseconds;

namespace
{

/// Time for an adapter to arrive; most take 5 to 10 ms.
constexpr milliseconds adapter_time{12};
/// Between looks while a model is on its way.
constexpr milliseconds model_poll{100};
/// An adapter load that takes longer is asked for again.
constexpr milliseconds adapter_patience{400};
/// Engines that have not reported by then are planned without.
constexpr milliseconds read_patience{1'500};
/// A model command that an engine's report never shows is forgotten after
/// this many times its usual duration.
constexpr int patience_in_loads = 4;
constexpr milliseconds least_model_patience{2'000};
/// Streams that use an adapter end within this time.
constexpr milliseconds unload_patience{15'000};
/// A request uses its adapter for about this long.
constexpr double adapter_use_s = 2.0;
/// Part of an engine's time that requests may use before a model gets another
/// replica: above it, prompts wait for each other longer than they are read.
constexpr double add_above = 0.45;
constexpr double give_up_below = 0.3;
/// Engine time a second that a replica must bring for each gigabyte, in ms.
constexpr double least_gain_ms_per_gigabyte = 1.0;
constexpr double engine_ms_per_second = 1'000;
constexpr std::int64_t replicas_coming = 6;
/// One load at a time would leave the store idle between two.
constexpr std::int64_t least_concurrent_loads = 2;
/// Demand below this is taken as none.
constexpr double least_demand_ms = 0.5;
/// Settled time of a model that this holder has not changed.
constexpr double settled_long_s = 1e6;

double seconds_since(time_point then, time_point now)
{
    return std::chrono::duration<double>(now - then).count();
}

bool is_load(command_kind kind)
{
    return kind == command_kind::load_model ||
           kind == command_kind::load_adapter;
}

} // namespace

void placement_agent::begin(time_point now)
{
    active_ = true;
    ++generation_;
    engines_.clear();
    loading_.clear();
    trends_.clear();
    // Without another holder in between, all loads are known here.
    if (fencing_() != last_fencing_)
        loads_.note_takeover(now);
    last_fencing_ = fencing_();
    // Reports show the commands of an earlier holder only after a while.
    read_from_ = now + engine_account::report_lag;
}

void placement_agent::end()
{
    active_ = false;
    ++generation_;
}

void placement_agent::put_peer_demand(const instance_id& peer,
    std::vector<std::pair<demanded_model, double>> rates)
{
    if (rates.empty())
    {
        peer_demand_.erase(peer);
        return;
    }
    peer_demand_[peer] = {rates.begin(), rates.end()};
}

placement_agent::rates placement_agent::sum_demand(time_point now)
{
    rates out;
    for (const auto& [of, rate] : on_.demand.rates(now))
        out[of] += rate;
    for (const auto& [peer, told] : peer_demand_)
        for (const auto& [of, rate] : told)
            out[of] += rate;
    return out;
}

bool placement_agent::usable(const endpoint_id& id, time_point now) const
{
    const auto* entry = on_.board.find(id);
    return entry != nullptr && !entry->leaving && !on_.board.suspended(id, now);
}

void placement_agent::adopt_engines()
{
    for (const auto& entry : on_.board.entries())
    {
        const auto* service = on_.routes->find_service(entry.service);
        if (service == nullptr || !service->engines)
            continue;
        const auto found = engines_.find(entry.id);
        if (found == engines_.end() ||
            found->second.started_unix_ms() != entry.started_unix_ms)
            engines_[entry.id] = engine_account(entry.started_unix_ms);
    }
    std::erase_if(engines_, [this](const auto& each)
        { return on_.board.find(each.first) == nullptr; });
}

void placement_agent::read_unknown_engines(time_point now)
{
    if (now < read_from_)
        return;
    for (auto& [id, account] : engines_)
        if (!account.known() && !account.polling)
        {
            account.polling = true;
            asio::co_spawn(on_.io, poll(id), asio::detached);
        }
}

void placement_agent::tick(time_point now)
{
    if (!active_ || !on_.routes || !may_command_())
        return;
    adopt_engines();
    read_unknown_engines(now);
    follow_demand(now);
    plan_all(now);
}

void placement_agent::follow_demand(time_point now)
{
    demand_ = sum_demand(now);
    for (const auto& service : on_.routes->document().services)
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
    if (!active_ || !on_.routes || !may_command_())
        return;
    for (const auto& service : on_.routes->document().services)
        if (service.engines)
            plan_service(service, demand_, now);
}

// Adapters that are in use at once need slots, and each replica has only some.
// Expressed as the engine time that as many replicas would be added for.
double placement_agent::engine_time_of_adapters(
    const routes::service& service, const model_id& model, const rates& wanted)
{
    const auto slots = service.engines->adapter_slots;
    if (slots <= 0)
        return 0;
    double in_use = 0;
    for (auto it = wanted.lower_bound({service.id, model, {}});
         it != wanted.end() && it->first.service == service.id &&
         it->first.model == model;
         ++it)
        if (!it->first.adapter.empty())
            in_use += 1 - std::exp(-it->second * adapter_use_s);
    return in_use / static_cast<double>(slots) * engine_ms_per_second *
           add_above;
}

std::vector<placement::model_view> placement_agent::make_models(
    const routes::service& service, const rates& wanted, time_point now,
    const std::vector<placement::engine_view>& engines)
{
    std::vector<placement::model_view> out;
    for (const auto& model : service.engines->models)
    {
        placement::model_view view;
        view.id = model.id;
        view.bytes = model.weight_bytes;
        const auto asked = wanted.find({service.id, model.id, {}});
        view.tokens_per_second = asked == wanted.end() ? 0 : asked->second;
        // When a load that begins now has ended.
        const auto load_s = model.load_s > 0 ? model.load_s : 0;
        view.tokens_per_second = std::max(view.tokens_per_second,
            trends_[{service.id, model.id}].after(load_s));
        view.tokens_per_second = std::max(view.tokens_per_second,
            engine_time_of_adapters(service, model.id, wanted));
        const bool served = std::any_of(engines.begin(), engines.end(),
            [&](const placement::engine_view& engine)
            {
                return std::any_of(engine.replicas.begin(),
                    engine.replicas.end(),
                    [&](const placement::replica_view& each)
                    { return each.model == model.id && each.ready; });
            });
        const std::pair key(service.id, model.id);
        if (served || view.tokens_per_second < least_demand_ms)
            waiting_since_.erase(key);
        else
        {
            view.waiting = 1;
            view.waiting_s = seconds_since(
                waiting_since_.emplace(key, now).first->second, now);
        }
        const auto changed = changed_at_.find(key);
        view.settled_s = changed == changed_at_.end()
                             ? settled_long_s
                             : seconds_since(changed->second, now);
        out.push_back(std::move(view));
    }
    return out;
}

placement::cluster_view placement_agent::make_view(
    const routes::service& service, const rates& wanted, time_point now)
{
    placement::cluster_view view;
    for (const auto& [id, account] : engines_)
    {
        const auto* entry = on_.board.find(id);
        if (entry == nullptr || entry->service != service.id)
            continue;
        view.engines.push_back(account.view(id, *service.engines,
            usable(id, now), !entry->leaving && !usable(id, now)));
        if (!account.pending())
            continue;
        if (!account.pending()->load)
            ++view.unloads_open;
        else if (!account.at_hand(account.pending()->model))
            ++view.loads_open;
    }
    view.models = make_models(service, wanted, now, view.engines);
    view.loads_allowed = loads_.allowed(service.engines->loads_per_second, now);
    return view;
}

bool placement_agent::engines_known(
    const service_id& service, time_point now) const
{
    if (now >= read_from_ + read_patience)
        return true;
    return std::all_of(engines_.begin(), engines_.end(),
        [&](const auto& each)
        {
            const auto* entry = on_.board.find(each.first);
            return entry == nullptr || entry->service != service ||
                   !usable(each.first, now) || each.second.known();
        });
}

void placement_agent::plan_service(
    const routes::service& service, const rates& wanted, time_point now)
{
    // A model at an engine that was not read yet looks missing.
    if (now < read_from_ || !engines_known(service.id, now))
        return;
    const auto& group = *service.engines;
    const auto view = make_view(service, wanted, now);
    placement::planner_limits limits;
    limits.loads_per_second = group.loads_per_second;
    double load_s = 0;
    for (const auto& model : group.models)
        load_s = std::max(load_s, model.load_s);
    // The weight store serves as many at once without slowing them down.
    limits.concurrent_loads = std::max<std::int64_t>(
        least_concurrent_loads, std::llround(group.loads_per_second * load_s));
    limits.replica_tokens_per_second = engine_ms_per_second;
    limits.add_above = add_above;
    limits.give_up_below = give_up_below;
    limits.least_gain_per_gigabyte = least_gain_ms_per_gigabyte;
    limits.replicas_coming = replicas_coming;
    limits.least_residence_s = 1.0;
    limits.residence_s_per_gigabyte = 0.02;
    const auto moves = placement::plan(view, limits);
    if (!moves.empty())
        log_view(view);
    for (const auto& move : moves)
        start(move, service, now);
}

void placement_agent::log_view(const placement::cluster_view& view)
{
    nlohmann::ordered_json models;
    for (const auto& model : view.models)
    {
        int ready = 0;
        int coming = 0;
        for (const auto& engine : view.engines)
            for (const auto& each : engine.replicas)
                if (each.model == model.id)
                    ++(each.ready ? ready : coming);
        models[model.id.str()] = {
            std::lround(model.tokens_per_second), ready, coming};
    }
    on_.log.info("placement_view", {{"engine_ms_per_s_ready_coming", models},
                                       {"loads_open", view.loads_open},
                                       {"unloads_open", view.unloads_open},
                                       {"loads_allowed", view.loads_allowed}});
}

void placement_agent::start(
    const placement::move& move, const routes::service& service, time_point now)
{
    on_.log.info("placement_move",
        {{"command", placement::to_string(move.kind)},
            {"engine", move.endpoint.str()}, {"model", move.model.str()},
            {"fencing", fencing_()}});
    if (move.kind == command_kind::load_model &&
        !engines_[move.endpoint].at_hand(move.model))
        loads_.note_load(now);
    changed_at_[{service.id, move.model}] = now;
    engines_[move.endpoint].calling = true;
    asio::co_spawn(on_.io,
        send_command({move.endpoint, move.kind, move.model, {}, service.id}),
        asio::detached);
}

asio::awaitable<void> placement_agent::send_command(command what)
{
    const bool done = co_await post(what);
    if (auto found = engines_.find(what.engine); found != engines_.end())
        found->second.calling = false;
    if (done)
        publish(what.engine);
}

asio::awaitable<bool> placement_agent::post(const command& what)
{
    const auto generation = generation_;
    const auto account = engines_.find(what.engine);
    const auto* entry = on_.board.find(what.engine);
    if (account == engines_.end() || entry == nullptr || !may_command_())
        co_return false;
    engine_command body{what.kind, what.model, what.adapter,
        account->second.accepted_commands(), on_.settings.instance.str(),
        fencing_()};
    const auto answer = co_await send_engine_command(on_, *entry, body);
    on_.log.info("engine_command",
        {{"engine", what.engine.str()},
            {"command", placement::to_string(what.kind)},
            {"model", what.model.str()}, {"adapter", what.adapter.str()},
            {"fencing", body.fencing},
            {"expected_commands", body.expected_commands},
            {"answer", answer ? to_string(*answer)
                              : to_string(answer.error().code())}});
    const auto again = engines_.find(what.engine);
    if (generation != generation_ || again == engines_.end())
        co_return false;
    if (answer && *answer == engine_answer::accepted)
    {
        accepted(what);
        // The slot is free once the requests that use the adapter have ended.
        co_return what.kind != command_kind::unload_adapter;
    }
    const bool holds = answer && *answer == engine_answer::holds_already;
    // An adapter is unloaded before the answer, and counts as a command.
    if (holds && what.kind == command_kind::unload_adapter)
        again->second.accept_adapter(
            what.model, what.adapter, false, std::chrono::steady_clock::now());
    else
        again->second.doubt();
    co_return holds;
}

void placement_agent::accepted(const command& what)
{
    auto& account = engines_[what.engine];
    const auto now = std::chrono::steady_clock::now();
    if (what.kind == command_kind::load_adapter)
        return account.accept_adapter(what.model, what.adapter, true, now);
    if (what.kind == command_kind::unload_adapter)
        account.accept_late_unload(
            what.model, what.adapter, now, now + unload_patience);
    else
        accept_model(account, what, now);
    if (!std::exchange(account.polling, true))
        asio::co_spawn(on_.io, poll(what.engine), asio::detached);
}

void placement_agent::accept_model(
    engine_account& account, const command& what, time_point now)
{
    const auto* model = on_.routes->find_model(what.service, what.model);
    const auto usual =
        milliseconds(model == nullptr ? 0 : std::llround(model->load_s * 1000));
    account.accept_model(what.model, is_load(what.kind), now,
        now + std::max(least_model_patience, usual * patience_in_loads));
}

asio::awaitable<void> placement_agent::pause(milliseconds time)
{
    asio::steady_timer timer(on_.io, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

// Reads the engine's state until nothing about it is pending.
asio::awaitable<void> placement_agent::poll(endpoint_id id)
{
    const auto generation = generation_;
    while (true)
    {
        auto found = engines_.find(id);
        if (generation != generation_ || found == engines_.end())
            co_return;
        auto& account = found->second;
        if (account.known() && !account.pending() && !account.busy())
            break;
        if (account.known())
            co_await pause(model_poll);
        const bool read = co_await read_report(id);
        if (!read)
            co_await pause(model_poll);
    }
    if (auto found = engines_.find(id); found != engines_.end())
        found->second.polling = false;
}

asio::awaitable<bool> placement_agent::read_report(endpoint_id id)
{
    const auto generation = generation_;
    const auto* entry = on_.board.find(id);
    if (entry == nullptr)
        co_return false;
    const auto started = entry->started_unix_ms;
    const auto report = co_await read_engine_report(on_, *entry);
    const auto found = engines_.find(id);
    if (generation != generation_ || found == engines_.end())
        co_return false;
    if (!report)
    {
        on_.log.info("engine_report_failed",
            {{"engine", id.str()}, {"reason", report.error().message()}});
        co_return false;
    }
    if (found->second.started_unix_ms() != started ||
        (report->started_unix_ms != 0 && report->started_unix_ms != started))
        co_return false;
    const bool first = !found->second.known();
    const auto now = std::chrono::steady_clock::now();
    const bool was_pending = found->second.pending().has_value();
    if (found->second.take_report(*report, now) || first)
        publish(id);
    // The next command to this engine need not wait for a tick.
    if (was_pending && !found->second.pending())
        plan_all(now);
    co_return true;
}

void placement_agent::publish(const endpoint_id& id)
{
    const auto found = engines_.find(id);
    if (found == engines_.end())
        return;
    const auto& account = found->second;
    engine_residency told{id, account.started_unix_ms(),
        account.accepted_commands(), account.models()};
    on_.board.put_residency(
        id, told.started_unix_ms, told.accepted_commands, told.models);
    on_.residency_changed.raise();
    peers_.send_residency({told});
}

endpoint_id placement_agent::engine_for(
    const demanded_model& wanted, time_point now)
{
    const auto* service = on_.routes->find_service(wanted.service);
    if (service == nullptr || !service->engines)
        return {};
    const auto name = fast_hash(wanted.adapter.str());
    endpoint_id best;
    std::pair<double, std::uint64_t> best_cost;
    for (const auto& [id, account] : engines_)
    {
        const auto* entry = on_.board.find(id);
        if (entry == nullptr || entry->service != wanted.service ||
            !usable(id, now) || !account.known() || account.calling ||
            account.busy() || account.pending() || !account.holds(wanted.model))
            continue;
        // A free slot costs nothing, else the demand for what gives way.
        double cost = -1;
        if (account.adapters_in_use() >= service->engines->adapter_slots)
            cost = idle_adapter(account, wanted.service).rate;
        const std::pair full_cost(cost, fast_hash(id.str(), name));
        if (best.empty() || full_cost < best_cost)
        {
            best = id;
            best_cost = full_cost;
        }
    }
    return best;
}

placement_agent::adapter_use placement_agent::idle_adapter(
    const engine_account& account, const service_id& service) const
{
    adapter_use out;
    for (const auto& [model, adapter] : account.loaded_adapters())
    {
        const auto found = demand_.find({service, model, adapter});
        const auto rate = found == demand_.end() ? 0 : found->second;
        if (out.adapter.empty() || rate < out.rate)
            out = {model, adapter, rate};
    }
    return out;
}

void placement_agent::request_adapter(const demanded_model& wanted)
{
    const auto now = std::chrono::steady_clock::now();
    if (!active_ || !on_.routes || !may_command_())
        return;
    for (auto& [id, account] : engines_)
        if (account.holds(wanted.model, wanted.adapter) && usable(id, now))
        {
            // The asker has not heard of it, or the engine lacks it.
            publish(id);
            if (account.known() && account.settled(now))
                account.doubt();
            return;
        }
    const auto under_way = loading_.find(wanted);
    if (under_way != loading_.end() && now < under_way->second)
        return;
    const auto engine = engine_for(wanted, now);
    if (engine.empty())
        return;
    loading_[wanted] = now + adapter_patience;
    engines_[engine].calling = true;
    asio::co_spawn(on_.io, load_adapter(wanted, engine), asio::detached);
}

asio::awaitable<void> placement_agent::load_adapter(
    demanded_model wanted, endpoint_id engine)
{
    const auto* service = on_.routes->find_service(wanted.service);
    const auto slots = service == nullptr || !service->engines
                           ? 0
                           : service->engines->adapter_slots;
    bool room = engines_[engine].adapters_in_use() < slots;
    if (!room)
    {
        const auto victim = idle_adapter(engines_[engine], wanted.service);
        // g++ 12 destroys a temporary aggregate in a co_await twice.
        const command unload{engine, command_kind::unload_adapter, victim.model,
            victim.adapter, wanted.service};
        if (!victim.adapter.empty())
            room = co_await post(unload);
        publish(engine);
    }
    const command load{engine, command_kind::load_adapter, wanted.model,
        wanted.adapter, wanted.service};
    bool loaded = false;
    if (room)
        loaded = co_await post(load);
    if (auto found = engines_.find(engine); found != engines_.end())
        found->second.calling = false;
    if (loaded)
        co_await pause(adapter_time);
    if (auto found = engines_.find(engine); found != engines_.end())
        found->second.settle_adapter(wanted.model, wanted.adapter);
    publish(engine);
    loading_.erase(wanted);
}

} // namespace tarragonquay::gateway
