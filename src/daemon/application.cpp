#include <utility>

#include "daemon/application.hpp"

#include <csignal>
#include <iostream>

#include <boost/asio/post.hpp>

#include "daemon/identity.hpp"

namespace tarragonquay::daemon
{

namespace
{

// Time for the arrival of a request that was sent just before the response to
// GET /v1/entries expired.
constexpr std::chrono::seconds last_use_margin{1};
// Time to send error events to the streams that are open at the stop deadline.
constexpr std::chrono::seconds last_events_timeout{1};
// Time to transfer the shares and to leave the membership after the last
// request has ended.
constexpr std::chrono::seconds leave_timeout{5};
constexpr std::chrono::seconds operators_close_timeout{2};
constexpr std::chrono::seconds object_timeout{5};

} // namespace

application::application(settings::daemon_settings settings)
    : settings_(std::move(settings)),
      events_(settings_.instance.str(),
          static_cast<std::size_t>(settings_.events_kept))
{
}

// Handlers may be pending after an interrupted stop; no thread may run them
// while the members are destroyed.
application::~application()
{
    if (shutdown_thread_.joinable())
        shutdown_thread_.join();
    for (auto& thread : traffic_)
        thread->stop();
}

result<std::unique_ptr<application>> application::create(
    settings::daemon_settings settings)
{
    std::unique_ptr<application> created(new application(std::move(settings)));
    if (auto opened = created->open(); !opened)
        return tl::unexpected<error>(opened.error());
    return created;
}

result<void> application::open()
{
    auto store = store::client::create(settings_.platform_address);
    if (!store)
        return tl::unexpected<error>(store.error());
    store_ = std::move(*store);
    for (std::int64_t i = 0; i < settings_.traffic_threads; ++i)
        traffic_.push_back(std::make_unique<traffic_thread>());
    if (auto opened = open_ingress(); !opened)
        return opened;

    auto core = control_core::create(control_,
        {settings_, *store_, published_, events_, metrics_},
        with_port(settings_.listen.entry, server_->port()));
    if (!core)
        return tl::unexpected<error>(core.error());
    core_ = std::move(*core);
    create_order_book(core_->local());
    return open_operators();
}

result<void> application::open_ingress()
{
    ingress::server_settings options;
    options.listen_address = settings_.listen.entry;
    options.availability_zone = settings_.availability_zone;
    options.entries_keep = std::chrono::milliseconds(settings_.entries_keep_ms);
    ingress::server_services services;
    services.state = &published_;
    services.control = control_port();
    services.orders = order_port();
    services.events = &events_;
    services.metrics = &metrics_;
    services.waiting_for = [this] { return published_.waiting_for(); };
    std::vector<boost::asio::any_io_executor> executors;
    for (auto& thread : traffic_)
        executors.push_back(thread->executor());
    auto server = ingress::server::create(
        std::move(executors), std::move(options), std::move(services));
    if (!server)
        return tl::unexpected<error>(server.error());
    server_ = std::move(*server);
    return {};
}

result<void> application::open_operators()
{
    auto service = operators::service::create(
        {settings_.listen.operators, settings_.operator_tls.certificate_file,
            settings_.operator_tls.key_file},
        operator_port());
    if (!service)
        return tl::unexpected<error>(service.error());
    operators_ = std::move(*service);
    return {};
}

void application::create_order_book(const catalog::member& local)
{
    orders::order_environment environment;
    environment.instance = local.instance.str();
    environment.incarnation = local.incarnation;
    environment.now = [] { return std::chrono::steady_clock::now(); };
    environment.unix_ms = [] { return unix_ms(); };
    environment.new_id = [] { return unique_id(); };
    environment.after = [this](duration delay, std::function<void()> task)
    { post_after(delay, std::move(task)); };
    environment.membership = [this, local]() -> std::optional<std::int64_t>
    {
        const auto configuration = published_.current();
        const auto* member = configuration->find_member(local.instance);
        if (member == nullptr || member->incarnation != local.incarnation)
            return std::nullopt;
        return configuration->membership_revision();
    };
    // An epoch opens only after the removed members are fenced. An instance
    // with an older membership may not know the writer of the record yet.
    environment.is_fenced = [this](const std::string& instance,
                                const std::string& incarnation,
                                std::int64_t membership_revision)
    {
        const auto configuration = published_.current();
        if (!configuration->epoch_open() ||
            configuration->membership_revision() <= membership_revision)
            return false;
        const auto* member = configuration->find_member(instance_id(instance));
        return member == nullptr || member->incarnation != incarnation;
    };
    environment.put_object = [this](std::string name, std::string content,
                                 std::function<void(result<void>)> on_done)
    {
        store_->put_object(std::move(name), std::move(content),
            std::chrono::steady_clock::now() + object_timeout,
            [on_done](const result<bool>& stored) {
                on_done(stored ? result<void>()
                               : tl::unexpected<error>(stored.error()));
            });
    };
    environment.fetch_object =
        [this](
            std::string name, std::function<void(result<std::string>)> on_done)
    {
        store_->fetch_object(std::move(name),
            std::chrono::steady_clock::now() + object_timeout,
            [on_done](result<std::optional<std::string>> found)
            {
                if (!found)
                    return on_done(tl::unexpected<error>(found.error()));
                if (!*found)
                    return on_done(fail(
                        error_code::not_found, "the stored answer is missing"));
                on_done(std::move(**found));
            });
    };
    orders_ = std::make_unique<order_book>(*store_, std::move(environment));
}

void application::post(std::function<void()> task)
{
    boost::asio::post(control_, std::move(task));
}

void application::post_after(duration delay, std::function<void()> task)
{
    // Timers are not thread-safe, so the timer is created on the control
    // thread.
    post(
        [this, delay, task = std::move(task)]
        {
            auto timer =
                std::make_shared<boost::asio::steady_timer>(control_, delay);
            timer->async_wait(
                [timer, task](const boost::system::error_code& cancelled)
                {
                    if (!cancelled)
                        task();
                });
        });
}

void application::run()
{
    events_.record(events::kind::process_started, settings_.instance.str());
    std::cout << "listening entry "
              << with_port(settings_.listen.entry, server_->port()) << "\n"
              << "listening operator "
              << with_port(settings_.listen.operators, operators_->port())
              << "\n"
              << "listening peer " << core_->peer_address() << std::endl;
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.async_wait(
        [this](const boost::system::error_code& cancelled, int)
        {
            if (!cancelled)
                begin_stop();
        });
    core_->start();
    for (auto& thread : traffic_)
        thread->start();
    server_->start();
    TQ_LOG(logger_, info) << "Started.";
    control_.run();
    TQ_LOG(logger_, info) << "Stopped.";
}

void application::begin_stop()
{
    if (stopping_)
        return;
    stopping_ = true;
    TQ_LOG(logger_, info) << "Stopping.";
    events_.record(events::kind::process_stopping, settings_.instance.str());
    // Callers may use this address until the last response to GET /v1/entries
    // has expired.
    core_->begin_stopping(
        [this]
        {
            post_after(std::chrono::milliseconds(settings_.entries_keep_ms) +
                           last_use_margin,
                [this] { close_ingress(); });
        });
}

void application::close_ingress()
{
    server_->stop_accepting();
    server_->wait_until_idle([this] { post([this] { leave_membership(); }); });
    post_after(std::chrono::milliseconds(settings_.stop_ms),
        [this]
        {
            if (leave_started_)
                return;
            TQ_LOG(logger_, warning)
                << "Requests are still running at the stop deadline.";
            published_.publish_stop_deadline_passed();
            server_->end_requests();
            post_after(last_events_timeout, [this] { leave_membership(); });
        });
}

void application::leave_membership()
{
    if (std::exchange(leave_started_, true))
        return;
    core_->leave(
        std::chrono::steady_clock::now() + leave_timeout, [this] { end(); });
}

void application::end()
{
    // The shutdown blocks until calls in progress have ended, and these may
    // need the control thread.
    shutdown_thread_ = std::thread(
        [this]
        {
            operators_->shutdown(
                std::chrono::steady_clock::now() + operators_close_timeout);
            control_.stop();
        });
}

} // namespace tarragonquay::daemon
