// One part of a prompt crashes each replica that begins to write an answer on
// it: the replica sends the first event and crashes, and is back after three
// seconds. Requests with this part come at any machine, beside sound ones.
#include "../kit.hpp"

#include <set>

using namespace kit;

namespace
{

constexpr int gateway_count = 2;
constexpr int replica_count = 6;
constexpr long contact_ms = 3000;
constexpr long down_ms = 3000;
constexpr long heartbeat_ms = 1200;
constexpr long crashing_interval_ms = 1500;
constexpr long watched_ms = 20'000;
constexpr int counted_crash = 5;
constexpr int allowed_requests = 3;
const std::string crashing_part = "bad0bad0";

/// What the replicas have seen, over all of them.
struct observations
{
    std::mutex mutex;
    std::vector<long> crashes;
    std::vector<long> crashing_arrivals;
    std::atomic<int> cut_streams = 0;
};

/// A replica at one address. Each start is a new process with a new id.
class replica
{
public:
    replica(int number, table_service& store, record& log, observations& seen)
        : number_(number),
          store_(store),
          log_(log),
          seen_(seen),
          port_(free_port())
    {
        start();
        std::thread(
            [this]
            {
                while (true)
                {
                    sleep_ms(heartbeat_ms);
                    if (up_)
                        beat();
                }
            })
            .detach();
    }

private:
    std::string id() const
    {
        return "i-" + std::to_string(number_) + "-" + std::to_string(starts_);
    }

    static json held()
    {
        json model = {{"name", "m"}, {"version", 1}};
        model["adapters"] = json::array();
        return json::array({model});
    }

