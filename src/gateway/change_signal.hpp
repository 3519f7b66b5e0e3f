#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "common/clock.hpp"

namespace tarragonquay::gateway
{

/// Wakes coroutines that wait for a change. Not thread-safe.
class change_signal
{
public:
    explicit change_signal(boost::asio::io_context& context)
        : timer_(context, time_point::max())
    {
    }

    void raise() { timer_.expires_at(time_point::max()); }

    /// Returns at the next change or at the deadline.
    boost::asio::awaitable<void> wait(time_point deadline)
    {
        boost::asio::steady_timer limit(timer_.get_executor(), deadline);
        limit.async_wait(
            [this](const boost::system::error_code& failed)
            {
                if (!failed)
                    raise();
            });
        boost::system::error_code ignored;
        co_await timer_.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

private:
    // Setting the expiry cancels the pending waits, which resumes the waiting
    // coroutines.
    boost::asio::steady_timer timer_;
};

} // namespace tarragonquay::gateway
