#include "dispatch/endpoint_availability.hpp"

namespace tarragonquay::dispatch
{

std::string_view to_string(leaving_source value)
{
    switch (value)
    {
    case leaving_source::directory:
        return "directory";
    case leaving_source::own_answer:
        return "own_answer";
    case leaving_source::misdirected:
        return "misdirected";
    case leaving_source::peer:
        return "peer";
    }
    return "directory";
}

} // namespace tarragonquay::dispatch
