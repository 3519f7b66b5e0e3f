#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/clock.hpp"
#include "common/error.hpp"
#include "common/freeze_guard.hpp"
#include "common/ids.hpp"
#include "dispatch/endpoint_availability.hpp"
#include "dispatch/endpoint_capacity.hpp"
#include "dispatch/endpoint_health.hpp"
#include "dispatch/endpoint_limit.hpp"
#include "dispatch/evacuated_zones.hpp"
#include "dispatch/prefill_rate.hpp"
#include "dispatch/prompt.hpp"
#include "dispatch/prompt_cache_view.hpp"
#include "dispatch/recent_fleets.hpp"
#include "dispatch/run_time.hpp"
#include "endpoints/directory_entry.hpp"

namespace tarragonquay::dispatch
{

/// Load that one instance puts on an endpoint.
struct endpoint_load
{
    /// Prompt tokens that the endpoint still has to read.
    std::int64_t waiting_tokens = 0;
    /// Requests that have not ended, waiting ones included.
    std::int64_t requests = 0;

    auto operator<=>(const endpoint_load&) const = default;
};

inline endpoint_load operator+(const endpoint_load& a, const endpoint_load& b)
{
    return {a.waiting_tokens + b.waiting_tokens, a.requests + b.requests};
}

/// A request at an endpoint, from `begin` to `finish`, with its share of the
/// load.
struct in_flight_request
{
    endpoint_id endpoint;
    std::int64_t started_unix_ms = 0;
    endpoint_load load;
    /// Tokens ahead of the request when it was sent, plus its own uncached
    /// ones.
    std::int64_t tokens_to_read = 0;
    time_point sent_at;
    /// Start of the answer; no value while the request waits.
    std::optional<time_point> answered_at;

    auto operator<=>(const in_flight_request&) const = default;
};

/// One process of an endpoint. The endpoint may keep its id when it restarts.
struct endpoint_process
{
    endpoint_id id;
    std::int64_t started_unix_ms = 0;

    auto operator<=>(const endpoint_process&) const = default;
};

/// When endpoints that accept no request now accept the next one.
struct endpoint_return
{
    time_point at;
    /// Whether the endpoint that returns first has named a limit or is cold.
    bool limited = false;
    /// Whether that endpoint is cold and has no place left for this reason.
    bool warming = false;

    auto operator<=>(const endpoint_return&) const = default;
};

/// An endpoint chosen for one request.
struct endpoint_choice
{
    endpoint_id id;
    std::int64_t started_unix_ms = 0;
    std::string address;
    /// When the first event, or the answer, can be expected.
    time_point expected_at;
    std::int64_t uncached_tokens = 0;
    /// Tokens ahead of the request.
    std::int64_t tokens_ahead = 0;
    /// Time that the endpoint needs to read the uncached tokens alone.
    duration own_prefill{};

    auto operator<=>(const endpoint_choice&) const = default;
};

/// The endpoints that this instance may use, with their resident models, loads
/// and health. Chooses an endpoint for each request.
class endpoint_pool
{
public:
    /// `zone` is the availability zone of this instance.
    explicit endpoint_pool(std::string zone) : zone_(std::move(zone)) {}

    /// Adds or changes an endpoint. Resets loads and health when the endpoint's
    /// process has restarted. `process_age` is the least time since the start
    /// of the process.
    void put(endpoints::directory_entry entry,
        time_point now = std::chrono::steady_clock::now(),
        duration process_age = duration::zero());
    void erase(const endpoint_id& id);
    /// Records that the process is leaving; returns whether this is news. It
    /// gets no new requests from then on, also when its entry is put later, or
    /// erased and put again. Has no effect on other processes of the endpoint.
    bool mark_leaving(const endpoint_process& process, leaving_source source);
    /// Records that the process wants no requests until then; returns whether
    /// this is news.
    bool pause(const endpoint_process& process, time_point until);
    /// Replaces the availability zones whose endpoints get no new requests.
    void set_evacuated(evacuated_zones zones);
    const evacuated_zones& evacuated() const { return evacuated_; }
    /// Whether the endpoint is in an evacuated zone.
    bool in_evacuated_zone(const endpoint_id& id) const;
    /// Whether the service has endpoints that are not leaving, and all of them
    /// are in evacuated zones.
    bool only_evacuated(const service_id& service) const;
    /// Number of models that only engines in evacuated zones hold.
    std::int64_t models_only_evacuated() const;
    /// Endpoints get no requests while this process may not know yet what has
    /// changed during a freeze of at least this time; 0 turns this off.
    void set_min_freeze(duration min_freeze);
    /// Records that this process runs; returns whether it was frozen until now.
    bool note_running(time_point now) { return freeze_.note_running(now); }

