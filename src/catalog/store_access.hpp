#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "catalog/rows.hpp"
#include "common/clock.hpp"
#include "common/error.hpp"
#include "store/client.hpp"

namespace tarragonquay::catalog
{

/// Runs a function on the control thread.
using post_function = std::function<void(std::function<void()>)>;

/// Calls the store and runs the handlers on the control thread. Handlers that
/// arrive after this object is destroyed are dropped. The store must outlive
/// its own handlers.
template <store::table_store Store, clock_source Clock>
class store_access
{
public:
    /// Timeout of one call to the store. It is short enough that after a call
    /// that hangs, there is time left to find out its outcome.
    static constexpr std::chrono::seconds call_timeout{2};

    store_access(Store& store, const Clock& clock, post_function post)
        : store_(store), clock_(clock), post_(std::move(post))
    {
    }

    store_access(const store_access&) = delete;
    store_access& operator=(const store_access&) = delete;

    Store& store() const { return store_; }
    time_point now() const { return clock_.now(); }
    time_point call_deadline() const { return now() + call_timeout; }

    /// Wraps a function into a handler that runs it on the control thread, if
    /// this object still exists.
    template <class T, class Function>
    store::handler<T> on_control(Function function) const
    {
        return [alive = std::weak_ptr<char>(alive_), post = post_,
                   function = std::move(function)](result<T> value)
        {
            post(
                [alive, function, value = std::move(value)]
                {
                    if (!alive.expired())
                        function(value);
                });
        };
    }

    /// Reads a row that contains a revision; zeros when there is no such row.
    template <class Function>
    void read_revision(
        const std::string& key, time_point deadline, Function on_done) const
    {
        store_.read({key}, deadline,
            on_control<std::vector<store::row>>(
                [on_done = std::move(on_done)](
                    const result<std::vector<store::row>>& found)
                {
                    on_done(found ? rows::parse_revision_row(*found)
                                  : tl::unexpected(found.error()));
                }));
    }

private:
    Store& store_;
    const Clock& clock_;
    const post_function post_;
    /// Handlers hold a weak pointer to this, which expires with this object.
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace tarragonquay::catalog
