#include <utility>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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
/// Time from a part of an answer to the reset of its connection.
constexpr double reset_delay_ms = 20;
constexpr int events_of_a_stream = 5;
/// Time from a crash of an engine until it listens again.
constexpr double usual_down_ms = 1'500;
constexpr const char* usual_zone = "z1";
constexpr double ms_per_s = 1'000;
/// Time between two looks for changes while a feed waits.
constexpr double feed_poll_ms = 10;

/// Sends bytes without end, in this part of an answer: "head", "heads" (one
/// interim answer after another), "body" (without a length), "length" (with a
/// length), "chunks", "extension" (of a chunk) or "trailer"; or, for "stalled",
/// a part of a body and then nothing. `headers` belong to a sound answer.
asio::awaitable<void> send_endless(
    std::string kind, const header_list& headers, http_connection& peer)
{
    constexpr std::size_t part_bytes = 64UL << 10U;
    // 64 such answers fill the 32 MiB that all answers of a gateway share.
    constexpr std::size_t stalled_bytes = 512UL << 10U;
    std::string start = "HTTP/1.1 200 OK\r\n";
    for (const auto& [name, value] : headers)
        start += fmt::format("{}: {}\r\n", name, value);
    std::string part(part_bytes, 'x');
    if (kind == "heads")
    {
        start.clear();
        part.clear();
        while (part.size() < part_bytes)
            part += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    else if (kind == "head")
        start += "Filler: ";
    else if (kind == "body")
        start += "\r\n";
    else if (kind == "length" || kind == "stalled")
        start += "Content-Length: 1000000000000000\r\n\r\n";
    else
    {
        start += "Transfer-Encoding: chunked\r\n\r\n";
        if (kind == "chunks")
            part = fmt::format("{:x}\r\n{}\r\n", part.size(), part);
        else
            start += kind == "extension" ? "2;" : "2\r\nok\r\n0\r\nFiller: ";
    }
    bool open = co_await peer.send_bytes(std::move(start));
    for (std::size_t sent = 0; open; sent += part_bytes)
    {
        if (kind == "stalled" && sent >= stalled_bytes)
        {
            co_await peer.stay_silent();
            co_return;
        }
        open = co_await peer.send_bytes(part);
    }
}

/// One clock for all endpoints of the process.
std::int64_t monotonic_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// How the store turns away the callers of one of its addresses.
class admission
{
public:
    bool admits() const { return refusal_.empty(); }
    /// "many" answers 429, "busy" 503, "reset" resets the connection, "silent"
    /// never answers; empty ends the refusals.
    void set_refusal(std::string how) { refusal_ = std::move(how); }

    asio::awaitable<void> refuse(http_connection& peer) const
    {
        if (refusal_ == "reset")
            peer.abort();
        else if (refusal_ == "silent")
            co_await peer.stay_silent();
        else
            co_await peer.answer(error_answer(refusal_ == "many" ? 429 : 503,
                "refused", "the store turns this caller away"));
    }

private:
    std::string refusal_;
};

/// Rows with versions, change feeds and conditional transactions, over HTTP.
class row_store
{
public:
    /// Handles a call at an address that turns callers away at times.
    asio::awaitable<void> handle_apart(
        const http_request& request, http_connection& peer)
    {
        if (apart_.admits())
            co_await handle(request, peer, apart_);
        else
            co_await apart_.refuse(peer);
    }

    asio::awaitable<void> handle(
        const http_request& request, http_connection& peer)
    {
        return handle(request, peer, all_);
    }

    /// Writes a row with this text.
    void put(const std::string& table, const std::string& key,
        const std::string& text)
    {
        rows_[{table, key}] = {encode_base64(text), ++version_, false};
    }

    void erase(const std::string& table, const std::string& key)
    {
        rows_[{table, key}] = {"", ++version_, true};
    }

private:
    asio::awaitable<void> handle(const http_request& request,
        http_connection& peer, const admission& caller)
    {
        if (request.path == "/admin/put")
            co_await peer.answer(put(request.body_json()));
        else if (request.path == "/admin/down")
        {
            down_ = request.body_json().value("down", false);
            co_await peer.answer(json_answer(json::object()));
        }
        else if (request.path == "/admin/turn_away")
        {
            apart_.set_refusal(request.body_json().value("how", ""));
            co_await peer.answer(json_answer(json::object()));
        }
        else if (request.path == "/admin/endless")
        {
            endless_ = request.body_json().value("endless", std::string());
            co_await peer.answer(json_answer(json::object()));
        }
        else if (down_)
            co_await peer.answer(
                error_answer(503, "down", "the store is down"));
        else if (!endless_.empty())
            co_await send_endless(endless_, {}, peer);
        else if (request.path == "/-/rows-tx")
            co_await peer.answer(transact(request.body_json()));
        else if (request.path == "/-/rows-get")
            co_await peer.answer(read(request));
        else if (request.path == "/-/rows-feed")
            co_await feed(request, peer, caller);
        else
            co_await peer.answer(
                error_answer(404, "not_found", "no such call"));
    }

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

    asio::awaitable<void> feed(const http_request& request,
        http_connection& peer, const admission& caller)
    {
        const auto table = request.query.at("table");
        const auto after = request.number("after", 0);
        auto left = static_cast<double>(request.number("wait_ms", 0));
        auto found = changes(table, after);
        for (; found.empty() && left > 0 && !down_ && caller.admits();
             left -= feed_poll_ms)
        {
            co_await sleep_ms(feed_poll_ms);
            found = changes(table, after);
        }
        if (caller.admits())
            co_await peer.answer(rows_answer(found));
        else
            co_await caller.refuse(peer);
    }

    std::map<row_key, row> rows_;
    std::int64_t version_ = 0;
    bool down_ = false;
    const admission all_{};
    admission apart_;
    /// Part of the answers that has no end, see send_endless(); empty for none.
    std::string endless_;
};

/// A model engine and a plain service at once; counts what it ran.
class replica
{
public:
    replica(
        std::string id, std::string service, std::shared_ptr<row_store> store)
        : id_(std::move(id)),
          service_(std::move(service)),
          store_(std::move(store))
    {
    }

    /// Listens, and writes the row of the directory. The admin interface has an
    /// address of its own, "<id>-admin", that outlives crashes.
    /// It is written again after each interval, unless that is 0.
    void start(asio::io_context& io, double heartbeat_ms)
    {
        auto server = http_server::open(io, "127.0.0.1:0",
            [this](const http_request& request, http_connection& peer)
            { return handle(request, peer); });
        if (!server)
            throw std::runtime_error(server.error().message());
        io_ = &io;
        server_ = std::move(*server);
        publish();
        print_listening(id_, server_->address());
        listen_or_throw(io, id_ + "-admin", "127.0.0.1:0",
            [this](const http_request& request, http_connection& peer)
            { return peer.answer(admin(request)); });
        if (heartbeat_ms > 0)
            asio::co_spawn(io, send_heartbeats(heartbeat_ms), asio::detached);
    }

private:
    asio::awaitable<void> handle(
        const http_request& request, http_connection& peer)
    {
        if (request.path == "/-/report" && !endless_report_.empty())
            co_await send_endless(endless_report_, {}, peer);
        else if (request.path == "/-/report")
            co_await send(request, peer, report());
        else if (expects_another(request))
        {
            note_arrival(request, true);
            co_await send(request, peer, misdirected());
        }
        else if (request.path == "/-/order")
            co_await send(request, peer, order(request.body_json()));
        else if (paused())
            co_await refuse_paused(request, peer);
        else
            co_await serve_and_note(request, peer);
    }

    // Whether the prompt contains the part that crashes engines.
    bool crashes(const http_request& request) const
    {
        const auto parts = "," + request.header("Prompt-Prefix");
        return !crash_part_.empty() &&
               parts.find("," + crash_part_ + ":") != std::string::npos;
    }

    // Ends as a crashed process does and is back later, as a new process
    // without models, at the same address.
    asio::awaitable<void> crash()
    {
        crashes_.push_back(monotonic_ms());
        held_.clear();
        sequence_ = 0;
        ++born_;
        server_->close();
        co_await sleep_ms(crash_down_ms_);
        server_->reopen();
        publish();
    }

    void publish() const
    {
        const json entry = {{"service", service_},
            {"address", server_->address()}, {"zone", zone_}, {"version", "v1"},
            {"slots", 4}, {"state", draining_ ? "draining" : "ready"},
            {"born", born_}, {"sequence", sequence_}, {"models", models()}};
        store_->put("servers", id_, entry.dump());
    }

    http_answer admin(const http_request& request)
    {
        if (request.path == "/admin/runs")
            return what_ran();
        if (request.path == "/admin/signals")
            return signals();
        if (request.path != "/admin/faults")
            return error_answer(404, "not_found", "no such admin path");
        set_faults(request.body_json());
        return json_answer(json::object());
    }

    // Each change sets all faults; those that it does not name are off.
    void set_faults(const json& change)
    {
        cut_streams_ = change.value("cut_streams", 0);
        lose_answers_ = change.value("lose_answers", 0);
        reset_answers_ = change.value("reset_answers", 0);
        invalid_statuses_ = change.value("invalid_statuses", 0);
        endless_ = change.value("endless", std::string());
        endless_report_ = change.value("endless_report", std::string());
        begin_ms_ = change.value("begin_ms", 0.0);
        answer_ms_ = change.value("answer_ms", 0.0);
        event_ms_ = change.value("event_ms", usual_event_ms);
        silent_percent_ = change.value("silent_percent", 0);
        silence_ms_ = change.value("silence_ms", 0.0);
        limit_ = change.value("limit", std::string());
        crash_part_ = change.value("crash_part", std::string());
        crash_after_events_ = change.value("crash_after_events", 0);
        crash_down_ms_ = change.value("crash_down_ms", usual_down_ms);
        const auto zone = change.value("zone", std::string(usual_zone));
        if (std::exchange(zone_, zone) != zone)
            publish();
        announce(change);
    }

    // Times are those of the monotonic clock.
    http_answer what_ran() const
    {
        return json_answer({{"runs", runs_}, {"orders", orders_},
            {"seen", seen_}, {"commands", commands_}, {"crashes", crashes_},
            {"crash_part_arrivals", crash_part_arrivals_}});
    }

    http_answer report() const
    {
        return json_answer(
            {{"born", born_}, {"models", models()}, {"busy", false},
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

    // Sends a head of this status line and of the usual fields, and the rest.
    static asio::awaitable<void> send_raw(std::string status, std::string rest,
        const http_request& request, http_connection& peer)
    {
        std::string text = "HTTP/1.1 " + std::move(status) + "\r\n";
        for (const auto& [name, value] : headers_of(request))
            text += fmt::format("{}: {}\r\n", name, value);
        co_await peer.send_bytes(text + rest);
    }

    asio::awaitable<void> serve(
        const http_request& request, http_connection& peer)
    {
        const auto model = request.header("Model");
        if (crashes(request))
            crash_part_arrivals_.push_back(monotonic_ms());
        if (!model.empty() && !holds(model))
        {
            note_arrival(request, true);
            co_await send(request, peer, json_answer(json::object(), 421));
            co_return;
        }
        note_arrival(request);
        ++runs_[request.header("Request-Id")];
        json seen = json::object();
        for (const auto& [name, value] : request.headers)
            seen[name] = value;
        seen_.push_back(seen);
        if (!endless_.empty())
            co_await send_endless(endless_, headers_of(request), peer);
        else if (lose_answers_ > 0)
        {
            --lose_answers_;
            note_cut(request);
            peer.abort();
        }
        else if (reset_answers_ > 0)
        {
            --reset_answers_;
            note_cut(request);
            co_await send_raw("200 OK", "\r\npart", request, peer);
            // The part arrives before the reset.
            co_await sleep_ms(reset_delay_ms);
            peer.reset();
        }
        else if (invalid_statuses_ > 0)
        {
            --invalid_statuses_;
            note_cut(request);
            co_await send_raw(
                "000 Failed", "Content-Length: 4\r\n\r\npart", request, peer);
        }
        else if (model.empty())
        {
            if (answer_ms_ > 0)
                co_await sleep_ms(answer_ms_);
            co_await maybe_fall_silent();
            if (silent_percent_ > 0)
                co_await send_in_parts(request, peer);
            else
                co_await send(request, peer, own_answer(request));
        }
        else
            co_await stream(request, peer);
    }

    // Sound endpoints may fall silent for a while and go on.
    asio::awaitable<void> maybe_fall_silent()
    {
        if (std::uniform_int_distribution(0, 99)(random_) < silent_percent_)
            co_await sleep_ms(silence_ms_);
    }

    asio::awaitable<void> send_in_parts(
        const http_request& request, http_connection& peer)
    {
        const auto whole = own_answer(request);
        const auto half = whole.body.size() / 2;
        auto headers = whole.headers;
        const auto announced = add_signals(request, headers);
        const bool begun = co_await peer.begin_stream(headers);
        if (!begun)
            co_return;
        note_delivered(announced);
        co_await peer.send_chunk(whole.body.substr(0, half));
        co_await maybe_fall_silent();
        co_await peer.send_chunk(whole.body.substr(half));
        co_await maybe_fall_silent();
        co_await peer.finish_stream();
    }

    bool holds(const std::string& model) const
    {
        const auto slash = model.find('/');
        const auto found = held_.find(model.substr(0, slash));
        return found != held_.end() &&
               (slash == std::string::npos ||
                   found->second.count(model.substr(slash + 1)) != 0);
    }

    // The data name the request, so that an event of another stream shows.
    static std::string event_text(int id, const std::string& request_id)
    {
        return fmt::format("id: {0}\ndata: {0} {1}\n\n", id, request_id);
    }

    asio::awaitable<void> stream(
        const http_request& request, http_connection& peer)
    {
        const auto last = request.header("Last-Event-Id");
        const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        if (begin_ms_ > 0)
            co_await sleep_ms(begin_ms_);
        co_await maybe_fall_silent();
        auto headers = headers_of(request);
        const auto announced = add_signals(request, headers);
        const bool begun = co_await peer.begin_stream(headers);
        if (!begun)
            co_return;
        note_delivered(announced);
        co_await maybe_fall_silent();
        for (int id = first; id <= events_of_a_stream; ++id)
        {
            if (crashes(request) && id - first >= crash_after_events_)
            {
                co_await crash();
                co_return;
            }
            if (cut_streams_ > 0 && id == 3)
            {
                --cut_streams_;
                note_cut(request);
                peer.abort();
                co_return;
            }
            const bool sent = co_await peer.send_chunk(
                event_text(id, request.header("Request-Id")));
            if (!sent)
                co_return;
            co_await sleep_ms(event_ms_);
            if (id == events_of_a_stream / 2)
                co_await maybe_fall_silent();
        }
        co_await maybe_fall_silent();
        co_await peer.finish_stream();
    }

    // Starts what the change announces. Unlike other faults, a later change
    // does not take these back: what was announced holds.
    void announce(const json& change)
    {
        if (const auto pause_s = change.value("pause_s", 0.0); pause_s > 0)
            paused_until_ms_ = std::max(paused_until_ms_,
                monotonic_ms() + std::int64_t(pause_s * ms_per_s));
        if (!change.contains("leaving") || leaving())
            return;
        leaving_process_ = born_;
        asio::co_spawn(*io_, leave(change["leaving"]), asio::detached);
    }

    bool leaving() const { return leaving_process_ == born_; }
    bool paused() const { return monotonic_ms() < paused_until_ms_; }

    // The end of a process whose answers already say that it is leaving: the
    // directory tells so after "row_lag_ms", the process ends "stays_ms" later,
    // and another one listens after "down_ms".
    asio::awaitable<void> leave(json times)
    {
        const auto process = born_;
        co_await sleep_ms(times.at("row_lag_ms").get<double>());
        if (process != born_)
            co_return;
        draining_ = true;
        publish();
        co_await sleep_ms(times.at("stays_ms").get<double>());
        if (process != born_)
            co_return;
        end_process();
        co_await sleep_ms(times.at("down_ms").get<double>());
        server_->reopen();
        up_ = true;
        publish();
    }

    void end_process()
    {
        for (const auto& each : running_)
            cuts_.push_back(each);
        held_.clear();
        sequence_ = 0;
        ++born_;
        draining_ = false;
        paused_until_ms_ = 0;
        store_->erase("servers", id_);
        server_->close();
        up_ = false;
    }

    asio::awaitable<void> send_heartbeats(double interval_ms)
    {
        for (;;)
        {
            co_await sleep_ms(interval_ms);
            if (up_)
                publish();
        }
    }

    /// An answer that carries a signal, as tests judge it.
    struct announcement
    {
        std::string request_id;
        std::int64_t process = 0;
        bool leaving = false;
        /// 0 for an answer that asks for no pause.
        std::int64_t paused_until_ms = 0;
    };

    announcement add_signals(
        const http_request& request, header_list& headers) const
    {
        announcement out{request.header("Request-Id"), born_, leaving(), 0};
        if (out.leaving)
            headers.emplace_back("Server-Leaving", "1");
        if (!limit_.empty())
            headers.emplace_back("Server-Limit", limit_);
        return out;
    }

    // Must be called after the head was written.
    void note_delivered(const announcement& sent)
    {
        if (sent.leaving || sent.paused_until_ms != 0)
            announcements_.push_back(
                {{"id", sent.request_id}, {"process", sent.process},
                    {"at_ms", monotonic_ms()}, {"leaving", sent.leaving},
                    {"paused_until_ms", sent.paused_until_ms}});
    }

    asio::awaitable<void> send(
        const http_request& request, http_connection& peer, http_answer answer)
    {
        const auto announced = add_signals(request, answer.headers);
        co_await peer.answer(std::move(answer));
        note_delivered(announced);
    }

    asio::awaitable<void> refuse_paused(
        const http_request& request, http_connection& peer)
    {
        note_arrival(request);
        const auto until_ms = paused_until_ms_;
        auto refusal = json_answer(json::object(), 503);
        refusal.headers = headers_of(request);
        refusal.headers.emplace_back("Not-Executed", "1");
        refusal.headers.emplace_back(
            "Retry-After", fmt::format("{:.3f}",
                               double(until_ms - monotonic_ms()) / ms_per_s));
        auto announced = add_signals(request, refusal.headers);
        announced.paused_until_ms = until_ms;
        co_await peer.answer(std::move(refusal));
        note_delivered(announced);
    }

    asio::awaitable<void> serve_and_note(
        const http_request& request, http_connection& peer)
    {
        const auto running = running_.insert(request.header("Request-Id"));
        co_await serve(request, peer);
        running_.erase(running);
    }

    // Misdirected requests, which get 421, do not count as sent to the
    // endpoint.
    void note_arrival(const http_request& request, bool misdirected = false)
    {
        arrivals_.push_back(
            {{"id", request.header("Request-Id")}, {"process", born_},
                {"at_ms", monotonic_ms()}, {"misdirected", misdirected}});
    }

    void note_cut(const http_request& request)
    {
        cuts_.push_back(request.header("Request-Id"));
    }

    // Times are those of the monotonic clock. "cuts" are requests that the
    // endpoint broke off.
    http_answer signals() const
    {
        return json_answer({{"arrivals", arrivals_},
            {"announcements", announcements_}, {"cuts", cuts_}});
    }

    const std::string id_;
    const std::string service_;
    const std::shared_ptr<row_store> store_;
    std::unique_ptr<http_server> server_;
    /// Start time of the process in the row and in reports.
    std::int64_t born_ = 1;
    std::map<std::string, std::set<std::string>> held_;
    std::int64_t sequence_ = 0;
    std::map<std::string, int> runs_;
    int orders_ = 0;
    // Commands in the order in which they arrived, also refused ones.
    json commands_ = json::array();
    json seen_ = json::array();
    json crashes_ = json::array();
    json crash_part_arrivals_ = json::array();
    int cut_streams_ = 0;
    int lose_answers_ = 0;
    /// Answers without a length whose connection is reset after a part of the
    /// body.
    int reset_answers_ = 0;
    /// Answers with status 000.
    int invalid_statuses_ = 0;
    /// Part of the answers, or of the reports, that has no end, see
    /// send_endless(); empty for none.
    std::string endless_;
    std::string endless_report_;
    /// Time from the arrival of a completion to the head of its answer.
    double begin_ms_ = 0;
    /// Time from the arrival of a plain request to its answer.
    double answer_ms_ = 0;
    double event_ms_ = usual_event_ms;
    /// How often the endpoint falls silent at each moment of an answer: before
    /// the head, after it, in the middle, and before the end.
    int silent_percent_ = 0;
    double silence_ms_ = 0;
    std::mt19937 random_;
    /// Requests per second that answers name as the limit; empty for none.
    std::string limit_;
    /// Id of the part that crashes the engine; empty for none.
    std::string crash_part_;
    /// Events of a stream with this part that are sent before the crash.
    int crash_after_events_ = 0;
    double crash_down_ms_ = usual_down_ms;
    std::string zone_ = usual_zone;
    asio::io_context* io_ = nullptr;
    /// The process, by its start time, that is leaving; 0 for none.
    std::int64_t leaving_process_ = 0;
    /// Whether the directory tells that the process is leaving.
    bool draining_ = false;
    /// Whether a process listens; not kept up to date by crashes.
    bool up_ = true;
    std::int64_t paused_until_ms_ = 0;
    std::multiset<std::string> running_;
    json arrivals_ = json::array();
    json announcements_ = json::array();
    json cuts_ = json::array();
};

// The rest of a configuration comes from the tests.
void run_http_platform(
    const std::string& listen, int engines, double heartbeat_ms)
{
    asio::io_context io;
    auto store = std::make_shared<row_store>();
    listen_or_throw(io, "store", listen,
        [store](const http_request& request, http_connection& peer)
        { return store->handle(request, peer); });
    listen_or_throw(io, "store-apart", "127.0.0.1:0",
        [store](const http_request& request, http_connection& peer)
        { return store->handle_apart(request, peer); });
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 1; i <= engines; ++i)
        replicas.push_back(
            std::make_unique<replica>(fmt::format("e{}", i), "llm", store));
    for (const auto* id : {"s1", "s2"})
        replicas.push_back(std::make_unique<replica>(id, "orders", store));
    for (const auto& each : replicas)
        each->start(io, heartbeat_ms);
    run_until_signal(io);
}

} // namespace

void add_http_platform(CLI::App& app)
{
    auto* command = app.add_subcommand("http-platform",
        "A table service over HTTP with engines and two plain endpoints");
    auto listen = std::make_shared<std::string>("127.0.0.1:0");
    auto engines = std::make_shared<int>(2);
    auto heartbeat_ms = std::make_shared<double>(0);
    command->add_option("--listen", *listen, "Address of the store");
    command->add_option("--engines", *engines, "Number of engines");
    command->add_option("--heartbeat-ms", *heartbeat_ms,
        "Interval at which endpoints write their rows; 0 for only at the "
        "start");
    command->callback([listen, engines, heartbeat_ms]
        { run_http_platform(*listen, *engines, *heartbeat_ms); });
}

} // namespace tarragonquay::standins
