#include "explain/log_line.hpp"

namespace tarragonquay::explain
{

std::string log_line::text(const std::string& field) const
{
    const auto found = fields.find(field);
    return found != fields.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
}

std::int64_t log_line::number(const std::string& field) const
{
    const auto found = fields.find(field);
    return found != fields.end() && found->is_number()
               ? found->get<std::int64_t>()
               : 0;
}

result<log_line> parse_line(std::string_view text)
{
    const auto begin = text.find('{');
    if (begin == std::string_view::npos)
        return fail(error_code::malformed_message, "no JSON object");
    log_line out;
    out.fields =
        nlohmann::json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin),
            text.end(), nullptr, false);
    if (!out.fields.is_object())
        return fail(error_code::malformed_message, "no JSON object");
    out.time_ms = out.number("time_ms");
    out.instance = out.text("instance");
    out.event = out.text("event");
    if (out.time_ms <= 0 || out.instance.empty() || out.event.empty())
        return fail(error_code::malformed_message,
            "the line lacks time_ms, instance or event");
    return out;
}

} // namespace tarragonquay::explain
