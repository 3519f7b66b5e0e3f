#pragma once

#include <utility>

#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "gateway/context.hpp"

namespace tarragonquay::gateway
{

/// An engine's answer to a command.
enum class engine_answer
{
    accepted,
    /// The engine is already in the requested state, or is now.
    holds_already,
    /// Another command is in progress, or the engine has accepted others than
    /// the sender expects.
    conflict,
    /// The engine has seen a higher fencing number.
    stale_fencing,
    /// The receiver is not the expected engine.
    misdirected,
    refused
};

std::string_view to_string(engine_answer value);

/// Sends a command. An error means that no answer arrived; the command may
/// still take effect.
boost::asio::awaitable<result<engine_answer>> send_engine_command(
    context& ctx, endpoints::directory_entry engine, engine_command command);

boost::asio::awaitable<result<endpoints::engine_report>> read_engine_report(
    context& ctx, endpoints::directory_entry engine);

} // namespace tarragonquay::gateway
