// Stand-ins for the scripts of the second review: a store, HTTP servers and
// clients on loopback addresses, and the gateways as processes.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace kit
{

using nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const clock::time_point began = clock::now();

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - began)
        .count();
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// Whether the disruption of the case is played.
inline bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

class record_file
{
public:
    void open(const std::string& path) { out_.open(path); }
    template <class... Parts>
    void line(const Parts&... parts)
    {
        const std::lock_guard hold(lock_);
        const auto ms = now_ms();
        out_ << ms / 1000 << '.' << (ms / 100) % 10 << (ms / 10) % 10 << ms % 10
             << " s  ";
        (out_ << ... << parts);
        out_ << std::endl;
    }

private:
    std::mutex lock_;
    std::ofstream out_;
};

inline record_file record;

// A socket with a buffer of what was read. Waits no longer than it is told.
class channel
{
public:
    explicit channel(int fd = -1) : fd_(fd) {}
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    ~channel() { close(); }

    static std::unique_ptr<channel> connect(int port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0)
        {
            ::close(fd);
            return nullptr;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return std::make_unique<channel>(fd);
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            const auto count = ::send(
                fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads more bytes into the buffer. False at the end, after a failure and
    // when none come in time.
    bool fill(clock::time_point until, std::size_t at_most = 65536)
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - clock::now())
                .count();
        pollfd wait{fd_, POLLIN, 0};
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
        {
            timed_out = true;
            return false;
        }
        std::string part(at_most, '\0');
        const auto count = ::recv(fd_, part.data(), part.size(), 0);
        reset = count < 0;
        if (count <= 0)
            return false;
        buffer.append(part.data(), static_cast<std::size_t>(count));
        return true;
    }

