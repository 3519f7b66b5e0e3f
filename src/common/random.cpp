#include "common/random.hpp"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <fmt/format.h>

namespace tarragonquay
{

std::string unique_id()
{
    // The generator wraps the random source of the operating system and is not
    // thread-safe.
    thread_local boost::uuids::random_generator generator;
    std::string text;
    for (const auto byte : generator())
        text += fmt::format("{:02x}", byte);
    return text;
}

} // namespace tarragonquay
