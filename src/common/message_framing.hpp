#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "common/error.hpp"

namespace tarragonquay
{

/// Size of the head of an HTTP/1.1 message at the start of `bytes`: the start
/// line, the fields and the empty line. No value while the head is incomplete.
/// Fails with invalid_argument as soon as the head cannot become valid: a
/// carriage return or a line feed stands alone, or there is a zero byte.
/// `searched` is the number of bytes that an earlier call found valid.
result<std::optional<std::size_t>> find_head_end(
    std::string_view bytes, std::size_t searched = 0);

/// Checks that a head leaves no doubt about where the body of its message ends
/// (RFC 9112, sections 2.2, 5 and 6). Parsers read doubtful heads differently,
/// so that a part of the body could be taken for another message.
///
/// Fails with invalid_argument for a folded line, a field name that is no token
/// or is followed by white space, several Content-Length or Transfer-Encoding
/// fields, one beside the other, a length that is no plain number, and transfer
/// codings in HTTP/1.0 or whose only "chunked" is not the last one. Fails with
/// unsupported for other codings before "chunked".
result<void> check_framing(std::string_view head);

/// Returns the status of the head of a response. Fails with invalid_argument
/// unless the status line has HTTP/1.0 or HTTP/1.1, a status of three digits
/// from 100 to 599, a space, and a reason without control characters (RFC 9112,
/// section 4; RFC 9110, section 15).
result<int> parse_status_line(std::string_view head);

} // namespace tarragonquay