    // Whether the peer has closed the connection.
    bool closed() const
    {
        pollfd wait{fd_, POLLIN | POLLRDHUP, 0};
        return ::poll(&wait, 1, 0) > 0 &&
               (wait.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    void abort()
    {
        const linger hard{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        close();
    }

    void close()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }

    int fd() const { return fd_; }

    std::string buffer;
    bool reset = false;
    bool timed_out = false;

private:
    int fd_;
};

inline std::string lower(std::string text)
{
    for (auto& each : text)
        each =
            static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
    return text;
}

struct message
{
    // Start line, split at spaces.
    std::vector<std::string> start;
    // Names in lower case.
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    std::string path() const { return start[1].substr(0, start[1].find('?')); }
    std::string query(const std::string& name) const
    {
        const auto mark = start[1].find('?');
        if (mark == std::string::npos)
            return {};
        std::istringstream parts(start[1].substr(mark + 1));
        std::string part;
        while (std::getline(parts, part, '&'))
            if (part.substr(0, part.find('=')) == name)
            {
                const auto raw = part.substr(part.find('=') + 1);
                std::string out;
                for (std::size_t i = 0; i < raw.size(); ++i)
                    if (raw[i] == '%' && i + 2 < raw.size())
                    {
                        out += static_cast<char>(
                            std::stoi(raw.substr(i + 1, 2), nullptr, 16));
                        i += 2;
                    }
                    else
                        out += raw[i];
                return out;
            }
        return {};
    }
};

inline bool read_head(channel& from, message& out, clock::time_point until)
{
    std::size_t end = 0;
    while ((end = from.buffer.find("\r\n\r\n")) == std::string::npos)
        if (!from.fill(until))
            return false;
    std::istringstream lines(from.buffer.substr(0, end));
    from.buffer.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    std::istringstream words(line);
    for (std::string word; words >> word;)
        out.start.push_back(word);
    while (std::getline(lines, line))
    {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        out.fields[lower(line.substr(0, colon))] = value;
    }
    return out.start.size() >= 2;
}

inline bool read_line(channel& from, std::string& out, clock::time_point until)
{
    std::size_t end = 0;
    while ((end = from.buffer.find("\r\n")) == std::string::npos)
        if (!from.fill(until))
            return false;
    out = from.buffer.substr(0, end);
    from.buffer.erase(0, end + 2);
    return true;
}

inline bool read_count(
    channel& from, std::string& out, std::size_t count, clock::time_point until)
{
    while (from.buffer.size() < count)
        if (!from.fill(until))
            return false;
    out.append(from.buffer, 0, count);
    from.buffer.erase(0, count);
    return true;
}

// Reads a body with a length or in chunks. False when it is incomplete.
inline bool read_body(channel& from, message& out, clock::time_point until)
{
    if (out.field("transfer-encoding") == "chunked")
    {
        std::string line;
        while (read_line(from, line, until))
        {
            const auto size = std::stoul(line, nullptr, 16);
            if (size == 0)
                return read_line(from, line, until);
            if (!read_count(from, out.body, size, until) ||
                !read_line(from, line, until))
                return false;
        }
        return false;
    }
    const auto length = out.field("content-length");
    return length.empty() ||
           read_count(from, out.body, std::stoul(length), until);
}

// Serves each connection on a thread of its own. The handler answers one
// request; it returns whether the connection stays open.
class server
{
public:
    using handler = std::function<bool(channel&, const message&)>;

    ~server() { stop(); }

    int listen(handler serve, int port = 0)
    {
        serve_ = std::move(serve);
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
            ::listen(fd_, 512) != 0)
            throw std::runtime_error("no port to listen on");
        socklen_t size = sizeof(at);
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        open_ = true;
        acceptor_ = std::thread([this] { accept(); });
        return port_;
    }

    // Closes the port and resets all connections, as the end of a process does.
    void stop()
    {
        if (!open_.exchange(false))
            return;
        ::shutdown(fd_, SHUT_RDWR);
        acceptor_.join();
        ::close(fd_);
        const std::lock_guard hold(lock_);
        for (const int each : connections_)
        {
            const linger hard{1, 0};
            ::setsockopt(each, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
            ::shutdown(each, SHUT_RDWR);
        }
    }

    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    // How a connection reads: bytes in each step, and the pause after it.
    std::atomic<int> step_bytes = 65536;

private:
    void accept()
    {
        while (open_)
        {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard hold(lock_);
                connections_.insert(fd);
            }
            std::thread([this, fd] { run(fd); }).detach();
        }
    }

    void run(int fd)
    {
        {
            channel peer(fd);
            try
            {
                bool open = true;
                while (open && open_)
                {
                    message request;
                    const auto until = clock::now() + std::chrono::minutes(3);
                    if (!read_head(peer, request, until))
                        break;
                    if (on_head)
                        on_head(peer, request);
                    if (!read_body(peer, request, until))
                        break;
                    open = open_ && serve_(peer, request);
                }
            }
            catch (const std::exception&)
            {
            }
            const std::lock_guard hold(lock_);
            connections_.erase(fd);
        }
    }

public:
    // Called when the head of a request was read, before its body is.
    std::function<void(channel&, const message&)> on_head;

private:
    handler serve_;
    int fd_ = -1;
    int port_ = 0;
    std::atomic<bool> open_ = false;
    std::thread acceptor_;
    std::mutex lock_;
    std::set<int> connections_;
};

using field_list = std::vector<std::pair<std::string, std::string>>;

inline std::string answer_text(
    int status, const field_list& fields, const std::string& body)
{
    std::ostringstream out;
    out << "HTTP/1.1 " << status << " Status\r\n";
    for (const auto& [name, value] : fields)
        out << name << ": " << value << "\r\n";
    out << "Content-Length: " << body.size() << "\r\n\r\n" << body;
    return out.str();
}

inline bool answer_json(channel& to, int status, const json& body)
{
    return to.send(answer_text(
        status, {{"Content-Type", "application/json"}}, body.dump()));
}

inline std::string encode_base64(const std::string& bytes)
{
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group =
                group << 8U |
                (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                      : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k > bytes.size() ? '='
                                        : digits[group >> (18 - 6 * k) & 63U];
    }
    return out;
}

// The platform's store: rows, transactions and feeds, as PROTOCOL.md says.
class store
{
public:
    store()
    {
        server_.listen([this](channel& peer, const message& request)
            { return handle(peer, request); });
    }

    void put(
        const std::string& table, const std::string& key, const json& value)
    {
        const std::lock_guard hold(lock_);
        rows_[{table, key}] = {encode_base64(value.dump()), ++version_, false};
        changed_.notify_all();
    }

    void erase(const std::string& table, const std::string& key)
    {
        const std::lock_guard hold(lock_);
        rows_[{table, key}] = {"", ++version_, true};
        changed_.notify_all();
    }

    std::string address() const { return server_.address(); }

private:
    struct row
    {
        std::string value;
        std::int64_t version = 0;
        bool deleted = false;
    };
    using row_key = std::pair<std::string, std::string>;

    static json to_json(const row_key& key, const row& from)
    {
        json out = {{"table", key.first}, {"part", ""}, {"key", key.second},
            {"ver", from.version}};
        if (from.deleted)
            out["deleted"] = true;
        else
            out["value"] = from.value;
        return out;
    }

