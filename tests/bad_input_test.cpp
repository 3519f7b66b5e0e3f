#include <utility>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <zmq.hpp>

#include "peer.pb.h"
#include "support/deployment.hpp"
#include "support/http_client.hpp"
#include "support/mutation.hpp"
#include "support/timeline.hpp"

namespace tarragonquay::test_support
{
namespace
{

namespace asio = boost::asio;
using nlohmann::json;
using tcp = asio::ip::tcp;

constexpr std::uint64_t seed = 20261204;
/// What an instance may use, from the sizes that the design is made for.
constexpr std::int64_t memory_limit_bytes = 256'000'000;

tcp::endpoint to_endpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

/// A connection on which any bytes can be sent.
class raw_connection
{
public:
    explicit raw_connection(const std::string& address) : socket_(io_)
    {
        socket_.connect(to_endpoint(address));
        const timeval limit{20, 0};
        for (const int option : {SO_RCVTIMEO, SO_SNDTIMEO})
            setsockopt(socket_.native_handle(), SOL_SOCKET, option, &limit,
                sizeof(limit));
    }

    /// The peer may close the connection in the middle.
    void send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            const auto count = ::send(socket_.native_handle(),
                bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return;
            sent += static_cast<std::size_t>(count);
        }
    }

    /// All bytes until the peer closes the connection.
    std::string receive()
    {
        std::string all(4096, '\0');
        std::size_t size = 0;
        for (;;)
        {
            all.resize(size + 4096);
            const auto count =
                ::recv(socket_.native_handle(), all.data() + size, 4096, 0);
            if (count <= 0)
                break;
            size += static_cast<std::size_t>(count);
        }
        all.resize(size);
        return all;
    }

private:
    asio::io_context io_;
    tcp::socket socket_;
};

/// An endpoint that answers each connection with the next text, whatever it
/// was asked.
class hostile_endpoint
{
public:
    explicit hostile_endpoint(std::vector<std::string> answers)
        : answers_(std::move(answers)),
          acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          thread_([this] { serve(); })
    {
    }
    ~hostile_endpoint()
    {
        stopping_ = true;
        // Wakes the blocking accept.
        tcp::socket last(io_);
        boost::system::error_code ignored;
        last.connect(acceptor_.local_endpoint(), ignored);
        last.close(ignored);
        thread_.join();
    }
    hostile_endpoint(const hostile_endpoint&) = delete;
    hostile_endpoint& operator=(const hostile_endpoint&) = delete;

    std::string address() const
    {
        return loopback(acceptor_.local_endpoint().port());
    }
    std::size_t served() const { return served_; }

private:
    void serve()
    {
        while (!stopping_)
        {
            boost::system::error_code ec;
            tcp::socket socket(io_);
            acceptor_.accept(socket, ec);
            std::string request(4096, '\0');
            if (!ec)
                socket.read_some(asio::buffer(request), ec);
            if (!ec)
                asio::write(socket,
                    asio::buffer(answers_[served_ % answers_.size()]), ec);
            ++served_;
        }
    }

