#include "ingress/worker.hpp"

namespace tarragonquay::ingress
{

void activity_counter::begin()
{
    const std::lock_guard lock(mutex_);
    ++running_;
}

void activity_counter::end()
{
    std::vector<std::function<void()>> handlers;
    {
        const std::lock_guard lock(mutex_);
        if (--running_ == 0)
            handlers.swap(waiting_);
    }
    for (const auto& handler : handlers)
        handler();
}

void activity_counter::when_idle(std::function<void()> handler)
{
    {
        const std::lock_guard lock(mutex_);
        if (running_ != 0)
            return waiting_.push_back(std::move(handler));
    }
    handler();
}

stop_listeners::subscription::subscription(stop_listeners& all, handler on_stop)
    : all_(all), on_stop_(std::move(on_stop))
{
    all_.listeners_.insert(this);
}

stop_listeners::subscription::~subscription()
{
    all_.listeners_.erase(this);
}

void stop_listeners::notify()
{
    notified_ = true;
    // A handler may end subscriptions, its own included.
    while (!listeners_.empty())
    {
        auto* const next = *listeners_.begin();
        listeners_.erase(listeners_.begin());
        const auto on_stop = std::move(next->on_stop_);
        on_stop();
    }
}

void worker::close_idle()
{
    closing_idle = true;
    boost::system::error_code ignored;
    for (auto* socket : idle)
        socket->cancel(ignored);
}

} // namespace tarragonquay::ingress
