#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/error.hpp"
#include "routes/configuration.hpp"

namespace tarragonquay::routes
{

/// Immutable index over one version of the configuration.
class route_table
{
public:
    /// Fails with `invalid_argument` if two services have the same id, two
    /// routes the same host and prefix, a route refers to an unknown service,
    /// or a key occurs twice.
    static result<std::shared_ptr<const route_table>> create(
        configuration document);

    const configuration& document() const { return document_; }
    std::int64_t version() const { return document_.version; }

    /// The route for this host with the longest prefix of the path; null if
    /// there is none. A port in `host` and a query in `path` are ignored.
    const route* find_route(std::string_view host, std::string_view path) const;
    /// The workspace with this key; null if there is none.
    const workspace* find_workspace(std::string_view key) const;
    const workspace* find_workspace(const workspace_id& id) const;
    const service* find_service(const service_id& id) const;
    const engine_model* find_model(
        const service_id& service, const model_id& model) const;

private:
    explicit route_table(configuration document);
    result<void> index();
    result<void> index_route(const route& each);

    using routes_by_host =
        std::unordered_map<std::string_view, std::vector<const route*>>;

    // The keys of all maps below refer to strings in the document.
    const configuration document_;
    // For each host, in descending order of prefix length.
    routes_by_host routes_;
    std::unordered_map<std::string_view, const workspace*> keys_;
    std::unordered_map<std::string_view, const workspace*> workspaces_;
    std::unordered_map<std::string_view, const service*> services_;
};

} // namespace tarragonquay::routes
