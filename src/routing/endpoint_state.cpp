#include "routing/endpoint_state.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonquay::routing
{
namespace
{

using namespace std::chrono_literals;

constexpr duration initial_hold_down = 1s;
constexpr duration max_hold_down = 30s;
// Being suspected again within this time after recovery doubles the hold-down.
constexpr duration repeated_suspicion_window = 20s;
// Reports arrive about once a second; after two half-lives without a new one, a
// report says little about the current load.
constexpr double load_half_life_s = 2.0;
constexpr std::int32_t min_limit = 2;
// Target of the time between tokens (design, section 1.3).
constexpr double token_interval_target_s = 0.033;
constexpr double growth_margin = 0.8;

} // namespace

bool endpoint_health::suspect(time_point now)
{
    if (suspected_)
        return false;
    const bool repeated = hold_down_ > duration::zero() &&
                          now - recovered_at_ < repeated_suspicion_window;
    hold_down_ =
        repeated ? std::min(hold_down_ * 2, max_hold_down) : initial_hold_down;
    recover_not_before_ = now + hold_down_;
    suspected_ = true;
    return true;
}

bool endpoint_health::exchange_failed(time_point now)
{
    if (++exchange_failures_ < exchange_failure_limit)
        return false;
    return suspect(now);
}

bool endpoint_health::poll_failed(time_point now)
{
    if (++poll_failures_ < poll_failure_limit)
        return false;
    return suspect(now);
}

bool endpoint_health::poll_succeeded(time_point now)
{
    poll_failures_ = 0;
    if (!suspected_ || now < recover_not_before_)
        return false;
    suspected_ = false;
    exchange_failures_ = 0;
    recovered_at_ = now;
    return true;
}

void in_flight_limit::observe(
    const endpoint_report& report, std::int32_t own_in_flight)
{
    const bool congested = report.waiting * 4 > report.running;
    const auto token_interval_s = token_interval_s_.value_or(0);
    if (congested || token_interval_s > token_interval_target_s)
        value_ = std::max(min_limit, value_ * 9 / 10);
    else if (report.waiting == 0 && own_in_flight * 5 >= value_ * 4 &&
             token_interval_s < growth_margin * token_interval_target_s)
        value_ = std::min(maximum_, value_ + 1 + value_ / 8);
}

void in_flight_limit::record_answer(duration taken, std::int64_t output_tokens)
{
    // The duration of a short answer is mostly that of the prompt, not of its
    // tokens.
    constexpr std::int64_t min_tokens = 32;
    constexpr double newest_weight = 0.1;
    if (output_tokens < min_tokens)
        return;
    const auto measured = std::chrono::duration<double>(taken).count() /
                          static_cast<double>(output_tokens);
    token_interval_s_ =
        token_interval_s_ ? *token_interval_s_ +
                                newest_weight * (measured - *token_interval_s_)
                          : measured;
}

void in_flight_limit::rejected()
{
    value_ = std::max(min_limit, value_ * 7 / 10);
}

double endpoint_state::other_load(time_point now) const
{
    if (!report)
        return 0;
    const auto reported = report->running + report->waiting;
    const auto others = std::max(0, reported - own_at_report);
    const std::chrono::duration<double> age = now - report->received_at;
    return others * std::exp2(-std::max(0.0, age.count()) / load_half_life_s);
}

duration endpoint_state::expected_service(
    const request_spec& spec, time_point now) const
{
    const auto found = service.find(spec.model);
    return found == service.end() || spec.output_tokens <= 0
               ? duration::zero()
               : found->second.expected(spec.output_tokens, now);
}

bool endpoint_state::ready(
    const model_id& model, const adapter_id& adapter) const
{
    if (!report)
        return false;
    const auto& models = report->models;
    const bool model_ready = std::any_of(models.begin(), models.end(),
        [&](const resident_model& resident)
        {
            return resident.model == model &&
                   resident.state == residency_state::ready;
        });
    if (!model_ready || adapter.empty())
        return model_ready;
    const auto& adapters = report->adapters;
    return std::any_of(adapters.begin(), adapters.end(),
        [&](const resident_adapter& resident)
        { return resident.adapter == adapter && resident.model == model; });
}

bool endpoint_state::has_version(const model_id& model,
    const adapter_id& adapter, const std::string& version) const
{
    return report &&
           std::any_of(report->adapters.begin(), report->adapters.end(),
               [&](const resident_adapter& resident)
               {
                   return resident.adapter == adapter &&
                          resident.model == model && resident.matches(version);
               });
}

} // namespace tarragonquay::routing
