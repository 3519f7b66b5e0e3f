#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "standins/engine_memory.hpp"

namespace tarragonquay::standins
{

/// Least-recently-used set of prompt prefixes, in blocks of fixed length.
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t max_entries) : max_entries_(max_entries)
    {
    }

    /// Bytes of the prompt that are cached; then caches the whole prompt.
    std::size_t use(const std::string& model, const std::string& prompt);
    void clear();

private:
    static constexpr std::size_t block_bytes = 64;

    std::size_t max_entries_;
    std::list<std::uint64_t> recent_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        blocks_;
};

/// One completion; it goes on when its connection breaks.
struct engine_stream
{
    explicit engine_stream(asio::io_context& io) : changed(io)
    {
        changed.expires_at(asio::steady_timer::time_point::max());
    }

    std::string request_id;
    std::string model;
    std::string version;
    std::string adapter;
    std::string adapter_version;
    std::string prompt;
    std::size_t priority = 1;
    int max_tokens = 0;
    int prompt_tokens = 0;
    int cached_tokens = 0;
    int produced = 0;
    bool admitted = false;
    bool done = false;
    bool cancelled = false;
    /// The engine restarted and lost the stream.
    bool lost = false;
    /// Cancelled at each change to wake the waiting coroutines.
    asio::steady_timer changed;

    /// Text of one token: a function of model, adapter, prompt and offset.
    std::string text_at(int offset) const;
    bool finished() const { return done || cancelled || lost; }
    void notify() { changed.cancel(); }
    json usage() const;
};

/// Waits for the next change of the stream.
asio::awaitable<void> wait_for_change(std::shared_ptr<engine_stream> stream);

/// Continuous batching with priorities in the waiting queue.
class engine_streams
{
public:
    engine_streams(asio::io_context& io, const engine_options& options,
        const engine_faults& faults, engine_memory& memory);

    /// Starts a completion; throws when the body is malformed.
    std::shared_ptr<engine_stream> start(
        const std::string& request_id, const json& body);
    /// The stream with this request id, or nullptr.
    std::shared_ptr<engine_stream> find(const std::string& request_id) const;
    bool cancel(const std::string& request_id);
    void restart();

    int running() const { return running_; }
    int waiting() const;
    json counts() const;

private:
    asio::awaitable<void> generate(std::shared_ptr<engine_stream> stream);
    asio::awaitable<void> produce(std::shared_ptr<engine_stream> stream);
    double token_ms() const;
    void admit_waiting();
    void forget_oldest();

    asio::io_context& io_;
    const engine_options& options_;
    const engine_faults& faults_;
    engine_memory& memory_;
    prefix_cache cache_;
    std::map<std::string, std::shared_ptr<engine_stream>> streams_;
    std::deque<std::string> order_;
    std::array<std::deque<std::shared_ptr<engine_stream>>, 3> queues_;
    int running_ = 0;
    std::int64_t started_ = 0;
    std::int64_t completed_ = 0;
    std::int64_t cancelled_ = 0;
    std::int64_t tokens_ = 0;
    std::int64_t cached_tokens_ = 0;
};

} // namespace tarragonquay::standins