    const std::vector<std::string> answers_;
    asio::io_context io_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> served_{0};
    std::thread thread_;
};

std::string request_text(const std::string& start, const std::string& headers,
    const std::string& body)
{
    return fmt::format("{} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{}"
                       "Content-Length: {}\r\n\r\n{}",
        start, headers, body.size(), body);
}

class bad_input_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bad_input_test);
    CPPUNIT_TEST(bad_requests_get_typed_refusals);
    CPPUNIT_TEST(slow_senders_keep_memory_bounded);
    CPPUNIT_TEST(hostile_endpoint_keeps_others_served);
    CPPUNIT_TEST(damaged_peer_messages_are_dropped);
    CPPUNIT_TEST(bad_operator_requests_are_refused);
    CPPUNIT_TEST(bad_settings_are_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that is run, or ends the connection without
    // an answer, because it was decoded leniently.
    void bad_requests_get_typed_refusals()
    {
        const std::string key = "X-Api-Key: " + all().secret + "\r\n";
        const auto completion = [&](const std::string& body)
        { return request_text("POST /v1/chat/completions", key, body); };
        std::string many_headers;
        for (int i = 0; i < 2000; ++i)
            many_headers += fmt::format("X-H{}: value\r\n", i);
        std::string hidden = R"({"order":"h","note":")";
        for (const char c : all().secret)
            hidden += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
        hidden += "\"}";
        const std::string start = "POST /services/orders/send HTTP/1.1\r\n";
        struct bad_case
        {
            std::string name;
            std::string text;
            std::string code;
        };
        const std::vector<bad_case> cases{
            {"no HTTP", "what is this\r\n\r\n", "invalid_argument"},
            {"header flood", request_text("GET /healthz", many_headers, ""),
                "payload_too_large"},
            {"long target",
                request_text("GET /" + std::string(40'000, 'a'), "", ""),
                "payload_too_large"},
            {"long body", start + "Content-Length: 900000000\r\n\r\n",
                "payload_too_large"},
            {"negative length", start + "Content-Length: -1\r\n\r\n",
                "invalid_argument"},
            {"two lengths",
                start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                "invalid_argument"},
            {"length and chunks",
                start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"
                        "\r\n0\r\n\r\n",
                "invalid_argument"},
            {"bad chunk",
                start + key + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                "invalid_argument"},
            {"deadline",
                request_text("GET /healthz", "X-Deadline-Ms: soon\r\n", ""),
                "invalid_argument"},
            {"path", request_text("GET /services/orders/%2e%2e/x", key, ""),
                "invalid_argument"},
            {"hidden key",
                request_text("POST /services/orders/send", key, hidden),
                "invalid_argument"},
            {"no JSON", completion("{"), "invalid_argument"},
            {"nesting", completion(std::string(1'000'000, '[')),
                "invalid_argument"},
            {"type",
                completion(
                    R"({"model":1,"messages":[{"role":"u","content":"c"}]})"),
                "invalid_argument"},
            {"messages", completion(R"({"model":"m","messages":{}})"),
                "invalid_argument"},
            {"UTF-8", completion("{\"model\":\"\xff\"}"), "invalid_argument"},
        };
        run(
            [&]
            {
                for (const auto& one : cases)
                {
                    raw_connection caller(all().system->entry(0));
                    caller.send(one.text);
                    const auto answer = caller.receive();
                    const auto message = one.name + ": " + answer;
                    CPPUNIT_ASSERT_MESSAGE(
                        message, answer.starts_with("HTTP/1.1 4"));
                    CPPUNIT_ASSERT_MESSAGE(message,
                        answer.find('"' + one.code + '"') != std::string::npos);
                    CPPUNIT_ASSERT_MESSAGE(message,
                        answer.find("\"not_run\"") != std::string::npos);
                }
                const auto orders =
                    fetch(all().system->service_address(0), "/admin/orders");
                CPPUNIT_ASSERT_EQUAL(
                    std::string::npos, orders.body.find("\"h\""));
            });
    }

    // Guards against callers that fill the memory with requests which they
    // never finish.
    void slow_senders_keep_memory_bounded()
    {
        run(
            [&]
            {
                constexpr std::size_t part = 7'900'000;
                const auto start = fmt::format(
                    "POST /services/orders/send HTTP/1.1\r\nHost: x\r\n"
                    "Content-Length: {}\r\n\r\n",
                    part + 1);
                const std::string body(part, 'x');
                std::vector<std::unique_ptr<raw_connection>> slow;
                for (int i = 0; i < 60; ++i)
                {
                    slow.push_back(std::make_unique<raw_connection>(
                        all().system->entry(0)));
                    slow.back()->send(start + body);
                    assert_memory_bounded();
                }
                for (int i = 0; i < 200; ++i)
                {
                    slow.push_back(std::make_unique<raw_connection>(
                        all().system->entry(0)));
                    slow.back()->send("GET /healthz HTTP/1.1\r\nX-Slow: ");
                }
                all().assert_serving();
                assert_memory_bounded();
                // The last large one found no room and was told so.
                const auto answer = slow.at(59)->receive();
                CPPUNIT_ASSERT_MESSAGE(
                    answer, answer.starts_with("HTTP/1.1 503"));
                CPPUNIT_ASSERT_MESSAGE(
                    answer, answer.find("\"overloaded\"") != std::string::npos);
            });
    }

    // Guards against an endpoint whose answers stop the daemon or get into
    // an answer to a caller.
    void hostile_endpoint_keeps_others_served()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        mutator random(seed);
        std::vector<std::string> answers{"", "\r\n\r\n", "HTTP/1.1 999 x\r\n",
            ok + "Content-Length: 99999999999999999999\r\n\r\n",
            ok + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
            ok + std::string(100'000, 'h'),
            ok + "Content-Length: 1000000\r\n\r\n" +
                std::string(1'000'000, '[')};
        const std::string state =
            R"({"incarnation":"i","capacity_bytes":9,"used_bytes":-1})";
        for (int i = 0; i < 50; ++i)
        {
            const auto body = random.damage(state);
            answers.push_back(random.damage(
                fmt::format("{}Content-Length: {}\r\nX-Request-Id: x\r\n\r\n{}",
                    ok, body.size(), body)));
        }
        run(
            [&]
            {
                const hostile_endpoint hostile(answers);
                all().command({"service", "put", "hostile"});
                for (const std::string id : {"h-engine", "h-service"})
                {
                    std::vector<std::string> arguments{"endpoint", "put", id,
                        "--endpoint-address", hostile.address(), "--zone", "z1",
                        "--region", "r1"};
                    if (id == "h-service")
                        arguments.insert(
                            arguments.end(), {"--service", "hostile"});
                    all().command(arguments);
                }
                std::size_t calls = 0;
                const bool all_sent = eventually(
                    [&]
                    {
                        http_call call;
                        call.target = "/services/hostile/x";
                        call.headers = {{"X-Api-Key", all().secret},
                            {"X-Deadline-Ms", "500"}};
                        const auto reply =
                            send_once(all().system->entry(0), call);
                        CPPUNIT_ASSERT(reply.complete);
                        CPPUNIT_ASSERT_MESSAGE(reply.body, reply.status >= 500);
                        ++calls;
                        return hostile.served() >= 2 * answers.size() ||
                               calls >= 40;
                    },
                    milliseconds(40'000));
                CPPUNIT_ASSERT(all_sent);
                CPPUNIT_ASSERT(hostile.served() > 0);
                all().assert_serving();
                all().command({"endpoint", "remove", "h-engine"});
                all().command({"endpoint", "remove", "h-service"});
            });
    }

    // Guards against a message on the peer port that stops the daemon, makes
    // it serve nobody, or changes its view.
    void damaged_peer_messages_are_dropped()
    {
        run(
            [&]
            {
                const auto address = all().system->peer_address(0);
                {
                    raw_connection noise(address);
                    noise.send(std::string(100'000, '\xff'));
                }
                zmq::context_t context(1);
                zmq::socket_t socket(context, zmq::socket_type::dealer);
                socket.set(zmq::sockopt::linger, 2000);
                socket.set(zmq::sockopt::sndtimeo, 2000);
                socket.connect("tcp://" + address);
                peer::Envelope envelope;
                envelope.set_from_instance("stranger");
                envelope.set_from_incarnation("1");
                envelope.set_from_address("127.0.0.1:1");
                mutator random(seed);
                for (int i = 0; i < 5000; ++i)
                {
                    switch (i % 5)
                    {
                    case 0:
                        envelope.mutable_heartbeat()->set_applied_revision(
                            1'000'000);
                        break;
                    case 1:
                        envelope.mutable_catch_up_reply();
                        break;
                    case 2:
                        envelope.mutable_push();
                        break;
                    case 3:
                        envelope.mutable_share_transfer();
                        break;
                    default:
                        envelope.mutable_demand_report();
                    }
                    const auto text =
                        random.damage(envelope.SerializeAsString());
                    socket.send(zmq::buffer(text), zmq::send_flags::none);
                }
                for (int i = 0; i < 4; ++i)
                    socket.send(zmq::buffer(std::string(7'000'000, 'x')),
                        zmq::send_flags::none);
                all().assert_serving();
            });
    }

    // Guards against operators' input that is accepted in part.
    void bad_operator_requests_are_refused()
    {
        run(
            [&]
            {
                const std::vector<std::vector<std::string>> commands{
                    {"workspace", "put", "bad id", "--rate", "1", "--burst",
                        "1"},
                    {"workspace", "put", "x", "--rate", "-1", "--burst", "1"},
                    {"workspace", "put", std::string(5000, 'x'), "--rate", "1",
                        "--burst", "1"},
                    {"key", "issue", "k2", "--workspace", "missing"},
                    {"endpoint", "put", "x", "--endpoint-address", "nowhere",
                        "--zone", "z1", "--region", "r1"},
                    {"order", "show", "w", "missing"},
                    {"service", "put", "s", "--route", "/x:GET:sometimes"}};
                for (const auto& command : commands)
                {
                    const auto refused = all().system->tqctl(0, command);
                    CPPUNIT_ASSERT_MESSAGE(
                        fmt::format("{} {}", command[0], command[2]),
                        refused.exit_code != 0);
                    CPPUNIT_ASSERT_MESSAGE(command[2], !refused.errors.empty());
                }
                raw_connection noise(all().system->operator_address(0));
                noise.send(std::string(100'000, '\xff'));
                all().assert_serving();
            });
    }

    // Guards against a daemon that starts with settings it misread.
    void bad_settings_are_refused()
    {
        for (const std::string text :
            {"", "[1, 2]", "instance: {a: b}\n", "instance: [", "\xff\xfe",
                "instance: i1\nunknown: 1\n", "traffic_threads: many\n"})
        {
            const auto path = all().folder + "/bad.yaml";
            std::ofstream(path) << text;
            const auto refused =
                process::run("tarragonquayd", {"--settings", path});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 2, refused.exit_code);
            CPPUNIT_ASSERT_MESSAGE(text + ": " + refused.errors,
                refused.errors.find("invalid_settings: " + path + ":") !=
                    std::string::npos);
        }
    }

private:
    /// One daemon with an order service for all tests of this program.
    struct shared_system
    {
        shared_system()
        {
            deployment_options options;
            options.daemons = 1;
            options.engines = 1;
            system = deployment::start(options);
            CPPUNIT_ASSERT(system->wait_healthy(0));
            system->put_workspace("w", 1'000'000, 1'000'000);
            secret = system->issue_key("k", "w");
            system->put_service("orders");
            system->put_endpoints("orders");
            folder = (std::filesystem::temp_directory_path() / "tq-bad-XXXXXX")
                         .string();
            CPPUNIT_ASSERT(mkdtemp(folder.data()) != nullptr);
        }
        ~shared_system() { std::filesystem::remove_all(folder); }
        shared_system(const shared_system&) = delete;
        shared_system& operator=(const shared_system&) = delete;

        void command(const std::vector<std::string>& arguments) const
        {
            const auto outcome = system->tqctl(0, arguments);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome.errors, 0, outcome.exit_code);
        }

        /// The daemon is alive and serves a caller.
        void assert_serving() const
        {
            CPPUNIT_ASSERT(system->daemon(0).running());
            http_call call;
            call.target = "/services/orders/status/x";
            call.headers = {{"X-Api-Key", secret}};
            CPPUNIT_ASSERT(eventually([&]
                { return send_once(system->entry(0), call).status == 200; },
                milliseconds(30'000)));
        }

        std::unique_ptr<deployment> system;
        std::string secret;
        std::string folder;
    };

    static shared_system& all()
    {
        static shared_system shared;
        return shared;
    }

    static void assert_memory_bounded()
    {
        const auto bytes = all().system->daemon(0).resident_bytes();
        CPPUNIT_ASSERT(bytes > 0);
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("{} bytes", bytes), bytes <= memory_limit_bytes);
    }

    /// After each test, the daemon still serves within its memory.
    static void run(const std::function<void()>& test)
    {
        with_timeline(*all().system, 0,
            [&]
            {
                all().assert_serving();
                test();
                all().assert_serving();
                assert_memory_bounded();
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bad_input_test);

} // namespace
} // namespace tarragonquay::test_support
