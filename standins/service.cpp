#include <utility>

#include <cstdlib>
#include <stdexcept>

#include <CLI/CLI.hpp>

#include "standins/http.hpp"
#include "standins/programs.hpp"

namespace tarragonquay::standins
{
namespace
{

struct service_options
{
    std::string listen = "127.0.0.1:0";
    std::string admin;
};

/// Faults that tests switch on; the counters apply to the next requests.
struct service_faults
{
    double delay_before_ms = 0;
    double delay_after_ms = 0;
    int lose_answers = 0;
    int die_after_running = 0;
    int close_before_running = 0;
    int wrong_echo = 0;
    int short_answers = 0;
    int duplicate_answers = 0;
};

bool consume(int& counter)
{
    if (counter <= 0)
        return false;
    --counter;
    return true;
}

/// An order service that counts how often each order ran.
class order_service
{
public:
    asio::awaitable<void> handle(
        const http_request& request, http_connection& peer)
    {
        if (request.path.rfind("/admin/", 0) == 0)
        {
            co_await peer.answer(admin(request));
            co_return;
        }
        seen_.add(request);
        if (request.path == "/control/state")
            co_await peer.answer(echoed_state(request));
        else if (request.method == "POST" && ends_with(request.path, "/send"))
            co_await send(request, peer);
        else
            co_await reply(peer, echoed(request, status(request)));
    }

private:
    static bool ends_with(const std::string& text, const std::string& end)
    {
        return text.size() >= end.size() &&
               text.compare(text.size() - end.size(), end.size(), end) == 0;
    }

    static std::string order_of(const http_request& request)
    {
        std::string header = request.header("order");
        if (!header.empty())
            return header;
        return request.body_json().value("order", std::string());
    }

    http_answer echoed(const http_request& request, http_answer answer)
    {
        std::string echo = request.header("X-Request-Id");
        // State polls must not use up a fault that is meant for a call.
        if (request.path != "/control/state" && consume(faults_.wrong_echo))
            echo = "crossed-" + echo;
        answer.headers.emplace_back("X-Request-Id", echo);
        return answer;
    }

    /// Answers, unless a fault cuts the answer short or repeats it.
    asio::awaitable<void> reply(http_connection& peer, http_answer answer)
    {
        if (consume(faults_.short_answers))
        {
            const std::size_t half = answer.body.size() / 2;
            co_await peer.answer_partly(std::move(answer), half);
            co_return;
        }
        if (consume(faults_.duplicate_answers))
            co_await peer.answer(answer);
        co_await peer.answer(std::move(answer));
    }

    asio::awaitable<void> send(
        const http_request& request, http_connection& peer)
    {
        const std::string order = order_of(request);
        if (order.empty())
        {
            http_answer refusal = error_answer(400, "invalid_argument",
                "the header or JSON field \"order\" is missing");
            co_await peer.answer(echoed(request, std::move(refusal)));
            co_return;
        }
        if (consume(faults_.close_before_running))
        {
            peer.abort();
            co_return;
        }
        co_await sleep_ms(faults_.delay_before_ms);
        const int run = ++runs_[order];
        if (consume(faults_.die_after_running))
            std::_Exit(3);
        co_await sleep_ms(faults_.delay_after_ms);
        if (consume(faults_.lose_answers))
        {
            peer.abort();
            co_return;
        }
        // GCC 12 can't compile initializer lists inside a co_await expression.
        const json body = {{"order", order}, {"run", run}, {"sent", true}};
        co_await reply(peer, echoed(request, json_answer(body)));
    }

    /// Without the fault wrong_echo, so that polls don't use it up.
    http_answer echoed_state(const http_request& request) const
    {
        http_answer answer =
            has_state_ ? json_answer({{"leaving", leaving_}})
                       : error_answer(404, "not_found", "no such path");
        answer.headers.emplace_back(
            "X-Request-Id", request.header("X-Request-Id"));
        return answer;
    }

    http_answer status(const http_request& request) const
    {
        const auto mark = request.path.find("/status/");
        if (request.method != "GET" || mark == std::string::npos)
            return json_answer({{"method", request.method},
                {"target", request.target}, {"body", request.body}});
        const std::string order = request.path.substr(mark + 8);
        const auto found = runs_.find(order);
        return json_answer({{"order", order},
            {"runs", found == runs_.end() ? 0 : found->second}});
    }

    http_answer admin(const http_request& request)
    {
        if (request.path == "/admin/seen")
            return json_answer(seen_.to_json());
        if (request.path == "/admin/orders")
            return json_answer({{"orders", runs_}});
        if (request.path != "/admin/faults")
            return error_answer(404, "not_found", "no such admin path");
        const json change = request.body_json();
        set(change, "delay_before_ms", faults_.delay_before_ms);
        set(change, "delay_after_ms", faults_.delay_after_ms);
        set(change, "lose_answers", faults_.lose_answers);
        set(change, "die_after_running", faults_.die_after_running);
        set(change, "close_before_running", faults_.close_before_running);
        set(change, "wrong_echo", faults_.wrong_echo);
        set(change, "short_answers", faults_.short_answers);
        set(change, "duplicate_answers", faults_.duplicate_answers);
        set(change, "leaving", leaving_);
        set(change, "has_state", has_state_);
        return json_answer({{"ok", true}});
    }

    template <class T>
    static void set(const json& change, const char* key, T& value)
    {
        if (change.contains(key))
            value = change.at(key).get<T>();
    }

    std::map<std::string, int> runs_;
    service_faults faults_;
    seen_list seen_;
    bool leaving_ = false;
    bool has_state_ = true;
};

void run_service(const service_options& options)
{
    asio::io_context io(1);
    order_service service;
    const http_handler handler =
        [&service](const http_request& request, http_connection& peer)
    { return service.handle(request, peer); };
    listen_or_throw(io, "service", options.listen, handler);
    if (!options.admin.empty())
        listen_or_throw(io, "admin", options.admin, handler);
    run_until_signal(io);
}

} // namespace

void add_service(CLI::App& app)
{
    auto* command = app.add_subcommand("service",
        "Order service: POST .../send runs an order and counts the runs of "
        "the header or JSON field \"order\"; GET .../status/{order} tells the "
        "count; everything else is echoed as JSON.");
    auto options = std::make_shared<service_options>();
    command->add_option("--listen", options->listen, "Address, ip:port")
        ->capture_default_str();
    command->add_option(
        "--admin", options->admin, "Separate address of the admin interface");
    command->footer(
        "Admin: GET /admin/seen, GET /admin/orders, POST /admin/faults with "
        "any of {delay_before_ms, delay_after_ms, lose_answers, "
        "die_after_running, close_before_running, wrong_echo, "
        "short_answers, duplicate_answers, leaving, has_state}; counters apply "
        "to the "
        "next N requests.");
    command->callback([options] { run_service(*options); });
}

} // namespace tarragonquay::standins
