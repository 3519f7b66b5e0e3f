#include <utility>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <set>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "common/base64.hpp"
#include "standins/http.hpp"
#include "standins/programs.hpp"

namespace tarragonquay::standins
{
namespace
{

/// Usual time between two events of a stream.
constexpr double usual_event_ms = 10;
constexpr int events_of_a_stream = 5;
/// Time between two looks for changes while a feed waits.
constexpr double feed_poll_ms = 10;

/// One clock for all endpoints of the process.
std::int64_t monotonic_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// Rows with versions, change feeds and conditional transactions, over HTTP.
class row_store
{
public:
    asio::awaitable<void> handle(
        const http_request& request, http_connection& peer)
    {
        if (request.path == "/admin/put")
            co_await peer.answer(put(request.body_json()));
        else if (request.path == "/admin/down")
        {
            down_ = request.body_json().value("down", false);
            co_await peer.answer(json_answer(json::object()));
        }
        else if (down_)
            co_await peer.answer(
                error_answer(503, "down", "the store is down"));
        else if (request.path == "/-/rows-tx")
            co_await peer.answer(transact(request.body_json()));
        else if (request.path == "/-/rows-get")
            co_await peer.answer(read(request));
        else if (request.path == "/-/rows-feed")
            co_await feed(request, peer);
        else
            co_await peer.answer(
                error_answer(404, "not_found", "no such call"));
    }

    /// Writes a row with this text.
    void put(const std::string& table, const std::string& key,
        const std::string& text)
    {
        rows_[{table, key}] = {encode_base64(text), ++version_, false};
    }

private:
    struct row
    {
        std::string value;
        std::int64_t version = 0;
        bool deleted = false;
    };
    using row_key = std::pair<std::string, std::string>;

    static row_key key_of(const json& entry)
    {
        return {entry.at("table"), entry.at("key")};
    }

    static json to_json(const row_key& key, const row& value)
    {
        json out = {{"table", key.first}, {"part", ""}, {"key", key.second},
            {"ver", value.version}};
        if (value.deleted)
            out["deleted"] = true;
        else
            out["value"] = value.value;
        return out;
    }

    // Test writes: {"table", "key", "value"}; the value is JSON, null erases.
    http_answer put(const json& body)
    {
        const auto& value = body.at("value");
        if (value.is_null())
            rows_[key_of(body)] = {"", ++version_, true};
        else
            put(body.at("table"), body.at("key"), value.dump());
        return json_answer({{"ver", version_}});
    }

    http_answer transact(const json& body)
    {
        for (const auto& each : body.at("if_revision"))
        {
            const auto found = rows_.find(key_of(each));
            const bool exists = found != rows_.end() && !found->second.deleted;
            if ((exists ? found->second.version : 0) != each.at("ver"))
                return json_answer(
                    {{"rows", exists ? json::array({to_json(
                                           found->first, found->second)})
                                     : json::array()},
                        {"ver", version_}, {"now_ms", 0}},
                    412);
        }
        ++version_;
        for (const auto& each : body.at("puts"))
            rows_[key_of(each)] = {each.at("value"), version_, false};
        for (const auto& each : body.at("remove"))
            rows_[key_of(each)] = {"", version_, true};
        return json_answer({{"ver", version_}, {"now_ms", 0}});
    }

    http_answer read(const http_request& request) const
    {
        const auto table = request.query.at("table");
        const auto from = request.query.count("from") != 0
                              ? request.query.at("from")
                              : std::string();
        const auto to = request.query.count("to") != 0 ? request.query.at("to")
                                                       : std::string();
        json found = json::array();
        for (const auto& [key, value] : rows_)
            if (key.first == table && key.second >= from &&
                (to.empty() || key.second < to) && !value.deleted)
                found.push_back(to_json(key, value));
        return json_answer({{"rows", found}, {"more_pages", false},
            {"ver", version_}, {"now_ms", 0}});
    }

