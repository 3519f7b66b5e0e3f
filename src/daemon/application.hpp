#pragma once

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "daemon/control_core.hpp"
#include "ingress/server.hpp"
#include "operators/service.hpp"
#include "orders/order_book.hpp"

namespace tarragonquay::daemon
{

/// Thread with its own io_context that serves connections of callers.
class traffic_thread
{
public:
    traffic_thread() : guard_(context_.get_executor()) {}
    ~traffic_thread() { stop(); }
    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;

    void start()
    {
        thread_ = std::thread([this] { context_.run(); });
    }
    void stop()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }
    boost::asio::any_io_executor executor() { return context_.get_executor(); }

private:
    // The hint 1 lets Asio omit locks, since only one thread runs the context.
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        guard_;
    std::thread thread_;
};

/// The daemon: its threads, listeners and graceful stop.
class application
{
public:
    /// Binds all listeners.
    static result<std::unique_ptr<application>> create(
        settings::daemon_settings settings);
    ~application();
    application(const application&) = delete;
    application& operator=(const application&) = delete;

    /// Runs until a planned stop has ended; the calling thread becomes the
    /// control thread.
    void run();

private:
    using order_book = orders::order_book<store::client>;

    explicit application(settings::daemon_settings settings);
    result<void> open();
    result<void> open_ingress();
    result<void> open_operators();
    void create_order_book(const catalog::member& local);

    ingress::control_port control_port();
    ingress::order_port order_port();
    operators::control_port operator_port();
    void show_order(const operators::Show_order_request& request,
        std::function<void(operators::Show_order_reply)> on_done);
    void resolve_order(const operators::Resolve_order_request& request,
        std::function<void(operators::Resolve_order_reply)> on_done);
    void show_timeline(const operators::Timeline_request& request,
        std::function<void(operators::Timeline_reply)> on_done);

    /// Runs a function on the control thread.
    void post(std::function<void()> task);
    /// Runs a function on the control thread after a delay.
    void post_after(duration delay, std::function<void()> task);

    // Steps of a planned stop, on the control thread.
    void begin_stop();
    void close_ingress();
    void leave_membership();
    void end();

    const settings::daemon_settings settings_;
    boost::asio::io_context control_{1};
    std::vector<std::unique_ptr<traffic_thread>> traffic_;
    catalog::published_state published_;
    events::recorder events_;
    metrics::registry metrics_;
    std::unique_ptr<store::client> store_;
    std::unique_ptr<control_core> core_;
    std::unique_ptr<order_book> orders_;
    std::unique_ptr<ingress::server> server_;
    std::unique_ptr<operators::service> operators_;
    boost::asio::signal_set signals_{control_};
    bool stopping_ = false;
    bool leave_started_ = false;
    std::thread shutdown_thread_;
    log::logger logger_ = log::make_logger("daemon");
};

} // namespace tarragonquay::daemon
