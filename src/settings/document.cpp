#include "settings/document.hpp"

#include <fstream>
#include <vector>

#include <fmt/format.h>

namespace tarragonquay::settings
{

namespace
{

// Limits the input of the parser; a settings file has a few hundred bytes.
constexpr std::size_t max_file_bytes = 1 << 20;

} // namespace

result<void> read_document(const std::string& text, const std::string& name,
    const std::function<void(reader&)>& read)
{
    YAML::Node document;
    try
    {
        document = YAML::Load(text);
    }
    catch (const YAML::Exception& failure)
    {
        return fail(error_code::invalid_settings,
            fmt::format("{}:{}: not valid YAML: {}", name,
                failure.mark.line + 1, failure.msg));
    }
    if (!document.IsMap())
        return fail(error_code::invalid_settings,
            fmt::format("{}:1: expected a mapping", name));

    std::vector<error> failures;
    reader root(document, name, "", failures);
    read(root);
    root.reject_unknown_keys();
    if (failures.empty())
        return {};
    std::string all;
    for (const auto& failure : failures)
        all += (all.empty() ? "" : "\n") + failure.message();
    return fail(error_code::invalid_settings, all);
}

result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return fail(error_code::invalid_settings,
            fmt::format("{}: can't be read", path));
    std::string text(max_file_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > max_file_bytes)
        return fail(error_code::invalid_settings,
            fmt::format("{}: larger than {} bytes", path, max_file_bytes));
    return text;
}

} // namespace tarragonquay::settings
