#pragma once

#include <utility>

#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "common/clock.hpp"
#include "gateway/context.hpp"
#include "gateway/document_feed.hpp"
#include "gateway/documents.hpp"
#include "gateway/listener.hpp"
#include "gateway/peer_link.hpp"
#include "gateway/placement_agent.hpp"
#include "placement/lease_keeper.hpp"
#include "remote_store/http_table_store.hpp"

namespace tarragonquay::gateway
{

/// A gateway process: serves callers' requests and runs the control loops, all
/// on one thread.
template <remote_store::store_codec Codec>
class application
{
public:
    /// Access to the settings file, which is reloaded after SIGHUP or a change.
    struct settings_source
    {
        std::function<result<settings::gateway_settings>()> read;
        /// Changes whenever the file changes; 0 when it can't be read.
        std::function<std::int64_t()> modification_time;
    };

    static result<std::unique_ptr<application>> create(
        settings::gateway_settings settings, dialect wire_dialect,
        settings_source source);

    /// Serves until SIGTERM or SIGINT, then lets the running requests finish
    /// until the stop deadline.
    void run();

private:
    using store = remote_store::http_table_store<Codec>;
    using lease = placement::lease_keeper<store, suspend_aware_clock>;

    application(settings::gateway_settings settings, dialect wire_dialect,
        log::json_log log, settings_source source);

    void apply_freeze_bound();
    result<void> listen();
    void start_feeds();
    void count_store_calls();
    void start_lease();
    void wait_for_signal();
    void schedule_tick();
    void tick();
    void tick_lease(time_point now);
    void note_running(time_point now);
    /// Tells all parts that the store is known to be in this era. `source` is
    /// written to the log.
    void note_era(std::int64_t era, const char* source);
    void update_feeds(time_point now);
    std::chrono::milliseconds feed_pause(time_point now) const;
    void check_settings(time_point now);
    void reload();
    void begin_stop();
    void refuse_new_requests();
    void check_stop_complete();
    void interrupt_requests();
    void wait_for_stop_complete();
    text_answer answer_readiness(const std::string& target);
    text_answer answer_entries(const std::string& target);
    text_answer answer_metrics();
    std::vector<std::string> entries_for(const std::string& zone);
    void accept_caller(boost::asio::ip::tcp::socket socket);
    void log_exception(const std::exception_ptr& failure);

    boost::asio::io_context io_{1};
    context ctx_;
    suspend_aware_clock lease_clock_;
    store store_;
    documents documents_;
    document_feed<store> configuration_feed_;
    document_feed<store> directory_feed_;
    peer_link peers_;
    std::optional<lease> lease_;
    std::optional<placement_agent> placement_;
    settings_source source_;
    std::int64_t settings_modified_at_ = 0;
    time_point next_settings_check_{};
    const time_point started_at_ = std::chrono::steady_clock::now();
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer stop_timer_;
    std::unique_ptr<tcp_listener> callers_;
    std::unique_ptr<tcp_listener> entries_;
    std::unique_ptr<tcp_listener> readiness_;
    std::unique_ptr<tcp_listener> metrics_;
};

} // namespace tarragonquay::gateway

#include "gateway/application.ipp"
