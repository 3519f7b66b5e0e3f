#pragma once

#include <string>
#include <string_view>

#include "common/error.hpp"

namespace tarragonquay
{

std::string encode_base64(std::string_view bytes);
/// Fails with malformed_message if the text is not padded base64.
result<std::string> decode_base64(std::string_view text);

} // namespace tarragonquay
