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

/// Reported when an endpoint becomes suspected or recovers.
struct health_change
{
    endpoint_id endpoint;
    bool suspected = false;
};

/// Assigns an endpoint to each request, or queues the request until one is
/// available. Only for use on the control thread. Each handler is called
/// exactly once, at the end of a member function, and may call the scheduler
/// again.
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

    /// Returns a ticket for `cancel`. Requests for a model that is not resident
    /// anywhere wait; the caller checks whether the model exists.
    std::uint64_t enqueue(request_spec spec, handler on_done);

    /// Ends the wait of a request with `cancelled`. Does nothing when its
    /// handler was called already.
    void cancel(std::uint64_t ticket);

    /// Ends an assignment; an unknown id is ignored. `output_tokens` is the
    /// length of a complete answer, or 0 when unknown.
    void release(std::uint64_t assignment_id, outcome how,
        std::int64_t output_tokens = 0);

    /// Replaces the configured endpoints and the availability zone of this
    /// instance. Removed endpoints get no new requests.
    void update(const std::vector<catalog::endpoint>& endpoints,
        const std::string& own_zone);

    /// Replaces the configured versions of the adapters. Endpoints with the
    /// configured version are preferred.
    void update_adapters(const std::vector<catalog::adapter>& adapters);

    /// Applies the answer of a state poll; unknown endpoints are ignored.
    void report(endpoint_report report);

    /// Records that a state poll of this endpoint failed.
    void report_failure(const endpoint_id& id);

    /// Replaces the set of endpoints that are leaving according to the instance
    /// list.
    void mark_leaving(const std::set<endpoint_id>& leaving);

    /// Refuses the waiting requests that can no longer meet their deadline, and
    /// tries to dispatch the rest.
    void tick(time_point now);

    std::vector<demand_entry> demand() const
    {
        return meter_.entries(clock_.now());
    }
    std::size_t waiting() const;
    std::int32_t in_flight(const endpoint_id& id) const;
    bool suspected(const endpoint_id& id) const;

private:
    // Model and service of a request; one of them is empty.
    using target = std::pair<model_id, service_id>;
    struct target_queue
    {
        Queue queue;
        dispatch_rate_meter dispatch_rate;
        usage_meter usage;
    };
    struct active_assignment
    {
        endpoint_id endpoint;
        target target_key;
        adapter_id adapter;
        time_point since;
        std::int64_t output_tokens = 0;
    };
    // Handlers run only when the state is consistent, since they may call the
    // scheduler again.
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

    target_queue& queue_for(const target& key);
    // Treats the model or adapter as not resident until the endpoint's next
    // report.
    void mark_not_resident(
        endpoint_state& state, const active_assignment& released);
    bool can_serve(const endpoint_state& state, const request_spec& spec) const;
    bool any_can_serve(const request_spec& spec, bool include_excluded) const;
    service_time fastest_service_time(const target& key, time_point now) const;
    bool is_excluded(
        const endpoint_state& state, const request_spec& spec) const;
    bool can_accept(
        const endpoint_state& state, const request_spec& spec) const;
    bool any_can_accept(const request_spec& spec) const;
    // Keeps only endpoints with the configured version of the adapter, if there
    // are any.
    void prefer_version(
        const request_spec& spec, std::vector<endpoint_state*>& states) const;
    std::optional<assignment> assign(const request_spec& spec);
    std::optional<error> early_refusal(
        const request_spec& spec, target_queue& pending, time_point now);
    void refuse(queued_request item, error why, completions& done);
    void dispatch_waiting(const target& key, completions& done);
    void dispatch_all_waiting(completions& done);
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
    std::map<target, target_queue> queues_;
    std::map<std::uint64_t, active_assignment> assignments_;
    std::map<std::uint64_t, target> tickets_;
    demand_meter meter_;
    std::uint64_t next_id_ = 1;
};

} // namespace tarragonquay::routing

#include "routing/scheduler_calls.ipp"
#include "routing/scheduler_choice.ipp"
