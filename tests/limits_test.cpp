#include <csignal>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "support/deployment.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::seconds;

constexpr std::int64_t rate = 200;
constexpr std::int64_t burst = 1000;

struct answer
{
    clock_type::time_point sent;
    clock_type::time_point ended;
    std::int64_t tokens = 0;
};

/// What the callers of one workspace saw.
struct record
{
    std::vector<answer> answers;
    int refused = 0;
    /// Other outcomes by error code; empty without an answer.
    std::map<std::string, int> failed;
};

class limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limits_test);
    CPPUNIT_TEST(use_stays_within_rate_and_burst_while_instances_fail);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against shares that exist twice after an instance was killed,
    // paused or cut off, and against buckets that are counted per instance.
    void use_stays_within_rate_and_burst_while_instances_fail()
    {
        start();
        begun_ = clock_type::now();
        std::vector<std::thread> callers;
        constexpr int heavy_callers = 16;
        callers.reserve(heavy_callers + 2);
        for (int i = 0; i < heavy_callers; ++i)
            callers.emplace_back([&] { call("heavy", milliseconds(0)); });
        // A request reserves less than 100 tokens.
        for (const char* workspace : {"light1", "light2"})
            callers.emplace_back(
                [&, workspace] { call(workspace, milliseconds(500)); });
        fail_instances();
        stop_ = true;
        for (auto& each : callers)
            each.join();

        print();
        CPPUNIT_ASSERT(records_["heavy"].refused > 0);
        for (const auto& [workspace, seen] : records_)
        {
            CPPUNIT_ASSERT_MESSAGE(workspace, !seen.answers.empty());
            CPPUNIT_ASSERT_MESSAGE(workspace, most_above(seen) <= burst);
        }
    }

private:
    void print() const
    {
        for (const auto& [workspace, seen] : records_)
        {
            std::cout << "\n"
                      << workspace << ": " << seen.answers.size()
                      << " answered, " << seen.refused << " refused";
            for (const auto& [code, count] : seen.failed)
                std::cout << ", " << count << " "
                          << (code.empty() ? "without an answer" : code);
        }
        std::cout << "\n";
    }

    static constexpr int killed = 5;
    static constexpr int paused = 4;
    static constexpr int cut_off = 3;

    void start()
    {
        deployment_options options;
        options.daemons = 6;
        options.services = 0;
        options.proxies = true;
        options.engine_arguments = {"--model", "m:1:1000", "--token-ms", "2"};
        system_ = deployment::start(options);
        for (std::size_t i = 0; i < system_->daemons(); ++i)
            CPPUNIT_ASSERT(system_->wait_healthy(i));
        system_->put_model("m", "1", 1000);
        system_->put_endpoints("orders");
        for (const char* workspace : {"heavy", "light1", "light2"})
        {
            system_->put_workspace(workspace, rate, burst);
            keys_[workspace] =
                system_->issue_key(std::string(workspace) + "-key", workspace);
        }
        CPPUNIT_ASSERT(eventually(
            [&]
            {
                for (std::size_t i = 0; i < system_->daemons(); ++i)
                    if (send("light1", i).status != 200)
                        return false;
                return true;
            },
            milliseconds(20'000)));
    }

    void sleep_until(int second) const
    {
        std::this_thread::sleep_until(begun_ + seconds(second));
    }

    // The callers of the heavy workspace move ahead of some faults and are at
    // the instance during the others.
    void fail_instances()
    {
        sleep_until(4);
        system_->daemon(killed).kill();
        system_->unlist_instance("i6");
        heavy_at_ = paused;
        sleep_until(7);
        system_->daemon(paused).send_signal(SIGSTOP);
        heavy_at_ = 0;
        sleep_until(14);
        system_->daemon(paused).send_signal(SIGCONT);
        heavy_at_ = paused;
        sleep_until(17);
        system_->fault_peer(cut_off, {{"drop_new", true}, {"cut_all", true}});
        heavy_at_ = cut_off;
        sleep_until(24);
        system_->fault_peer(cut_off, {{"heal", true}});
        heavy_at_ = 0;
        sleep_until(29);
    }

    http_reply send(const std::string& workspace, std::size_t daemon)
    {
        http_call request;
        request.method = "POST";
        request.target = "/v1/chat/completions";
        request.headers = {{"Authorization", "Bearer " + keys_.at(workspace)},
            {"Content-Type", "application/json"}};
        const json message = {
            {"role", "user"}, {"content", "write a verse for the anniversary"}};
        request.body = json{{"model", "m"}, {"messages", {message}},
            {"max_tokens",
                32}}.dump();
        request.time = milliseconds(3000);
        return send_once(system_->entry(daemon), request);
    }

    void call(const std::string& workspace, milliseconds pause)
    {
        while (!stop_)
        {
            const auto daemon = workspace == "heavy"    ? heavy_at_.load()
                                : workspace == "light1" ? 1
                                                        : 2;
            const auto sent = clock_type::now();
            const auto reply = send(workspace, daemon);
            const auto ended = clock_type::now();
            {
                const std::lock_guard lock(mutex_);
                auto& seen = records_[workspace];
                if (reply.status == 200)
                    seen.answers.push_back({sent, ended, tokens_of(reply)});
                else if (reply.status == 429)
                    ++seen.refused;
                else
                    ++seen.failed[reply.status == 0 ? "" : code_of(reply)];
            }
            // Keeps the calls to an instance that was killed few.
            std::this_thread::sleep_for(std::max(pause, milliseconds(20)));
        }
    }

    static std::string code_of(const http_reply& reply)
    {
        return reply.json().at("error").at("code").get<std::string>();
    }

    static std::int64_t tokens_of(const http_reply& reply)
    {
        const auto usage = reply.json().at("usage");
        return usage.at("prompt_tokens").get<std::int64_t>() +
               usage.at("completion_tokens").get<std::int64_t>();
    }

    // Most tokens above rate x t over all windows. A request counts only in
    // windows that hold it from its sending to its end, because its admission
    // lies between the two.
    static std::int64_t most_above(const record& seen)
    {
        auto by_end = seen.answers;
        std::sort(by_end.begin(), by_end.end(),
            [](const answer& a, const answer& b) { return a.ended < b.ended; });
        std::int64_t most = 0;
        for (const auto& first : seen.answers)
        {
            std::int64_t tokens = 0;
            for (const auto& each : by_end)
            {
                if (each.sent < first.sent)
                    continue;
                tokens += each.tokens;
                const auto length = std::chrono::duration_cast<milliseconds>(
                    each.ended - first.sent)
                                        .count();
                most = std::max(most, tokens - rate * length / 1000);
            }
        }
        return most;
    }

    std::unique_ptr<deployment> system_;
    std::map<std::string, std::string> keys_;
    clock_type::time_point begun_;
    std::atomic<std::size_t> heavy_at_ = killed;
    std::atomic<bool> stop_ = false;
    std::mutex mutex_;
    std::map<std::string, record> records_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(limits_test);

} // namespace
} // namespace tarragonquay::test_support
