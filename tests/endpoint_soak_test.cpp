#include <iostream>
#include <limits>
#include <mutex>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <stop_token>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_system.hpp"
#include "support/kept_connection.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;

constexpr int engine_count = 3;
constexpr int usual_gateways = 3;
constexpr int callers_per_gateway = 3;
constexpr int events_of_a_stream = 5;
/// A gateway that has started learns from heartbeats what engines hold.
constexpr int heartbeat_ms = 500;
/// Time for faults in one case, and for the fleet to serve again afterwards.
constexpr milliseconds fault_time{12'000};
constexpr milliseconds recovery_time{20'000};
constexpr milliseconds tick{20};
/// Time that the settings give a gateway to stop.
constexpr std::int64_t stop_ms = 4'000;
/// Deadline-Ms of all requests.
constexpr std::int64_t deadline_ms = 4'000;
/// Time that the rules give the fleet until no request reaches an endpoint that
/// one gateway knows to be leaving.
constexpr std::int64_t drain_ms = 2'000;
/// Time that the rules allow for requests that are on their way when an
/// endpoint asks for a pause.
constexpr std::int64_t pause_slack_ms = 500;
constexpr auto never = std::numeric_limits<std::int64_t>::max();

/// The clock of the stand-in, too.
std::int64_t monotonic_ms()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// What a caller sent and saw.
struct observed_call
{
    int gateway = 0;
    std::string target;
    std::int64_t begin_ms = 0;
    std::int64_t end_ms = 0;
    call_outcome seen;

    bool streamed() const { return target == "/stream/x"; }
    bool at_most_once() const { return target == "/once/x"; }
    bool refused() const
    {
        return seen.status == 429 || seen.status == 503 || seen.status == 408 ||
               seen.status == 421;
    }
};

/// One process of a gateway.
struct gateway_life
{
    std::int64_t start_ms = 0;
    std::int64_t stop_signal_ms = never;
    std::int64_t end_ms = never;
};

/// The calls of all callers, by their ids.
class call_records
{
public:
    void add(const std::string& id, observed_call call)
    {
        const std::scoped_lock lock(mutex_);
        calls_[id] = std::move(call);
    }

    /// Must not be used while callers run.
    const std::map<std::string, observed_call>& all() const { return calls_; }

private:
    std::mutex mutex_;
    std::map<std::string, observed_call> calls_;
};

/// Injects drawn faults of endpoints, gateways and the configuration, in series
/// and overlapping.
class fault_injector
{
public:
    fault_injector(gateway_system& system, std::uint32_t seed)
        : system_(system),
          random_(seed),
          lives_(system.gateways.size()),
          restart_ms_(system.gateways.size())
    {
        for (int i = 1; i <= engine_count; ++i)
            endpoints_.push_back(fmt::format("e{}", i));
        endpoints_.insert(endpoints_.end(), {"s1", "s2"});
        for (auto& each : lives_)
            each.emplace_back();
    }

    void run()
    {
        const auto end_ms = monotonic_ms() + fault_time.count();
        // Each case plays both signals of endpoints of both kinds.
        for (const auto* each : {"e1", "s1"})
            leave(each);
        for (const auto* each : {"e2", "s2"})
            ask_for_pause(each);
        // Cases differ in how much of the time endpoints are usable.
        const int max_interval_ms = draw(300, 1'800);
        auto next_ms = monotonic_ms();
        while (monotonic_ms() < end_ms)
        {
            if (monotonic_ms() >= next_ms)
            {
                inject(draw(0, 9));
                next_ms = monotonic_ms() + draw(20, max_interval_ms);
            }
            check_processes();
            std::this_thread::sleep_for(tick);
        }
        system_.configure(make_configuration(++version_));
        while (!all_run())
        {
            check_processes();
            std::this_thread::sleep_for(tick);
        }
    }

    /// Ends the recording of the processes; call it when callers have ended.
    void keep_logs()
    {
        // Lines are written at most 250 ms late.
        std::this_thread::sleep_for(milliseconds(300));
        for (const auto& each : system_.gateways)
            logs_ += each->output();
    }

    const std::vector<std::string>& endpoints() const { return endpoints_; }
    const std::vector<std::vector<gateway_life>>& lives() const
    {
        return lives_;
    }
    const std::string& logs() const { return logs_; }
    const std::string& story() const { return story_; }
    const std::string& failures() const { return failures_; }

private:
    int draw(int low, int high)
    {
        return std::uniform_int_distribution(low, high)(random_);
    }

    process& gateway(std::size_t i) { return *system_.gateways[i]; }
    gateway_life& life(std::size_t i) { return lives_[i].back(); }

    void tell(const std::string& what)
    {
        story_ += fmt::format("{} {}; ", monotonic_ms(), what);
    }

    void leave(const std::string& endpoint)
    {
        const auto row_lag_ms = draw(300, 3'000);
        // Endpoints serve for drain_ms, and a little longer, after the
        // directory has told that they leave.
        const json times = {{"row_lag_ms", row_lag_ms},
            {"stays_ms", drain_ms + draw(0, 1'000)},
            {"down_ms", draw(200, 1'500)}};
        tell(endpoint + " leaves " + times.dump());
        system_.fault(endpoint, {{"leaving", times}});
    }

    void ask_for_pause(const std::string& endpoint)
    {
        const auto pause_s = draw(7, 30) / 10.0;
        tell(fmt::format("{} pauses {} s", endpoint, pause_s));
        system_.fault(endpoint, {{"pause_s", pause_s}});
    }

    void inject(int kind)
    {
        const auto& endpoint =
            endpoints_[std::size_t(draw(0, int(endpoints_.size()) - 1))];
        const auto i = std::size_t(draw(0, int(lives_.size()) - 1));
        switch (kind)
        {
        case 0:
        case 1:
            return leave(endpoint);
        case 2:
        case 3:
            return ask_for_pause(endpoint);
        case 4:
        case 5:
        {
            const json faults = {{"lose_answers", draw(0, 2)},
                {"cut_streams", draw(0, 2)}, {"event_ms", draw(1, 200)},
                {"begin_ms", draw(0, 400)}, {"answer_ms", draw(0, 400)}};
            tell(endpoint + " " + faults.dump());
            return system_.fault(endpoint, faults);
        }
        case 6:
            return stop(i);
        case 7:
            if (!gateway(i).running() || life(i).stop_signal_ms != never)
                return;
            tell(fmt::format("SIGHUP i{}", i));
            return gateway(i).send_signal(SIGHUP);
        default:
            return change_configuration();
        }
    }

    void stop(std::size_t i)
    {
        if (!gateway(i).running() || life(i).stop_signal_ms != never)
            return;
        tell(fmt::format("SIGTERM i{}", i));
        life(i).stop_signal_ms = monotonic_ms();
        restart_ms_[i] = draw(0, 500);
        gateway(i).send_signal(SIGTERM);
    }

    void change_configuration()
    {
        auto next = make_configuration(++version_);
        next["limits"] = {{"idle_timeout_ms", draw(300, 1'500)}};
        if (draw(0, 3) == 0)
            next["routes"].erase(0);
        if (draw(0, 3) == 0)
            next["tenants"][0]["api_keys"] = {"k1"};
        if (draw(0, 3) == 0)
            next["tenants"][0].update(
                {{"rate_per_s", 4'000}, {"burst", 20'000}});
        tell(fmt::format("configuration {}", version_));
        system_.configure(next);
    }

    // Notes the ends of gateways, and starts those that have ended again.
    void check_processes()
    {
        for (std::size_t i = 0; i < lives_.size(); ++i)
        {
            const auto now_ms = monotonic_ms();
            if (gateway(i).running())
            {
                if (life(i).stop_signal_ms == never ||
                    now_ms < life(i).stop_signal_ms + stop_ms)
                    continue;
                failures_ += fmt::format("i{} did not stop; ", i);
                gateway(i).kill();
            }
            if (life(i).end_ms == never)
            {
                life(i).end_ms = now_ms;
                if (life(i).stop_signal_ms == never ||
                    gateway(i).exit_code() != 0)
                    failures_ += fmt::format(
                        "i{} ended with {}; ", i, gateway(i).exit_code());
            }
            if (now_ms < life(i).end_ms + restart_ms_[i])
                continue;
            tell(fmt::format("start i{}", i));
            logs_ += gateway(i).output();
            lives_[i].push_back({monotonic_ms()});
            system_.start(int(i));
        }
    }

    bool all_run()
    {
        for (std::size_t i = 0; i < lives_.size(); ++i)
            if (!gateway(i).running() || life(i).stop_signal_ms != never)
                return false;
        return true;
    }

    gateway_system& system_;
    std::mt19937 random_;
    std::vector<std::string> endpoints_;
    std::vector<std::vector<gateway_life>> lives_;
    /// Time from the end of a gateway to its next start.
    std::vector<std::int64_t> restart_ms_;
    int version_ = 3;
    std::string logs_;
    std::string story_;
    std::string failures_;
};

/// Compares what callers saw with what endpoints received.
class judge
{
public:
    judge(const gateway_system& system, const fault_injector& faults,
        const std::map<std::string, observed_call>& calls)
        : faults_(faults), calls_(calls)
    {
        for (const auto& each : faults.endpoints())
        {
            signals_[each] = fetch(
                system.platform->address(each + "-admin"), "/admin/signals")
                                 .json();
            for (const auto& arrival : signals_[each].at("arrivals"))
                ++arrivals_[arrival.at("id")];
            for (const auto& cut : signals_[each].at("cuts"))
                cuts_.insert(cut.get<std::string>());
            const auto ran = system.runs(each);
            for (const auto& [id, count] : ran.at("runs").items())
                runs_[id] += count.get<int>();
        }
    }

    std::string broken_promises()
    {
        for (const auto& [id, call] : calls_)
        {
            check_runs(id, call);
            check_answer(id, call);
            if (call.streamed() && call.seen.status == 200)
                check_stream(id, call);
        }
        for (const auto& each : faults_.endpoints())
        {
            check_leaving(each);
            check_pauses(each);
        }
        return broken_;
    }

    /// Answers by status, and the signals that gateways have read.
    std::string summary() const
    {
        std::map<int, int> answers;
        for (const auto& [id, call] : calls_)
            ++answers[call.seen.status];
        std::string out = fmt::format("{} calls (", calls_.size());
        for (const auto& [status, count] : answers)
            out += fmt::format(" {}: {}", status, count);
        return out + fmt::format(" ), leaving read: {}, pauses read: {}",
                         leaving_read_, pauses_read_);
    }

    int leaving_read() const { return leaving_read_; }
    int pauses_read() const { return pauses_read_; }

private:
    int runs_of(const std::string& id) const
    {
        const auto found = runs_.find(id);
        return found == runs_.end() ? 0 : found->second;
    }

    void check_runs(const std::string& id, const observed_call& call)
    {
        const auto runs = runs_of(id);
        if (call.at_most_once() && runs > 1)
            add(id, "ran more than once");
        if (call.refused() && runs > 0)
            add(id, fmt::format("was refused with {} and ran at {}",
                        call.seen.status, call.target));
        if (call.seen.status == 200 && runs == 0)
            add(id, "was answered and has not run");
    }

    // Whether a gateway has read the whole request.
    bool was_read(const std::string& id, const observed_call& call) const
    {
        return call.seen.swallowed || call.seen.status != 0 ||
               arrivals_.contains(id) ||
               faults_.logs().find("\"request_id\":\"" + id + "\"") !=
                   std::string::npos;
    }

    void check_answer(const std::string& id, const observed_call& call)
    {
        if (call.seen.complete || !was_read(id, call) ||
            (call.streamed() && call.seen.status == 200))
            return;
        add(id, fmt::format("to {} got no whole answer (status {}{})",
                    call.target, call.seen.status,
                    call.seen.swallowed ? ", read and discarded" : ""));
    }

    void check_stream(const std::string& id, const observed_call& call)
    {
        int events = 0;
        std::size_t begin = 0;
        auto end = call.seen.body.find("\n\n");
        for (; end != std::string::npos;
             end = call.seen.body.find("\n\n", begin))
        {
            ++events;
            if (call.seen.body.substr(begin, end - begin) !=
                fmt::format("id: {0}\ndata: {0} {1}", events, id))
                add(id, "misses, repeats or mixes events: " + call.seen.body);
            begin = end + 2;
        }
        if (call.seen.complete &&
            (events != events_of_a_stream || begin != call.seen.body.size()))
            add(id, "looks complete and is not: " + call.seen.body);
        if (!call.seen.complete && !may_be_cut(id, call))
            add(id, fmt::format(
                        "was cut after {} events at {}", events, call.end_ms));
    }

    // Whether a begun stream was cut by a stop, its deadline or its endpoint.
    bool may_be_cut(const std::string& id, const observed_call& call) const
    {
        if (cuts_.contains(id) || call.end_ms - call.begin_ms >= deadline_ms)
            return true;
        for (const auto& life : faults_.lives()[std::size_t(call.gateway)])
            if (life.stop_signal_ms <= call.end_ms &&
                call.begin_ms <= life.end_ms)
                return true;
        return false;
    }

    // The gateway's process at this time; null when none ran.
    const gateway_life* life_at(int gateway, std::int64_t at_ms) const
    {
        for (const auto& each : faults_.lives()[std::size_t(gateway)])
            if (each.start_ms <= at_ms && at_ms <= each.end_ms)
                return &each;
        return nullptr;
    }

    // The process that has read the head of this announcement; null when it is
    // not proven that one did. The caller's answer proves it when no other
    // endpoint can have given it, or when the head was the refusal of a paused
    // endpoint: that is written at once, and no gateway gives up so early.
    const gateway_life* reader_of(const json& announcement) const
    {
        const auto found =
            calls_.find(announcement.at("id").get<std::string>());
        if (found == calls_.end())
            return nullptr;
        const auto& [id, call] = *found;
        const bool answered = call.seen.status == 200 || call.refused();
        const auto arrivals = arrivals_.find(id);
        const bool once = arrivals != arrivals_.end() && arrivals->second == 1;
        const bool at_once = announcement.at("paused_until_ms") != 0;
        if (!answered || (!call.at_most_once() && !once && !at_once))
            return nullptr;
        return life_at(call.gateway, announcement.at("at_ms"));
    }

    void check_leaving(const std::string& endpoint)
    {
        const auto& signals = signals_.at(endpoint);
        std::map<std::int64_t, json> first;
        for (const auto& each : signals.at("announcements"))
        {
            const auto* reader =
                each.at("leaving").get<bool>() ? reader_of(each) : nullptr;
            if (reader == nullptr ||
                reader->end_ms <
                    each.at("at_ms").get<std::int64_t>() + drain_ms)
                continue;
            ++leaving_read_;
            first.emplace(each.at("process").get<std::int64_t>(), each);
        }
        for (const auto& each : signals.at("arrivals"))
        {
            const auto told = first.find(each.at("process"));
            if (told != first.end() && !each.at("misdirected") &&
                each.at("at_ms").get<std::int64_t>() >
                    told->second.at("at_ms").get<std::int64_t>() + drain_ms)
                add(each.at("id"), "reached " + endpoint +
                                       " after it had left: " + each.dump() +
                                       " told " + told->second.dump());
        }
    }

    void check_pauses(const std::string& endpoint)
    {
        const auto& signals = signals_.at(endpoint);
        for (const auto& pause : signals.at("announcements"))
        {
            if (pause.at("paused_until_ms") == 0)
                continue;
            const auto* reader = reader_of(pause);
            if (reader == nullptr)
                continue;
            ++pauses_read_;
            for (const auto& each : signals.at("arrivals"))
                if (breaks(pause, each, reader))
                    add(each.at("id"), "reached " + endpoint +
                                           " in its pause: " + each.dump() +
                                           " told " + pause.dump());
        }
    }

    bool breaks(const json& pause, const json& arrival,
        const gateway_life* reader) const
    {
        const std::int64_t at_ms = arrival.at("at_ms");
        if (arrival.at("process") != pause.at("process") ||
            arrival.at("misdirected") ||
            at_ms <= pause.at("at_ms").get<std::int64_t>() + pause_slack_ms ||
            at_ms >= pause.at("paused_until_ms").get<std::int64_t>())
            return false;
        const auto sender = calls_.find(arrival.at("id").get<std::string>());
        return sender != calls_.end() &&
               life_at(sender->second.gateway, at_ms) == reader;
    }

    void add(const std::string& id, const std::string& what)
    {
        broken_ += id + " " + what + "; ";
    }

    const fault_injector& faults_;
    const std::map<std::string, observed_call>& calls_;
    std::map<std::string, json> signals_;
    std::map<std::string, int> arrivals_;
    std::map<std::string, int> runs_;
    std::set<std::string> cuts_;
    int leaving_read_ = 0;
    int pauses_read_ = 0;
    std::string broken_;
};

// Uses one connection until it is closed, then a new one.
void keep_calling(gateway_system& system, int number, std::uint32_t seed,
    call_records& records, const std::stop_token& stop)
{
    std::mt19937 random(seed * 1'000 + std::uint32_t(number));
    const int gateway = number % int(system.gateways.size());
    const auto entry = system.entry(gateway);
    auto connection = std::make_unique<kept_connection>(entry);
    for (int i = 0; !stop.stop_requested(); ++i)
    {
        if (!connection->open())
            connection = std::make_unique<kept_connection>(entry);
        if (!connection->open())
        {
            std::this_thread::sleep_for(tick);
            continue;
        }
        observed_call sent;
        sent.gateway = gateway;
        sent.target = i % 3 == 2   ? "/stream/x"
                      : i % 3 == 1 ? "/safe/x"
                                   : "/once/x";
        auto call = system.make_call(
            sent.target, sent.streamed() ? "m" : "", i % 7 == 0 ? "k2" : "k1");
        const auto id = fmt::format("c{}-{}", number, i);
        call.headers["Request-Id"] = id;
        call.headers["Deadline-Ms"] = std::to_string(deadline_ms);
        sent.begin_ms = monotonic_ms();
        connection->write(to_text(call));
        sent.seen = connection->read();
        sent.end_ms = monotonic_ms();
        records.add(id, std::move(sent));
        std::this_thread::sleep_for(
            milliseconds(std::uniform_int_distribution(0, 60)(random)));
    }
}

int number_of(const char* variable, int fallback)
{
    const auto* given = std::getenv(variable);
    return given == nullptr ? fallback : std::atoi(given);
}

// Seeds of the cases. TQ_SOAK_FIRST and TQ_SOAK_COUNT choose others than those
// that every run plays.
std::vector<std::uint32_t> seeds()
{
    if (std::getenv("TQ_SOAK_FIRST") == nullptr)
        return {1, 2};
    std::vector<std::uint32_t> out(std::size_t(number_of("TQ_SOAK_COUNT", 1)));
    std::iota(
        out.begin(), out.end(), std::uint32_t(number_of("TQ_SOAK_FIRST", 1)));
    return out;
}

// Empty when the gateway serves calls of both kinds in time; otherwise what it
// answered last.
std::string last_refusal(gateway_system& system, int i)
{
    std::string out;
    eventually(
        [&]
        {
            const auto stream = system.call(i, "/stream/x", "m");
            const auto call = system.call(i, "/once/x");
            const bool serves = stream.complete && call.status == 200 &&
                                stream.events.size() == events_of_a_stream;
            out = serves
                      ? std::string()
                      : fmt::format("i{} answered {} {} ({} events), {} {}; ",
                            i, stream.status, stream.body, stream.events.size(),
                            call.status, call.body);
            return serves;
        },
        recovery_time);
    return out;
}

} // namespace

class endpoint_soak_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_soak_test);
    CPPUNIT_TEST(promises_hold_beside_endpoints_that_leave_and_pause);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests to endpoints that have said that they leave or
    // want a pause, and against calls that run twice, requests without an
    // answer, false refusals and streams with gaps while these signals overlap
    // with lost answers, stops and changes of the configuration.
    void promises_hold_beside_endpoints_that_leave_and_pause()
    {
        for (const auto seed : seeds())
            play(seed);
    }

private:
    static void play(std::uint32_t seed)
    {
        // TQ_SOAK_GATEWAYS plays larger fleets by hand.
        const auto gateways = number_of("TQ_SOAK_GATEWAYS", usual_gateways);
        gateway_system system(gateways, engine_count, heartbeat_ms);
        std::string refusals;
        for (int i = 0; i < gateways; ++i)
            refusals += last_refusal(system, i);
        CPPUNIT_ASSERT_EQUAL(std::string(), refusals);
        call_records records;
        std::vector<std::jthread> callers;
        const int caller_count = gateways * callers_per_gateway;
        callers.reserve(std::size_t(caller_count));
        for (int i = 0; i < caller_count; ++i)
            callers.emplace_back([&, i](const std::stop_token& stop)
                { keep_calling(system, i, seed, records, stop); });
        fault_injector faults(system, seed);
        faults.run();
        for (int i = 0; i < gateways; ++i)
            refusals += last_refusal(system, i);
        for (auto& each : callers)
            each.request_stop();
        callers.clear();
        faults.keep_logs();
        judge judged(system, faults, records.all());
        const auto broken =
            faults.failures() + refusals + judged.broken_promises();
        std::cout << "seed " << seed << ": " << judged.summary() << std::endl;
        // A seed that is played by hand keeps the logs of its gateways.
        if (!broken.empty() && std::getenv("TQ_SOAK_FIRST") != nullptr)
            std::cout << faults.logs() << std::endl;
        const auto place =
            fmt::format("seed {}, faults {}: ", seed, faults.story());
        CPPUNIT_ASSERT_MESSAGE(place + broken, broken.empty());
        // Without signals that gateways have read, nothing would be shown.
        CPPUNIT_ASSERT_MESSAGE(place, judged.leaving_read() > 0);
        CPPUNIT_ASSERT_MESSAGE(place, judged.pauses_read() > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_soak_test);

} // namespace tarragonquay::test_support
