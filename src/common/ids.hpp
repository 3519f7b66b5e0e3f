#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace tarragonquay
{

/// String id with a type of its own, so that ids of different kinds do not mix.
template <class Tag>
class strong_id
{
public:
    strong_id() = default;
    explicit strong_id(std::string value) : value_(std::move(value)) {}

    const std::string& str() const { return value_; }
    bool empty() const { return value_.empty(); }

    auto operator<=>(const strong_id&) const = default;

    friend std::ostream& operator<<(std::ostream& out, const strong_id& id)
    {
        return out << id.value_;
    }

private:
    std::string value_;
};

using workspace_id = strong_id<struct workspace_tag>;
using key_id = strong_id<struct key_tag>;
using model_id = strong_id<struct model_tag>;
using adapter_id = strong_id<struct adapter_tag>;
using endpoint_id = strong_id<struct endpoint_tag>;
using service_id = strong_id<struct service_tag>;
using instance_id = strong_id<struct instance_tag>;

} // namespace tarragonquay

template <class Tag>
struct std::hash<tarragonquay::strong_id<Tag>>
{
    std::size_t operator()(const tarragonquay::strong_id<Tag>& id) const
    {
        return std::hash<std::string>()(id.str());
    }
};