    http_answer rows_answer(const json& found) const
    {
        return json_answer({{"rows", found}, {"ver", version_}, {"now_ms", 0}});
    }

    json changes(const std::string& table, std::int64_t after) const
    {
        std::map<std::int64_t, json> ordered;
        for (const auto& [key, value] : rows_)
            if (key.first == table && value.version > after)
                ordered[value.version] = to_json(key, value);
        json out = json::array();
        for (auto& [version, value] : ordered)
            out.push_back(std::move(value));
        return out;
    }

    asio::awaitable<void> feed(
        const http_request& request, http_connection& peer)
    {
        const auto table = request.query.at("table");
        const auto after = request.number("after", 0);
        auto left = static_cast<double>(request.number("wait_ms", 0));
        auto found = changes(table, after);
        for (; found.empty() && left > 0 && !down_; left -= feed_poll_ms)
        {
            co_await sleep_ms(feed_poll_ms);
            found = changes(table, after);
        }
        co_await peer.answer(rows_answer(found));
    }

    std::map<row_key, row> rows_;
    std::int64_t version_ = 0;
    bool down_ = false;
};

/// A model engine and a plain service at once; counts what it ran.
class replica
{
public:
    replica(std::string id, std::string service)
        : id_(std::move(id)), service_(std::move(service))
    {
    }

    const std::string& id() const { return id_; }

    json entry(const std::string& address, const std::string& state) const
    {
        return {{"service", service_}, {"address", address}, {"zone", "z1"},
            {"version", "v1"}, {"slots", 4}, {"state", state}, {"born", 1},
            {"sequence", sequence_}, {"models", models()}};
    }

    asio::awaitable<void> handle(
        const http_request& request, http_connection& peer)
    {
        if (request.path == "/admin/runs")
            co_await peer.answer(what_ran());
        else if (request.path == "/admin/faults")
        {
            cut_streams_ = request.body_json().value("cut_streams", 0);
            lose_answers_ = request.body_json().value("lose_answers", 0);
            event_ms_ = request.body_json().value("event_ms", usual_event_ms);
            co_await peer.answer(json_answer(json::object()));
        }
        else if (request.path == "/-/report")
            co_await peer.answer(report());
        else if (expects_another(request))
            co_await peer.answer(misdirected());
        else if (request.path == "/-/order")
            co_await peer.answer(order(request.body_json()));
        else
            co_await serve(request, peer);
    }

private:
    http_answer what_ran() const
    {
        return json_answer({{"runs", runs_}, {"orders", orders_},
            {"seen", seen_}, {"commands", commands_}});
    }

    http_answer report() const
    {
        return json_answer({{"born", 1}, {"models", models()}, {"busy", false},
            {"sequence", sequence_}, {"running", 0}, {"waiting", 0}});
    }

    http_answer misdirected() const
    {
        auto out = json_answer(json::object(), 421);
        out.headers.emplace_back("Instance-Id", id_);
        return out;
    }

    http_answer own_answer(const http_request& request) const
    {
        auto out = json_answer({{"ran_at", id_}});
        out.headers = headers_of(request);
        return out;
    }

    json models() const
    {
        json out = json::array();
        for (const auto& [name, adapters] : held_)
            out.push_back(
                {{"name", name}, {"version", 1}, {"adapters", adapters}});
        return out;
    }

    bool expects_another(const http_request& request) const
    {
        const auto expected = request.header("Expect-Instance");
        return !expected.empty() && expected != id_;
    }

    http_answer order(const json& body)
    {
        ++orders_;
        commands_.push_back({{"at_ms", monotonic_ms()},
            {"holder", body.value("holder", std::string())},
            {"fence", body.value("fence", std::int64_t(0))}});
        if (body.value("if_revision", sequence_) != sequence_)
            return json_answer(json::object(), 409);
        const std::string model = body.at("model");
        const std::string adapter = body.value("adapter", std::string());
        const bool load = body.at("op") == "load";
        if (adapter.empty() && load)
            held_[model];
        else if (adapter.empty())
            held_.erase(model);
        else if (load)
            held_[model].insert(adapter);
        else
            held_[model].erase(adapter);
        ++sequence_;
        return json_answer(json::object(), 202);
    }

