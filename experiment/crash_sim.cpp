#include "experiment/crash_sim.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace tarragonquay::experiment
{
namespace
{

constexpr std::uint64_t bad_part = 0xbad;
constexpr int first_parts = 3;
constexpr int second_parts = 72;
constexpr int rare_parts = 2'000;
/// Part of the requests that have a rare third part.
constexpr double rare_share = 0.1;
/// Part of the requests that go to the engine that has their prefix.
constexpr double affinity = 0.8;
constexpr int zones = 3;
/// Sound requests alone, before the first bad one and the first end.
constexpr double warm_up_s = 5;
/// From the end of a process until requests are sent to the next one.
constexpr double down_s = 4;
constexpr double hold_limit_s = 4;
constexpr double late_after_s = 3;
constexpr int counted_crash = 5;

time_point later_by(time_point from, double seconds)
{
    return from + std::chrono::duration_cast<duration>(
                      std::chrono::duration<double>(seconds));
}

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

endpoint_id id_of(int engine)
{
    return endpoint_id("e" + std::to_string(engine));
}

} // namespace

crash_sim::crash_sim(const crash_mix& mix)
    : mix_(mix),
      random_(mix.seed),
      now_(time_point() + std::chrono::hours(1)),
      end_(later_by(now_, mix.seconds)),
      engines_(static_cast<std::size_t>(mix.engines)),
      relay_(mix.thresholds),
      bad_place_(static_cast<int>(mix.seed % 3))
{
    for (int i = 0; i < mix.gateways; ++i)
        gateways_.push_back(
            {dispatch::crash_evidence(mix.thresholds), {}, {}, 0});
}

crash_outcome crash_sim::run()
{
    start_arrivals(mix_.requests_per_s, false);
    if (mix_.bad_per_s > 0)
        at(warm_up_s + uniform(0, 5),
            [this] { start_arrivals(mix_.bad_per_s, true); });
    at(warm_up_s, [this] { start_ends(); });
    start_gateways();
    while (!events_.empty() && events_.top().at < end_)
    {
        auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    return outcome_;
}

void crash_sim::at(double in_s, std::function<void()> action)
{
    events_.push({later_by(now_, in_s), next_order_++, std::move(action)});
}

double crash_sim::uniform(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(random_);
}

int crash_sim::pick(int count)
{
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
}

void crash_sim::start_arrivals(double rate, bool bad)
{
    arrive(bad);
    at(std::exponential_distribution<double>(rate)(random_),
        [this, rate, bad] { start_arrivals(rate, bad); });
}

void crash_sim::start_ends()
{
    switch (mix_.ends)
    {
    case ordinary_ends::none:
        return;
    case ordinary_ends::single:
        end_engine(pick(mix_.engines));
        at(5, [this] { start_ends(); });
        return;
    case ordinary_ends::zone:
    {
        const int zone = pick(zones);
        const double spread = uniform(0.01, 0.6);
        for (int i = 0; i < mix_.engines; ++i)
            if (i % zones == zone)
                at(uniform(0, spread), [this, i] { end_engine(i); });
        at(30, [this] { start_ends(); });
        return;
    }
    case ordinary_ends::release:
        for (int i = 0; i < mix_.engines; ++i)
            at(i, [this, i] { end_engine(i); });
        return;
    case ordinary_ends::flapping:
        end_engine(0);
        at(down_s + 1, [this] { start_ends(); });
        return;
    }
}

void crash_sim::start_gateways()
{
    constexpr double retry_s = 0.02;
    at(retry_s, [this] { retry_held_back(); });
    at(mix_.exchange_s, [this] { exchange(); });
}

dispatch::prompt crash_sim::make_prompt(bool bad)
{
    constexpr std::uint64_t second_base = 100;
    constexpr std::uint64_t rare_base = 10'000;
    const auto id = [this](std::uint64_t base, int count)
    { return base + static_cast<std::uint64_t>(pick(count)); };
    dispatch::prompt out;
    const auto first = id(1, first_parts);
    out.parts = {{first, 100}, {id(second_base, second_parts), 100}};
    if (bad && bad_place_ == 1)
        out.parts.back().id = bad_part;
    else if (bad && bad_place_ == 2)
        out.parts.back().id = second_base;
    if (uniform(0, 1) < rare_share)
        out.parts.push_back({id(rare_base, rare_parts), 100});
    if (bad && bad_place_ != 1)
        out.parts.push_back({bad_part, 100});
    out.parts.push_back({next_own_++, 100});
    return out;
}

void crash_sim::arrive(bool bad)
{
    auto one = std::make_shared<request>();
    one->gateway = pick(mix_.gateways);
    one->prompt = make_prompt(bad);
    one->bad = bad;
    one->arrived = now_;
    outcome_.sound += bad ? 0 : 1;
    decide(one);
}

bool crash_sim::must_wait(const request_ptr& one)
{
    const auto& own = gateways_[static_cast<std::size_t>(one->gateway)];
    const auto blamed = own.evidence.blamed_parts(one->prompt, now_);
    return std::any_of(blamed.begin(), blamed.end(),
        [&](std::uint64_t part)
        {
            const auto found = own.in_flight.find(part);
            return found != own.in_flight.end() && found->second > 0;
        });
}

void crash_sim::decide(const request_ptr& one)
{
    using dispatch::prompt_verdict;
    auto& own = gateways_[static_cast<std::size_t>(one->gateway)];
    const auto verdict = own.evidence.judge(one->prompt, now_);
    const bool may_probe = one->gateway == 0 && !probe_in_flight_;
    if (verdict == prompt_verdict::refused ||
        (verdict == prompt_verdict::expired && !may_probe))
        return finish(one, true, false);
    one->alone = verdict != prompt_verdict::unsuspected;
    if (verdict == prompt_verdict::suspect && must_wait(one))
    {
        one->delayed = true;
        own.held_back.push_back(one);
        return;
    }
    one->probe = verdict == prompt_verdict::expired;
    probe_in_flight_ = probe_in_flight_ || one->probe;
    send(one);
}

int crash_sim::choose_engine(const request& one)
{
    const auto usable = [&](int i)
    {
        return engines_[static_cast<std::size_t>(i)].up &&
               (i != one.engine || one.sends == 0);
    };
    const int preferred = static_cast<int>(
        one.prompt.parts[1].id % static_cast<std::uint64_t>(mix_.engines));
    if (uniform(0, 1) < affinity && usable(preferred))
        return preferred;
    std::vector<int> all;
    for (int i = 0; i < mix_.engines; ++i)
        if (usable(i))
            all.push_back(i);
    return all.empty() ? -1
                       : all[static_cast<std::size_t>(
                             pick(static_cast<int>(all.size())))];
}

void crash_sim::count_in_flight(const request& one, int change)
{
    auto& counts = gateways_[static_cast<std::size_t>(one.gateway)].in_flight;
    for (std::size_t i = 0; i + 1 < one.prompt.parts.size(); ++i)
    {
        auto& count = counts[one.prompt.parts[i].id];
        count += change;
        if (count == 0)
            counts.erase(one.prompt.parts[i].id);
    }
}

void crash_sim::send(const request_ptr& one)
{
    const int which = choose_engine(*one);
    if (which < 0)
        return finish(one, false, true);
    auto& target = engines_[static_cast<std::size_t>(which)];
    ++one->sends;
    one->engine = which;
    one->process = target.process;
    target.waiting.push_back(one);
    count_in_flight(*one, 1);
    if (one->bad && fifth_crash_ &&
        seconds_between(*fifth_crash_, now_) > late_after_s)
        ++outcome_.late_bad_sends;
    // Queue and prefill.
    at(uniform(0.05, 0.5), [this, one] { begin(one); });
}

void crash_sim::begin(const request_ptr& one)
{
    auto& target = engines_[static_cast<std::size_t>(one->engine)];
    if (!target.up || target.process != one->process)
        return;
    if (one->bad)
    {
        ++outcome_.crashes;
        if (!first_crash_)
            first_crash_ = now_;
        if (outcome_.crashes == counted_crash)
            fifth_crash_ = now_;
        return end_engine(one->engine);
    }
    std::erase(target.waiting, one);
    count_in_flight(*one, -1);
    gateways_[static_cast<std::size_t>(one->gateway)].evidence.note_answer(
        one->prompt, now_);
    finish(one, false, false);
}

void crash_sim::end_engine(int which)
{
    constexpr double longest_notice_s = 0.02;
    auto& ended = engines_[static_cast<std::size_t>(which)];
    if (!ended.up)
        return;
    ended.up = false;
    for (const auto& each : std::exchange(ended.waiting, {}))
        at(uniform(0, longest_notice_s), [this, each] { lose(each); });
    at(down_s,
        [&ended]
        {
            ended.up = true;
            ++ended.process;
        });
}

void crash_sim::lose(const request_ptr& one)
{
    count_in_flight(*one, -1);
    auto& own = gateways_[static_cast<std::size_t>(one->gateway)];
    own.evidence.note_crash(
        one->prompt, id_of(one->engine), one->process, now_);
    const bool repeat = !one->alone && one->sends < mix_.max_sends &&
                        own.evidence.judge(one->prompt, now_) ==
                            dispatch::prompt_verdict::unsuspected;
    if (repeat)
        send(one);
    else
        finish(one, false, true);
}

void crash_sim::finish(const request_ptr& one, bool refused, bool lost)
{
    if (one->probe)
        probe_in_flight_ = false;
    if (one->bad)
        return;
    outcome_.sound_refused += refused ? 1 : 0;
    outcome_.sound_lost += lost ? 1 : 0;
    outcome_.sound_delayed += one->delayed ? 1 : 0;
}

void crash_sim::retry_held_back()
{
    for (auto& each : gateways_)
        for (const auto& one : std::exchange(each.held_back, {}))
        {
            if (seconds_between(one->arrived, now_) > hold_limit_s)
                finish(one, false, true);
            else
                decide(one);
        }
    look_for_refusal();
    constexpr double retry_s = 0.02;
    at(retry_s, [this] { retry_held_back(); });
}

void crash_sim::exchange()
{
    relay_.expire(now_);
    for (auto& each : gateways_)
    {
        each.evidence.expire(now_);
        relay_.merge(each.evidence.records(now_), now_);
    }
    const auto records = relay_.records(now_);
    if (!records.empty())
        for (auto& each : gateways_)
            each.evidence.merge(records, now_);
    at(mix_.exchange_s, [this] { exchange(); });
}

void crash_sim::look_for_refusal()
{
    if (!first_crash_ || outcome_.crashes_to_refusal)
        return;
    dispatch::prompt only;
    constexpr std::uint64_t second = 100;
    only.parts = {{1, 1}, {bad_part, 1}, {0, 1}};
    if (bad_place_ == 2)
        only.parts = {{1, 1}, {second, 1}, {bad_part, 1}, {0, 1}};
    const bool all = std::all_of(gateways_.begin(), gateways_.end(),
        [&](const gateway& each)
        {
            return each.evidence.judge(only, now_) ==
                   dispatch::prompt_verdict::refused;
        });
    if (!all)
        return;
    outcome_.crashes_to_refusal = outcome_.crashes;
    outcome_.seconds_to_refusal = seconds_between(*first_crash_, now_);
}

} // namespace tarragonquay::experiment
