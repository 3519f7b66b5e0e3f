#pragma once

#include <utility>

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "common/clock.hpp"

namespace tarragonquay::daemon
{

/// Calls a function on an io_context on a fixed interval until destroyed.
class periodic_task
{
public:
    periodic_task(boost::asio::io_context& context, duration interval,
        std::function<void()> task)
        : timer_(context), interval_(interval), task_(std::move(task))
    {
        next_ = std::chrono::steady_clock::now();
        schedule();
    }

private:
    void schedule()
    {
        // Skips the calls that were missed while the process was paused.
        next_ = std::max(next_ + interval_, std::chrono::steady_clock::now());
        timer_.expires_at(next_);
        timer_.async_wait(
            [this](const boost::system::error_code& cancelled)
            {
                if (cancelled)
                    return;
                task_();
                schedule();
            });
    }

    boost::asio::steady_timer timer_;
    const duration interval_;
    const std::function<void()> task_;
    time_point next_;
};

} // namespace tarragonquay::daemon
