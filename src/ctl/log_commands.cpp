#include "ctl/commands.hpp"

#include <ctime>
#include <fstream>
#include <memory>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ctl/output.hpp"
#include "explain/request_story.hpp"

namespace tarragonquay::ctl
{

namespace
{

struct explain_options
{
    std::string request_id;
    std::vector<std::string> files;
};

struct read_lines
{
    std::vector<explain::log_line> lines;
    /// Lines that are no log lines of a gateway.
    std::size_t others = 0;
};

result<read_lines> read_files(const std::vector<std::string>& files)
{
    read_lines out;
    for (const auto& name : files)
    {
        std::ifstream file(name);
        if (!file)
            return fail(error_code::not_found, "cannot read " + name);
        std::string text;
        while (std::getline(file, text))
        {
            auto parsed = explain::parse_line(text);
            if (parsed)
                out.lines.push_back(std::move(*parsed));
            else
                ++out.others;
        }
    }
    return out;
}

std::string time_text(std::int64_t time_ms)
{
    const auto seconds = static_cast<std::time_t>(time_ms / 1000);
    return fmt::format("{:%FT%T}.{:03}Z", fmt::gmtime(seconds), time_ms % 1000);
}

// The fields that have no column of their own.
std::string details_of(const explain::log_line& line)
{
    nlohmann::ordered_json rest;
    for (const auto& [name, value] : line.fields.items())
        if (name != "time_ms" && name != "instance" && name != "event" &&
            name != "level" && name != "request_id")
            rest[name] = value;
    return rest.is_null() ? std::string() : rest.dump();
}

std::string describe(const explain::request_story& story, std::size_t others)
{
    text_table table({"", "TIME", "INSTANCE", "EVENT", "FIELDS"});
    for (std::size_t i = 0; i < story.lines.size(); ++i)
    {
        const auto& line = story.lines[i];
        table.add({story.cause == i ? "*" : "", time_text(line.time_ms),
            line.instance, line.event, details_of(line)});
    }
    auto out = table.to_string() + "outcome: " +
               (story.outcome.empty() ? "no line tells" : story.outcome) +
               "\ncause (*): " + story.explanation + '\n';
    for (const auto& [instance, offset] : story.clock_offsets_ms)
        out += fmt::format("the clock of {} differs by {} ms; its times are "
                           "corrected\n",
            instance, offset);
    if (others > 0)
        out += fmt::format("{} lines were no log lines\n", others);
    return out;
}

std::string to_json(const explain::request_story& story, std::size_t others)
{
    nlohmann::ordered_json out;
    out["outcome"] = story.outcome;
    out["explanation"] = story.explanation;
    out["cause"] = story.cause ? nlohmann::ordered_json(*story.cause)
                               : nlohmann::ordered_json();
    out["lines"] = nlohmann::ordered_json::array();
    for (const auto& line : story.lines)
    {
        nlohmann::ordered_json fields(line.fields);
        fields["time_ms"] = line.time_ms;
        out["lines"].push_back(std::move(fields));
    }
    out["clock_offsets_ms"] = story.clock_offsets_ms;
    out["other_lines"] = others;
    return out.dump() + '\n';
}

result<void> run_explain(
    const explain_options& given, output_format format, std::ostream& out)
{
    const auto read = read_files(given.files);
    if (!read)
        return tl::unexpected(read.error());
    const auto story = explain::explain_request(given.request_id, read->lines);
    if (!story)
        return tl::unexpected(story.error());
    out << (format == output_format::json ? to_json(*story, read->others)
                                          : describe(*story, read->others));
    return {};
}

} // namespace

void add_log_commands(CLI::App& app, local_action& chosen)
{
    auto given = std::make_shared<explain_options>();
    auto* command = app.add_subcommand(
        "explain", "Show what logs of gateways tell about one request");
    command->add_option("REQUEST-ID", given->request_id, "Id of the request")
        ->required();
    command->add_option("FILE", given->files, "Log files of the gateways")
        ->required();
    command->final_callback(
        [given, &chosen]
        {
            chosen = [given](output_format format, std::ostream& out)
            { return run_explain(*given, format, out); };
        });
}

} // namespace tarragonquay::ctl
