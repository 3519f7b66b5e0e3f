// The connections to the platform's store go silent, new ones work. After
// `contact_ms`, the operator moves a route to another service and withdraws a
// key. Which version do the gateways apply to requests sent later than
// `config_apply_ms` after the acknowledgement?
#include "../kit.hpp"

using namespace kit;

namespace
{

constexpr int gateway_count = 3;
constexpr long contact_ms = 3000;
constexpr long config_apply_ms = 2000;
/// For the clients' own scheduling.
constexpr long margin_ms = 100;
constexpr long watched_ms = 9000;

class service
{
public:
    service(std::string name, record& log)
        : name(std::move(name)),
          log_(log),
          server_([this](std::shared_ptr<stream> peer) { serve(*peer); })
    {
    }
    std::string address() const { return server_.address(); }
    const std::string name;

private:
    void serve(stream& peer)
    {
        while (true)
        {
            const auto request = read_message(peer);
            if (!request.complete)
                return;
            const auto id = request.header("request-id");
            log_.line(name + " runs " + id);
            sleep_ms(5);
            if (!peer.write(answer_text(200,
                    {{"Request-Id", id}, {"Response-Stamp", "stamp-" + id}},
                    name)))
                return;
        }
    }
    record& log_;
    server server_;
};

json configuration(
    int version, const std::string& target, int timeout_ms, const json& keys)
{
    return {{"version", version},
        {"routes", {plain_route("/book/", "unsafe", target, timeout_ms)}},
        {"services", {plain_service("old-app"), plain_service("new-app")}},
        {"limits", caller_limits()},
        {"tenants", {{{"name", "dispatch"}, {"api_keys", keys}}}}};
}

void play(record& log)
{
    scratch folder;
    table_service store;
    service old_app("old-app", log);
    service new_app("new-app", log);
    const json both = {"kept-key", "withdrawn-key"};
    store.put("op", "config", configuration(3, "old-app", 1000, both));
    for (const auto* each : {&old_app, &new_app})
        store.put("servers", "i-" + each->name,
            plain_entry(each->name, each->address(), unix_ms()));
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
    store.put("op", "config", configuration(5, "old-app", 1200, both));
    log.line("version 5 acknowledged: another time-out");
    sleep_ms(400);
    if (trouble())
    {
        store.silence_open_connections();
        log.line("the open connections to the store go silent");
    }
    sleep_ms(contact_ms + 500);
    store.put("op", "config",
        configuration(8, "new-app", 1200, json::array({"kept-key"})));
    const auto acknowledged = now_ms();
    log.line("version 8 acknowledged: the route leads to new-app, "
             "withdrawn-key is gone");
    int requests = 0;
    int run_by_old = 0;
    int run_with_withdrawn = 0;
    for (int n = 0; now_ms() < acknowledged + watched_ms; ++n)
    {
        sleep_ms(25);
        const bool withdrawn = n % 2 == 1;
        const int to = n / 2 % gateway_count;
        const auto id = "r" + std::to_string(n);
        const auto sent = now_ms();
        const auto peer = dial(gateways[to]->front);
        if (!peer)
            end_case(log, 2);
        peer->write(request_text("POST", "/book/x", id,
            withdrawn ? "withdrawn-key" : "kept-key", 1000, "{}"));
        const auto reply = read_message(*peer, now_ms() + 1500);
        const auto after = sent - acknowledged;
        log.line(id + " with " + (withdrawn ? "withdrawn-key" : "kept-key") +
                 " sent to front-" + std::to_string(to) + " " +
                 std::to_string(after) + " ms after version 8, answered " +
                 std::to_string(reply.status()) + " " + reply.body);
        if (after <= config_apply_ms + margin_ms)
            continue;
        ++requests;
        if (reply.status() != 200)
            continue;
        run_by_old += reply.body == "old-app" ? 1 : 0;
        run_with_withdrawn += withdrawn ? 1 : 0;
    }
    log.line(
        "requests sent later than config_apply_ms: " +
        std::to_string(requests) +
        ", run by old-app: " + std::to_string(run_by_old) +
        ", run with the withdrawn key: " + std::to_string(run_with_withdrawn));
    std::printf("%d requests late enough, %d run by old-app, %d run with the "
                "withdrawn key\n",
        requests, run_by_old, run_with_withdrawn);
    end_case(log, run_by_old + run_with_withdrawn > 0 ? 1 : 0);
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
