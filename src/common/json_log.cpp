#include "common/json_log.hpp"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

namespace tarragonquay::log
{

namespace
{

namespace sinks = boost::log::sinks;

// Lines beyond this are dropped; the reader of the pipe has stalled.
constexpr std::size_t max_buffer_bytes = 64UL << 10U;

// Buffers lines and writes them when standard output accepts them without
// blocking.
class bounded_backend
    : public sinks::basic_formatted_sink_backend<char,
          sinks::combine_requirements<sinks::synchronized_feeding,
              sinks::flushing>::type>
{
public:
    void consume(const boost::log::record_view&, const std::string& line)
    {
        if (buffer_.size() + line.size() > max_buffer_bytes)
        {
            ++dropped_lines_;
            return;
        }
        buffer_ += line;
        buffer_ += '\n';
        if (buffer_.size() >= PIPE_BUF)
            flush();
    }

    void flush()
    {
        // A pipe that polls as writable accepts PIPE_BUF bytes without
        // blocking.
        while (!buffer_.empty())
        {
            pollfd ready{STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&ready, 1, 0) != 1)
                return;
            const auto size = std::min<std::size_t>(buffer_.size(), PIPE_BUF);
            const auto written = ::write(STDOUT_FILENO, buffer_.data(), size);
            if (written <= 0)
                return;
            buffer_.erase(0, static_cast<std::size_t>(written));
        }
    }

    std::uint64_t take_dropped() { return std::exchange(dropped_lines_, 0); }

private:
    std::string buffer_;
    std::uint64_t dropped_lines_ = 0;
};

boost::shared_ptr<bounded_backend>& backend()
{
    static boost::shared_ptr<bounded_backend> instance;
    return instance;
}

boost::log::sources::logger& source()
{
    static boost::log::sources::logger instance;
    return instance;
}

} // namespace

result<json_log> json_log::create(
    std::string_view lowest_level, std::string instance)
{
    if (lowest_level != "debug" && lowest_level != "info" &&
        lowest_level != "warning" && lowest_level != "error")
        return fail(error_code::invalid_argument,
            "log level must be debug, info, warning or error");
    backend() = boost::make_shared<bounded_backend>();
    auto sink =
        boost::make_shared<sinks::synchronous_sink<bounded_backend>>(backend());
    sink->set_formatter(
        boost::log::expressions::stream << boost::log::expressions::smessage);
    auto core = boost::log::core::get();
    core->remove_all_sinks();
    core->add_sink(sink);
    json_log out(std::move(instance));
    out.info_enabled_ = lowest_level == "debug" || lowest_level == "info";
    return out;
}

bool json_log::within_limit(std::string_view event, time_point now)
{
    auto found = windows_.find(event);
    if (found == windows_.end())
        found =
            windows_.emplace(std::string(event), rate_window{now, 0, 0}).first;
    auto& window = found->second;
    if (now - window.start >= std::chrono::seconds(1))
    {
        const auto suppressed = std::exchange(window.suppressed, 0);
        window.start = now;
        window.lines = 0;
        if (suppressed > 0)
            write("warning", "lines_left_out",
                {{"of", found->first}, {"count", suppressed}});
    }
    if (window.lines < max_lines_per_second)
    {
        ++window.lines;
        return true;
    }
    ++window.suppressed;
    ++dropped_;
    return false;
}

void json_log::write(std::string_view level, std::string_view event,
    nlohmann::ordered_json fields)
{
    nlohmann::ordered_json line = {{"time_ms", unix_ms()}, {"level", level},
        {"instance", instance_}, {"event", event}};
    // An empty field list is null instead of an object.
    if (fields.is_object())
        line.update(fields);
    BOOST_LOG(source()) << line.dump(
        -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void json_log::info(std::string_view event, nlohmann::ordered_json fields)
{
    if (info_enabled_ && within_limit(event, std::chrono::steady_clock::now()))
        write("info", event, std::move(fields));
}

void json_log::warning(std::string_view event, nlohmann::ordered_json fields)
{
    if (within_limit(event, std::chrono::steady_clock::now()))
        write("warning", event, std::move(fields));
}

void json_log::flush()
{
    if (!backend())
        return;
    backend()->flush();
    dropped_ += backend()->take_dropped();
}

} // namespace tarragonquay::log
