// The commands of the placement agent: sending them, following their effect,
// and loading adapters that requests ask for.
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
/// A model command that an engine's report never shows is forgotten after
/// this many times its usual duration.
constexpr int patience_in_loads = 4;
constexpr milliseconds least_model_patience{2'000};
/// Streams that use an adapter end within this time.
constexpr milliseconds unload_patience{15'000};

bool is_load(command_kind kind)
{
    return kind == command_kind::load_model ||
           kind == command_kind::load_adapter;
}

} // namespace

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
    const auto* entry = on_.pool.find(what.engine);
    if (account == engines_.end() || entry == nullptr || !may_command_())
        co_return false;
    engine_command body{what.kind, what.model, what.adapter,
        account->second.accepted_commands(), on_.settings.instance.str(),
        fencing_()};
    const auto answer = co_await send_engine_command(on_, *entry, body);
    const std::string outcome(
        answer ? to_string(*answer) : to_string(answer.error().code()));
    on_.log.info("engine_command",
        {{"engine", what.engine.str()},
            {"command", placement::to_string(what.kind)},
            {"model", what.model.str()}, {"adapter", what.adapter.str()},
            {"fencing", body.fencing},
            {"expected_commands", body.expected_commands},
            {"answer", outcome}});
    on_.metrics.add("tq_gateway_engine_commands_total",
        {{"command", std::string(placement::to_string(what.kind))},
            {"answer", outcome}});
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
        again->second.invalidate();
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
    const auto* entry = on_.pool.find(id);
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
    on_.pool.put_residency(
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
        const auto* entry = on_.pool.find(id);
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
                account.invalidate();
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
