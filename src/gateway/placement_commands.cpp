// Commands of the placement agent: sends them, tracks their effect, and loads
// adapters that requests need.
#include "gateway/placement_agent.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "common/digest.hpp"
#include "gateway/endpoint_signals.hpp"
#include "gateway/engine_client.hpp"

namespace tarragonquay::gateway
{

namespace asio = boost::asio;
using placement::command_kind;
using std::chrono::milliseconds;

namespace
{

/// Time after which an adapter counts as loaded; most loads take 5 to 10 ms.
constexpr milliseconds adapter_load_time{12};
/// Interval between reads of the report while a model command is pending.
constexpr milliseconds model_poll_interval{100};
/// An adapter load that takes longer may be requested again.
constexpr milliseconds adapter_load_timeout{400};
/// A model command that an engine's report never shows is dropped after this
/// multiple of the usual load time.
constexpr int model_timeout_factor = 4;
constexpr milliseconds min_model_timeout{2'000};
/// Time within which the streams that use an adapter are expected to end.
constexpr milliseconds adapter_unload_timeout{15'000};

bool is_load(command_kind kind)
{
    return kind == command_kind::load_model ||
           kind == command_kind::load_adapter;
}

} // namespace

asio::awaitable<void> placement_agent::send_command(command issued)
{
    const bool done = co_await post_command(issued);
    if (auto found = engines_.find(issued.engine); found != engines_.end())
        found->second.call_in_flight = false;
    if (done)
        publish_residency(issued.engine);
}

bool placement_agent::accepts_calls(
    const endpoints::directory_entry& engine) const
{
    return ctx_.pool.accepts_requests(
        {engine.id, engine.started_unix_ms}, std::chrono::steady_clock::now());
}

asio::awaitable<bool> placement_agent::post_command(const command& issued)
{
    const auto generation = lease_generation_;
    const auto account = engines_.find(issued.engine);
    const auto* entry = ctx_.pool.find(issued.engine);
    if (account == engines_.end() || entry == nullptr || !may_command_() ||
        !accepts_calls(*entry))
        co_return false;
    engine_command body{issued.kind, issued.model, issued.adapter,
        account->second.accepted_commands(), ctx_.settings.instance.str(),
        fencing_()};
    const auto answer = co_await send_engine_command(ctx_, *entry, body);
    const std::string outcome(
        answer ? to_string(*answer) : to_string(answer.error().code()));
    ctx_.log.info("engine_command",
        {{"engine", issued.engine.str()},
            {"command", placement::to_string(issued.kind)},
            {"model", issued.model.str()}, {"adapter", issued.adapter.str()},
            {"fencing", body.fencing},
            {"expected_commands", body.expected_commands},
            {"answer", outcome}});
    ctx_.metrics.add("tq_gateway_engine_commands_total",
        {{"command", std::string(placement::to_string(issued.kind))},
            {"answer", outcome}});
    const auto current = engines_.find(issued.engine);
    if (generation != lease_generation_ || current == engines_.end())
        co_return false;
    if (answer && *answer == engine_answer::accepted)
    {
        record_accepted(issued);
        // The slot is freed only once the requests that use the adapter have
        // ended.
        co_return issued.kind != command_kind::unload_adapter;
    }
    const bool holds = answer && *answer == engine_answer::holds_already;
    // The engine has unloaded the adapter before it answered, and counts this
    // as an accepted command.
    if (holds && issued.kind == command_kind::unload_adapter)
        current->second.record_adapter_command(issued.model, issued.adapter,
            false, std::chrono::steady_clock::now());
    else
        current->second.invalidate();
    co_return holds;
}

void placement_agent::record_accepted(const command& issued)
{
    auto& account = engines_[issued.engine];
    const auto now = std::chrono::steady_clock::now();
    if (issued.kind == command_kind::load_adapter)
        return account.record_adapter_command(
            issued.model, issued.adapter, true, now);
    if (issued.kind == command_kind::unload_adapter)
        account.record_deferred_unload(
            issued.model, issued.adapter, now, now + adapter_unload_timeout);
    else
        record_model_command(account, issued, now);
    if (!std::exchange(account.polling, true))
        asio::co_spawn(ctx_.io, poll_engine(issued.engine), asio::detached);
}

void placement_agent::record_model_command(
    engine_account& account, const command& issued, time_point now)
{
    const auto* model = ctx_.routes->find_model(issued.service, issued.model);
    const auto usual =
        milliseconds(model == nullptr ? 0 : std::llround(model->load_s * 1000));
    account.record_model_command(issued.model, is_load(issued.kind), now,
        now + std::max(min_model_timeout, usual * model_timeout_factor));
}

asio::awaitable<void> placement_agent::pause(milliseconds time)
{
    asio::steady_timer timer(ctx_.io, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

// Reads the engine's reports until no command is pending.
asio::awaitable<void> placement_agent::poll_engine(endpoint_id id)
{
    const auto generation = lease_generation_;
    while (true)
    {
        auto found = engines_.find(id);
        if (generation != lease_generation_ || found == engines_.end())
            co_return;
        auto& account = found->second;
        if (account.known() && !account.pending() && !account.busy())
            break;
        if (account.known())
            co_await pause(model_poll_interval);
        const bool read = co_await read_report(id);
        if (!read)
            co_await pause(model_poll_interval);
    }
    if (auto found = engines_.find(id); found != engines_.end())
        found->second.polling = false;
}

asio::awaitable<bool> placement_agent::read_report(endpoint_id id)
{
    const auto generation = lease_generation_;
    const auto* entry = ctx_.pool.find(id);
    if (entry == nullptr || !accepts_calls(*entry))
        co_return false;
    const auto started = entry->started_unix_ms;
    const auto report = co_await read_engine_report(ctx_, *entry);
    const auto found = engines_.find(id);
    if (generation != lease_generation_ || found == engines_.end())
        co_return false;
    if (!report)
    {
        ctx_.log.info("engine_report_failed",
            {{"engine", id.str()}, {"reason", report.error().message()}});
        co_return false;
    }
    if (found->second.started_unix_ms() != started ||
        (report->started_unix_ms != 0 && report->started_unix_ms != started))
        co_return false;
    const bool first = !found->second.known();
    const auto now = std::chrono::steady_clock::now();
    if (report->cold_ms && ctx_.pool.note_cold({id, started},
                               now + milliseconds(*report->cold_ms), now))
        log_cold_phase(ctx_, id, "report");
    const bool was_pending = found->second.pending().has_value();
    if (found->second.apply_report(*report, now) || first)
        publish_residency(id);
    // Plans at once, so that the next command to this engine does not wait for
    // a tick.
    if (was_pending && !found->second.pending())
        plan_all(now);
    co_return true;
}

void placement_agent::publish_residency(const endpoint_id& id)
{
    const auto found = engines_.find(id);
    if (found == engines_.end())
        return;
    const auto& account = found->second;
    engine_residency residency{id, account.started_unix_ms(),
        account.accepted_commands(), account.models()};
    ctx_.pool.put_residency(id, residency.started_unix_ms,
        residency.accepted_commands, residency.models);
    ctx_.residency_changed.raise();
    peers_.send_residency({residency});
}

endpoint_id placement_agent::choose_engine(
    const demanded_model& requested, time_point now)
{
    const auto* service = ctx_.routes->find_service(requested.service);
    if (service == nullptr || !service->engines)
        return {};
    const auto name = fast_hash(requested.adapter.str());
    endpoint_id best;
    std::tuple<bool, double, std::uint64_t> best_cost;
    for (const auto& [id, account] : engines_)
    {
        const auto* entry = ctx_.pool.find(id);
        if (entry == nullptr || entry->service != requested.service ||
            !usable(id, now) || !account.known() || account.call_in_flight ||
            account.busy() || account.pending() ||
            !account.holds(requested.model) ||
            account.holds(requested.model, requested.adapter))
            continue;
        // A free slot costs less than any eviction; otherwise the cost is the
        // demand for the adapter to evict.
        double cost = -1;
        if (account.adapters_in_use() >= service->engines->adapter_slots)
        {
            cost = least_used_adapter(account, requested.service).rate;
            if (!adapter_eviction_.may_evict(requested, cost, now))
                continue;
        }
        // An engine with a limit, or a cold one, can serve few of the requests.
        const std::tuple full_cost(
            ctx_.pool.takes_few(id, now), cost, fast_hash(id.str(), name));
        if (best.empty() || full_cost < best_cost)
        {
            best = id;
            best_cost = full_cost;
        }
    }
    return best;
}

placement_agent::adapter_use placement_agent::least_used_adapter(
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

void placement_agent::request_adapter(const demanded_model& requested)
{
    const auto now = std::chrono::steady_clock::now();
    if (!active_ || !ctx_.routes || !may_command_())
        return;
    for (auto& [id, account] : engines_)
        if (account.holds(requested.model, requested.adapter) &&
            usable(id, now) && !ctx_.pool.takes_few(id, now))
        {
            // Either the requesting gateway has outdated residency data, or the
            // tracked state is wrong and the engine lacks the adapter.
            publish_residency(id);
            if (account.known() && account.reports_caught_up(now))
                account.invalidate();
            return;
        }
    const auto current_load = adapter_loads_.find(requested);
    if (current_load != adapter_loads_.end() && now < current_load->second)
        return;
    adapter_eviction_.note_request(requested, now);
    const auto engine = choose_engine(requested, now);
    if (engine.empty())
        return;
    adapter_loads_[requested] = now + adapter_load_timeout;
    engines_[engine].call_in_flight = true;
    asio::co_spawn(ctx_.io, load_adapter(requested, engine), asio::detached);
}

asio::awaitable<void> placement_agent::load_adapter(
    demanded_model requested, endpoint_id engine)
{
    const auto* service = ctx_.routes->find_service(requested.service);
    const auto slots = service == nullptr || !service->engines
                           ? 0
                           : service->engines->adapter_slots;
    bool slot_free = engines_[engine].adapters_in_use() < slots;
    if (!slot_free)
    {
        const auto victim =
            least_used_adapter(engines_[engine], requested.service);
        // g++ 12 destroys a temporary aggregate in a co_await twice.
        const command unload{engine, command_kind::unload_adapter, victim.model,
            victim.adapter, requested.service};
        if (!victim.adapter.empty())
            slot_free = co_await post_command(unload);
        publish_residency(engine);
    }
    const command load{engine, command_kind::load_adapter, requested.model,
        requested.adapter, requested.service};
    bool loaded = false;
    if (slot_free)
        loaded = co_await post_command(load);
    if (auto found = engines_.find(engine); found != engines_.end())
        found->second.call_in_flight = false;
    if (loaded)
        co_await pause(adapter_load_time);
    if (auto found = engines_.find(engine); found != engines_.end())
        found->second.mark_adapter_loaded(requested.model, requested.adapter);
    publish_residency(engine);
    adapter_loads_.erase(requested);
    if (loaded)
        adapter_eviction_.note_loaded(requested);
}

} // namespace tarragonquay::gateway
