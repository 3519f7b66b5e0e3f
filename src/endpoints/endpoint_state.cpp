#include "endpoints/endpoint_state.hpp"

#include <limits>
#include <optional>

#include <nlohmann/json.hpp>

namespace tarragonquay::endpoints
{

using json = nlohmann::json;

namespace
{

// More entries than any engine reports; a longer list is malformed.
constexpr std::size_t max_list_entries = 10'000;
constexpr std::size_t max_text_bytes = 512;
constexpr int status_ok = 200;

// Reads typed members of a JSON object and keeps the name of the first invalid
// one.
class member_reader
{
public:
    explicit member_reader(const json& source) : source_(source) {}

    std::string text(const char* name)
    {
        const auto* value = member(name);
        if (value == nullptr || !value->is_string() ||
            value->get_ref<const std::string&>().size() > max_text_bytes)
            return mark_invalid(name), std::string();
        return value->get<std::string>();
    }

    // Nothing when the member is missing.
    std::optional<std::string> optional_text(const char* name)
    {
        if (member(name) == nullptr)
            return std::nullopt;
        return text(name);
    }

    std::int64_t count(const char* name)
    {
        const auto* value = member(name);
        if (value == nullptr || !value->is_number_integer() ||
            *value > std::numeric_limits<std::int64_t>::max() || *value < 0)
            return mark_invalid(name), 0;
        return value->get<std::int64_t>();
    }

    bool flag(const char* name)
    {
        const auto* value = member(name);
        if (value == nullptr || !value->is_boolean())
            return mark_invalid(name), false;
        return value->get<bool>();
    }

    // Calls `read_entry` with a reader for each object of the list.
    template <class ReadEntry>
    void list(const char* name, ReadEntry read_entry)
    {
        const auto* value = member(name);
        if (value == nullptr || !value->is_array() ||
            value->size() > max_list_entries)
            return mark_invalid(name);
        for (const auto& entry : *value)
        {
            member_reader entry_reader(entry);
            read_entry(entry_reader);
            if (!entry_reader.invalid_member_.empty())
                return mark_invalid(
                    name + ("." + entry_reader.invalid_member_));
        }
    }

    void mark_invalid(const std::string& name)
    {
        if (invalid_member_.empty())
            invalid_member_ = name;
    }
    const std::string& invalid_member() const { return invalid_member_; }

private:
    const json* member(const char* name) const
    {
        const auto it =
            source_.is_object() ? source_.find(name) : source_.end();
        return it == source_.end() ? nullptr : &*it;
    }

    const json& source_;
    std::string invalid_member_;
};

routing::residency_state read_residency(member_reader& source)
{
    const auto name = source.text("state");
    if (name == "loading")
        return routing::residency_state::loading;
    if (name == "unloading")
        return routing::residency_state::unloading;
    if (name != "ready")
        source.mark_invalid("state");
    return routing::residency_state::ready;
}

routing::command_outcome read_outcome(member_reader& source)
{
    const auto name = source.text("outcome");
    if (name == "done")
        return routing::command_outcome::done;
    if (name == "rejected")
        return routing::command_outcome::rejected;
    if (name != "pending")
        source.mark_invalid("outcome");
    return routing::command_outcome::pending;
}

std::int32_t bounded_int32(std::int64_t value)
{
    return static_cast<std::int32_t>(std::min<std::int64_t>(
        value, std::numeric_limits<std::int32_t>::max()));
}

} // namespace

result<routing::endpoint_report> decode_endpoint_state(
    const endpoint_id& endpoint, const std::string& body,
    time_point received_at)
{
    const auto parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return fail(error_code::malformed_message,
            "the state of the endpoint is not a JSON object");
    member_reader source(parsed);
    routing::endpoint_report report;
    report.endpoint = endpoint;
    report.received_at = received_at;
    report.incarnation = source.text("incarnation");
    report.capacity_bytes = source.count("capacity_bytes");
    report.used_bytes = source.count("used_bytes");
    report.overcommits = source.count("overcommits");
    report.running = bounded_int32(source.count("running"));
    report.waiting = bounded_int32(source.count("waiting"));
    report.leaving = source.flag("leaving");
    report.highest_fencing = source.count("highest_fencing");
    report.reported_unix_ms = source.count("reported_unix_ms");
    source.list("residents",
        [&](member_reader& entry)
        {
            report.models.push_back(
                {model_id(entry.text("model")), entry.text("version"),
                    entry.count("bytes"), read_residency(entry)});
        });
    source.list("adapters",
        [&](member_reader& entry)
        {
            report.adapters.push_back({adapter_id(entry.text("adapter")),
                model_id(entry.text("model")), entry.optional_text("version")});
        });
    source.list("commands",
        [&](member_reader& entry)
        {
            report.commands.push_back(
                {entry.text("command_id"), read_outcome(entry)});
        });
    if (!source.invalid_member().empty())
        return fail(error_code::malformed_message,
            "the state of the endpoint has an invalid member " +
                source.invalid_member());
    return report;
}

result<routing::endpoint_report> decode_service_state(
    const endpoint_id& endpoint, int status, const std::string& body,
    time_point received_at)
{
    constexpr int first_server_error = 500;
    constexpr int not_implemented = 501;
    if (status >= first_server_error && status != not_implemented)
        return fail(error_code::endpoint_rejected,
            "the endpoint answered the state poll with status " +
                std::to_string(status));
    routing::endpoint_report report;
    report.endpoint = endpoint;
    report.received_at = received_at;
    const auto parsed =
        status == status_ok ? json::parse(body, nullptr, false) : json(nullptr);
    if (!parsed.is_object())
        return report;
    // A service may answer any path with JSON of its own, so members of other
    // types are not an error.
    member_reader source(parsed);
    report.leaving = source.flag("leaving");
    report.running = bounded_int32(source.count("running"));
    report.waiting = bounded_int32(source.count("waiting"));
    return report;
}

} // namespace tarragonquay::endpoints
