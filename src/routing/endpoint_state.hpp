#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "catalog/types.hpp"
#include "routing/types.hpp"
#include "routing/wait_estimate.hpp"

namespace tarragonquay::routing
{

/// Failure detector of one endpoint. A suspected endpoint gets no new requests
/// until a state poll succeeds after the hold-down.
class endpoint_health
{
public:
    // A single failed exchange may be caused by one stalled connection; two in
    // a row without a success in between indicate a fault of the endpoint.
    static constexpr int exchange_failure_limit = 2;
    static constexpr int poll_failure_limit = 3;

    bool suspected() const { return suspected_; }

    /// Each returns whether the endpoint became suspected or recovered.
    bool exchange_failed(time_point now);
    bool poll_failed(time_point now);
    bool poll_succeeded(time_point now);
    void exchange_succeeded() { exchange_failures_ = 0; }

private:
    bool suspect(time_point now);

    int exchange_failures_ = 0;
    int poll_failures_ = 0;
    bool suspected_ = false;
    duration hold_down_{};
    time_point recover_not_before_{};
    time_point recovered_at_{};
};

/// Adaptive limit of the requests that this instance may have in flight at one
/// endpoint. Reports of the endpoint lower it while requests wait there, and
/// raise it while none waits and the limit is nearly used up. The limit also
/// keeps the time between tokens within its target, so that excess requests
/// wait in the fair queue of this instance instead of slowing down the whole
/// batch.
class in_flight_limit
{
public:
    explicit in_flight_limit(std::int32_t initial, std::int32_t maximum)
        : value_(initial), maximum_(maximum)
    {
    }

    std::int32_t value() const { return value_; }
    void observe(const endpoint_report& report, std::int32_t own_in_flight);
    void rejected();
    /// Records the duration and the length of a complete answer.
    void record_answer(duration taken, std::int64_t output_tokens);

private:
    std::optional<double> token_interval_s_;
    std::int32_t value_;
    std::int32_t maximum_;
};

/// What the scheduler knows about one endpoint.
struct endpoint_state
{
    catalog::endpoint settings;
    std::uint64_t id_hash = 0;
    endpoint_health health;
    in_flight_limit limit;
    std::optional<endpoint_report> report;
    // By model; the empty id is a plain service.
    std::map<model_id, service_time> service;
    std::int32_t own_in_flight = 0;
    // Own requests in flight when the report arrived; part of its load.
    std::int32_t own_at_report = 0;
    bool listed_leaving = false;

    bool leaving() const
    {
        return listed_leaving || (report && report->leaving);
    }
    /// Load of the other instances at this time.
    double other_load(time_point now) const;
    /// Expected time of a request with this maximum output. Zero when unknown,
    /// and for plain services, whose calls may differ too much for an estimate.
    duration expected_service(const request_spec& spec, time_point now) const;
    /// Whether the model and, if named, the adapter are ready here.
    bool ready(const model_id& model, const adapter_id& adapter) const;
    /// Whether this version of the adapter may be resident here.
    bool has_version(const model_id& model, const adapter_id& adapter,
        const std::string& version) const;
};

} // namespace tarragonquay::routing
