#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "common/digest.hpp"
#include "routing/choice.hpp"
#include "routing/demand.hpp"
#include "routing/endpoint_state.hpp"
#include "routing/queue.hpp"
#include "routing/wait_estimate.hpp"

namespace tarragonquay::routing
{

struct scheduler_limits
{
    /// Waiting requests of one model or service.
    std::size_t queue_capacity = 1024;
    /// Own requests in flight at one endpoint before the first report.
    std::int32_t initial_in_flight = 32;
    std::int32_t max_in_flight = 512;
};

/// Endpoints whose health changed; for events.
struct health_change
{
    endpoint_id endpoint;
    bool suspected = false;
};

/// Chooses an endpoint for each request, or lets it wait. For the control
/// thread only. Handlers are called at the end of a call of this class, each
/// exactly once, and may call it again.
template <clock_source Clock, choice_policy Choice = load_aware_choice,
    queue_discipline Queue = fair_queue>
class scheduler
{
public:
    using handler = std::function<void(result<assignment>)>;

    explicit scheduler(const Clock& clock, scheduler_limits limits = {},
        Choice choice = Choice())
        : clock_(clock), limits_(limits), choice_(std::move(choice))
    {
    }

    /// Called for each endpoint that becomes suspected or recovers.
    void on_health_change(std::function<void(const health_change&)> observer)
    {
        observer_ = std::move(observer);
    }

    /// Returns a ticket for `cancel`. A model that is resident nowhere is
    /// waited for; whether it exists at all is checked by the caller.
    std::uint64_t enqueue(request_spec spec, handler on_done);

    /// Ends the wait of a request with `cancelled`. Does nothing when its
    /// handler was called already.
    void cancel(std::uint64_t ticket);

    /// Ends an assignment; an unknown id is ignored. `output_tokens` is the
    /// length of a complete answer, or 0 when unknown.
    void release(std::uint64_t assignment_id, outcome how,
        std::int64_t output_tokens = 0);

    /// Takes the endpoints of the configuration and the zone of this
    /// instance. Endpoints that are gone get no new work.
    void update(const std::vector<catalog::endpoint>& endpoints,
        const std::string& own_zone);

    /// Takes the configured versions of the adapters. Endpoints that have the
    /// version come before those that have another one.
    void update_adapters(const std::vector<catalog::adapter>& adapters);

    /// Takes the answer of a state poll; unknown endpoints are ignored.
    void report(endpoint_report report);

    /// A state poll of this endpoint failed.
    void report_failure(const endpoint_id& id);

    /// Exactly these endpoints are leaving according to the instance list.
    void mark_leaving(const std::set<endpoint_id>& leaving);

    /// Refuses what has passed its deadline and retries the rest.
    void tick(time_point now);

    std::vector<demand_entry> demand() const
    {
        return meter_.entries(clock_.now());
    }
    std::size_t waiting() const;
    std::int32_t in_flight(const endpoint_id& id) const;
    bool suspected(const endpoint_id& id) const;

private:
    // A model or a service; the other one is empty.
    using target = std::pair<model_id, service_id>;
    struct waiting_line
    {
        Queue queue;
        wait_estimate estimate;
        share_meter shares;
    };
    struct held
    {
        endpoint_id endpoint;
        target for_target;
        adapter_id adapter;
        time_point since;
        std::int64_t output_tokens = 0;
    };
    // Handlers run after the state is consistent, since they may call back.
    using completions = std::vector<std::pair<handler, result<assignment>>>;

    static target target_of(const request_spec& spec)
    {
        return {spec.model, spec.service};
    }
    static void run(completions done)
    {
        for (auto& [on_done, value] : done)
            on_done(std::move(value));
    }

    waiting_line& line_of(const target& of);
    // Until the next report, the endpoint is taken to lack what was asked for.
    void forget_resident(endpoint_state& state, const held& of);
    bool able(const endpoint_state& state, const request_spec& spec) const;
    bool any_able(const request_spec& spec, bool despite_exclusion) const;
    service_time fastest(const target& of, time_point now) const;
    bool avoided(const endpoint_state& state, const request_spec& spec) const;
    bool has_room(const endpoint_state& state, const request_spec& spec) const;
    bool any_room(const request_spec& spec) const;
    // Leaves only endpoints with the configured version of the adapter, if
    // there is any.
    void prefer_version(
        const request_spec& spec, std::vector<endpoint_state*>& states) const;
    std::optional<assignment> assign(const request_spec& spec);
    std::optional<error> early_refusal(
        const request_spec& spec, waiting_line& line, time_point now);
    void refuse(queued_request item, error why, completions& done);
    void drain(const target& of, completions& done);
    void drain_all(completions& done);
    void notify(const endpoint_id& id, bool suspected);

    const Clock& clock_;
    const scheduler_limits limits_;
    Choice choice_;
    std::string own_zone_;
    std::function<void(const health_change&)> observer_;
    std::map<endpoint_id, endpoint_state> endpoints_;
    // Endpoints by service and by ready model, so that a choice looks only at
    // those that can serve the request.
    std::map<target, std::set<endpoint_id>> by_target_;
    std::map<adapter_id, std::string> adapter_versions_;
    std::map<target, waiting_line> lines_;
    std::map<std::uint64_t, held> assignments_;
    std::map<std::uint64_t, target> tickets_;
    demand_meter meter_;
    std::uint64_t next_id_ = 1;
};

} // namespace tarragonquay::routing

#include "routing/scheduler_calls.ipp"
#include "routing/scheduler_choice.ipp"
