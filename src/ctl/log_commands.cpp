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

struct log_contents
{
    std::vector<explain::log_line> lines;
    /// Number of lines that are not log lines of a gateway.
    std::size_t unparsed_lines = 0;
};

result<log_contents> read_files(const std::vector<std::string>& files)
{
    log_contents out;
    for (const auto& name : files)
    {
        std::ifstream file(name);
        if (!file)
            return fail(error_code::not_found, "file can't be read: " + name);
        std::string text;
        while (std::getline(file, text))
        {
            auto parsed = explain::parse_line(text);
            if (parsed)
                out.lines.push_back(std::move(*parsed));
            else
                ++out.unparsed_lines;
        }
    }
    return out;
}

std::string time_text(std::int64_t time_ms)
{
    const auto seconds = static_cast<std::time_t>(time_ms / 1000);
    return fmt::format("{:%FT%T}.{:03}Z", fmt::gmtime(seconds), time_ms % 1000);
}

// The fields that have no column.
std::string details_of(const explain::log_line& line)
{
    nlohmann::ordered_json rest;
    for (const auto& [name, value] : line.fields.items())
        if (name != "time_ms" && name != "instance" && name != "event" &&
            name != "level" && name != "request_id")
            rest[name] = value;
    return rest.is_null() ? std::string() : rest.dump();
}

std::string describe(
    const explain::request_report& report, std::size_t unparsed_lines)
{
    text_table table({"", "TIME", "INSTANCE", "EVENT", "FIELDS"});
    for (std::size_t i = 0; i < report.lines.size(); ++i)
    {
        const auto& line = report.lines[i];
        table.add({report.cause == i ? "*" : "", time_text(line.time_ms),
            line.instance, line.event, details_of(line)});
    }
    auto out = table.to_string() + "outcome: " +
               (report.outcome.empty() ? "no line tells" : report.outcome) +
               "\ncause (*): " + report.explanation + '\n';
    for (const auto& [instance, offset] : report.clock_offsets_ms)
        out += fmt::format("the clock of {} differs by {} ms; its times are "
                           "corrected\n",
            instance, offset);
    if (unparsed_lines > 0)
        out += fmt::format("{} lines were no log lines\n", unparsed_lines);
    return out;
}

std::string to_json(
    const explain::request_report& report, std::size_t unparsed_lines)
{
    nlohmann::ordered_json out;
    out["outcome"] = report.outcome;
    out["explanation"] = report.explanation;
    out["cause"] = report.cause ? nlohmann::ordered_json(*report.cause)
                                : nlohmann::ordered_json();
    out["lines"] = nlohmann::ordered_json::array();
    for (const auto& line : report.lines)
    {
        nlohmann::ordered_json fields(line.fields);
        fields["time_ms"] = line.time_ms;
        out["lines"].push_back(std::move(fields));
    }
    out["clock_offsets_ms"] = report.clock_offsets_ms;
    out["other_lines"] = unparsed_lines;
    return out.dump() + '\n';
}

result<void> run_explain(
    const explain_options& given, output_format format, std::ostream& out)
{
    const auto read = read_files(given.files);
    if (!read)
        return tl::unexpected(read.error());
    const auto report = explain::explain_request(given.request_id, read->lines);
    if (!report)
        return tl::unexpected(report.error());
    out << (format == output_format::json
                ? to_json(*report, read->unparsed_lines)
                : describe(*report, read->unparsed_lines));
    return {};
}

} // namespace

void add_log_commands(CLI::App& app, local_action& chosen)
{
    auto given = std::make_shared<explain_options>();
    auto* command = app.add_subcommand(
        "explain", "Explain the outcome of a request from gateway logs");
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
