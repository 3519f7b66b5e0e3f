// Stand-ins for the review cases: the platform's table service, replicas and
// clients, and a runner for gateways. Plain POSIX sockets on 127.0.0.1, one
// thread a connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace kit
{

using nlohmann::json;
using steady = std::chrono::steady_clock;

inline const steady::time_point started = steady::now();

inline long now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        steady::now() - started)
        .count();
}

inline void sleep_ms(long ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline void sleep_until_ms(long at)
{
    std::this_thread::sleep_until(started + std::chrono::milliseconds(at));
}

/// TROUBLE=0 runs a case without its disruption.
inline bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Writes record.txt: one line for each thing that was sent, answered or run.
class record
{
public:
    explicit record(const std::string& file) : out_(file) {}
    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        out_ << now_ms() << " ms " << text << "\n" << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

inline std::string lower(std::string text)
{
    for (auto& each : text)
        each =
            static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
    return text;
}

/// A socket with a read buffer.
class stream
{
public:
    explicit stream(int fd) : fd_(fd)
    {
        const int one = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~stream() { close(); }
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    void close()
    {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }
    int fd() const { return fd_; }

    bool write(const std::string& data)
    {
        std::size_t done = 0;
        while (done < data.size())
        {
            const auto n = ::send(
                fd_, data.data() + done, data.size() - done, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            done += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Reads more bytes; false at the end, on an error or after the time.
    bool fill(long timeout_ms = -1)
    {
        pollfd wait{fd_, POLLIN, 0};
        if (::poll(&wait, 1, static_cast<int>(timeout_ms)) <= 0)
        {
            timed_out = true;
            return false;
        }
        char part[65536];
        const auto n = ::recv(fd_, part, sizeof part, 0);
        if (n <= 0)
        {
            was_reset = n < 0;
            return false;
        }
        buffer.append(part, static_cast<std::size_t>(n));
        return true;
    }

    std::string buffer;
    bool timed_out = false;
    bool was_reset = false;

private:
    int fd_;
};

struct message
{
    /// "GET /x HTTP/1.1" or "HTTP/1.1 200 OK".
    std::string first;
    std::map<std::string, std::string> headers;
    std::string body;
    bool complete = false;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
    std::string path() const
    {
        const auto all = target();
        return all.substr(0, all.find('?'));
    }
    std::string query(const std::string& name) const
    {
        const auto all = target();
        auto at = all.find('?');
        while (at != std::string::npos)
        {
            const auto end = all.find('&', at + 1);
            const auto part = all.substr(at + 1,
                end == std::string::npos ? std::string::npos : end - at - 1);
            if (part.rfind(name + "=", 0) == 0)
                return decode(part.substr(name.size() + 1));
            at = end;
        }
        return {};
    }
    int status() const
    {
        return first.rfind("HTTP/", 0) == 0 ? std::atoi(first.c_str() + 9) : 0;
    }
    static std::string decode(const std::string& text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i)
            if (text[i] == '%' && i + 2 < text.size())
            {
                out += static_cast<char>(
                    std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            else
                out += text[i];
        return out;
    }
};

inline bool read_line(stream& from, std::string& out, long deadline)
{
    while (true)
    {
        const auto end = from.buffer.find("\r\n");
        if (end != std::string::npos)
        {
            out = from.buffer.substr(0, end);
            from.buffer.erase(0, end + 2);
            return true;
        }
        const auto left = deadline < 0 ? -1 : std::max(0L, deadline - now_ms());
        if (!from.fill(left))
            return false;
    }
}

inline bool read_bytes(
    stream& from, std::size_t count, std::string& out, long deadline)
{
    while (from.buffer.size() < count)
    {
        const auto left = deadline < 0 ? -1 : std::max(0L, deadline - now_ms());
        if (!from.fill(left))
            return false;
    }
    out += from.buffer.substr(0, count);
    from.buffer.erase(0, count);
    return true;
}

/// Reads a request or an answer. `first` is empty when none came.
inline message read_message(stream& from, long deadline = -1)
{
    message out;
    if (!read_line(from, out.first, deadline))
    {
        out.first.clear();
        return out;
    }
    std::string text;
    while (true)
    {
        if (!read_line(from, text, deadline))
            return out;
        if (text.empty())
            break;
        const auto colon = text.find(':');
        auto value =
            colon == std::string::npos ? std::string() : text.substr(colon + 1);
        while (!value.empty() && value.front() == ' ')
            value.erase(0, 1);
        out.headers[lower(text.substr(0, colon))] = value;
    }
    if (out.header("transfer-encoding") == "chunked")
    {
        while (true)
        {
            if (!read_line(from, text, deadline))
                return out;
            const auto size = std::stoul(text, nullptr, 16);
            if (size != 0 && !read_bytes(from, size, out.body, deadline))
                return out;
            if (!read_line(from, text, deadline))
                return out;
            if (size == 0)
                break;
        }
        out.complete = true;
        return out;
    }
    const auto length = out.header("content-length");
    if (!length.empty())
        out.complete = read_bytes(from, std::stoul(length), out.body, deadline);
    else
        out.complete = true;
    return out;
}

inline std::string answer_text(int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : headers)
        out += name + ": " + value + "\r\n";
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return out + body;
}

inline std::unique_ptr<stream> dial(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
    {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<stream>(fd);
}

inline int bind_loopback(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
    {
        std::perror("bind");
        std::exit(2);
    }
    return fd;
}

inline int port_of(int fd)
{
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
}

inline int free_port()
{
    const int fd = bind_loopback(0);
    const int port = port_of(fd);
    ::close(fd);
    return port;
}

/// Accepts connections and gives each one to the handler on its own thread.
class server
{
public:
    using handler = std::function<void(std::shared_ptr<stream>)>;
    explicit server(handler on_connection, int port = 0)
        : fd_(bind_loopback(port)), on_connection_(std::move(on_connection))
    {
        ::listen(fd_, 512);
        port_ = port_of(fd_);
        std::thread([this] { accept_all(); }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void accept_all()
    {
        while (true)
        {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            std::thread(
                [this, fd] { on_connection_(std::make_shared<stream>(fd)); })
                .detach();
        }
    }
    int fd_;
    int port_ = 0;
    handler on_connection_;
};

inline std::string base64(const std::string& in)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3)
    {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
            bits = bits << 8U |
                   (i + j < in.size() ? static_cast<unsigned char>(in[i + j])
                                      : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            out +=
                i + j <= in.size() ? digits[bits >> (18 - 6 * j) & 63U] : '=';
    }
    return out;
}

/// The platform's table service: rows-tx, rows-get and rows-feed.
class table_service
{
public:
    table_service()
        : server_([this](std::shared_ptr<stream> peer) { serve(*peer); })
    {
    }
    std::string address() const { return server_.address(); }

    /// Writes a row as the operator or a replica; returns when acknowledged.
    std::int64_t put(
        const std::string& table, const std::string& key, const json& value)
    {
        const std::lock_guard lock(mutex_);
        write_row(table, key, base64(value.dump()));
        ++version_;
        changed_.notify_all();
        return version_;
    }
    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        auto& row = tables_[table][key];
        row.version = version_ + 1;
        row.deleted = true;
        ++version_;
        changed_.notify_all();
    }
    /// The connections that are open now carry nothing more, without a reset;
    /// new ones work.
    void silence_open_connections() { ++silent_before_; }
    int feeds_waiting() const { return feeds_waiting_; }

private:
    struct row
    {
        std::string value;
        std::int64_t version = 0;
        bool deleted = false;
    };

    void write_row(const std::string& table, const std::string& key,
        const std::string& value)
    {
        tables_[table][key] = {value, version_ + 1, false};
    }

    void serve(stream& peer)
    {
        const int generation = silent_before_;
        while (true)
        {
            const auto request = read_message(peer);
            if (!request.complete)
                return;
            const auto reply = answer(request, generation);
            while (generation != silent_before_)
                if (!peer.fill())
                    return;
            if (!peer.write(reply))
                return;
        }
    }

    static std::string reply_json(int status, const json& body)
    {
        return answer_text(
            status, {{"Content-Type", "application/json"}}, body.dump());
    }

    json to_json(const std::string& table, const std::string& key,
        const row& from, bool with_table)
    {
        json out = {{"key", key}, {"ver", from.version}, {"part", ""}};
        if (with_table)
            out["table"] = table;
        if (from.deleted)
            out["deleted"] = true;
        else
            out["value"] = from.value;
        return out;
    }

    std::string answer(const message& request, int generation)
    {
        std::unique_lock lock(mutex_);
        if (request.path() == "/-/rows-get")
        {
            json rows = json::array();
            const auto from = request.query("from");
            const auto to = request.query("to");
            for (const auto& [key, each] : tables_[request.query("table")])
                if (!each.deleted && key >= from && (to.empty() || key < to))
                    rows.push_back(
                        to_json(request.query("table"), key, each, false));
            return reply_json(
                200, {{"rows", rows}, {"ver", version_}, {"now_ms", now_ms()},
                         {"more_pages", false}});
        }
        if (request.path() == "/-/rows-feed")
            return feed(request, lock, generation);
        if (request.path() == "/-/rows-tx")
            return transact(json::parse(request.body));
        return reply_json(404, json::object());
    }

    std::string feed(const message& request, std::unique_lock<std::mutex>& lock,
        int generation)
    {
        const auto table = request.query("table");
        const auto after = std::stoll(request.query("after"));
        const auto until = steady::now() + std::chrono::milliseconds(std::stoll(
                                               request.query("wait_ms")));
        ++feeds_waiting_;
        json rows = json::array();
        while (generation == silent_before_)
        {
            std::map<std::int64_t, json> sorted;
            for (const auto& [key, each] : tables_[table])
                if (each.version > after)
                    sorted.emplace(
                        each.version, to_json(table, key, each, false));
            for (auto& [version, each] : sorted)
                rows.push_back(std::move(each));
            if (!rows.empty() ||
                changed_.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        --feeds_waiting_;
        return reply_json(
            200, {{"rows", rows}, {"ver", version_}, {"now_ms", now_ms()}});
    }

    std::string transact(const json& call)
    {
        json current = json::array();
        bool met = true;
        for (const auto& each : call.value("if_revision", json::array()))
        {
            auto& rows = tables_[each.at("table")];
            const auto key = each.at("key").get<std::string>();
            const auto found = rows.find(key);
            const bool exists = found != rows.end() && !found->second.deleted;
            met = met && each.at("ver").get<std::int64_t>() ==
                             (exists ? found->second.version : 0);
            if (exists)
                current.push_back(
                    to_json(each.at("table"), key, found->second, true));
        }
        if (!met)
            return reply_json(412,
                {{"rows", current}, {"ver", version_}, {"now_ms", now_ms()}});
        for (const auto& each : call.value("puts", json::array()))
            write_row(each.at("table"), each.at("key"), each.at("value"));
        for (const auto& each : call.value("remove", json::array()))
            tables_[each.at("table")][each.at("key")] = {
                "", version_ + 1, true};
        ++version_;
        changed_.notify_all();
        return reply_json(200, {{"ver", version_}, {"now_ms", now_ms()}});
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::int64_t version_ = 10;
    std::atomic<int> silent_before_ = 0;
    std::atomic<int> feeds_waiting_ = 0;
    server server_;
};

/// What `end_case` has to clean up.
inline std::vector<std::string> folders;
inline std::vector<pid_t> children;

/// Temporary folder, removed at the end of the case.
class scratch
{
public:
    scratch()
    {
        char name[] = "/tmp/tq-review-XXXXXX";
        path = ::mkdtemp(name);
        folders.push_back(path);
    }
    std::string path;
};

/// Ends the case with this result: 0 if the rule held, 1 if it was broken, 2 if
/// the case could not run. Ends the gateways, but does not wait for the threads
/// of the stand-ins, which may still use them.
[[noreturn]] inline void end_case(record& log, int result)
{
    log.line("exit " + std::to_string(result));
    for (const auto child : children)
    {
        ::kill(child, SIGKILL);
        ::waitpid(child, nullptr, 0);
    }
    std::error_code ignored;
    for (const auto& folder : folders)
        std::filesystem::remove_all(folder, ignored);
    std::fflush(nullptr);
    std::_Exit(result);
}

/// Bounds of SYSTEM.md that the settings template asks for.
struct bounds
{
    int grace_s = 8;
    int ttl_max_s = 5;
    int lease_ms = 3000;
};

/// A process of the deploy file, with settings like the template's.
class gateway
{
public:
    gateway(const scratch& folder, int index, const std::string& store,
        int own_control, const std::vector<int>& seeds, std::string log = {})
        : front(free_port()),
          ready_port(free_port()),
          directory(free_port()),
          control(own_control)
    {
        const auto name = "front-" + std::to_string(index);
        file_ = folder.path + "/" + name + ".yaml";
        std::ofstream out(file_);
        out << "instance: \"" << name << "\"\navailability_zone: \"zone-a\"\n"
            << "region: \"region\"\nlisten:\n"
            << "  callers: \"127.0.0.1:" << front << "\"\n"
            << "  readiness: \"127.0.0.1:" << ready_port << "\"\n"
            << "  entries: \"127.0.0.1:" << directory << "\"\n"
            << "  peers: \"127.0.0.1:" << control << "\"\n"
            << "  metrics: \"127.0.0.1:" << free_port() << "\"\nseeds: [";
        for (std::size_t i = 0; i < seeds.size(); ++i)
            out << (i ? ", " : "") << "\"127.0.0.1:" << seeds[i] << "\"";
        const bounds b;
        out << "]\nprocessor_share: 0.25\nstore: {address: \"" << store
            << "\"}\nbounds:\n  stop_s: " << b.grace_s
            << "\n  entries_keep_s: " << b.ttl_max_s
            << "\n  placement_lease_ms: " << b.lease_ms
            << "\n  repeat_ratio: 0.2\n  repeat_window_s: 10\n"
               "  repeat_slack: 54\n  load_window_s: 5\n  load_overshoot: "
               "1.1\n";
        out.close();
        log_ = log.empty() ? folder.path + "/" + name + ".log" : log;
        start();
    }
    void start()
    {
        const auto* path = "target/bin/tqgatewayd";
        if (::access(path, X_OK) != 0)
        {
            std::fprintf(stderr, "%s is missing\n", path);
            std::exit(2);
        }
        pid = ::fork();
        if (pid == 0)
        {
            // Ends with the case, however the case ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out =
                ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("TARRAGONQUAY_CONFIG", file_.c_str(), 1);
            ::execl(path, path, "--settings", file_.c_str(), nullptr);
            ::_exit(127);
        }
        children.push_back(pid);
    }
    void signal(int number) const
    {
        if (pid > 0)
            ::kill(pid, number);
    }
    void stop(int number)
    {
        if (pid <= 0)
            return;
        ::kill(pid, number);
        ::waitpid(pid, nullptr, 0);
        std::erase(children, pid.load());
        pid = -1;
    }
    bool ready() const
    {
        auto peer = dial(ready_port);
        if (!peer || !peer->write("GET /-/readyz HTTP/1.1\r\nHost: h\r\n\r\n"))
            return false;
        return read_message(*peer, now_ms() + 1000).status() == 200;
    }
    long memory_kb() const
    {
        std::ifstream in("/proc/" + std::to_string(pid) + "/status");
        std::string text;
        while (std::getline(in, text))
            if (text.rfind("VmRSS:", 0) == 0)
                return std::atol(text.c_str() + 6);
        return 0;
    }

    int front;
    int ready_port;
    int directory;
    int control;
    std::atomic<pid_t> pid = -1;

private:
    std::string file_;
    std::string log_;
};

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline json plain_entry(const std::string& service, const std::string& address,
    std::int64_t born, const std::string& state = "ready")
{
    return {{"service", service}, {"address", address}, {"zone", "zone-a"},
        {"version", "v1"}, {"slots", 64}, {"state", state},
        {"cold_remaining_ms", 0}, {"stage", "both"}, {"models", json::array()},
        {"sequence", 1}, {"born", born}};
}

inline json plain_route(const std::string& prefix, const std::string& kind,
    const std::string& service, int timeout_ms = 5000)
{
    return {{"name", "r-" + service + kind}, {"hostname", "desk.example"},
        {"prefix", prefix}, {"route_type", kind}, {"timeout_ms", timeout_ms},
        {"target_latency_ms", 150}, {"priority", 2}, {"service", service},
        {"max_attempts", kind == "safe" ? 2 : 1}, {"anonymous", false},
        {"session_affinity", false}, {"resumable", false}};
}

inline json plain_service(const std::string& name)
{
    return {{"name", name}, {"health_path", "/healthz"},
        {"max_connections", 1000}, {"protocol", "h1"}, {"tls", false}};
}

inline json caller_limits()
{
    return {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
}

inline std::string request_text(const std::string& method,
    const std::string& target, const std::string& id, const std::string& key,
    long deadline_ms, const std::string& body, const std::string& extra = {})
{
    return method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\n" +
           "Request-Id: " + id + "\r\nCredential: " + key + "\r\n" +
           "Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + extra +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Runs a case, which ends with `end_case`.
inline int run_case(
    int argc, char** argv, const std::function<void(record&)>& run)
{
    if (argc != 2)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    auto& log = *new record(argv[1]);
    log.line(trouble() ? "with the disruption" : "without the disruption");
    try
    {
        run(log);
    }
    catch (const std::exception& failure)
    {
        log.line(std::string("failed: ") + failure.what());
    }
    end_case(log, 2);
}

inline bool wait_until(const std::function<bool()>& condition, long ms)
{
    const auto end = now_ms() + ms;
    while (now_ms() < end)
    {
        if (condition())
            return true;
        sleep_ms(20);
    }
    return condition();
}

} // namespace kit
