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

void worker::close_idle()
{
    closing_idle = true;
    boost::system::error_code ignored;
    for (auto* socket : idle)
        socket->cancel(ignored);
}

} // namespace tarragonquay::ingress
