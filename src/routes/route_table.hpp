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

/// Lookups in one version of the configuration; immutable.
class route_table
{
public:
    /// Fails with invalid_argument when two routes share host and prefix, a
    /// route names an unknown service, or two workspaces share a key.
    static result<std::shared_ptr<const route_table>> create(
        configuration document);

    const configuration& document() const { return document_; }
    std::int64_t version() const { return document_.version; }

    /// The route of this host with the longest prefix that begins the path;
    /// null when there is none. A port in `host` and a query in `path` are
    /// ignored.
    const route* find_route(std::string_view host, std::string_view path) const;
    /// The workspace that holds the key; null when none does.
    const workspace* find_workspace(std::string_view key) const;
    const workspace* find_workspace(const workspace_id& id) const;
    const service* find_service(const service_id& id) const;
    const engine_model* find_model(
        const service_id& service, const model_id& model) const;

private:
    explicit route_table(configuration document);
    result<void> index();
    result<void> index_route(const route& each);

    using text_map =
        std::unordered_map<std::string_view, std::vector<const route*>>;

    // The keys of all indexes refer to texts in the document.
    const configuration document_;
    // By host, the longest prefix first.
    text_map routes_;
    std::unordered_map<std::string_view, const workspace*> keys_;
    std::unordered_map<std::string_view, const workspace*> workspaces_;
    std::unordered_map<std::string_view, const service*> services_;
};

} // namespace tarragonquay::routes
