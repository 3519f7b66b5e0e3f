#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <optional>
#include <random>
#include <regex>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include "common/message_framing.hpp"

namespace tarragonquay
{
namespace
{

namespace http = boost::beast::http;

constexpr int default_count = 3'000;

/// A message as one side reads it: its body, and the bytes that follow it.
struct reading
{
    std::string body;
    std::string rest;

    auto operator<=>(const reading&) const = default;
};

const std::string tail = "GET /next HTTP/1.1\r\n\r\n";
const std::string plain_body = "0123456789";
const std::string chunked_body = "a\r\n0123456789\r\n0\r\n\r\n";

class generator
{
public:
    explicit generator(std::uint64_t seed) : random_(seed) {}

    std::string head(bool is_request)
    {
        const std::string version = one_in(12) ? "HTTP/1.0" : "HTTP/1.1";
        std::string out = is_request ? "POST /x " + version + "\r\n"
                                     : version + " 200 OK\r\n";
        const auto fields = pick(std::array{0, 1, 1, 1, 2, 2, 3});
        for (int i = 0; i < fields; ++i)
            out += field();
        out += "\r\n";
        if (one_in(6))
            mutate(out);
        return out;
    }

private:
    template <class Values>
    typename Values::value_type pick(const Values& values)
    {
        return values[random_() % values.size()];
    }

    bool one_in(std::uint64_t count) { return random_() % count == 0; }

    std::string field()
    {
        static const std::array<std::string, 6> names{"Content-Length",
            "content-length", "Transfer-Encoding", "transfer-encoding",
            "X-Other", "Host"};
        static const std::array<std::string, 5> separators{
            ": ", ":", ":\t", ":  ", " :"};
        static const std::array<std::string, 7> lengths{
            "10", "10", "0", "010", "+10", "10, 10", "-1"};
        static const std::array<std::string, 9> codings{"chunked", "chunked",
            "Chunked", "gzip, chunked", "chunked, identity", "identity", "gzip",
            "chunked,", "x y"};
        static const std::array<std::string, 5> ends{
            "\r\n", "\r\n", "\r\n", " \r\n", "\r\n folded\r\n"};
        const auto name = pick(names);
        const auto separator = one_in(8) ? pick(separators) : ": ";
        const std::string value =
            name[0] == 'C' || name[0] == 'c'   ? pick(lengths)
            : name[0] == 'T' || name[0] == 't' ? pick(codings)
                                               : "text";
        return name + separator + value + (one_in(5) ? pick(ends) : "\r\n");
    }

    void mutate(std::string& text)
    {
        static const std::string bytes("\r\n\t :,;\0aA\x7f", 11);
        const auto at = random_() % text.size();
        const auto action = random_() % 3;
        if (action == 0)
            text.erase(at, 1);
        else if (action == 1)
            text.insert(at, 1, pick(bytes));
        else
            text[at] = pick(bytes);
    }

    std::mt19937_64 random_;
};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char each) { return std::tolower(each); });
    return text;
}

