#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "support/callers.hpp"

namespace tarragonquay::test_support
{

/// A streamed completion that a thread reads until it ends.
class background_stream
{
public:
    background_stream(
        const std::string& entry, const std::string& key, int max_tokens)
    {
        auto call = completion_call{.max_tokens = max_tokens}.request(key);
        call.headers["X-Deadline-Ms"] = "120000";
        call.time = milliseconds(90'000);
        call.on_event = [this](const sse_event&)
        {
            ++events_;
            return !abandoned_;
        };
        thread_ = std::thread(
            [this, entry, call]
            {
                reply_ = send_once(entry, call);
                ended_ = true;
            });
    }
    ~background_stream()
    {
        abandoned_ = true;
        if (thread_.joinable())
            thread_.join();
    }
    background_stream(const background_stream&) = delete;
    background_stream& operator=(const background_stream&) = delete;

    int events() const { return events_; }
    bool ended() const { return ended_; }
    /// Waits for the end.
    const http_reply& reply()
    {
        if (thread_.joinable())
            thread_.join();
        return reply_;
    }

private:
    std::atomic<int> events_ = 0;
    std::atomic<bool> ended_ = false;
    std::atomic<bool> abandoned_ = false;
    http_reply reply_;
    std::thread thread_;
};

} // namespace tarragonquay::test_support
