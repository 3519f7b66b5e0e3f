#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "catalog/types.hpp"
#include "common/error.hpp"
#include "routing/types.hpp"

namespace tarragonquay::endpoints
{

/// Polls GET /control/state of each endpoint at a fixed interval. All functions
/// must be called on the thread of the executor, which also runs the handler.
class state_poller
{
public:
    static constexpr std::chrono::milliseconds interval{1000};
    static constexpr std::chrono::milliseconds answer_timeout{800};

    using report_handler = std::function<void(
        const endpoint_id&, result<routing::endpoint_report>)>;

    state_poller(boost::asio::any_io_executor executor, report_handler handler);
    ~state_poller();
    state_poller(const state_poller&) = delete;
    state_poller& operator=(const state_poller&) = delete;

    void set_endpoints(std::vector<catalog::endpoint> endpoints);
    void start();
    /// The handler is not called after this function returns.
    void stop();

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace tarragonquay::endpoints
