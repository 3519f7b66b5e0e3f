#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.hpp"
#include "common/error.hpp"
#include "endpoints/directory_entry.hpp"
#include "placement/types.hpp"
#include "routes/configuration.hpp"

namespace tarragonquay::gateway
{

/// Names of the header fields that describe requests and answers.
struct header_names
{
    std::string request_id;
    /// Milliseconds that the sender waits.
    std::string deadline_ms;
    std::string key;
    /// Set by the gateway: the workspace that holds the key.
    std::string workspace;
    /// "MODEL" or "MODEL/ADAPTER".
    std::string model;
    /// "PROMPT_TOKENS,MAX_OUTPUT_TOKENS".
    std::string token_counts;
    std::string prompt_parts;
    /// Last event of a stream that the receiver has.
    std::string last_event;
    /// Set by the gateway: 0 to 9, 0 is the most urgent.
    std::string priority;
    /// Set by the gateway: id of the endpoint that may run the request.
    std::string expected_endpoint;
    /// In answers: id of the endpoint that answered.
    std::string endpoint;
    /// In answers: the request was not and will not be run.
    std::string not_executed;
    /// In answers: proves that the endpoint made the answer.
    std::string stamp;
    /// Only the gateway may set these; they are removed from requests.
    std::vector<std::string> reserved;
};

/// A command to an engine with what makes it safe to repeat and to arrive late.
struct engine_command
{
    placement::command_kind kind = placement::command_kind::load_model;
    model_id model;
    adapter_id adapter;
    /// The command is accepted only while the engine has accepted as many.
    std::int64_t expected_commands = 0;
    std::string holder;
    std::int64_t fencing = 0;

    auto operator<=>(const engine_command&) const = default;
};

/// How callers, endpoints and operators speak. Everything behind it uses the
/// decoded types.
struct dialect
{
    header_names headers;
    std::string readiness_path;
    /// Callers ask here which gateway to use.
    std::string entries_path;
    std::string report_path;
    std::string command_path;
    /// Tables of the store and the key of the configuration.
    std::string operator_table;
    std::string configuration_key;
    std::string endpoints_table;

    std::function<result<routes::configuration>(std::string_view)>
        decode_configuration;
    std::function<result<endpoints::directory_entry>(
        const endpoint_id&, std::string_view, time_point)>
        decode_directory_entry;
    std::function<result<endpoints::engine_report>(std::string_view)>
        decode_engine_report;
    std::function<std::string(const engine_command&)> encode_engine_command;
    /// Body for callers that ask for gateways; they may keep it this long.
    std::function<std::string(
        const std::vector<std::string>& addresses, std::int64_t keep_ms)>
        encode_entries;
    /// Availability zone that a caller names when it asks for gateways.
    std::function<std::string(std::string_view target)> caller_zone;
};

} // namespace tarragonquay::gateway
