#include "routes/route_table.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace tarragonquay::routes
{

namespace
{

template <class Map, class Key>
auto find_or_null(const Map& map, const Key& key) -> typename Map::mapped_type
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

} // namespace

route_table::route_table(configuration document)
    : document_(std::move(document))
{
}

result<std::shared_ptr<const route_table>> route_table::create(
    configuration document)
{
    std::shared_ptr<route_table> table(new route_table(std::move(document)));
    if (auto indexed = table->index(); !indexed)
        return tl::unexpected<error>(indexed.error());
    return std::shared_ptr<const route_table>(std::move(table));
}

result<void> route_table::index()
{
    for (const auto& each : document_.services)
        if (!services_.emplace(each.id.str(), &each).second)
            return fail(error_code::invalid_argument,
                fmt::format("service {} is defined twice", each.id.str()));
    for (const auto& each : document_.routes)
        if (auto indexed = index_route(each); !indexed)
            return indexed;
    for (auto& [host, list] : routes_)
        std::stable_sort(list.begin(), list.end(),
            [](const route* a, const route* b)
            { return a->path_prefix.size() > b->path_prefix.size(); });
    for (const auto& each : document_.workspaces)
    {
        workspaces_.emplace(each.id.str(), &each);
        for (const auto& key : each.keys)
            if (!keys_.emplace(key, &each).second)
                return fail(error_code::invalid_argument,
                    fmt::format("a key of workspace {} is defined twice",
                        each.id.str()));
    }
    return {};
}

result<void> route_table::index_route(const route& each)
{
    for (const auto& target : each.services)
        if (!services_.contains(target.service.str()))
            return fail(error_code::invalid_argument,
                fmt::format("route {} refers to the unknown service {}",
                    each.name, target.service.str()));
    auto& list = routes_[each.host];
    const auto same = std::find_if(list.begin(), list.end(),
        [&](const route* other)
        { return other->path_prefix == each.path_prefix; });
    if (same != list.end())
        return fail(error_code::invalid_argument,
            fmt::format("routes {} and {} have the same host and prefix",
                (*same)->name, each.name));
    list.push_back(&each);
    return {};
}

const route* route_table::find_route(
    std::string_view host, std::string_view path) const
{
    host = host.substr(0, host.find(':'));
    path = path.substr(0, path.find('?'));
    const auto found = routes_.find(host);
    if (found == routes_.end())
        return nullptr;
    for (const auto* each : found->second)
        if (path.starts_with(each->path_prefix))
            return each;
    return nullptr;
}

const workspace* route_table::find_workspace(std::string_view key) const
{
    return find_or_null(keys_, key);
}

const workspace* route_table::find_workspace(const workspace_id& id) const
{
    return find_or_null(workspaces_, std::string_view(id.str()));
}

const service* route_table::find_service(const service_id& id) const
{
    return find_or_null(services_, std::string_view(id.str()));
}

const engine_model* route_table::find_model(
    const service_id& service, const model_id& model) const
{
    const auto* found = find_service(service);
    if (found == nullptr || !found->engines)
        return nullptr;
    for (const auto& each : found->engines->models)
        if (each.id == model)
            return &each;
    return nullptr;
}

} // namespace tarragonquay::routes
