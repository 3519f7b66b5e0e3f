#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "support/process.hpp"

namespace tarragonquay::test_support
{

/// One server-sent event.
struct sse_event
{
    /// Empty for events without a name.
    std::string name;
    std::string id;
    std::string data;

    bool operator==(const sse_event&) const = default;
};

struct http_call
{
    std::string method = "GET";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
    milliseconds time = milliseconds(10'000);
    /// Runs for each event as it arrives; false closes the connection.
    std::function<bool(const sse_event&)> on_event;
};

struct http_reply
{
    /// 0 when no header arrived.
    int status = 0;
    /// Names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    /// Whether the whole body arrived.
    bool complete = false;
    std::vector<sse_event> events;

    nlohmann::json json() const;
};

/// Blocking HTTP client that keeps its connection open between calls.
class http_client
{
public:
    explicit http_client(std::string address);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    http_reply send(const http_call& call);
    /// Whether the connection is open after the last call.
    bool connected() const;

private:
    struct connection;
    std::unique_ptr<connection> connection_;
};

/// One call over a new connection.
http_reply send_once(const std::string& address, const http_call& call);
http_reply fetch(const std::string& address, const std::string& target);
/// POST with a JSON body over a new connection.
http_reply post(const std::string& address, const std::string& target,
    const nlohmann::json& body,
    std::map<std::string, std::string> headers = {});

} // namespace tarragonquay::test_support