// A strict reading by RFC 9112; none of a head that leaves any doubt.
std::optional<reading> read_strictly(const std::string& bytes, bool is_request)
{
    static const std::regex request_line(R"([!-~]+ [!-~]+ HTTP/1\.[01])");
    static const std::regex status_line(R"(HTTP/1\.[01] \d\d\d [ -~\t]*)");
    static const std::regex field_line(
        "([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([ -~\t]*)");
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    const auto head = bytes.substr(0, end);
    const auto content = bytes.substr(end + 4);
    std::vector<std::string> lines;
    for (std::size_t begin = 0; begin <= head.size();)
    {
        const auto line_end = std::min(head.find("\r\n", begin), head.size());
        lines.push_back(head.substr(begin, line_end - begin));
        begin = line_end + 2;
    }
    if (!std::regex_match(lines[0], is_request ? request_line : status_line))
        return std::nullopt;
    std::vector<std::string> lengths;
    std::vector<std::string> codings;
    for (std::size_t i = 1; i < lines.size(); ++i)
    {
        std::smatch parts;
        if (!std::regex_match(lines[i], parts, field_line))
            return std::nullopt;
        const auto value =
            std::regex_replace(parts[2].str(), std::regex("[ \t]+$"), "");
        if (lower(parts[1]) == "content-length")
            lengths.push_back(value);
        if (lower(parts[1]) == "transfer-encoding")
            codings.push_back(lower(value));
    }
    if (lengths.size() + codings.size() > 1)
        return std::nullopt;
    if (!codings.empty())
    {
        const bool old = lines[0].find("HTTP/1.0") != std::string::npos;
        if (old || codings[0] != "chunked" || content != chunked_body + tail)
            return std::nullopt;
        return reading{plain_body, tail};
    }
    if (!lengths.empty())
    {
        if (!std::regex_match(lengths[0], std::regex("[0-9]{1,18}")))
            return std::nullopt;
        const auto size = std::stoull(lengths[0]);
        if (size > content.size())
            return std::nullopt;
        return reading{content.substr(0, size), content.substr(size)};
    }
    // An answer without a length ends with its connection.
    return is_request ? reading{"", content} : reading{content, ""};
}

// The reading of the daemons: the check, then Beast's parser.
template <bool IsRequest>
std::optional<reading> read_as_daemon(const std::string& bytes)
{
    const auto end = find_head_end(bytes);
    if (!end || !*end || !check_framing({bytes.data(), **end}))
        return std::nullopt;
    http::parser<IsRequest, http::string_body> parser;
    parser.eager(true);
    std::size_t used = 0;
    while (!parser.is_done())
    {
        boost::system::error_code ec;
        const auto size = parser.put(
            boost::asio::buffer(bytes.data() + used, bytes.size() - used), ec);
        used += size;
        if (ec == http::error::need_more && used == bytes.size() &&
            parser.need_eof())
            parser.put_eof(ec);
        if (ec || size == 0)
            break;
    }
    if (parser.need_eof() && parser.is_header_done())
    {
        boost::system::error_code ec;
        parser.put_eof(ec);
    }
    if (!parser.is_done())
        return std::nullopt;
    return reading{parser.get().body(), bytes.substr(used)};
}

} // namespace

class message_framing_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_framing_fuzz_test);
    CPPUNIT_TEST(requests_are_read_strictly_or_not_at_all);
    CPPUNIT_TEST(answers_are_read_strictly_or_not_at_all);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a part of a body that is passed on as another message, or
    // as a body that the sender has not sent.
    void requests_are_read_strictly_or_not_at_all() { compare<true>(); }
    void answers_are_read_strictly_or_not_at_all() { compare<false>(); }

private:
    // TQ_FUZZ_COUNT heads, one for each seed.
    template <bool IsRequest>
    void compare()
    {
        const char* const given = std::getenv("TQ_FUZZ_COUNT");
        const int count = given != nullptr ? std::atoi(given) : default_count;
        int accepted = 0;
        for (int seed = 0; seed < count; ++seed)
        {
            const auto head =
                generator(static_cast<std::uint64_t>(seed)).head(IsRequest);
            for (const auto& body : {plain_body, chunked_body})
            {
                auto bytes = head;
                bytes += body;
                bytes += tail;
                const auto read = read_as_daemon<IsRequest>(bytes);
                const auto expected = read_strictly(bytes, IsRequest);
                const auto message =
                    "seed " + std::to_string(seed) + ":\n" + bytes;
                CPPUNIT_ASSERT_MESSAGE(message, !read || expected);
                CPPUNIT_ASSERT_MESSAGE(message, !read || *read == *expected);
                accepted += read ? 1 : 0;
            }
        }
        // So that a reader which rejects everything does not pass.
        CPPUNIT_ASSERT(accepted > count / 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_framing_fuzz_test);

} // namespace tarragonquay
