#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "common/error.hpp"

namespace tarragonquay::settings
{

/// Reads typed values from one YAML mapping and appends every failure to
/// `failures`. A missing key leaves the value unchanged.
class reader
{
public:
    reader(const YAML::Node& mapping, std::string file, std::string path,
        std::vector<error>& failures);

    bool contains(const std::string& key) const;
    void read(const std::string& key, std::string& value);
    void read(const std::string& key, bool& value);
    void read(const std::string& key, std::vector<std::string>& value);
    /// The value must lie within [lowest, highest].
    void read(const std::string& key, std::int64_t& value, std::int64_t lowest,
        std::int64_t highest);
    void read(
        const std::string& key, double& value, double lowest, double highest);
    /// Reads "ip:port"; port 0 is valid only if `any_port` is set.
    void read_address(
        const std::string& key, std::string& value, bool any_port = false);
    void read_addresses(
        const std::string& key, std::vector<std::string>& values);
    void require(const std::string& key);

    /// Returns a reader of a nested mapping, empty if the key is missing.
    reader nested(const std::string& key);

    /// Records a failure with the file, line and key.
    void reject(const std::string& key, const std::string& reason);

    /// Records a failure for every key that was never read or occurs twice.
    void reject_unknown_keys();

private:
    YAML::Node find(const std::string& key);

    YAML::Node mapping_;
    std::string file_;
    std::string path_;
    std::vector<error>& failures_;
    std::set<std::string> known_;
};

/// Whether the text is an IPv4 or bracketed IPv6 address with a port.
bool is_address(const std::string& text, bool any_port);

} // namespace tarragonquay::settings
