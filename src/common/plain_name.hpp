#pragma once

#include <cstddef>
#include <string_view>

namespace tarragonquay
{

/// Longest name of a model, an endpoint and the like, in bytes. Names are
/// repeated in header fields and in messages between instances.
inline constexpr std::size_t max_name_bytes = 256;

/// Whether the text can be used in header fields, log lines and protobuf
/// strings: valid UTF-8 without control characters, of at most max_name_bytes.
bool is_plain_text(std::string_view text);

/// Whether the text is plain and not empty.
bool is_plain_name(std::string_view text);

} // namespace tarragonquay
