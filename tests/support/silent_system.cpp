#include "support/silent_system.hpp"

#include <algorithm>

#include <cppunit/TestAssert.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include "support/timeline.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;

// Memory of one instance (design, section 1.7).
constexpr std::int64_t memory_limit_bytes = std::int64_t(256) << 20;

void add_route(std::vector<std::string>& arguments, const std::string& target)
{
    arguments.insert(
        arguments.end(), {"--listen", "127.0.0.1:0", "--target", target});
}

} // namespace

front_proxy::front_proxy(const deployment& system)
{
    std::vector<std::string> arguments;
    for (std::size_t i = 0; i < daemon_count; ++i)
        add_route(arguments, system.entry(i));
    for (std::size_t i = 0; i < daemon_count; ++i)
        add_route(arguments, system.operator_address(i));
    child_ = process::start_standin("proxy", arguments);
}

std::string front_proxy::address(std::size_t route) const
{
    return child_->address(fmt::format("proxy-{}", route));
}

void front_proxy::fault(std::size_t route, json fault) const
{
    fault["route"] = route;
    CPPUNIT_ASSERT_EQUAL(
        200, post(child_->address("admin"), "/admin/routes", fault).status);
}

int front_proxy::accepted(std::size_t route) const
{
    return fetch(child_->address("admin"), "/admin/routes")
        .json()
        .at("routes")
        .at(route)
        .at("accepted")
        .get<int>();
}

deployment_options shared_system::options()
{
    deployment_options options;
    options.daemons = daemon_count;
    options.engines = options.services = endpoint_count;
    options.proxies = true;
    options.engine_arguments = {"--token-ms", "20"};
    return options;
}

shared_system& shared()
{
    static shared_system system;
    return system;
}

deployment& fleet()
{
    return *shared().fleet.system;
}

std::string new_name(const std::string& kind)
{
    return fmt::format("{}-{}", kind, ++shared().next_name);
}

http_call lookup_request(const std::string& key)
{
    http_call call;
    call.target = "/services/orders/status/x";
    call.headers["Authorization"] = "Bearer " + key;
    call.time = recovery_time;
    return call;
}

std::future<http_reply> send_later(
    const std::string& address, const http_call& call)
{
    return std::async(std::launch::async,
        [address, call] { return send_once(address, call); });
}

steady_callers::steady_callers()
{
    for (std::size_t i = 0; i < daemon_count; ++i)
    {
        threads_.emplace_back([this, i] { complete_on(i); });
        threads_.emplace_back([this, i] { look_up_on(i); });
    }
}

steady_callers::~steady_callers()
{
    stop();
}

void steady_callers::assert_all_answered()
{
    stop();
    CPPUNIT_ASSERT(answered_ > 0);
    CPPUNIT_ASSERT_EQUAL(
        std::string(), fmt::format("{}", fmt::join(failures_, "\n")));
}

void steady_callers::complete_on(std::size_t i)
{
    const completion_call wanted{.max_tokens = 2};
    auto call = wanted.request(shared().fleet.key2);
    call.time = recovery_time;
    while (!stopped_)
    {
        const auto reply = send_once(fleet().entry(i), call);
        note(fmt::format("completion at i{}", i + 1),
            claims_whole(reply) && text_of(reply) == wanted.expected_text(),
            reply);
    }
}

void steady_callers::look_up_on(std::size_t i)
{
    const auto call = lookup_request(shared().fleet.key2);
    while (!stopped_)
    {
        const auto reply = send_once(fleet().entry(i), call);
        note(fmt::format("lookup at i{}", i + 1),
            reply.status == 200 && reply.complete, reply);
    }
}

void steady_callers::note(
    const std::string& request, bool answered, const http_reply& reply)
{
    const std::scoped_lock lock(mutex_);
    if (answered)
        ++answered_;
    else
        failures_.push_back(fmt::format("{}: {}", request, describe(reply)));
    // A paced caller leaves the machine to the processes under test.
    std::this_thread::sleep_for(milliseconds(5));
}

void steady_callers::stop()
{
    stopped_ = true;
    for (auto& thread : threads_)
        if (thread.joinable())
            thread.join();
}

descriptor_baseline::descriptor_baseline()
{
    for (std::size_t i = 0; i < daemon_count; ++i)
        counts_.push_back(fleet().daemon(i).open_descriptors());
    // Connections of polls come and go.
    constexpr int samples = 20;
    for (int sample = 0; sample < samples; ++sample)
    {
        std::this_thread::sleep_for(milliseconds(100));
        for (std::size_t i = 0; i < daemon_count; ++i)
            counts_[i] =
                std::min(counts_[i], fleet().daemon(i).open_descriptors());
    }
}

void descriptor_baseline::assert_released(milliseconds time) const
{
    for (std::size_t i = 0; i < daemon_count; ++i)
    {
        std::size_t last = 0;
        const bool released = eventually(
            [&]
            {
                last = fleet().daemon(i).open_descriptors();
                return last <= counts_[i];
            },
            time);
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("i{} has {} open descriptors instead of {}", i + 1,
                last, counts_[i]),
            released);
        CPPUNIT_ASSERT(fleet().daemon(i).resident_bytes() < memory_limit_bytes);
    }
}

int runs(const std::string& order)
{
    int sum = 0;
    for (std::size_t i = 0; i < endpoint_count; ++i)
        sum += fetch(fleet().service_address(i), "/admin/orders")
                   .json()
                   .at("orders")
                   .value(order, 0);
    return sum;
}

void delay_order_answers(int time_ms)
{
    for (std::size_t i = 0; i < endpoint_count; ++i)
        post(fleet().service_address(i), "/admin/faults",
            {{"delay_after_ms", time_ms}});
}

void for_each_direction(const std::function<void(const std::string&)>& test,
    milliseconds release_time)
{
    with_timeline(fleet(), 0,
        [&]
        {
            CPPUNIT_ASSERT(fleet().wait_epoch_open({0, 1, 2}));
            const descriptor_baseline before;
            steady_callers others;
            for (const std::string direction : {"up", "down", "both"})
                test(direction);
            others.assert_all_answered();
            before.assert_released(release_time);
        });
}

} // namespace tarragonquay::test_support
