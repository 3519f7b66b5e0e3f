#pragma once

#include <string>
#include <string_view>

#include <boost/log/keywords/channel.hpp>
#include <boost/log/keywords/severity.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_channel_logger.hpp>

#include "common/error.hpp"

namespace tarragonquay::log
{

enum class level
{
    debug,
    info,
    warning,
    error
};

using logger =
    boost::log::sources::severity_channel_logger_mt<level, std::string>;

/// Returns a logger whose lines name a component, for example "limits".
logger make_logger(std::string_view component);

/// Sends log lines to stderr: time, level, process name, component and text.
/// Fails with invalid_argument for a level that does not exist.
result<void> start(std::string_view lowest_level, std::string process_name);

} // namespace tarragonquay::log

/// Writes one line, for example TQ_LOG(logger_, info) << "Started.";
#define TQ_LOG(logger, severity_level)                                         \
    BOOST_LOG_SEV(logger, ::tarragonquay::log::level::severity_level)
