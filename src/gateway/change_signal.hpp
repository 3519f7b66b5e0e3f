#pragma once

#include <utility>

#include <functional>
#include <list>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "common/clock.hpp"

namespace tarragonquay::gateway
{

/// Wakes coroutines and calls handlers when something has changed. Not
/// thread-safe; must outlive its subscriptions.
class change_signal
{
public:
    using handler = std::function<void()>;

    /// Calls a handler at each change until it is destroyed.
    class subscription
    {
    public:
        subscription() = default;
        subscription(subscription&& other) noexcept
            : handlers_(std::exchange(other.handlers_, nullptr)),
              position_(other.position_)
        {
        }
        subscription& operator=(subscription&& other) noexcept
        {
            std::swap(handlers_, other.handlers_);
            std::swap(position_, other.position_);
            return *this;
        }
        ~subscription()
        {
            if (handlers_ != nullptr)
                handlers_->erase(position_);
        }

    private:
        friend class change_signal;
        std::list<handler>* handlers_ = nullptr;
        std::list<handler>::iterator position_;
    };

    explicit change_signal(boost::asio::io_context& context) : io_(context) {}

    /// The handler must not add or end subscriptions.
    [[nodiscard]] subscription subscribe(handler on_change)
    {
        subscription out;
        out.handlers_ = &handlers_;
        out.position_ = handlers_.insert(handlers_.end(), std::move(on_change));
        return out;
    }

    void raise()
    {
        for (const auto& each : handlers_)
            each();
    }

    /// Returns at the next change or at the deadline.
    boost::asio::awaitable<void> wait(time_point deadline)
    {
        boost::asio::steady_timer limit(io_, deadline);
        const auto woken = subscribe([&limit] { limit.cancel(); });
        boost::system::error_code ignored;
        co_await limit.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

private:
    boost::asio::io_context& io_;
    std::list<handler> handlers_;
};

} // namespace tarragonquay::gateway
