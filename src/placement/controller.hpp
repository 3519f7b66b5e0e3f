#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "catalog/types.hpp"
#include "common/log.hpp"
#include "common/random.hpp"
#include "events/recorder.hpp"
#include "placement/lease_keeper.hpp"
#include "placement/ledger.hpp"
#include "placement/planner.hpp"
#include "placement/view_builder.hpp"
#include "routing/demand.hpp"

namespace tarragonquay::placement
{

/// Response of an engine to a command.
enum class command_answer
{
    accepted,
    already_known,
    stale_fencing,
    no_memory
};

/// Sends commands to engines. An error means that no response arrived; the
/// command may still take effect. Handlers run on the control thread.
template <class Transport>
concept command_transport = requires(Transport& transport,
    const intent& command, store::handler<command_answer> on_done)
{
    transport.send(command, on_done);
};

struct controller_settings
{
    std::string region;
    std::string instance;
    std::string incarnation;
    planner_limits limits;
};

/// Control loop of the placement lease's holder: plans moves, writes intents,
/// sends commands and concludes intents. Does nothing while it does not hold
/// the lease. Not thread-safe; must be used on the control thread.
template <store::table_store Store, clock_source Clock,
    command_transport Transport, placement_planner Planner = demand_planner>
class controller
{
public:
    using event_sink = std::function<void(
        events::kind, const std::string& subject, const std::string& detail)>;

    controller(controller_settings settings, Store& store, const Clock& clock,
        Transport& transport, Planner planner = {});

    /// Sets the function that receives the placement events.
    void on_event(event_sink sink) { sink_ = std::move(sink); }

    /// Sets the configured engines, models and adapters. Endpoints of other
    /// regions and endpoints that are not engines are ignored.
    void update(const std::vector<catalog::endpoint>& endpoints,
        const std::vector<catalog::model>& models,
        const std::vector<catalog::adapter>& adapters);
    /// Sets the demand, summed over the instances of the region.
    void set_demand(std::vector<routing::demand_entry> demand);
    /// Sets the engines that get no new work (suspected or leaving).
    void set_unusable(std::set<endpoint_id> endpoints);
    /// Processes the result of a state poll. Polls of one endpoint must not
    /// overlap, and their reports must be passed in the order of the polls.
    void report(const routing::endpoint_report& report);

    void tick();

    /// Whether this instance holds the lease and has read the intents.
    bool active() const { return lease_.holds() && scanned_; }
    const ledger& accounts() const { return ledger_; }

private:
    using commands = std::vector<intent>;

    static constexpr std::chrono::seconds command_timeout{30};
    // A command that the engine does not list was probably lost. Longer than
    // the 2 s response timeout plus two state polls of 1 s each. After it, the
    // planner ignores the command, but its memory stays accounted.
    static constexpr std::chrono::seconds unlisted_timeout{5};
    static constexpr std::chrono::seconds resend_interval{2};
    // Keeps transactions small, so that a lost response delays few commands.
    static constexpr std::size_t max_batch_size = 16;

    std::string intent_prefix() const
    {
        return "placement/" + settings_.region + "/intent/";
    }
    std::string row_key(const intent& value) const
    {
        return intent_prefix() + value.endpoint.str() + "/" + value.command_id;
    }
    void emit(events::kind kind, const std::string& subject,
        const std::string& detail = {})
    {
        if (sink_)
            sink_(kind, subject, detail);
    }

    void start_scan();
    void scan_page(std::string after, commands found, int generation);
    result<intent> read_intent(const store::row& row) const;
    void apply_scan(commands found);
    void refill_load_allowance();
    void plan_and_commit();
    commands to_commands(const std::vector<move>& moves) const;
    void commit(commands batch);
    void send(const intent& command);
    void resend();

    const controller_settings settings_;
    Store& store_;
    const Clock& clock_;
    Transport& transport_;
    Planner planner_;
    event_sink sink_;
    lease_keeper<Store, Clock> lease_;
    ledger ledger_;
    view_inputs inputs_;
    // Row keys of concluded intents that are still in the table.
    std::set<std::string> rows_to_erase_;
    // Commands that were never sent but whose intent may be in the table.
    std::set<std::string> unsent_;
    std::map<std::string, time_point> sent_at_;
    bool scanned_ = false;
    bool scanning_ = false;
    // Results of earlier scans are ignored.
    int scan_generation_ = 0;
    double loads_allowed_ = 1;
    time_point refilled_at_{};
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    log::logger logger_ = log::make_logger("placement");
};

} // namespace tarragonquay::placement

#include "placement/controller.ipp"