    /// Whether this process may get requests now: it is known, not leaving, not
    /// paused and in no evacuated zone. A limit that it has named is not
    /// considered.
    bool accepts_requests(
        const endpoint_process& process, time_point now) const;
    /// The processes that say that they are leaving, to be told to other
    /// instances. Those that were found to be gone by a misdirected request are
    /// left out: one wrong answer must not withdraw an endpoint from the whole
    /// fleet.
    std::vector<endpoint_process> leaving_processes() const;
    /// The earliest time at which an endpoint of the service that is not
    /// leaving and in no evacuated zone accepts a request of some instance,
    /// when all of them are paused or have no place left of the limit that they
    /// have named. With a prompt, only the engines that hold its model and
    /// adapter count.
    std::optional<endpoint_return> earliest_return(
        const service_id& service, const prompt* request, time_point now) const;
    /// When this instance may send a request with this prompt to an engine that
    /// has no place left now; no value when it has no share of any.
    std::optional<time_point> earliest_own_place(
        const service_id& service, const prompt& request, time_point now) const;

    /// Records the requests per second that an answer of the process names, no
    /// value when it names none; returns whether this is news.
    bool note_limit(const endpoint_process& process,
        std::optional<double> requests_per_second, time_point now);
    /// Records a limit of which another instance has told; returns whether this
    /// is news.
    bool put_limit(const endpoint_process& process, const endpoint_limit& told,
        time_point now);
    /// The limits that processes have named, ended ones included, to be told to
    /// other instances.
    std::vector<std::pair<endpoint_process, endpoint_limit>> limits() const;
    /// Whether the endpoint has named a limit that has not ended.
    bool limited(const endpoint_id& id) const;

    /// Sets the cold phases of the services that have some.
    void set_warm_ups(std::map<service_id, warm_up> warm_ups, time_point now);
    /// Records the end of a cold phase that an answer of the process reports;
    /// returns whether a phase begins.
    bool note_cold(
        const endpoint_process& process, time_point until, time_point now);
    /// Records a cold phase of which another instance has told; returns whether
    /// it begins.
    bool put_cold(const endpoint_process& process, const told_cold_phase& told,
        time_point now);
    /// The endpoints of an availability zone count as cold from now on, until
    /// an entry reports that they are warm. Returns those for which a cold
    /// phase begins.
    std::vector<endpoint_id> begin_cold_phase(
        const std::string& zone, time_point now);
    /// The cold phases that have been reported and have not ended, to be told
    /// to other instances.
    std::vector<std::pair<endpoint_process, told_cold_phase>> cold_phases(
        time_point now) const;
    /// End of the cold phase of the endpoint; no value when it is warm.
    std::optional<time_point> cold_until(
        const endpoint_id& id, time_point now) const;
    /// Number of cold endpoints.
    std::size_t cold_endpoints(time_point now) const;
    /// Whether the endpoint takes only some of the usual requests, since it has
    /// named a limit or is cold.
    bool takes_few(const endpoint_id& id, time_point now) const;

    /// Sets the instances that serve callers, which share the limits. Must be
    /// called several times a second.
    void set_serving_instances(
        instance_id self, std::vector<instance_id> serving, time_point now);
    std::vector<endpoints::directory_entry> entries() const;
    const endpoints::directory_entry* find(const endpoint_id& id) const;
    bool empty() const { return records_.empty(); }

    /// Replaces the resident models of an engine, unless a residency after more
    /// accepted commands is known or its process is another one.
    void put_residency(const endpoint_id& id, std::int64_t started_unix_ms,
        std::int64_t accepted_commands,
        std::vector<endpoints::loaded_model> models);
    /// Records that the engine reported that it lacks the model or the adapter.
    void mark_missing(const endpoint_id& id, const model_id& model,
        const adapter_id& adapter, time_point now);

    /// What weighs most in the choice of an engine.
    enum class engine_preference
    {
        /// The earliest expected first event.
        earliest_answer,
        /// As few running requests as possible: the request may crash the
        /// engine, and all others there would be lost with it.
        fewest_requests
    };

    /// The best engine by this preference. Fails with no_endpoint when the
    /// service has no usable engine, and with model_not_ready when none of them
    /// holds the model or the adapter.
    result<endpoint_choice> choose_engine(const service_id& service,
        const prompt& request, const std::set<endpoint_id>& excluded,
        time_point now,
        engine_preference preference =
            engine_preference::earliest_answer) const;
    /// The endpoint of a plain service with the least load per slot. Fails with
    /// no_endpoint when the service has no usable endpoint.
    result<endpoint_choice> choose_plain(const service_id& service,
        const std::set<endpoint_id>& excluded, time_point now) const;

