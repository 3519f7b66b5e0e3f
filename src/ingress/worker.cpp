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
    std::vector<std::function<void()>> ready;
    {
        const std::lock_guard lock(mutex_);
        if (--running_ == 0)
            ready.swap(waiting_);
    }
    for (const auto& handler : ready)
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
    closes_idle = true;
    boost::system::error_code ignored;
    for (auto* socket : idle)
        socket->cancel(ignored);
}

} // namespace tarragonquay::ingress
