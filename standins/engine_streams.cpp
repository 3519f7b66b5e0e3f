#include <utility>

#include "standins/engine_streams.hpp"

#include <algorithm>
#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "common/digest.hpp"

namespace tarragonquay::standins
{
namespace
{

constexpr int bytes_per_token = 4;

int tokens_of(std::size_t bytes)
{
    return static_cast<int>((bytes + bytes_per_token - 1) / bytes_per_token);
}

std::size_t priority_of(const json& body)
{
    const auto name = body.value("priority", std::string("normal"));
    if (name == "interactive")
        return 0;
    if (name == "normal")
        return 1;
    if (name == "batch")
        return 2;
    throw std::runtime_error("unknown priority \"" + name + "\"");
}

std::string prompt_of(const json& body)
{
    std::string prompt;
    for (const auto& message : body.at("messages"))
        prompt += message.value("role", std::string("user")) + ": " +
                  message.at("content").get<std::string>() + "\n";
    return prompt;
}

} // namespace

std::size_t prefix_cache::use(
    const std::string& model, const std::string& prompt)
{
    std::size_t cached = 0;
    bool prefix_known = true;
    std::uint64_t hash = fast_hash(model);
    for (std::size_t at = 0; at + block_bytes <= prompt.size();
         at += block_bytes)
    {
        hash =
            fast_hash(std::string_view(prompt).substr(at, block_bytes), hash);
        const auto found = blocks_.find(hash);
        prefix_known = prefix_known && found != blocks_.end();
        if (prefix_known)
            cached = at + block_bytes;
        if (found != blocks_.end())
            recent_.erase(found->second);
        recent_.push_front(hash);
        blocks_[hash] = recent_.begin();
    }
    while (recent_.size() > max_entries_)
    {
        blocks_.erase(recent_.back());
        recent_.pop_back();
    }
    return cached;
}

void prefix_cache::clear()
{
    recent_.clear();
    blocks_.clear();
}

std::string engine_stream::text_at(int offset) const
{
    const std::uint64_t hash = fast_hash(model + '\0' + adapter + '\0' + prompt,
        static_cast<std::uint64_t>(offset));
    return fmt::format(" {:04x}", hash & 0xffffu);
}

json engine_stream::usage() const
{
    return {{"prompt_tokens", prompt_tokens}, {"completion_tokens", produced}};
}

asio::awaitable<void> wait_for_change(std::shared_ptr<engine_stream> stream)
{
    boost::system::error_code ignored;
    co_await stream->changed.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

engine_streams::engine_streams(asio::io_context& io,
    const engine_options& options, const engine_faults& faults,
    engine_memory& memory)
    : io_(io),
      options_(options),
      faults_(faults),
      memory_(memory),
      cache_(static_cast<std::size_t>(std::max(0, options.cache_entries)))
{
}

std::shared_ptr<engine_stream> engine_streams::start(
    const std::string& request_id, const json& body)
{
    constexpr int default_max_tokens = 16;
    auto stream = std::make_shared<engine_stream>(io_);
    stream->request_id = request_id;
    stream->model = body.at("model").get<std::string>();
    stream->adapter = body.value("adapter", std::string());
    stream->prompt = prompt_of(body);
    stream->priority = priority_of(body);
    stream->max_tokens = body.value("max_tokens", default_max_tokens);
    if (stream->max_tokens < 1)
        throw std::runtime_error("max_tokens must be positive");
    stream->prompt_tokens = tokens_of(stream->prompt.size());
    streams_[request_id] = stream;
    order_.push_back(request_id);
    forget_oldest();
    ++started_;
    stream->version = memory_.ready_version(stream->model);
    memory_.hold(stream->model, stream->version);
    stream->adapter_version =
        memory_.ready_adapter_version(stream->model, stream->adapter);
    memory_.hold_adapter(
        stream->model, stream->adapter, stream->adapter_version);
    queues_.at(stream->priority).push_back(stream);
    admit_waiting();
    asio::co_spawn(io_, generate(stream), asio::detached);
    return stream;
}

void engine_streams::forget_oldest()
{
    while (order_.size() > static_cast<std::size_t>(options_.keep_streams))
    {
        const auto found = streams_.find(order_.front());
        if (found != streams_.end() && !found->second->finished())
            return;
        if (found != streams_.end())
            streams_.erase(found);
        order_.pop_front();
    }
}

void engine_streams::admit_waiting()
{
    for (auto& queue : queues_)
        while (!queue.empty() && running_ < options_.max_batch)
        {
            auto stream = queue.front();
            queue.pop_front();
            if (stream->finished())
                continue;
            stream->admitted = true;
            ++running_;
            stream->notify();
        }
}

asio::awaitable<void> engine_streams::generate(
    std::shared_ptr<engine_stream> stream)
{
    while (!stream->admitted && !stream->finished())
        co_await wait_for_change(stream);
    if (stream->admitted)
    {
        co_await produce(stream);
        --running_;
    }
    memory_.release(stream->model, stream->version);
    memory_.release_adapter(
        stream->model, stream->adapter, stream->adapter_version);
    admit_waiting();
    if (!stream->finished())
    {
        stream->done = true;
        ++completed_;
    }
    stream->notify();
}

asio::awaitable<void> engine_streams::produce(
    std::shared_ptr<engine_stream> stream)
{
    const auto cached = cache_.use(stream->model, stream->prompt);
    stream->cached_tokens = static_cast<int>(cached / bytes_per_token);
    cached_tokens_ += stream->cached_tokens;
    const double prefill_tokens = stream->prompt_tokens - stream->cached_tokens;
    co_await sleep_ms(prefill_tokens * options_.prefill_us_per_token / 1000 *
                      faults_.slow_factor);
    while (!stream->finished() && stream->produced < stream->max_tokens)
    {
        co_await sleep_ms(token_ms());
        if (stream->finished())
            break;
        ++stream->produced;
        ++tokens_;
        stream->notify();
    }
}

double engine_streams::token_ms() const
{
    return options_.token_ms * (1 + options_.batch_slope * (running_ - 1)) *
           faults_.slow_factor;
}

std::shared_ptr<engine_stream> engine_streams::find(
    const std::string& request_id) const
{
    const auto found = streams_.find(request_id);
    return found == streams_.end() ? nullptr : found->second;
}

bool engine_streams::cancel(const std::string& request_id)
{
    const auto stream = find(request_id);
    if (!stream)
        return false;
    if (!stream->finished())
    {
        stream->cancelled = true;
        ++cancelled_;
        stream->notify();
    }
    return true;
}

void engine_streams::restart()
{
    for (auto& [id, stream] : streams_)
    {
        stream->lost = true;
        stream->notify();
    }
    streams_.clear();
    order_.clear();
    for (auto& queue : queues_)
        queue.clear();
    cache_.clear();
}

int engine_streams::waiting() const
{
    std::size_t count = 0;
    for (const auto& queue : queues_)
        count += queue.size();
    return static_cast<int>(count);
}

json engine_streams::counts() const
{
    return {{"started", started_}, {"completed", completed_},
        {"cancelled", cancelled_}, {"tokens", tokens_},
        {"cached_tokens", cached_tokens_}, {"running", running_},
        {"waiting", waiting()}};
}

} // namespace tarragonquay::standins