    json report() const
    {
        return {{"stage", "both"}, {"models", held()}, {"busy", false},
            {"sequence", 0}, {"waiting", 0}, {"running", 0}, {"kv_used", 0},
            {"kv_total", 270'000}, {"handles", 0}, {"born", born_.load()}};
    }

    void start()
    {
        ++starts_;
        born_ = unix_ms();
        listening_ = bind_loopback(port_);
        ::listen(listening_, 512);
        up_ = true;
        beat();
        std::thread([this, fd = listening_.load(), life = starts_.load()]
            { accept_all(fd, life); })
            .detach();
    }

    void beat()
    {
        auto entry = plain_entry(
            "composer", "127.0.0.1:" + std::to_string(port_), born_);
        entry["models"] = held();
        store_.put("servers", id(), entry);
    }

    void accept_all(int listening, int life)
    {
        while (true)
        {
            const int fd = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            if (life != starts_ || !up_)
            {
                ::close(fd);
                return;
            }
            std::thread(
                [this, fd, life]
                {
                    {
                        const std::lock_guard lock(mutex_);
                        open_.insert(fd);
                    }
                    stream peer(fd);
                    serve(peer, life);
                    const std::lock_guard lock(mutex_);
                    open_.erase(fd);
                    peer.close();
                })
                .detach();
        }
    }

    bool alive(int life) const { return up_ && life == starts_; }

    void crash(const std::string& request)
    {
        if (!up_.exchange(false))
            return;
        log_.line(id() + " crashes on " + request);
        {
            const std::lock_guard lock(seen_.mutex);
            seen_.crashes.push_back(now_ms());
        }
        const int listening = listening_.exchange(-1);
        ::shutdown(listening, SHUT_RDWR);
        ::close(listening);
        {
            const std::lock_guard lock(mutex_);
            for (const int fd : open_)
                ::shutdown(fd, SHUT_RDWR);
        }
        const auto ended = id();
        std::thread(
            [this, ended]
            {
                sleep_ms(down_ms);
                start();
                sleep_ms(3 * heartbeat_ms - down_ms);
                store_.remove("servers", ended);
            })
            .detach();
    }

    void serve(stream& peer, int life)
    {
        while (alive(life))
        {
            const auto request = read_message(peer);
            if (!request.complete || !alive(life))
                return;
            if (request.header("expect-instance") != id())
                peer.write(answer_text(421,
                    {{"Instance-Id", id()},
                        {"Request-Id", request.header("request-id")}},
                    ""));
            else if (request.path() == "/-/report")
                peer.write(answer_text(200,
                    {{"Content-Type", "application/json"}}, report().dump()));
            else if (!generate(peer, request, life))
                return;
        }
    }

    bool generate(stream& peer, const message& request, int life)
    {
        const auto id_of = request.header("request-id");
        const bool crashing =
            request.header("prompt-prefix").find(crashing_part) !=
            std::string::npos;
        log_.line(
            id() + " runs " + id_of + (crashing ? " (crashing part)" : ""));
        if (crashing)
        {
            const std::lock_guard lock(seen_.mutex);
            seen_.crashing_arrivals.push_back(now_ms());
        }
        sleep_ms(50);
        const auto given = request.header("last-event-id");
        int next = given.empty() ? 1 : std::stoi(given) + 1;
        peer.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id_of +
                   "\r\nResponse-Stamp: s-" + id_of +
                   "\r\nContent-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
        for (; next <= 10; ++next)
        {
            const auto event = "id: " + std::to_string(next) + "\ndata: x\n\n";
            char size[20];
            std::snprintf(size, sizeof size, "%zx", event.size());
            if (!alive(life))
            {
                if (!crashing)
                {
                    ++seen_.cut_streams;
                    log_.line(id_of + " is cut by the crash");
                }
                return false;
            }
            if (!peer.write(std::string(size) + "\r\n" + event + "\r\n"))
                return false;
            if (crashing)
            {
                crash(id_of);
                return false;
            }
            sleep_ms(60);
        }
        return peer.write("0\r\n\r\n");
    }

    const int number_;
    table_service& store_;
    record& log_;
    observations& seen_;
    const int port_;
    std::atomic<int> starts_ = 0;
    std::atomic<std::int64_t> born_ = 0;
    std::atomic<int> listening_ = -1;
    std::atomic<bool> up_ = false;
    std::mutex mutex_;
    std::set<int> open_;
};

json configuration()
{
    auto service = plain_service("composer");
    const json model = {{"name", "m"}, {"weights_mb", 72'700}, {"load_s", 1.2},
        {"adapters", 0}, {"adapter_mb", 66}};
    service["engine"] = {{"slots", 64}, {"kv_capacity", 270'933},
        {"weights_mb", 220'000}, {"adapter_slots", 8}, {"loads_per_s", 1.1},
        {"models", json::array({model})}};
    auto route = plain_route("/hint/", "streaming", "composer", 15'000);
    route["target_latency_ms"] = 400;
    route["gap_aim_ms"] = 300;
    route["max_attempts"] = 2;
    route["resumable"] = true;
    route["session_affinity"] = true;
    return {{"version", 3}, {"routes", {route}}, {"services", {service}},
        {"limits", caller_limits()},
        {"tenants", {{{"name", "t"}, {"api_keys", {"key"}}}}}};
}

void play(record& log)
{
    scratch folder;
    table_service store;
    observations seen;
    store.put("op", "config", configuration());
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 0; i < replica_count; ++i)
        replicas.push_back(std::make_unique<replica>(i, store, log, seen));
    std::vector<int> controls;
    for (int i = 0; i < gateway_count; ++i)
        controls.push_back(free_port());
    std::vector<std::unique_ptr<gateway>> gateways;
    for (int i = 0; i < gateway_count; ++i)
        gateways.push_back(std::make_unique<gateway>(
            folder, i, store.address(), controls[i], controls));
    for (const auto& each : gateways)
        if (!wait_until([&] { return each->ready(); }, 10'000))
            end_case(log, 2);
    sleep_ms(3000);
    std::atomic<bool> over = false;
    std::atomic<int> answered = 0;
    std::atomic<int> next = 0;
    const auto call = [&](bool crashing)
    {
        const int n = ++next;
        const auto id = (crashing ? "p" : "r") + std::to_string(n);
        const auto peer = dial(gateways[n % gateway_count]->front);
        if (!peer)
            return;
        // Sound requests share the caller and the other parts.
        char own[20];
        std::snprintf(own, sizeof own, "%x", 0x1000 + n);
        const auto prefix = std::string("11:198,22:100,") +
                            (crashing ? crashing_part + ":50," : "") + own +
                            ":300";
        peer->write(request_text("POST", "/hint/x", id, "key", 5000, "{}",
            "Model: m\r\nToken-Counts: 800,50\r\nPrompt-Prefix: " + prefix +
                "\r\n"));
        const auto reply = read_message(*peer, now_ms() + 6000);
        log.line(id + " answered " + std::to_string(reply.status()) +
                 (reply.complete ? "" : ", incomplete"));
        answered += reply.status() == 200 && reply.complete ? 1 : 0;
    };
    std::vector<std::thread> callers;
    for (int i = 0; i < 10; ++i)
        callers.emplace_back(
            [&]
            {
                while (!over)
                {
                    call(false);
                    sleep_ms(100);
                }
            });
    sleep_ms(2000);
    const auto end = now_ms() + watched_ms;
    while (now_ms() < end)
    {
        if (trouble())
            callers.emplace_back(call, true);
        sleep_ms(crashing_interval_ms);
    }
    over = true;
    for (auto& each : callers)
        each.join();
    int late = 0;
    const auto crashes = static_cast<int>(seen.crashes.size());
    if (crashes >= counted_crash)
        for (const auto at : seen.crashing_arrivals)
            late += at > seen.crashes[counted_crash - 1] + contact_ms ? 1 : 0;
    const auto summary =
        std::to_string(answered) + " requests answered, " +
        std::to_string(crashes) + " crashes, " + std::to_string(late) +
        " requests with the crashing part reached replicas "
        "later than contact_ms after the fifth, " +
        std::to_string(seen.cut_streams) + " sound streams cut by crashes";
    log.line(summary);
    std::printf("%s\n", summary.c_str());
    end_case(log, late > allowed_requests ? 1 : 0);
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
