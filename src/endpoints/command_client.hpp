#pragma once

#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>

#include "common/clock.hpp"
#include "common/error.hpp"

namespace tarragonquay::records
{
class Command_intent;
} // namespace tarragonquay::records

namespace tarragonquay::endpoints
{

enum class command_answer
{
    accepted,
    /// The engine has already received a command with this id.
    already_known
};

/// Sends one command over a new connection. Fails with stale_fencing,
/// no_memory or endpoint_rejected and execution not_run when the engine
/// rejected it, and with execution `unknown` when the engine may have accepted
/// it.
boost::asio::awaitable<result<command_answer>> send_command(
    std::string address, records::Command_intent intent, time_point deadline);

/// Returns the JSON body of POST /control/commands.
std::string encode_command(const records::Command_intent& intent);

} // namespace tarragonquay::endpoints
