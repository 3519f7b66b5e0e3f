#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace tarragonquay::test_support
{

/// Paths of a PEM certificate and its PEM key.
struct certificate_files
{
    std::string certificate;
    std::string key;
};

/// What a server certificate is valid for.
struct certificate_terms
{
    /// IP address in the subject alternative name.
    std::string ip = "127.0.0.1";
    /// Start and end of the validity, relative to now.
    std::chrono::seconds from = std::chrono::hours(-1);
    std::chrono::seconds until = std::chrono::hours(1);
};

/// A certificate authority whose keys exist only in a temporary folder.
class certificate_authority
{
public:
    /// Writes the authority's certificate as <folder>/<name>.pem.
    certificate_authority(std::string folder, const std::string& name);
    ~certificate_authority();
    certificate_authority(const certificate_authority&) = delete;
    certificate_authority& operator=(const certificate_authority&) = delete;

    const std::string& certificate_file() const { return certificate_file_; }
    /// Writes a server certificate and its key as <folder>/<name>.pem and
    /// <folder>/<name>.key.
    certificate_files issue(
        const std::string& name, const certificate_terms& terms = {}) const;

private:
    struct implementation;

    std::string folder_;
    std::string certificate_file_;
    std::unique_ptr<implementation> implementation_;
};

} // namespace tarragonquay::test_support
