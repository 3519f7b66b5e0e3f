#pragma once

#include <utility>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "common/json_log.hpp"
#include "dispatch/crash_evidence.hpp"
#include "dispatch/endpoint_pool.hpp"
#include "dispatch/repeat_budget.hpp"
#include "dispatch/urgency_scale.hpp"
#include "endpoints/http_exchange.hpp"
#include "fleet/roster.hpp"
#include "gateway/change_signal.hpp"
#include "gateway/dialect.hpp"
#include "gateway/model_demand.hpp"
#include "limits/fleet_limiter.hpp"
#include "metrics/registry.hpp"
#include "routes/route_table.hpp"
#include "settings/gateway_settings.hpp"

namespace tarragonquay::gateway
{

struct call;

/// Shared state of a gateway process. Everything runs on the single thread of
/// one io_context, so no member needs a lock.
struct context
{
    context(boost::asio::io_context& io_context,
        settings::gateway_settings from, gateway::dialect wire_dialect,
        log::json_log lines, fleet::member self)
        : io(io_context),
          settings(std::move(from)),
          dialect(std::move(wire_dialect)),
          log(std::move(lines)),
          pool(settings.availability_zone),
          roster(std::move(self)),
          residency_changed(io_context),
          evidence_changed(io_context),
          interruption(io_context)
    {
    }

    /// Whether the gateway serves new callers: it has a configuration and the
    /// list of endpoints, knows which of them leave, and is not stopping.
    bool ready() const
    {
        return routes != nullptr && endpoints_known && leaving_known &&
               !stopping;
    }

    /// Ends the waits of the idle connections, which then examine their state
    /// and the configuration in force again.
    void wake_idle_callers()
    {
        boost::system::error_code ignored;
        for (auto* socket : idle_callers)
            socket->cancel(ignored);
    }

    boost::asio::io_context& io;
    settings::gateway_settings settings;
    const gateway::dialect dialect;
    log::json_log log;
    metrics::registry metrics;

    /// Latest known era of the store.
    std::int64_t store_era = 0;
    /// Null until the first configuration has been received.
    std::shared_ptr<const routes::route_table> routes;
    bool endpoints_known = false;
    /// Another instance has told which endpoints are leaving, or none did in
    /// time after the start.
    bool leaving_known = false;
    bool stopping = false;
    /// Latest time at which the process ends.
    time_point stop_deadline = time_point::max();
    /// New requests are refused, since they would not finish before the process
    /// ends.
    bool refuses_new_requests = false;
    /// Connections that wait for their next request.
    std::set<boost::asio::ip::tcp::socket*> idle_callers;
    /// Callers' running requests, from their first byte until the answer has
    /// been written and, before a close, received; and open connections. A stop
    /// waits for the requests.
    std::int64_t running_requests = 0;
    std::int64_t caller_connections = 0;
    /// Requests that were read whole and are not finished.
    std::set<const call*> running_calls;
    /// Bytes of endpoints' answers that are collected in memory.
    std::size_t collected_answer_bytes = 0;

    dispatch::endpoint_pool pool;
    endpoints::connection_pool connections;
    std::map<service_id, dispatch::repeat_budget> repeats;
    /// Urgency of the streams of each service.
    std::map<service_id, dispatch::urgency_scale> urgency;
    limits::fleet_limiter limiter;
    fleet::roster roster;
    model_demand demand;
    /// Signalled when an engine may have loaded a model or an adapter.
    change_signal residency_changed;
    /// Requests that an adapter which no engine holds is loaded.
    std::function<void(const service_id&, const model_id&, const adapter_id&)>
        request_adapter;
    /// Parts of prompts under which engines ended, as known to the whole fleet.
    dispatch::crash_evidence evidence;
    /// Parts of suspect requests that engines run and that are not established.
    std::set<std::uint64_t> suspect_parts_in_flight;
    /// Signalled when a verdict of `evidence` may have changed.
    change_signal evidence_changed;
    /// Sends changes of `evidence` to the other instances.
    std::function<void()> send_evidence;
    void announce_evidence()
    {
        evidence_changed.raise();
        if (send_evidence)
            send_evidence();
    }
    /// When a stop interrupts the requests that still run: their callers get a
    /// refusal, and streams that have begun are cut. `time_point::max()` while
    /// the process is not stopping.
    time_point interrupts_at = time_point::max();
    bool interrupted = false;
    /// Signalled when `interrupted` is set.
    change_signal interruption;
    /// Interrupts the running requests.
    void interrupt_requests()
    {
        interrupted = true;
        interruption.raise();
        residency_changed.raise();
        evidence_changed.raise();
    }
    /// Earliest times of the next log lines on a malformed pause, limit
    /// or cold phase.
    time_point next_pause_warning{};
    time_point next_limit_warning{};
    time_point next_cold_warning{};
    std::mt19937_64 random{std::random_device{}()};
};

} // namespace tarragonquay::gateway
