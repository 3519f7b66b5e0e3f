#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "common/clock.hpp"

namespace tarragonquay::load
{

/// One request as it goes on the wire.
struct outgoing
{
    std::string address;
    std::string method = "GET";
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    time_point deadline;
};

struct timed_event
{
    time_point arrived;
    std::string name;
    std::string id;
    std::string data;
};

/// What came back, whole or not.
struct incoming
{
    /// 0 when no header arrived.
    int status = 0;
    bool connected = false;
    /// Whether the body arrived up to its end.
    bool complete = false;
    std::string request_id;
    std::string body;
    std::vector<timed_event> events;
    time_point first_byte;
    time_point finished;
};

/// Runs the request over a new connection until the answer or the deadline.
boost::asio::awaitable<incoming> run_exchange(outgoing request);

} // namespace tarragonquay::load
