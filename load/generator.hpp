#pragma once

#include <map>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>

#include "load/report.hpp"
#include "load/scenario.hpp"

namespace tarragonquay::load
{

/// Sends open-loop load: arrivals do not wait for earlier answers, and
/// latencies count from the scheduled arrival.
class generator
{
public:
    generator(boost::asio::io_context& io, const scenario& plan,
        const run_options& options, report& results);

    /// Starts the arrivals of all workspaces; io.run() returns at the end.
    void start();

private:
    struct known_entries
    {
        std::vector<std::string> addresses;
        std::int64_t keep_until_unix_ms = 0;
    };

    boost::asio::awaitable<void> run_workspace(
        const workspace_load& load, std::uint64_t seed);
    boost::asio::awaitable<void> send_completion(const workspace_load& load,
        std::string body, time_point scheduled, std::string id);
    boost::asio::awaitable<void> send_order(
        const workspace_load& load, time_point scheduled, std::string id);
    boost::asio::awaitable<std::string> address_for(const workspace_load& load);
    boost::asio::awaitable<incoming> send(const workspace_load& load,
        outgoing request, std::string id, time_point scheduled);
    /// Forgets an address that refused a connection.
    void drop_address(const std::string& workspace, const std::string& address);
    std::string draw_body(const workspace_load& load, std::mt19937_64& random);

    boost::asio::io_context& io_;
    const scenario& plan_;
    const run_options& options_;
    report& results_;
    std::map<std::string, known_entries> entries_;
    std::size_t next_seed_entry_ = 0;
    std::int64_t sent_ = 0;
    int in_flight_ = 0;
    time_point end_;
};

} // namespace tarragonquay::load
