#pragma once

#include <functional>
#include <string>

#include "common/error.hpp"
#include "settings/reader.hpp"

namespace tarragonquay::settings
{

/// Parses a YAML mapping and calls `read` to read its values. Fails with
/// invalid_settings and one line for each invalid or unknown key. `name` is the
/// file name shown in error messages.
result<void> read_document(const std::string& text, const std::string& name,
    const std::function<void(reader&)>& read);

/// Returns the content of a settings file. Fails with invalid_settings if it
/// can't be read or is larger than 1 MiB.
result<std::string> read_file(const std::string& path);

} // namespace tarragonquay::settings
