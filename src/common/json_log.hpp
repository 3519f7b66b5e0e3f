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

/// Structured log: one JSON object a line on standard output. Lines of one
/// kind are limited in a second, and a pipe that is full drops lines instead
/// of blocking; both are counted and reported in the log itself.
class json_log
{
public:
    /// Lines of one kind in a second. An instance of a quarter of a core serves
    /// fewer requests than this.
    static constexpr int max_lines_per_second = 200;

    /// Sets up Boost.Log with one sink on standard output.
    static result<json_log> create(
        std::string_view lowest_level, std::string instance);

    /// Writes a line of this kind with these fields. A field `level` other
    /// than info is set by the calls below.
    void info(std::string_view kind, nlohmann::ordered_json fields);
    void warning(std::string_view kind, nlohmann::ordered_json fields);

    /// Hands what is buffered to the pipe, as far as it takes it.
    void flush();
    std::uint64_t dropped_lines() const { return dropped_; }

private:
    explicit json_log(std::string instance) : instance_(std::move(instance)) {}
    void write(std::string_view level, std::string_view kind,
        nlohmann::ordered_json fields);
    bool within_limit(std::string_view kind, time_point now);

    struct usage
    {
        time_point second;
        int lines = 0;
        std::uint64_t left_out = 0;
    };

    std::string instance_;
    bool info_enabled_ = true;
    std::map<std::string, usage, std::less<>> usage_;
    std::uint64_t dropped_ = 0;
};

} // namespace tarragonquay::log
