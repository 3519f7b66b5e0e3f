#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "common/error.hpp"

namespace tarragonquay::standins
{

namespace asio = boost::asio;
using json = nlohmann::json;
using header_list = std::vector<std::pair<std::string, std::string>>;

/// A request as the server received it.
struct http_request
{
    std::string method;
    /// Path without the query.
    std::string path;
    std::map<std::string, std::string> query;
    /// Path and query, unchanged.
    std::string target;
    header_list headers;
    std::string body;

    /// First value of the header, ignoring case; empty when absent.
    std::string header(const std::string& name) const;
    /// Integer query parameter, or the fallback when absent.
    std::int64_t number(const std::string& name, std::int64_t fallback) const;
    /// Parses the body; an empty body is an empty object.
    json body_json() const;
};

struct http_answer
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    header_list headers;
};

/// An answer with a JSON body.
http_answer json_answer(const json& body, int status = 200);

/// An answer with the error body of the design page, section 3.1.
http_answer error_answer(
    int status, const std::string& code, const std::string& message);

/// The server's side of one connection while a request is handled.
class http_connection
{
public:
    virtual ~http_connection() = default;

    virtual asio::awaitable<void> answer(http_answer answer) = 0;
    /// Sends the whole header but only the first bytes of the body, then
    /// closes the connection.
    virtual asio::awaitable<void> answer_partly(
        http_answer answer, std::size_t bytes) = 0;
    /// Starts an answer with a chunked text/event-stream body.
    virtual asio::awaitable<bool> begin_stream(header_list headers) = 0;
    /// Sends one chunk; false when the connection is broken.
    virtual asio::awaitable<bool> send_chunk(std::string text) = 0;
    virtual asio::awaitable<void> finish_stream() = 0;
    /// Sends bytes as they are; false when the connection is broken.
    virtual asio::awaitable<bool> send_bytes(std::string text) = 0;
    /// Closes the connection without an answer.
    virtual void abort() = 0;
    /// Resets the connection.
    virtual void reset() = 0;
    /// Leaves the connection open and never answers.
    virtual asio::awaitable<void> stay_silent() = 0;
};

using http_handler =
    std::function<asio::awaitable<void>(const http_request&, http_connection&)>;

/// What a server shares with the coroutines of its connections.
struct http_server_state;

/// An HTTP server that can end and come back as a crashed process does.
class http_server
{
public:
    /// Accepts connections on the address and runs the handler for each
    /// request.
    static result<std::unique_ptr<http_server>> open(
        asio::io_context& io, const std::string& address, http_handler handler);
    ~http_server();

    /// The bound address, which differs from the given one when its port is 0.
    const std::string& address() const { return address_; }
    /// Closes all connections and refuses new ones. Keeps the address.
    void close();
    /// Accepts connections again after close().
    void reopen();

private:
    explicit http_server(std::shared_ptr<http_server_state> state);

    std::shared_ptr<http_server_state> state_;
    std::string address_;
};

/// Accepts connections on the address and runs the handler for each request.
/// Returns the bound address, which differs when the port is 0.
result<std::string> serve_http(
    asio::io_context& io, const std::string& address, http_handler handler);

/// One request to an HTTP server; the status, or 0 when it failed.
asio::awaitable<int> fetch_http(std::string address, std::string target);

/// Waits on the executor of the coroutine.
asio::awaitable<void> sleep_ms(double milliseconds);

/// Prints the line that tests wait for.
void print_listening(const std::string& name, const std::string& address);

/// Serves HTTP and prints the listening line; throws when it cannot listen.
void listen_or_throw(asio::io_context& io, const std::string& name,
    const std::string& address, const http_handler& handler);

/// Makes run_until_signal end as well when the parent is another process.
void set_parent_pid(int pid);
/// The process id that was set, or 0.
int expected_parent_pid();

/// Runs until SIGTERM or SIGINT.
void run_until_signal(asio::io_context& io);

/// Bounded list of the requests that a stand-in received.
class seen_list
{
public:
    void add(const http_request& request);
    json to_json() const;
    void clear() { requests_.clear(); }

private:
    static constexpr std::size_t max_requests = 2000;
    static constexpr std::size_t max_body_bytes = 65536;

    std::deque<json> requests_;
};

} // namespace tarragonquay::standins
