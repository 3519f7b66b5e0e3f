#pragma once

#include <utility>

#include <memory>

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tarragonquay::ingress
{

/// Suspends until a handler is called and returns its argument. `start`
/// receives the handler and must arrange that it is called exactly once, on
/// any thread.
template <class T, class Start>
boost::asio::awaitable<T> await_callback(Start start)
{
    const auto executor = co_await boost::asio::this_coro::executor;
    auto initiate = [executor, &start](auto handler)
    {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        start(
            [executor, shared](T value)
            {
                boost::asio::post(executor,
                    [shared, value = std::move(value)]() mutable
                    { (*shared)(std::move(value)); });
            });
    };
    co_return co_await boost::asio::async_initiate<
        const boost::asio::use_awaitable_t<>, void(T)>(
        std::move(initiate), boost::asio::use_awaitable);
}

} // namespace tarragonquay::ingress
