#include <utility>

#include <algorithm>
#include <stdexcept>

#include "common/clock.hpp"
#include "platform.pb.h"
#include "standins/platform_service.hpp"

namespace tarragonquay::standins
{

double rate_queue::reserve(double operations, double longest_wait_ms)
{
    const auto now = std::chrono::steady_clock::now();
    next_ = std::max(next_, now);
    const double wait =
        std::chrono::duration<double, std::milli>(next_ - now).count();
    if (wait > longest_wait_ms)
        return -1;
    next_ += std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(operations / per_second_));
    return wait;
}

platform_state::platform_state(const platform_options& options)
    : options_(options),
      writes_(options.writes_per_second),
      reads_(options.reads_per_second),
      loads_(options.loads_per_second)
{
}

void platform_state::transact(
    const platform::Transact_request& request, platform::Transact_reply& reply)
{
    for (const auto& condition : request.conditions())
    {
        const auto found = rows_.find(condition.key());
        const std::int64_t version =
            found == rows_.end() ? 0 : found->second.version;
        if (version == condition.version())
            continue;
        reply.set_failed_key(condition.key());
        reply.set_failed_version(version);
        return;
    }
    ++revision_;
    for (const auto& write : request.writes())
        if (write.erase())
            rows_.erase(write.key());
        else
            rows_[write.key()] = {write.value(), revision_};
    reply.set_applied(true);
    reply.set_revision(revision_);
}

void platform_state::read(
    const platform::Read_request& request, platform::Read_reply& reply)
{
    for (const auto& key : request.keys())
    {
        const auto found = rows_.find(key);
        if (found == rows_.end())
            continue;
        auto* out = reply.add_rows();
        out->set_key(key);
        out->set_value(found->second.value);
        out->set_version(found->second.version);
    }
}

void platform_state::scan(
    const platform::Scan_request& request, platform::Scan_reply& reply)
{
    constexpr int default_limit = 1000;
    const int limit = request.limit() > 0 ? request.limit() : default_limit;
    auto at = rows_.lower_bound(request.prefix());
    if (request.after() >= request.prefix() && !request.after().empty())
        at = rows_.upper_bound(request.after());
    for (; at != rows_.end() && at->first.rfind(request.prefix(), 0) == 0; ++at)
    {
        if (reply.rows_size() == limit)
        {
            reply.set_more(true);
            return;
        }
        auto* out = reply.add_rows();
        out->set_key(at->first);
        out->set_value(at->second.value);
        out->set_version(at->second.version);
    }
}

void platform_state::list(platform::List_instances_reply& reply)
{
    const auto as_of =
        unix_ms() - static_cast<std::int64_t>(options_.list_lag_ms);
    old_lists_.erase(old_lists_.begin(), old_lists_.upper_bound(as_of));
    const listing& current =
        old_lists_.empty() ? instances_ : old_lists_.begin()->second;
    for (const auto& [id, entry] : current)
    {
        auto* out = reply.add_instances();
        out->set_id(id);
        out->set_address(entry.address);
        out->set_leaving(entry.leaving);
    }
    reply.set_as_of_unix_ms(as_of);
}

void platform_state::count(bool write, double operations)
{
    (write ? write_count_ : read_count_) +=
        static_cast<std::int64_t>(operations);
}

bool platform_state::consume_lost_answer()
{
    if (lost_answers_ <= 0)
        return false;
    --lost_answers_;
    return true;
}

asio::awaitable<void> platform_state::handle(
    const http_request& request, http_connection& peer)
{
    if (request.path.rfind("/weights/", 0) == 0)
        co_await load_weights(request, peer);
    else
        co_await peer.answer(admin(request));
}

http_answer platform_state::admin(const http_request& request)
{
    if (request.path == "/admin/rows")
    {
        const auto prefix = request.query.find("prefix");
        return json_answer(
            rows(prefix == request.query.end() ? "" : prefix->second));
    }
    if (request.path == "/admin/counts")
        return json_answer({{"reads", read_count_}, {"writes", write_count_},
            {"refusals", refusals_}, {"loads_done", loads_done_},
            {"loads_running", loads_running_}, {"revision", revision_}});
    if (request.path == "/admin/mode")
        set_mode(request.body_json());
    else if (request.path == "/admin/instances")
        set_instance(request.body_json());
    else
        return error_answer(404, "not_found", "no such admin path");
    return json_answer({{"ok", true}});
}

void platform_state::set_mode(const json& change)
{
    const auto mode = change.at("mode").get<std::string>();
    if (mode == "answer_lost")
    {
        lost_answers_ = change.value("count", 1);
        return;
    }
    if (mode == "up")
    {
        mode_ = platform_mode::up;
        lost_answers_ = 0;
    }
    else if (mode == "down")
        mode_ = platform_mode::down;
    else if (mode == "hang")
        mode_ = platform_mode::hang;
    else if (mode == "slow")
    {
        mode_ = platform_mode::slow;
        slow_ms_ = change.at("ms").get<double>();
    }
    else
        throw std::runtime_error("unknown mode \"" + mode + "\"");
}

void platform_state::set_instance(const json& change)
{
    const auto id = change.at("id").get<std::string>();
    // Of several changes in one millisecond, the first list was shown before.
    old_lists_.emplace(unix_ms(), instances_);
    if (change.value("erase", false))
        instances_.erase(id);
    else
        instances_[id] = {change.at("address").get<std::string>(),
            change.value("leaving", false)};
}

json platform_state::rows(const std::string& prefix) const
{
    json list = json::array();
    for (auto at = rows_.lower_bound(prefix);
         at != rows_.end() && at->first.rfind(prefix, 0) == 0; ++at)
        list.push_back({{"key", at->first}, {"version", at->second.version},
            {"bytes", at->second.value.size()}});
    return {{"rows", list}};
}

asio::awaitable<void> platform_state::load_weights(
    const http_request& request, http_connection& peer)
{
    constexpr double longest_wait_ms = 600'000;
    constexpr double poll_ms = 5;
    co_await sleep_ms(loads_.reserve(1, longest_wait_ms));
    while (loads_running_ >= options_.loads_at_once)
        co_await sleep_ms(poll_ms);
    ++loads_running_;
    const auto bytes = request.number("bytes", 0);
    co_await sleep_ms(
        static_cast<double>(bytes) * 1000 / options_.weight_bytes_per_second);
    --loads_running_;
    ++loads_done_;
    // GCC 12 can't compile initializer lists inside a co_await expression.
    const json body = {{"bytes", bytes}};
    co_await peer.answer(json_answer(body));
}

} // namespace tarragonquay::standins
