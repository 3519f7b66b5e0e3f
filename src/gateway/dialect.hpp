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
    /// Time that the sender waits for the answer, in milliseconds.
    std::string deadline_ms;
    std::string key;
    /// Set by the gateway: the workspace that the key belongs to.
    std::string workspace;
    /// "MODEL" or "MODEL/ADAPTER".
    std::string model;
    /// "PROMPT_TOKENS,MAX_OUTPUT_TOKENS".
    std::string token_counts;
    std::string prompt_parts;
    /// Id of the last event of a stream that the receiver has got.
    std::string last_event;
    /// Set by the gateway: 0 to 9; 0 is the highest priority.
    std::string priority;
    /// Set by the gateway: id of the endpoint that may run the request.
    std::string expected_endpoint;
    /// In answers: id of the endpoint that answered.
    std::string endpoint;
    /// In answers: the request has not run and will not run.
    std::string not_executed;
    /// In answers: the endpoint is leaving.
    std::string leaving;
    /// In answers: the requests per second that the endpoint accepts from all
    /// gateways together.
    std::string limit;
    /// In answers: remaining milliseconds of the endpoint's cold phase, 0 when
    /// it is warm.
    std::string cold_ms;
    /// In answers: proves that the endpoint made the answer.
    std::string stamp;
    /// Further fields that only the gateway may set; they are removed from
    /// callers' requests.
    std::vector<std::string> reserved;
};

/// A command to an engine. The command count and the fencing number make it
/// safe to repeat it and to receive it late.
struct engine_command
{
    placement::command_kind kind = placement::command_kind::load_model;
    model_id model;
    adapter_id adapter;
    /// The engine accepts the command only if this is the number of commands
    /// that it has accepted so far.
    std::int64_t expected_commands = 0;
    std::string holder;
    std::int64_t fencing = 0;

    auto operator<=>(const engine_command&) const = default;
};

/// The wire formats of callers, endpoints and operators: names, paths and
/// codecs. The rest of the gateway uses only the decoded types.
struct dialect
{
    header_names headers;
    std::string readiness_path;
    /// Path on which callers get the addresses of the gateways.
    std::string entries_path;
    std::string report_path;
    std::string command_path;
    /// Names of the store's tables, the key of the row with the configuration,
    /// and what precedes the zone in the keys of rows that evacuate one.
    std::string operator_table;
    std::string configuration_key;
    std::string evacuation_prefix;
    std::string endpoints_table;

    std::function<result<routes::configuration>(std::string_view)>
        decode_configuration;
    std::function<result<endpoints::directory_entry>(
        const endpoint_id&, std::string_view, time_point)>
        decode_directory_entry;
    std::function<result<endpoints::engine_report>(std::string_view)>
        decode_engine_report;
    std::function<std::string(const engine_command&)> encode_engine_command;
    /// Encodes the gateways' addresses for a caller, which may cache them for
    /// `keep_ms` milliseconds.
    std::function<std::string(
        const std::vector<std::string>& addresses, std::int64_t keep_ms)>
        encode_entries;
    /// Extracts the caller's availability zone from the target of a request for
    /// the gateways' addresses.
    std::function<std::string(std::string_view target)> caller_zone;
};

} // namespace tarragonquay::gateway