    json answer(json rows) const
    {
        return {{"rows", std::move(rows)}, {"more_pages", false},
            {"ver", version_}, {"now_ms", now_ms()}};
    }

    bool handle(channel& peer, const message& request)
    {
        const auto path = request.path();
        sleep_ms(4);
        if (path == "/-/rows-get")
            return answer_json(peer, 200, get(request));
        if (path == "/-/rows-feed")
            return answer_json(peer, 200, feed(request));
        if (path == "/-/rows-tx")
        {
            int status = 200;
            const auto body = transact(json::parse(request.body), status);
            return answer_json(peer, status, body);
        }
        return answer_json(peer, 404, json::object());
    }

    json get(const message& request)
    {
        const std::lock_guard hold(lock_);
        const auto table = request.query("table");
        const auto from = request.query("from");
        const auto to = request.query("to");
        json rows = json::array();
        for (const auto& [key, value] : rows_)
            if (key.first == table && key.second >= from &&
                (to.empty() || key.second < to) && !value.deleted)
                rows.push_back(to_json(key, value));
        return answer(rows);
    }

    json feed(const message& request)
    {
        std::unique_lock hold(lock_);
        const auto table = request.query("table");
        const auto after = std::stoll(request.query("after"));
        const auto until =
            clock::now() + milliseconds(std::stoll(request.query("wait_ms")));
        while (true)
        {
            std::map<std::int64_t, json> ordered;
            for (const auto& [key, value] : rows_)
                if (key.first == table && value.version > after)
                    ordered[value.version] = to_json(key, value);
            if (!ordered.empty() || clock::now() >= until)
            {
                json rows = json::array();
                for (const auto& [version, each] : ordered)
                    rows.push_back(each);
                return answer(rows);
            }
            changed_.wait_until(hold, until);
        }
    }

    json transact(const json& body, int& status)
    {
        const std::lock_guard hold(lock_);
        for (const auto& each : body.at("if_revision"))
        {
            const row_key key{each.at("table"), each.at("key")};
            const auto found = rows_.find(key);
            const bool exists = found != rows_.end() && !found->second.deleted;
            if ((exists ? found->second.version : 0) == each.at("ver"))
                continue;
            status = 412;
            return answer(exists ? json::array({to_json(key, found->second)})
                                 : json::array());
        }
        ++version_;
        for (const auto& each : body.at("puts"))
            rows_[{each.at("table"), each.at("key")}] = {
                each.at("value"), version_, false};
        for (const auto& each : body.at("remove"))
            rows_[{each.at("table"), each.at("key")}] = {"", version_, true};
        changed_.notify_all();
        return {{"ver", version_}, {"now_ms", now_ms()}};
    }

