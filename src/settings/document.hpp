#pragma once

#include <functional>
#include <string>

#include "common/error.hpp"
#include "settings/reader.hpp"

namespace tarragonquay::settings
{

/// Parses a YAML mapping and lets `read` take its values. Fails with
/// invalid_settings and one line for each wrong or unknown key; `name` stands
/// for the file.
result<void> read_document(const std::string& text, const std::string& name,
    const std::function<void(reader&)>& read);

/// Content of a settings file; fails with invalid_settings when it can't be
/// read or is too large.
result<std::string> read_file(const std::string& path);

} // namespace tarragonquay::settings