    /// Records that a request is sent. `finish` must be called when it ends.
    in_flight_request begin(const endpoint_choice& choice,
        const prompt* request, std::int64_t cache_tokens, time_point now);
    /// Records that the endpoint has read the prompt.
    void note_first_event(in_flight_request& sent, const service_id& service,
        const model_id& model, time_point now);
    /// Records that the whole stream was sent. `output_tokens` is the largest
    /// number of tokens that it may have; 0 when it continued another one.
    void note_stream_end(const in_flight_request& sent,
        const service_id& service, const model_id& model,
        std::int64_t output_tokens, time_point now);
    /// Records that a plain request was answered.
    void note_plain_end(const in_flight_request& sent,
        const service_id& service, time_point now);
    /// A time that few streams of this size exceed, from the first event to the
    /// end: of this model, or of the service while the model has no
    /// measurement.
    std::optional<duration> stream_time(const service_id& service,
        const model_id& model, std::int64_t output_tokens) const;
    /// A time that few plain requests exceed; none without a measurement.
    std::optional<duration> plain_time(const service_id& service) const;
    void finish(in_flight_request& sent);
    /// Records that the endpoint rejected a request because it is full. It gets
    /// no requests for a short time, as long as others can be used.
    void mark_full(const endpoint_id& id, time_point now);
    /// Records that the endpoint has sent a part of an answer.
    void note_progress(const endpoint_id& id, time_point now);
    /// Whether the endpoint has probably lost a request that was sent at this
    /// time: it has sent nothing since, or has begun to answer a later request.
    bool lost_request(const endpoint_id& id, time_point sent_at) const;

    void record_answer(const endpoint_id& id, bool success);
    void record_failure(const endpoint_id& id, time_point now);
    bool suspended(const endpoint_id& id, time_point now) const;

    /// Loads of this instance, to be sent to its peers.
    std::vector<std::pair<endpoint_id, endpoint_load>> own_loads() const;
    /// Replaces the loads that another instance reported.
    void put_peer_loads(const instance_id& peer,
        const std::vector<std::pair<endpoint_id, endpoint_load>>& loads,
        time_point now);
    void erase_peer(const instance_id& peer);

private:
    struct peer_load
    {
        endpoint_load load;
        time_point received_at;
    };
    struct record
    {
        endpoints::directory_entry entry;
        endpoint_availability availability;
        endpoint_limit limit;
        endpoint_capacity capacity;
        std::uint64_t id_hash = 0;
        endpoint_health health;
        endpoint_load own;
        std::map<instance_id, peer_load> peers;
        prompt_cache_view cache;
        time_point full_until{};
        time_point progress_at{};
        /// Send time of the latest request that the endpoint has begun to
        /// answer.
        time_point answered_sent_at{};
        /// Number of accepted commands in the latest residency report; -1 for
        /// none.
        std::int64_t residency_commands = -1;
        /// The models in the latest directory entry.
        std::vector<endpoints::loaded_model> listed_models;
        /// What the engine reported as missing, and until when that applies.
        std::map<std::pair<model_id, adapter_id>, time_point> missing;
    };

    static endpoint_load total_load(const record& endpoint, time_point now);
    static bool holds(
        const record& endpoint, const prompt& request, time_point now);
    bool evacuated(const record& endpoint) const
    {
        return evacuated_.contains(endpoint.entry.availability_zone);
    }
    bool usable(const record& endpoint, const service_id& service,
        const std::set<endpoint_id>& excluded, time_point now) const;
    /// A process that was leaving when it had no entry.
    struct departed_process
    {
        endpoint_process process;
        leaving_source source = leaving_source::directory;
    };

    /// Bounds the memory for processes that are leaving and have no entry.
    static constexpr std::size_t max_departed = 1'024;

    record* find_process(const endpoint_process& process);
    bool set_limit(
        record& endpoint, const endpoint_limit& limit, time_point now);
    void update_share(record& endpoint, time_point now) const;
    void put_warm_up(record& endpoint, const endpoints::directory_entry& entry,
        bool new_process, time_point now, duration process_age);
    void remember_warm_up(const record& endpoint);
    bool note_phase(record& endpoint, time_point now) const;
    void update_warm_ups(time_point now);
    const departed_process* find_departed(
        const endpoint_process& process) const;
    /// Returns whether the process was not remembered before.
    bool remember_departed(
        const endpoint_process& process, leaving_source source);
    /// Usable endpoints; suspended ones only when there is no other.
    std::vector<const record*> candidates(const service_id& service,
        const std::set<endpoint_id>& excluded, time_point now) const;
    endpoint_choice estimate(const record& endpoint, const service_id& service,
        const prompt& request, bool home, time_point now) const;
    /// Measured speed of a model at the engines of a service.
    struct model_speed
    {
        prefill_rate prefill;
        /// Moving average of the time from the first event of a stream to its
        /// end; 0 when unknown.
        double stream_ms = 0;
        /// Time from the first event to the end, by output tokens.
        run_time streams;
    };

    model_speed speed(const service_id& service, const model_id& model) const;

    std::string zone_;
    evacuated_zones evacuated_;
    freeze_guard freeze_;
    instance_id self_;
    std::vector<instance_id> serving_;
    recent_fleets fleets_;
    std::map<service_id, warm_up> warm_ups_;
    /// Of cold processes whose entry was erased: it may be put again, and the
    /// places that were taken still count.
    std::map<endpoint_process, endpoint_capacity> erased_warm_ups_;
    std::map<endpoint_id, record> records_;
    /// Oldest first.
    std::deque<departed_process> departed_;
    std::map<std::pair<service_id, model_id>, model_speed> speeds_;
    std::map<service_id, run_time> plain_times_;
    std::map<service_id, run_time> stream_times_;
};

} // namespace tarragonquay::dispatch
