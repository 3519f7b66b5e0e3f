#include <utility>

#include "standins/engine_memory.hpp"

#include <algorithm>
#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "common/clock.hpp"
#include "common/digest.hpp"
#include "common/random.hpp"

namespace tarragonquay::standins
{
namespace
{

// /control/state lists the most recent commands only.
constexpr std::size_t max_listed_commands = 1000;
constexpr double poll_ms = 2;

bool is_known_kind(const std::string& kind)
{
    return kind == "load_model" || kind == "unload_model" ||
           kind == "load_adapter" || kind == "unload_adapter";
}

} // namespace

engine_command engine_command::from_json(const json& body)
{
    engine_command command;
    command.command_id = body.at("command_id").get<std::string>();
    command.incarnation = body.value("incarnation", std::string());
    command.fencing = body.at("fencing").get<std::int64_t>();
    command.kind = body.at("kind").get<std::string>();
    command.model = body.at("model").get<std::string>();
    command.adapter = body.value("adapter", std::string());
    command.version = body.value("version", std::string());
    command.bytes = body.value("bytes", std::int64_t(0));
    command.deadline_unix_ms = body.value("deadline_unix_ms", std::int64_t(0));
    if (!is_known_kind(command.kind))
        throw std::runtime_error("unknown kind \"" + command.kind + "\"");
    return command;
}

engine_memory::engine_memory(asio::io_context& io,
    const engine_options& options, const engine_faults& faults)
    : io_(io), options_(options), faults_(faults), incarnation_(unique_id())
{
    preload();
}

void engine_memory::preload()
{
    for (const auto& text : options_.models)
    {
        const auto first = text.find(':');
        const auto second = text.find(':', first + 1);
        if (first == std::string::npos || second == std::string::npos)
            throw std::runtime_error(
                "--model needs name:version:bytes, not \"" + text + "\"");
        const std::int64_t bytes = std::stoll(text.substr(second + 1));
        residents_[{text.substr(0, first),
            text.substr(first + 1, second - first - 1)}] = {bytes, "ready"};
        reserve(bytes);
    }
}

http_answer engine_memory::submit(const engine_command& command)
{
    const auto known = outcomes_.find(command.command_id);
    if (known != outcomes_.end())
        return json_answer(
            {{"command_id", command.command_id}, {"outcome", known->second}});
    if (options_.honours_fencing && !command.incarnation.empty() &&
        command.incarnation != incarnation_)
        return reject(command, 409, "stale_fencing",
            "the command is meant for incarnation " + command.incarnation);
    if (options_.honours_fencing && command.fencing < highest_fencing_)
        return reject(command, 409, "stale_fencing",
            "a command with fencing number " +
                std::to_string(highest_fencing_) + " was received");
    highest_fencing_ = std::max(highest_fencing_, command.fencing);
    if (command.deadline_unix_ms > 0 && unix_ms() > command.deadline_unix_ms)
        return reject(command, 409, "deadline_exceeded",
            "the deadline of the command has passed");
    if (options_.refuse_overcommit && !has_room(command.bytes) &&
        command.kind.rfind("load_", 0) == 0)
        return reject(command, 507, "no_memory", "the memory is in use");
    conclude(command.command_id, "pending");
    asio::co_spawn(io_, execute(command), asio::detached);
    return json_answer(
        {{"command_id", command.command_id}, {"outcome", "pending"}}, 202);
}

http_answer engine_memory::reject(const engine_command& command, int status,
    const std::string& code, const std::string& message)
{
    conclude(command.command_id, "rejected");
    return error_answer(status, code, message);
}

void engine_memory::conclude(
    const std::string& command_id, const std::string& outcome)
{
    if (outcomes_.emplace(command_id, outcome).second)
        command_order_.push_back(command_id);
    outcomes_[command_id] = outcome;
    if (command_order_.size() > max_listed_commands)
        command_order_.pop_front();
}

asio::awaitable<void> engine_memory::execute(engine_command command)
{
    const std::string incarnation = incarnation_;
    if (faults_.execution_delay_ms > 0)
        co_await sleep_ms(faults_.execution_delay_ms);
    if (incarnation != incarnation_)
        co_return;
    const bool expired =
        command.deadline_unix_ms > 0 && unix_ms() > command.deadline_unix_ms;
    bool done = false;
    if (!expired)
        done = co_await carry_out(command);
    if (incarnation != incarnation_)
        co_return;
    executions_[command.kind] += done ? 1 : 0;
    conclude(command.command_id, done ? "done" : "rejected");
}

asio::awaitable<bool> engine_memory::carry_out(const engine_command& command)
{
    if (command.kind == "load_model")
        co_return co_await load_model(command);
    if (command.kind == "unload_model")
        co_return co_await unload_model(command);
    if (command.kind == "load_adapter")
        co_return co_await load_adapter(command);
    co_return co_await unload_adapter(command);
}

asio::awaitable<bool> engine_memory::load_model(const engine_command& command)
{
    const pair_key key(command.model, command.version);
    if (residents_.count(key) > 0)
        co_return residents_.at(key).state != "unloading";
    if (options_.refuse_overcommit && !has_room(command.bytes))
        co_return false;
    reserve(command.bytes);
    residents_[key] = {command.bytes, "loading"};
    const std::string incarnation = incarnation_;
    co_await fetch_weights(command);
    if (incarnation != incarnation_)
        co_return false;
    residents_.at(key).state = "ready";
    residents_.at(key).ready_sequence = ++ready_sequence_;
    co_return true;
}

asio::awaitable<void> engine_memory::fetch_weights(
    const engine_command& command)
{
    if (options_.weight_store.empty())
    {
        co_await sleep_ms(static_cast<double>(command.bytes) * 1000 /
                          options_.load_bytes_per_second);
        co_return;
    }
    constexpr int ok = 200;
    constexpr double retry_ms = 100;
    const std::string target = "/weights/" + command.model + "/" +
                               command.version +
                               "?bytes=" + std::to_string(command.bytes);
    const std::string incarnation = incarnation_;
    while (incarnation == incarnation_ &&
           co_await fetch_http(options_.weight_store, target) != ok)
        co_await sleep_ms(retry_ms);
}

asio::awaitable<bool> engine_memory::unload_model(const engine_command& command)
{
    const pair_key key(command.model, command.version);
    const auto found = residents_.find(key);
    if (found == residents_.end())
        co_return true;
    if (found->second.state != "ready")
        co_return false;
    found->second.state = "unloading";
    const std::string incarnation = incarnation_;
    while (incarnation == incarnation_ && holds_[key] > 0)
        co_await sleep_ms(poll_ms);
    co_await sleep_ms(options_.unload_ms);
    if (incarnation != incarnation_)
        co_return false;
    used_bytes_ -= residents_.at(key).bytes;
    residents_.erase(key);
    for (auto at = adapters_.begin(); at != adapters_.end();)
    {
        const bool orphan = std::get<1>(at->first) == command.model &&
                            at->second.ready && !serves(command.model, "");
        if (orphan)
            used_bytes_ -= at->second.bytes;
        at = orphan ? adapters_.erase(at) : std::next(at);
    }
    co_return true;
}

asio::awaitable<bool> engine_memory::load_adapter(const engine_command& command)
{
    const adapter_key key(command.adapter, command.model, command.version);
    // A version that is being unloaded is not listed and is not ready again.
    if (const auto found = adapters_.find(key); found != adapters_.end())
        co_return !found->second.unloading;
    if (!serves(command.model, "") ||
        (options_.refuse_overcommit && !has_room(command.bytes)))
        co_return false;
    reserve(command.bytes);
    adapters_[key].bytes = command.bytes;
    const std::string incarnation = incarnation_;
    ++adapters_loading_;
    // 5 to 10 ms, fixed for each adapter; longer in proportion to the excess.
    const double base_ms =
        5 + static_cast<double>(fast_hash(command.adapter) % 500) / 100;
    const double excess = static_cast<double>(adapters_loading_) /
                          std::max(1, options_.adapters_in_flight);
    co_await sleep_ms(base_ms * std::max(1.0, excess));
    if (incarnation != incarnation_)
        co_return false;
    --adapters_loading_;
    adapters_.at(key).ready = true;
    adapters_.at(key).ready_sequence = ++ready_sequence_;
    co_return true;
}

asio::awaitable<bool> engine_memory::unload_adapter(
    const engine_command& command)
{
    const adapter_key key(command.adapter, command.model, command.version);
    const auto found = adapters_.find(key);
    if (found == adapters_.end())
        co_return true;
    if (!found->second.ready)
        co_return false;
    found->second.ready = false;
    found->second.unloading = true;
    const std::string incarnation = incarnation_;
    while (incarnation == incarnation_ && adapter_holds_[key] > 0)
        co_await sleep_ms(poll_ms);
    if (incarnation != incarnation_)
        co_return false;
    used_bytes_ -= adapters_.at(key).bytes;
    adapters_.erase(key);
    co_return true;
}

bool engine_memory::serves(
    const std::string& model, const std::string& adapter) const
{
    const bool adapter_ready =
        adapter.empty() ||
        std::any_of(adapters_.begin(), adapters_.end(),
            [&](const auto& entry)
            {
                const auto& [id, base, version] = entry.first;
                return id == adapter && base == model && entry.second.ready;
            });
    if (!adapter_ready)
        return false;
    return std::any_of(residents_.begin(), residents_.end(),
        [&model](const auto& entry) {
            return entry.first.first == model && entry.second.state == "ready";
        });
}

std::string engine_memory::ready_version(const std::string& model) const
{
    std::string version;
    std::int64_t newest = -1;
    for (const auto& [key, entry] : residents_)
        if (key.first == model && entry.state == "ready" &&
            entry.ready_sequence > newest)
        {
            newest = entry.ready_sequence;
            version = key.second;
        }
    return version;
}

std::string engine_memory::ready_adapter_version(
    const std::string& model, const std::string& adapter) const
{
    std::string newest_version;
    std::int64_t newest = -1;
    for (const auto& [key, entry] : adapters_)
    {
        const auto& [id, base, version] = key;
        if (id != adapter || base != model || !entry.ready ||
            entry.ready_sequence <= newest)
            continue;
        newest = entry.ready_sequence;
        newest_version = version;
    }
    return newest_version;
}

bool engine_memory::has_room(std::int64_t bytes) const
{
    return used_bytes_ + bytes <= options_.capacity_bytes;
}

void engine_memory::reserve(std::int64_t bytes)
{
    overcommits_ += has_room(bytes) ? 0 : 1;
    used_bytes_ += bytes;
    peak_bytes_ = std::max(peak_bytes_, used_bytes_);
}

void engine_memory::restart()
{
    incarnation_ = unique_id();
    used_bytes_ = 0;
    adapters_loading_ = 0;
    highest_fencing_ = 0;
    residents_.clear();
    adapters_.clear();
    outcomes_.clear();
    command_order_.clear();
}

json engine_memory::describe() const
{
    json residents = json::array();
    for (const auto& [key, entry] : residents_)
        residents.push_back({{"model", key.first}, {"version", key.second},
            {"bytes", entry.bytes}, {"state", entry.state}});
    json adapters = json::array();
    for (const auto& [key, entry] : adapters_)
        if (entry.ready)
            adapters.push_back({{"adapter", std::get<0>(key)},
                {"model", std::get<1>(key)}, {"version", std::get<2>(key)}});
    json commands = json::array();
    for (const auto& id : command_order_)
        commands.push_back({{"command_id", id}, {"outcome", outcomes_.at(id)}});
    return {{"incarnation", incarnation_},
        {"capacity_bytes", options_.capacity_bytes},
        {"used_bytes", used_bytes_}, {"peak_bytes", peak_bytes_},
        {"overcommits", overcommits_}, {"residents", residents},
        {"adapters", adapters}, {"commands", commands},
        {"highest_fencing", highest_fencing_},
        {"honours_fencing", options_.honours_fencing}};
}

json engine_memory::counts() const
{
    return {{"executions", executions_}, {"overcommits", overcommits_},
        {"peak_bytes", peak_bytes_}};
}

} // namespace tarragonquay::standins
