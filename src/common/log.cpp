#include "common/log.hpp"

#include <array>
#include <iostream>
#include <optional>
#include <utility>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
#include <fmt/format.h>

namespace tarragonquay::log
{

namespace
{

namespace expr = boost::log::expressions;

constexpr std::array<std::pair<level, std::string_view>, 4> level_names{{
    {level::debug, "debug"},
    {level::info, "info"},
    {level::warning, "warning"},
    {level::error, "error"},
}};

std::string_view level_name(level value)
{
    for (const auto& [candidate, name] : level_names)
    {
        if (candidate == value)
            return name;
    }
    return "unknown";
}

std::optional<level> parse_level(std::string_view text)
{
    for (const auto& [candidate, name] : level_names)
    {
        if (name == text)
            return candidate;
    }
    return std::nullopt;
}

void format_record(const std::string& process_name,
    const boost::log::record_view& record, boost::log::formatting_ostream& out)
{
    const auto time =
        boost::log::extract<boost::posix_time::ptime>("TimeStamp", record);
    const auto severity = boost::log::extract<level>("Severity", record);
    const auto channel = boost::log::extract<std::string>("Channel", record);
    if (time)
        out << boost::posix_time::to_iso_extended_string(*time) << "Z ";
    out << (severity ? level_name(*severity) : "info") << ' ' << process_name
        << " [" << (channel ? *channel : std::string("main")) << "] "
        << record[expr::smessage];
}

} // namespace

logger make_logger(std::string_view component)
{
    return logger(boost::log::keywords::channel = std::string(component));
}

result<void> start(std::string_view lowest_level, std::string process_name)
{
    const auto lowest = parse_level(lowest_level);
    if (!lowest)
        return fail(error_code::invalid_argument,
            fmt::format("'{}' is not a log level", lowest_level));

    using backend_type = boost::log::sinks::text_ostream_backend;
    auto backend = boost::make_shared<backend_type>();
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);

    using sink_type = boost::log::sinks::synchronous_sink<backend_type>;
    auto sink = boost::make_shared<sink_type>(backend);
    sink->set_formatter(
        [name = std::move(process_name)](const boost::log::record_view& record,
            boost::log::formatting_ostream& out)
        { format_record(name, record, out); });
    sink->set_filter(expr::attr<level>("Severity") >= *lowest);

    auto core = boost::log::core::get();
    core->remove_all_sinks();
    core->add_sink(sink);
    core->add_global_attribute(
        "TimeStamp", boost::log::attributes::utc_clock());
    return {};
}

} // namespace tarragonquay::log
