// Replicas of a model that a part of a prompt crashes, for cases 6 to 8.
#pragma once

#include "kit-2.hpp"

namespace crashing
{

using kit::json;
using kit::milliseconds;
using kit::record;

constexpr std::int64_t contact_ms = 3'000;
constexpr std::int64_t down_ms = 2'500;
constexpr std::int64_t load_ms = 840;
constexpr std::int64_t prefill_ms = 150;
constexpr std::size_t fifth = 5;
constexpr std::size_t allowed = 3;
constexpr int events = 20;
constexpr int event_ms = 100;
inline const std::string bad_part = "bad0bad0";

inline std::mutex lock;
/// Times of the crashes, and of the arrivals of requests with the part.
inline std::vector<std::int64_t> crashes;
inline std::vector<std::int64_t> arrivals;

class replica
{
public:
    replica(std::string id, kit::store& to) : id_(std::move(id)), store_(to)
    {
        servers_.push_back(std::make_unique<kit::server>());
        port_ = servers_.back()->listen(handler());
        publish();
        std::thread(
            [this]
            {
                for (;; kit::sleep_ms(1'200))
                    if (!down_)
                        publish();
            })
            .detach();
    }

private:
    kit::server::handler handler()
    {
        return [this](kit::channel& peer, const kit::message& request)
        { return handle(peer, request); };
    }

    json held() const
    {
        if (!holds_)
            return json::array();
        return {
            {{"name", "model-a"}, {"version", 1}, {"adapters", json::array()}}};
    }

    void publish()
    {
        store_.put("servers", id_,
            {{"service", "desk"},
                {"address", "127.0.0.1:" + std::to_string(port_)},
                {"zone", "zone-a"}, {"version", "v1"}, {"slots", 64},
                {"state", "ready"}, {"cold_remaining_ms", 0}, {"stage", "both"},
                {"models", held()}, {"born", born_.load()},
                {"sequence", ++beats_}});
    }

    bool handle(kit::channel& peer, const kit::message& request)
    {
        if (request.path() == "/-/report")
            return kit::answer_json(peer, 200,
                {{"stage", "both"}, {"models", held()},
                    {"busy", loading_.load()}, {"sequence", sequence_.load()},
                    {"waiting", 0}, {"running", 0}, {"kv_used", 0},
                    {"kv_total", 265689}, {"handles", 0},
                    {"born", born_.load()},
                    {"at_hand", {{"in_memory", json::array()},
                                    {"on_disk", {"model-a"}}}}});
        const auto expected = request.field("expect-instance");
        if (!expected.empty() && expected != id_)
            return peer.send(kit::answer_text(421, {{"Instance-Id", id_}}, ""));
        if (request.path() == "/-/order")
            return order(peer, json::parse(request.body));
        return run(peer, request);
    }

    bool order(kit::channel& peer, const json& body)
    {
        int status = 202;
        if (!body.contains("holder") || !body.contains("fence"))
            status = 400;
        else if (loading_ ||
                 body.value("if_revision", sequence_.load()) != sequence_)
            status = 409;
        else if (body.value("op", std::string()) == "load")
        {
            if (holds_)
                status = 200;
            else
            {
                ++sequence_;
                loading_ = true;
                std::thread(
                    [this, born = born_.load()]
                    {
                        kit::sleep_ms(load_ms);
                        if (born != born_)
                            return;
                        holds_ = true;
                        loading_ = false;
                        publish();
                    })
                    .detach();
            }
        }
        else
        {
            ++sequence_;
            holds_ = false;
        }
        return kit::answer_json(peer, status, json::object());
    }

    bool run(kit::channel& peer, const kit::message& request)
    {
        const auto id = request.field("request-id");
        const bool bad =
            request.field("prompt-prefix").find(bad_part) != std::string::npos;
        if (bad)
        {
            const std::lock_guard hold(lock);
            arrivals.push_back(kit::now_ms());
            record.line("request ", id, " with the part reaches ", id_);
        }
        if (!holds_)
            return peer.send(kit::answer_text(
                421, {{"Instance-Id", id_}, {"Request-Id", id}}, ""));
        const auto born = born_.load();
        kit::sleep_ms(prefill_ms);
        if (bad)
        {
            crash(born);
            return false;
        }
        auto last = request.field("last-event-id");
        int next = last.empty() ? 1 : std::stoi(last) + 1;
        bool open = born == born_ && !down_ &&
                    peer.send("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                              "\r\nResponse-Stamp: s." + id +
                              "\r\nContent-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n");
        for (; open && next <= events; ++next)
        {
            const auto event = "id: " + std::to_string(next) + "\ndata: x\n\n";
            std::ostringstream chunk;
            chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
            open = born == born_ && !down_ && peer.send(chunk.str());
            kit::sleep_ms(event_ms);
        }
        return open && peer.send("0\r\n\r\n");
    }

    // The process ends, and is back later at the same address, empty.
    void crash(std::int64_t born)
    {
        if (born != born_ || down_.exchange(true))
            return;
        {
            const std::lock_guard hold(lock);
            crashes.push_back(kit::now_ms());
            record.line(id_, " crashes, number ", crashes.size());
        }
        // The port is closed before the connections, as at the end of a
        // process: a caller that sees its connection end finds no listener.
        servers_.back()->stop();
        std::thread(
            [this]
            {
                kit::sleep_ms(down_ms);
                sequence_ = 0;
                holds_ = false;
                loading_ = false;
                born_ = kit::unix_ms();
                // Threads of the earlier server may still use it.
                servers_.push_back(std::make_unique<kit::server>());
                servers_.back()->listen(handler(), port_);
                down_ = false;
                publish();
            })
            .detach();
    }

    const std::string id_;
    kit::store& store_;
    std::vector<std::unique_ptr<kit::server>> servers_;
    int port_ = 0;
    std::atomic<bool> holds_ = true;
    std::atomic<bool> loading_ = false;
    std::atomic<std::int64_t> born_ = kit::unix_ms();
    std::atomic<std::int64_t> sequence_ = 0;
    std::atomic<std::int64_t> beats_ = 0;
    std::atomic<bool> down_ = false;
};

inline json configuration()
{
    return {{"version", 7},
        {"routes",
            {{{"name", "batch"}, {"hostname", "desk.example"},
                {"prefix", "/batch/"}, {"route_type", "streaming"},
                {"timeout_ms", 10000}, {"target_latency_ms", 3000},
                {"priority", 1}, {"service", "desk"}, {"max_attempts", 1},
                {"anonymous", false}, {"session_affinity", true},
                {"resumable", false}, {"gap_aim_ms", 250}}}},
        {"services",
            {{{"name", "desk"}, {"health_path", "/healthz"},
                {"max_connections", 360}, {"protocol", "h1"}, {"tls", false},
                {"engine",
                    {{"slots", 64}, {"kv_capacity", 265689},
                        {"models", {{{"name", "model-a"},
                                       {"weights_mb", 72700.0}, {"load_s", 4.2},
                                       {"adapters", 0}, {"adapter_mb", 66.0},
                                       {"warm_s", 0.63}, {"disk_s", 0.84}}}},
                        {"weights_mb", 200000.0}, {"adapter_slots", 5},
                        {"loads_per_s", 1.4}}}}}},
        {"limits",
            {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304},
                {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
        {"tenants",
            {{{"name", "tenant-1"}, {"api_keys", {"key-1"}}, {"priority", 1},
                {"unit", "token_stream"}, {"plain_tokens", 200},
                {"rate_per_s", 1190130}, {"burst", 1190130}}}}};
}

inline kit::reply ask(int port, const std::string& id, const std::string& parts)
{
    return kit::send_once(port, "POST", "/batch/x",
        {{"Host", "desk.example"}, {"Request-Id", id}, {"Model", "model-a"},
            {"Token-Counts", "9190,73"}, {"Prompt-Prefix", parts},
            {"Deadline-Ms", "10000"}, {"Credential", "key-1"}},
        "{}", milliseconds(10'500));
}

/// Requests with the part that reached replicas later than contact_ms after the
/// fifth crash, without those that came in [`from_ms`, `to_ms`).
inline std::size_t late_arrivals(
    std::int64_t from_ms = 0, std::int64_t to_ms = 0)
{
    const std::lock_guard hold(lock);
    std::size_t out = 0;
    if (crashes.size() >= fifth)
        for (const auto at : arrivals)
            out += at > crashes[fifth - 1] + contact_ms &&
                           (at < from_ms || at >= to_ms)
                       ? 1
                       : 0;
    record.line(crashes.size(), " crashes; ", arrivals.size(),
        " requests with the part reached replicas, ", out,
        " of them counted, later than ", contact_ms,
        " ms after the fifth crash (", allowed, " are allowed)");
    return out;
}

} // namespace crashing
