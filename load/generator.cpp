#include <utility>

#include "load/generator.hpp"

#include <algorithm>
#include <cmath>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "common/random.hpp"

namespace tarragonquay::load
{

namespace
{

constexpr std::size_t max_connects = 3;

} // namespace

namespace asio = boost::asio;
using json = nlohmann::json;

generator::generator(asio::io_context& io, const scenario& plan,
    const run_options& options, report& results)
    : io_(io), plan_(plan), options_(options), results_(results)
{
}

void generator::start()
{
    end_ = steady_clock_source().now() +
           std::chrono::duration_cast<duration>(
               std::chrono::duration<double>(options_.duration_s));
    std::uint64_t seed = plan_.seed;
    for (const auto& load : plan_.workspaces)
        asio::co_spawn(io_, run_workspace(load, seed++), asio::detached);
}

asio::awaitable<void> generator::run_workspace(
    const workspace_load& load, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap_s(load.requests_per_second);
    std::uniform_real_distribution<double> share(0, 1);
    // Idempotency keys differ between runs even with the same seed.
    const std::string run = unique_id();
    asio::steady_timer timer(io_);
    time_point next = steady_clock_source().now();
    for (std::int64_t n = 0;; ++n)
    {
        next += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(gap_s(random)));
        if (next >= end_ || sent_ >= options_.max_requests)
            co_return;
        timer.expires_at(next);
        boost::system::error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        const bool is_order = share(random) < load.order_share;
        std::string body = is_order ? "" : draw_body(load, random);
        if (in_flight_ >= options_.max_in_flight)
        {
            results_.add_not_sent(load.name);
            continue;
        }
        ++sent_;
        const std::string id = fmt::format("{}-{}-{}", load.name, run, n);
        if (is_order)
            asio::co_spawn(io_, send_order(load, next, id), asio::detached);
        else
            asio::co_spawn(io_,
                send_completion(load, std::move(body), next, id),
                asio::detached);
    }
}

std::string generator::draw_body(
    const workspace_load& load, std::mt19937_64& random)
{
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= load.models.size(); ++rank)
        weights.push_back(
            1 / std::pow(static_cast<double>(rank), load.zipf_exponent));
    std::discrete_distribution<std::size_t> model(
        weights.begin(), weights.end());
    std::uniform_int_distribution<int> prompt_bytes(
        load.prompt_bytes.lowest, load.prompt_bytes.highest);
    std::uniform_int_distribution<int> max_tokens(
        load.max_tokens.lowest, load.max_tokens.highest);
    std::uniform_int_distribution<int> letter('a', 'z');
    std::string prompt;
    for (int left = prompt_bytes(random); left > 0; --left)
        prompt.push_back(static_cast<char>(letter(random)));
    json message = {{"role", "user"}, {"content", prompt}};
    json body = {{"model", load.models.at(model(random))},
        {"messages", json::array({message})},
        {"max_tokens", max_tokens(random)}, {"stream", load.stream}};
    if (!options_.direct.empty() && !load.priority.empty())
        body["priority"] = load.priority;
    return body.dump();
}

asio::awaitable<std::string> generator::address_for(const workspace_load& load)
{
    if (!options_.direct.empty())
        co_return options_.direct;
    auto& known = entries_[load.name];
    if (!known.addresses.empty() && unix_ms() < known.keep_until_unix_ms)
        co_return known.addresses.front();
    constexpr auto longest = std::chrono::seconds(2);
    for (std::size_t tries = 0; tries < options_.entries.size(); ++tries)
    {
        outgoing request;
        request.address =
            options_.entries[next_seed_entry_++ % options_.entries.size()];
        request.target = "/v1/entries?workspace=" + load.name;
        if (!options_.availability_zone.empty())
            request.target +=
                "&availability_zone=" + options_.availability_zone;
        request.deadline = steady_clock_source().now() + longest;
        const incoming answer = co_await run_exchange(request);
        const json body = json::parse(answer.body, nullptr, false);
        if (!answer.complete || !body.is_object() || !body.contains("entries"))
            continue;
        std::vector<std::string> addresses;
        for (const auto& entry : body["entries"])
            addresses.push_back(entry.value("address", ""));
        known.addresses = addresses;
        known.keep_until_unix_ms =
            body.value("keep_until_unix_ms", std::int64_t(0));
        if (!addresses.empty())
            co_return addresses.front();
    }
    co_return std::string();
}

asio::awaitable<incoming> generator::send(const workspace_load& load,
    outgoing request, std::string id, time_point scheduled)
{
    request.method = "POST";
    request.deadline = scheduled + std::chrono::milliseconds(load.deadline_ms);
    request.headers.emplace_back("Content-Type", "application/json");
    request.headers.emplace_back("X-Request-Id", id);
    if (!load.key.empty() && options_.direct.empty())
        request.headers.emplace_back("Authorization", "Bearer " + load.key);
    if (!load.priority.empty())
        request.headers.emplace_back("X-Priority", load.priority);
    request.headers.emplace_back(
        "X-Deadline-Ms", std::to_string(load.deadline_ms));
    ++in_flight_;
    incoming answer;
    // Nothing was sent when the connect failed, so the next address is safe.
    for (std::size_t tries = 0; tries < max_connects && !answer.connected;
         ++tries)
    {
        request.address = co_await address_for(load);
        if (request.address.empty())
            break;
        answer = co_await run_exchange(request);
        if (!answer.connected)
            drop_address(load.name, request.address);
    }
    --in_flight_;
    if (!answer.connected)
        answer.finished = steady_clock_source().now();
    co_return answer;
}

void generator::drop_address(
    const std::string& workspace, const std::string& address)
{
    auto& known = entries_[workspace].addresses;
    known.erase(std::remove(known.begin(), known.end(), address), known.end());
}

asio::awaitable<void> generator::send_completion(const workspace_load& load,
    std::string body, time_point scheduled, std::string id)
{
    outgoing request;
    request.target = "/v1/chat/completions";
    request.body = std::move(body);
    const incoming answer = co_await send(load, request, id, scheduled);
    results_.add(load.name, judge_completion(answer, load.stream, scheduled));
}

asio::awaitable<void> generator::send_order(
    const workspace_load& load, time_point scheduled, std::string id)
{
    outgoing request;
    request.target = options_.direct.empty()
                         ? "/services/" + load.service + load.order_path
                         : load.order_path;
    request.headers.emplace_back("Idempotency-Key", id);
    const json body = {{"order", id}};
    request.body = body.dump();
    const incoming answer = co_await send(load, request, id, scheduled);
    results_.add(load.name, judge_order(answer, id, scheduled));
}

} // namespace tarragonquay::load