    std::mutex lock_;
    std::condition_variable changed_;
    std::map<row_key, row> rows_;
    std::int64_t version_ = 0;
    server server_;
};

// A port below those that the kernel gives to connections, so that none takes
// it before the process that is to listen there. Scripts that run at the same
// time use different ranges.
inline int free_port()
{
    static int next = 12'000 + static_cast<int>(::getpid() % 100) * 200;
    while (true)
    {
        const int port = next++;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool free =
            ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
        ::close(fd);
        if (free)
            return port;
    }
}

struct reply
{
    // 0 when the connection ended without a whole answer.
    int status = 0;
    message head;
    std::string how;
};

// One request over a connection. `on_event` sees the body as it arrives.
inline reply send_request(channel& over, const std::string& method,
    const std::string& target, const field_list& fields,
    const std::string& body, milliseconds wait)
{
    std::ostringstream out;
    out << method << ' ' << target << " HTTP/1.1\r\n";
    for (const auto& [name, value] : fields)
        out << name << ": " << value << "\r\n";
    if (method != "GET")
        out << "Content-Length: " << body.size() << "\r\n";
    out << "\r\n";
    const auto until = clock::now() + wait;
    reply got;
    if (!over.send(out.str() + body) || !read_head(over, got.head, until) ||
        !read_body(over, got.head, until))
    {
        got.how = over.timed_out ? "no whole answer in time"
                  : got.head.start.empty()
                      ? "the connection ended without an answer"
                      : "the connection ended inside the answer";
        return got;
    }
    got.status = std::stoi(got.head.start[1]);
    got.how = "answered " + got.head.start[1];
    return got;
}

inline reply send_once(int port, const std::string& method,
    const std::string& target, const field_list& fields,
    const std::string& body, milliseconds wait)
{
    const auto over = channel::connect(port);
    if (!over)
    {
        reply got;
        got.how = "no connection";
        return got;
    }
    return send_request(*over, method, target, fields, body, wait);
}

// A process of the deploy file's command.
class gateway
{
public:
    gateway(std::string name, const std::string& folder,
        const std::string& store_address, int seed_port = 0)
        : name_(std::move(name)), folder_(folder)
    {
        for (auto* each : {&callers, &entries, &readiness, &peers, &metrics})
            *each = free_port();
        const auto at = [](int port)
        { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        file_ = folder + "/" + name_ + ".yaml";
        // What platform/settings.yaml.in becomes for a small deployment.
        std::ofstream(file_)
            << "instance: \"" << name_ << "\"\n"
            << "availability_zone: \"zone-a\"\nregion: \"region-a\"\n"
            << "listen:\n  callers: " << at(callers)
            << "\n  readiness: " << at(readiness)
            << "\n  entries: " << at(entries) << "\n  peers: " << at(peers)
            << "\n  metrics: " << at(metrics) << "\nseeds: ["
            << at(seed_port == 0 ? peers : seed_port) << "]\n"
            << "processor_share: 0.25\nstore: {address: \"" << store_address
            << "\"}\nbounds:\n  stop_s: 8\n  entries_keep_s: 5\n"
            << "  placement_lease_ms: 3000\n  endpoint_heartbeat_ms: 1200\n"
            << "  repeat_ratio: 0.2\n  repeat_window_s: 10\n"
            << "  repeat_slack: 54\n  load_window_s: 5\n"
            << "  load_overshoot: 1.1\n";
    }
    ~gateway() { kill(); }

    void start()
    {
        const auto log = folder_ + "/" + name_ + ".log";
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl("target/bin/tqgatewayd", "target/bin/tqgatewayd", "--settings",
            file_.c_str(), nullptr);
        ::_exit(127);
    }

    bool ready() const
    {
        return send_once(readiness, "GET", "/-/readyz", {{"Host", "h"}}, "",
                   milliseconds(1000))
                   .status == 200;
    }

    bool wait_ready(std::int64_t ms) const
    {
        for (const auto until = now_ms() + ms; now_ms() < until; sleep_ms(100))
            if (ready())
                return true;
        return false;
    }

    // Resident memory of the process.
    std::int64_t memory_bytes() const
    {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
        std::int64_t all = 0;
        std::int64_t resident = 0;
        in >> all >> resident;
        return resident * ::sysconf(_SC_PAGESIZE);
    }

    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }

    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }

    // A field of the latest event of this kind in the log; empty without one.
    std::string last_logged(
        const std::string& event, const std::string& field) const
    {
        std::ifstream in(folder_ + "/" + name_ + ".log");
        std::string out;
        for (std::string line; std::getline(in, line);)
        {
            const auto parsed = json::parse(line, nullptr, false);
            if (parsed.is_object() && parsed.value("event", "") == event)
                out = parsed.value(field, "");
        }
        return out;
    }

    bool running()
    {
        return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0;
    }

    int callers = 0;
    int entries = 0;
    int readiness = 0;
    int peers = 0;
    int metrics = 0;
    const std::string& name() const { return name_; }

private:
    std::string name_;
    std::string folder_;
    std::string file_;
    pid_t pid_ = -1;
};

// A temporary folder that is removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "tq-review-XXXXXX")
                .string();
        path_ = ::mkdtemp(name.data());
    }
    ~temporary_folder()
    {
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(path_);
        else
            std::cerr << path_ << '\n';
    }
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

// Runs a case; its argument is the folder of the case. Ends without waiting
// for the threads of the stand-ins.
inline int run_case(int argc, char** argv, const std::function<int()>& play)
{
    ::signal(SIGPIPE, SIG_IGN);
    if (argc < 2)
        return could_not_run;
    record.open(std::string(argv[1]) + "/record.txt");
    int result = could_not_run;
    try
    {
        record.line(trouble() ? "with" : "without", " the disruption");
        result = play();
    }
    catch (const std::exception& failure)
    {
        record.line("could not run: ", failure.what());
    }
    record.line(result == held     ? "the rule held"
                : result == broken ? "the rule is broken"
                                   : "the case could not run");
    std::cout << (result == held        ? "held"
                     : result == broken ? "broken"
                                        : "could not run")
              << std::endl;
    std::_Exit(result);
}

} // namespace kit
