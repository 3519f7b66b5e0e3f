#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "common/clock.hpp"
#include "common/error.hpp"

namespace tarragonquay::log
{

/// Structured log: one JSON object per line on standard output. The rate of
/// each event is limited, and a full pipe drops lines instead of blocking. Both
/// are counted by dropped_lines(); the log itself reports the lines suppressed
/// by the rate limit.
class json_log
{
public:
    /// Limit for each event name. An instance with a quarter of a core serves
    /// fewer requests per second than this.
    static constexpr int max_lines_per_second = 200;

    /// Sets up Boost.Log with one sink on standard output. Fails with
    /// invalid_argument for an unknown level.
    static result<json_log> create(
        std::string_view lowest_level, std::string instance);

    /// Writes a line with this event name and these fields.
    void info(std::string_view event, nlohmann::ordered_json fields);
    void warning(std::string_view event, nlohmann::ordered_json fields);

    /// Writes as much of the buffer as the pipe accepts without blocking.
    void flush();
    std::uint64_t dropped_lines() const { return dropped_; }

private:
    explicit json_log(std::string instance) : instance_(std::move(instance)) {}
    void write(std::string_view level, std::string_view event,
        nlohmann::ordered_json fields);
    bool within_limit(std::string_view event, time_point now);

    struct rate_window
    {
        time_point start;
        int lines = 0;
        std::uint64_t suppressed = 0;
    };

    std::string instance_;
    bool info_enabled_ = true;
    std::map<std::string, rate_window, std::less<>> windows_;
    std::uint64_t dropped_ = 0;
};

} // namespace tarragonquay::log
