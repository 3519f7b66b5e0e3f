#pragma once

#include <array>
#include <random>
#include <string>

namespace tarragonquay::test_support
{

/// Damages text in a way that depends on the seed only.
class mutator
{
public:
    explicit mutator(std::uint64_t seed) : random_(seed) {}

    std::size_t below(std::size_t limit) { return random_() % limit; }

    std::string damage(std::string text)
    {
        for (std::size_t i = 1 + below(4); i > 0; --i)
            damage_once(text);
        return text;
    }

private:
    void damage_once(std::string& text)
    {
        constexpr std::size_t longest_part = 24;
        static const std::array<std::string, 16> tokens{"\"", "{", "}", "[",
            "]", "-1", "1e999", "null", "18446744073709551615", "\\u0000",
            "\xff\xfe", std::string("\0", 1), "\r\n", ": ", "%", "\n\n"};
        const auto at = below(text.size() + 1);
        switch (below(5))
        {
        case 0:
            text.insert(at, tokens.at(below(tokens.size())));
            break;
        case 1:
            text.erase(at, below(longest_part));
            break;
        case 2:
            if (at < text.size())
                text[at] = static_cast<char>(random_());
            break;
        case 3:
            text.insert(at, text.substr(below(text.size() + 1), longest_part));
            break;
        default:
            text.resize(at);
        }
    }

    std::mt19937_64 random_;
};

} // namespace tarragonquay::test_support
