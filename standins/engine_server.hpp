#pragma once

#include <memory>
#include <string>

#include "standins/engine_streams.hpp"

namespace tarragonquay::standins
{

/// The HTTP interface of an engine and its admin interface.
class engine_server
{
public:
    engine_server(asio::io_context& io, const engine_options& options);

    asio::awaitable<void> handle(
        const http_request& request, http_connection& peer);
    /// Refreshes the load figures that /control/state shows.
    asio::awaitable<void> sample_load();

private:
    struct load_sample
    {
        int running = 0;
        int waiting = 0;
        std::int64_t unix_ms = 0;
    };

    asio::awaitable<void> complete(
        const http_request& request, http_connection& peer);
    asio::awaitable<void> resume_or_cancel(
        const http_request& request, http_connection& peer);
    asio::awaitable<void> command(
        const http_request& request, http_connection& peer);
    asio::awaitable<void> send_events(std::shared_ptr<engine_stream> stream,
        std::string echo, int offset, http_connection& peer);
    asio::awaitable<void> send_whole(std::shared_ptr<engine_stream> stream,
        std::string echo, http_connection& peer);
    /// An answer that refuses the request, or status 0 when it may run.
    http_answer refusal(const http_request& request, const json& body) const;
    std::string echo_of(const http_request& request);
    http_answer state() const;
    http_answer admin(const http_request& request);
    void set_faults(const json& change);
    void take_sample();

    const engine_options& options_;
    engine_faults faults_;
    engine_memory memory_;
    engine_streams streams_;
    seen_list seen_;
    load_sample sample_;
    bool leaving_ = false;
    std::int64_t requests_ = 0;
    std::int64_t requests_while_leaving_ = 0;
    std::string previous_request_id_;
};

} // namespace tarragonquay::standins
