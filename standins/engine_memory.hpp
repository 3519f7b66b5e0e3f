#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "standins/engine_options.hpp"
#include "standins/http.hpp"

namespace tarragonquay::standins
{

/// One command to an engine, as received by POST /control/commands.
struct engine_command
{
    std::string command_id;
    /// Incarnation that the command is meant for; empty for any.
    std::string incarnation;
    std::int64_t fencing = 0;
    std::string kind;
    std::string model;
    std::string adapter;
    std::string version;
    std::int64_t bytes = 0;
    std::int64_t deadline_unix_ms = 0;

    /// Throws when a field is missing or has the wrong type.
    static engine_command from_json(const json& body);
};

/// What is in an engine's memory, and the commands that change it.
///
/// The memory of a load is reserved when its execution starts. A load that
/// exceeds the capacity is carried out and counted, so that tests can see
/// that the system under test sent it.
class engine_memory
{
public:
    engine_memory(asio::io_context& io, const engine_options& options,
        const engine_faults& faults);

    /// Decides about a command and starts its execution.
    http_answer submit(const engine_command& command);
    /// Whether requests for the model, and the adapter if any, can run.
    bool serves(const std::string& model, const std::string& adapter) const;
    /// Version of the model that new streams use: the last one that became
    /// ready.
    std::string ready_version(const std::string& model) const;
    /// Version of the adapter that new streams use: the last one that became
    /// ready.
    std::string ready_adapter_version(
        const std::string& model, const std::string& adapter) const;
    /// A running stream keeps its model version from being unloaded.
    void hold(const std::string& model, const std::string& version)
    {
        ++holds_[{model, version}];
    }
    void release(const std::string& model, const std::string& version)
    {
        --holds_[{model, version}];
    }
    /// A running stream keeps its adapter version from being unloaded.
    void hold_adapter(const std::string& model, const std::string& adapter,
        const std::string& version)
    {
        ++adapter_holds_[{adapter, model, version}];
    }
    void release_adapter(const std::string& model, const std::string& adapter,
        const std::string& version)
    {
        --adapter_holds_[{adapter, model, version}];
    }
    /// Loses all memory and all commands and takes a new incarnation.
    void restart();

    const std::string& incarnation() const { return incarnation_; }
    /// The fields of /control/state about memory and commands.
    json describe() const;
    /// Moves and faults, for tests.
    json counts() const;

private:
    // Model and version.
    using pair_key = std::pair<std::string, std::string>;
    // Adapter, model and version.
    using adapter_key = std::tuple<std::string, std::string, std::string>;
    struct resident
    {
        std::int64_t bytes = 0;
        std::string state;
        /// Grows with each resident that becomes ready.
        std::int64_t ready_sequence = 0;
    };
    struct loaded_adapter
    {
        std::int64_t bytes = 0;
        bool ready = false;
        /// Waits for its last stream; new ones can't use it.
        bool unloading = false;
        /// Grows with each adapter that becomes ready.
        std::int64_t ready_sequence = 0;
    };

    http_answer reject(const engine_command& command, int status,
        const std::string& code, const std::string& message);
    asio::awaitable<void> execute(engine_command command);
    asio::awaitable<bool> carry_out(const engine_command& command);
    asio::awaitable<bool> load_model(const engine_command& command);
    asio::awaitable<bool> unload_model(const engine_command& command);
    asio::awaitable<bool> load_adapter(const engine_command& command);
    asio::awaitable<bool> unload_adapter(const engine_command& command);
    asio::awaitable<void> fetch_weights(const engine_command& command);
    bool has_room(std::int64_t bytes) const;
    void reserve(std::int64_t bytes);
    void preload();
    void conclude(const std::string& command_id, const std::string& outcome);

    asio::io_context& io_;
    const engine_options& options_;
    const engine_faults& faults_;
    std::string incarnation_;
    std::int64_t used_bytes_ = 0;
    std::int64_t peak_bytes_ = 0;
    std::int64_t overcommits_ = 0;
    std::int64_t highest_fencing_ = 0;
    std::map<pair_key, resident> residents_;
    std::map<adapter_key, loaded_adapter> adapters_;
    std::map<pair_key, int> holds_;
    std::map<adapter_key, int> adapter_holds_;
    std::map<std::string, std::string> outcomes_;
    std::deque<std::string> command_order_;
    int adapters_loading_ = 0;
    std::int64_t ready_sequence_ = 0;
    std::map<std::string, int> executions_;
};

} // namespace tarragonquay::standins
