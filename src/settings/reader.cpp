#include "settings/reader.hpp"

#include <charconv>
#include <string_view>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

namespace tarragonquay::settings
{

namespace
{

std::string_view strip_brackets(std::string_view host)
{
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return host.substr(1, host.size() - 2);
    return host;
}

} // namespace

bool is_address(const std::string& text, bool any_port)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    const std::string host(
        strip_brackets(std::string_view(text).substr(0, colon)));
    boost::system::error_code invalid;
    boost::asio::ip::make_address(host, invalid);
    int port = 0;
    const char* begin = text.data() + colon + 1;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(begin, end, port);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
    return !invalid && whole && port <= 65'535 && port >= (any_port ? 0 : 1);
}

reader::reader(const YAML::Node& mapping, std::string file, std::string path,
    std::vector<error>& failures)
    : mapping_(mapping),
      file_(std::move(file)),
      path_(std::move(path)),
      failures_(failures)
{
}

bool reader::contains(const std::string& key) const
{
    return mapping_.IsMap() && mapping_[key].IsDefined();
}

YAML::Node reader::find(const std::string& key)
{
    known_.insert(key);
    if (!contains(key))
        return YAML::Node(YAML::NodeType::Undefined);
    return mapping_[key];
}

void reader::reject(const std::string& key, const std::string& reason)
{
    const auto node = contains(key) ? mapping_[key] : mapping_;
    const auto line = node.IsDefined() ? node.Mark().line + 1 : 1;
    failures_.emplace_back(error_code::invalid_settings,
        fmt::format("{}:{}: {}{}: {}", file_, line, path_, key, reason));
}

void reader::read(const std::string& key, std::string& value)
{
    const auto node = find(key);
    if (!node.IsDefined())
        return;
    if (!node.IsScalar() || node.Scalar().empty())
        return reject(key, "expected a non-empty string");
    value = node.Scalar();
}

void reader::read(const std::string& key, bool& value)
{
    const auto node = find(key);
    if (!node.IsDefined())
        return;
    if (!node.IsScalar() || !YAML::convert<bool>::decode(node, value))
        reject(key, "expected true or false");
}

void reader::read(const std::string& key, std::vector<std::string>& value)
{
    const auto node = find(key);
    if (!node.IsDefined())
        return;
    if (!node.IsSequence())
        return reject(key, "expected a list");
    value.clear();
    for (const auto& item : node)
    {
        if (!item.IsScalar())
            return reject(key, "expected a list of strings");
        value.push_back(item.Scalar());
    }
}

void reader::read(const std::string& key, std::int64_t& value,
    std::int64_t lowest, std::int64_t highest)
{
    const auto node = find(key);
    if (!node.IsDefined())
        return;
    std::int64_t parsed = 0;
    if (!node.IsScalar() || !YAML::convert<std::int64_t>::decode(node, parsed))
        return reject(key, "expected a whole number");
    if (parsed < lowest || parsed > highest)
        return reject(key, fmt::format("expected {} to {}, found {}", lowest,
                               highest, parsed));
    value = parsed;
}

void reader::read(
    const std::string& key, double& value, double lowest, double highest)
{
    const auto node = find(key);
    if (!node.IsDefined())
        return;
    double parsed = 0;
    if (!node.IsScalar() || !YAML::convert<double>::decode(node, parsed))
        return reject(key, "expected a number");
    // The negated form also rejects NaN.
    if (!(parsed >= lowest && parsed <= highest))
        return reject(key, fmt::format("expected {} to {}, found {}", lowest,
                               highest, parsed));
    value = parsed;
}

void reader::read_address(
    const std::string& key, std::string& value, bool any_port)
{
    std::string text = value;
    read(key, text);
    if (text != value && !is_address(text, any_port))
        return reject(key, fmt::format("'{}' is not an ip:port", text));
    value = text;
}

void reader::read_addresses(
    const std::string& key, std::vector<std::string>& values)
{
    read(key, values);
    for (const auto& text : values)
    {
        if (!is_address(text, false))
            reject(key, fmt::format("'{}' is not an ip:port", text));
    }
}

void reader::require(const std::string& key)
{
    if (!contains(key))
        reject(key, "missing");
}

reader reader::nested(const std::string& key)
{
    auto node = find(key);
    if (node.IsDefined() && !node.IsMap())
        reject(key, "expected a mapping");
    return {node, file_, path_ + key + ".", failures_};
}

void reader::reject_unknown_keys()
{
    if (!mapping_.IsMap())
        return;
    std::set<std::string> seen;
    for (const auto& item : mapping_)
    {
        const auto key = item.first.IsScalar() ? item.first.Scalar() : "?";
        if (!known_.contains(key))
            reject(key, "unknown key");
        if (!seen.insert(key).second)
            reject(key, "key given twice");
    }
}

} // namespace tarragonquay::settings