    static header_list headers_of(const http_request& request)
    {
        return {{"Request-Id", request.header("Request-Id")},
            {"Response-Stamp", "stamp"}};
    }

    asio::awaitable<void> serve(
        const http_request& request, http_connection& peer)
    {
        const auto model = request.header("Model");
        if (!model.empty() && !holds(model))
        {
            co_await peer.answer(json_answer(json::object(), 421));
            co_return;
        }
        ++runs_[request.header("Request-Id")];
        json seen = json::object();
        for (const auto& [name, value] : request.headers)
            seen[name] = value;
        seen_.push_back(seen);
        if (lose_answers_ > 0)
        {
            --lose_answers_;
            peer.abort();
        }
        else if (model.empty())
            co_await peer.answer(own_answer(request));
        else
            co_await stream(request, peer);
    }

    bool holds(const std::string& model) const
    {
        const auto slash = model.find('/');
        const auto found = held_.find(model.substr(0, slash));
        return found != held_.end() &&
               (slash == std::string::npos ||
                   found->second.count(model.substr(slash + 1)) != 0);
    }

    static std::string event_text(int id)
    {
        return fmt::format("id: {0}\ndata: {0}\n\n", id);
    }

    asio::awaitable<void> stream(
        const http_request& request, http_connection& peer)
    {
        const auto last = request.header("Last-Event-Id");
        const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        const bool begun = co_await peer.begin_stream(headers_of(request));
        if (!begun)
            co_return;
        for (int id = first; id <= events_of_a_stream; ++id)
        {
            if (cut_streams_ > 0 && id == 3)
            {
                --cut_streams_;
                peer.abort();
                co_return;
            }
            const bool sent = co_await peer.send_chunk(event_text(id));
            if (!sent)
                co_return;
            co_await sleep_ms(event_ms_);
        }
        co_await peer.finish_stream();
    }

    const std::string id_;
    const std::string service_;
    std::map<std::string, std::set<std::string>> held_;
    std::int64_t sequence_ = 0;
    std::map<std::string, int> runs_;
    int orders_ = 0;
    // Commands in the order in which they arrived, also refused ones.
    json commands_ = json::array();
    json seen_ = json::array();
    int cut_streams_ = 0;
    int lose_answers_ = 0;
    double event_ms_ = usual_event_ms;
};

// The rest of a configuration comes from the tests.
void run_http_platform(const std::string& listen)
{
    asio::io_context io;
    auto store = std::make_shared<row_store>();
    listen_or_throw(io, "store", listen,
        [store](const http_request& request, http_connection& peer)
        { return store->handle(request, peer); });
    const std::vector<std::pair<std::string, std::string>> replicas = {
        {"e1", "llm"}, {"e2", "llm"}, {"s1", "orders"}, {"s2", "orders"}};
    for (const auto& [id, service] : replicas)
    {
        auto one = std::make_shared<replica>(id, service);
        auto address = serve_http(io, "127.0.0.1:0",
            [one](const http_request& request, http_connection& peer)
            { return one->handle(request, peer); });
        if (!address)
            throw std::runtime_error(address.error().message());
        store->put("servers", id, one->entry(*address, "ready").dump());
        print_listening(id, *address);
    }
    run_until_signal(io);
}

} // namespace

void add_http_platform(CLI::App& app)
{
    auto* command = app.add_subcommand("http-platform",
        "A table service over HTTP with two engines and two plain endpoints");
    auto listen = std::make_shared<std::string>("127.0.0.1:0");
    command->add_option("--listen", *listen, "Address of the store");
    command->callback([listen] { run_http_platform(*listen); });
}

} // namespace tarragonquay::standins
