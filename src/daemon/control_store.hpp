#pragma once

#include <utility>

#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "store/client.hpp"

namespace tarragonquay::daemon
{

/// Table store client whose handlers run on the control thread. Calls may
/// complete after this object was destroyed; the io_context has to outlive
/// them.
class control_store
{
public:
    control_store(store::client& client, boost::asio::io_context& control)
        : client_(client), control_(control)
    {
    }

    void transact(std::vector<store::condition> conditions,
        std::vector<store::write> writes, time_point deadline,
        store::handler<store::transact_outcome> on_done)
    {
        client_.transact(std::move(conditions), std::move(writes), deadline,
            on_control(std::move(on_done)));
    }

    void read(std::vector<std::string> keys, time_point deadline,
        store::handler<std::vector<store::row>> on_done)
    {
        client_.read(std::move(keys), deadline, on_control(std::move(on_done)));
    }

    void scan(std::string prefix, std::string after, std::int32_t limit,
        time_point deadline, store::handler<store::scan_page> on_done)
    {
        client_.scan(std::move(prefix), std::move(after), limit, deadline,
            on_control(std::move(on_done)));
    }

private:
    template <class T>
    store::handler<T> on_control(store::handler<T> on_done)
    {
        return
            [&control = control_, on_done = std::move(on_done)](result<T> value)
        {
            boost::asio::post(control,
                [on_done, value = std::move(value)]() mutable
                { on_done(std::move(value)); });
        };
    }

    store::client& client_;
    boost::asio::io_context& control_;
};

static_assert(store::table_store<control_store>);

} // namespace tarragonquay::daemon
