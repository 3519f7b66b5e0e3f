#pragma once

#include <algorithm>
#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "common/clock.hpp"
#include "support/callers.hpp"

namespace tarragonquay::test_support
{

/// Calls that threads repeat until they are stopped, and what went wrong.
class caller_loops
{
public:
    /// Returns a description of a failure, or nothing.
    using call = std::function<std::string()>;

    caller_loops() = default;
    ~caller_loops() { stop(); }
    caller_loops(const caller_loops&) = delete;
    caller_loops& operator=(const caller_loops&) = delete;

    void add(call once, milliseconds pause)
    {
        threads_.emplace_back(
            [this, once = std::move(once), pause]
            {
                while (!stopping_)
                {
                    note(once());
                    std::this_thread::sleep_for(pause);
                }
            });
    }
    void stop()
    {
        stopping_ = true;
        for (auto& thread : threads_)
            thread.join();
        threads_.clear();
    }
    void note(const std::string& failure)
    {
        if (failure.empty())
            return;
        const std::lock_guard lock(mutex_);
        if (++failures_ <= shown_failures)
            text_ += fmt::format("{} {}\n", unix_ms(), failure);
    }
    /// The first failures; empty when there were none.
    std::string failures() const
    {
        const std::lock_guard lock(mutex_);
        return failures_ == 0
                   ? std::string()
                   : fmt::format("{} failures\n{}", failures_, text_);
    }

private:
    static constexpr int shown_failures = 20;

    mutable std::mutex mutex_;
    int failures_ = 0;
    std::string text_;
    std::atomic<bool> stopping_ = false;
    std::vector<std::thread> threads_;
};

/// One answer of GET /v1/entries.
struct entries_answer
{
    std::vector<std::string> addresses;
    std::int64_t keep_until_unix_ms = 0;

    bool names(const std::string& address) const
    {
        return std::find(addresses.begin(), addresses.end(), address) !=
               addresses.end();
    }
};

/// An empty answer when the instance does not answer.
inline entries_answer fetch_entries(
    const std::string& instance, const std::string& workspace)
{
    const auto reply = fetch(instance, "/v1/entries?workspace=" + workspace);
    entries_answer answer;
    if (reply.status != 200 || !reply.complete)
        return answer;
    const auto body = reply.json();
    answer.keep_until_unix_ms = body.at("keep_until_unix_ms");
    for (const auto& entry : body.at("entries"))
        answer.addresses.push_back(entry.at("address"));
    return answer;
}

/// A caller that asks for the entries, uses the first one until the answer
/// expires, and then asks one of the entries that it knows. For one thread.
class entries_follower
{
public:
    entries_follower(std::string first, std::string workspace)
        : workspace_(std::move(workspace))
    {
        answer_.addresses = {std::move(first)};
    }

    /// Address to use now; empty when no known instance named one.
    std::string address()
    {
        if (unix_ms() < answer_.keep_until_unix_ms)
            return answer_.addresses.front();
        for (const auto& known : answer_.addresses)
        {
            auto next = fetch_entries(known, workspace_);
            if (next.addresses.empty())
                continue;
            answer_ = std::move(next);
            return answer_.addresses.front();
        }
        return {};
    }

private:
    std::string workspace_;
    entries_answer answer_;
};

/// Empty when an answer is whole and has the expected text.
inline std::string failure_of(
    const std::string& what, const completion_call& call, const http_reply& got)
{
    if (claims_whole(got) && text_of(got) == call.expected_text())
        return {};
    return fmt::format("{}: {}", what, describe(got));
}

} // namespace tarragonquay::test_support
