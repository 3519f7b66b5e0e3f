#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "support/callers.hpp"

namespace tarragonquay::test_support
{

/// The longest stated deadline: 10 s for the first event of a stream (design,
/// section 3), and some time to resume the stream over a new connection.
inline constexpr milliseconds recovery_time{15'000};
inline constexpr std::size_t daemon_count = 3;
inline constexpr std::size_t endpoint_count = 2;

/// Proxy before the listeners for callers and operators of all daemons.
class front_proxy
{
public:
    explicit front_proxy(const deployment& system);

    static std::size_t entry_route(std::size_t i) { return i; }
    static std::size_t operator_route(std::size_t i)
    {
        return daemon_count + i;
    }
    std::string address(std::size_t route) const;
    void fault(std::size_t route, nlohmann::json fault) const;
    /// Connections that the route has accepted.
    int accepted(std::size_t route) const;

private:
    std::unique_ptr<process> child_;
};

/// Daemons and proxies that all tests of one program share.
struct shared_system
{
    configured_system fleet = start_configured(options());
    front_proxy front{*fleet.system};
    int next_name = 0;

    static deployment_options options();
};

shared_system& shared();
deployment& fleet();
std::string new_name(const std::string& kind);
/// An idempotent call of the order service.
http_call lookup_request(const std::string& key);
std::future<http_reply> send_later(
    const std::string& address, const http_call& call);

/// Callers that send completions and lookups to every instance, one after
/// another, and keep what was not answered.
class steady_callers
{
public:
    steady_callers();
    ~steady_callers();
    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;

    /// Ends the callers and asserts that each request was answered.
    void assert_all_answered();

private:
    void complete_on(std::size_t i);
    void look_up_on(std::size_t i);
    void note(
        const std::string& request, bool answered, const http_reply& reply);
    void stop();

    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    int answered_ = 0;
    std::vector<std::string> failures_;
    std::vector<std::thread> threads_;
};

/// Open descriptors of the idle daemons at one time.
class descriptor_baseline
{
public:
    descriptor_baseline();

    /// Asserts that nothing beyond the baseline stays open, and that the
    /// memory is within the limit of an instance.
    void assert_released(milliseconds time) const;

private:
    std::vector<std::size_t> counts_;
};

/// How often an order ran at the services.
int runs(const std::string& order);
/// Services answer orders only this long after they have run.
void delay_order_answers(int time_ms);

/// Runs the test for each direction that can go silent, while other callers
/// send requests. Nothing may stay open at the end.
void for_each_direction(const std::function<void(const std::string&)>& test,
    milliseconds release_time = recovery_time);

} // namespace tarragonquay::test_support
