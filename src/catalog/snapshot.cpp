#include "catalog/snapshot.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "catalog/conversion.hpp"
#include "catalog/rows.hpp"

namespace tarragonquay::catalog
{

namespace
{

template <class Map, class Id>
const typename Map::mapped_type* find_in(const Map& map, const Id& id)
{
    const auto it = map.find(id);
    return it == map.end() ? nullptr : &it->second;
}

tl::unexpected<error> does_not_exist(
    std::string_view kind, const std::string& id)
{
    return fail(
        error_code::not_found, fmt::format("{} '{}' does not exist", kind, id));
}

/// A prefix matches whole path segments only: a rule that opens "/status" to
/// all callers must not open "/status-of-everyone".
bool prefix_matches(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.ends_with('/') || path.size() == prefix.size() ||
           path[prefix.size()] == '/';
}

template <class Map, class Id>
result<void> erase_from(Map& map, const Id& id, std::string_view kind)
{
    if (map.erase(id) == 0)
        return does_not_exist(kind, id.str());
    return {};
}

} // namespace

const workspace* snapshot::find_workspace(const workspace_id& id) const
{
    return find_in(workspaces_, id);
}

const model* snapshot::find_model(const model_id& id) const
{
    return find_in(models_, id);
}

const adapter* snapshot::find_adapter(const adapter_id& id) const
{
    return find_in(adapters_, id);
}

const service* snapshot::find_service(const service_id& name) const
{
    return find_in(services_, name);
}

const endpoint* snapshot::find_endpoint(const endpoint_id& id) const
{
    return find_in(endpoints_, id);
}

const member* snapshot::find_member(const instance_id& id) const
{
    const auto it = std::find_if(members_.begin(), members_.end(),
        [&](const member& candidate) { return candidate.instance == id; });
    return it == members_.end() ? nullptr : &*it;
}

const api_key* snapshot::find_key_by_digest(const std::string& sha256) const
{
    const auto it = keys_by_digest_.find(sha256);
    return it == keys_by_digest_.end() ? nullptr : find_in(keys_, it->second);
}

route snapshot::match_route(const service& target, const std::string& path,
    const std::string& method) const
{
    const auto path_without_query =
        std::string_view(path).substr(0, path.find('?'));
    const route* best = nullptr;
    const auto rank = [](const route& rule)
    { return std::pair(rule.path_prefix.size(), !rule.method.empty()); };
    for (const auto& rule : target.routes)
    {
        const bool matches =
            prefix_matches(rule.path_prefix, path_without_query) &&
            (rule.method.empty() || rule.method == method);
        if (matches && (best == nullptr || rank(*best) < rank(rule)))
            best = &rule;
    }
    return best == nullptr ? route() : *best;
}

std::int64_t snapshot::entity_revision(const std::string& entity) const
{
    const auto* found = find_in(entity_revisions_, entity);
    return found == nullptr ? 0 : *found;
}

result<snapshot> snapshot::apply(const config::Change& change) const
{
    if (change.revision() != revision_ + 1)
        return fail(error_code::invalid_argument,
            fmt::format("change has revision {}, but the next revision is {}",
                change.revision(), revision_ + 1));
    snapshot next = *this;
    next.revision_ = change.revision();
    if (auto applied = next.apply_kind(change); !applied)
        return tl::unexpected(applied.error());
    return next;
}

result<void> snapshot::apply_kind(const config::Change& change)
{
    result<void> applied;
    switch (change.kind_case())
    {
    case config::Change::kPutWorkspace:
        applied = put(conversion::from_proto(change.put_workspace()));
        break;
    case config::Change::kPutKey:
        applied = put_key(change.put_key());
        break;
    case config::Change::kWithdrawKey:
        applied = apply_withdrawal(change.withdraw_key().id());
        break;
    case config::Change::kPutModel:
        applied = put(conversion::from_proto(change.put_model()));
        break;
    case config::Change::kPutAdapter:
        applied = put(conversion::from_proto(change.put_adapter()));
        break;
    case config::Change::kPutService:
        applied = put(conversion::from_proto(change.put_service()));
        break;
    case config::Change::kPutEndpoint:
        applied = put(conversion::from_proto(change.put_endpoint()));
        break;
    case config::Change::kMembership:
        return apply_membership(change);
    case config::Change::kEpochOpen:
        return apply_epoch_open(change.epoch_open().epoch());
    case config::Change::KIND_NOT_SET:
        return fail(error_code::invalid_argument, "the change has no kind");
    default:
        return apply_entity_removal(change);
    }
    if (applied)
        entity_revisions_[entity_of(change)] = revision_;
    return applied;
}

result<void> snapshot::apply_entity_removal(const config::Change& change)
{
    result<void> applied;
    const auto used_by = [](const auto& map, auto refers)
    {
        return std::count_if(map.begin(), map.end(),
            [&](const auto& entry) { return refers(entry.second); });
    };
    const auto refuse_used = [](std::string_view kind, const std::string& id,
                                 std::ptrdiff_t count, std::string_view users)
    {
        return fail(error_code::conflict,
            fmt::format("{} '{}' cannot be removed: {} {} refer to it", kind,
                id, count, users));
    };
    if (change.has_remove_workspace())
    {
        const workspace_id id(change.remove_workspace().id());
        const auto users = used_by(keys_, [&](const api_key& key)
            { return key.workspace == id && !key.withdrawn; });
        if (users > 0)
            return refuse_used(
                "workspace", id.str(), users, "keys that are not withdrawn");
        applied = erase_from(workspaces_, id, "workspace");
    }
    else if (change.has_remove_model())
    {
        const model_id id(change.remove_model().id());
        const auto users = used_by(
            adapters_, [&](const adapter& value) { return value.model == id; });
        if (users > 0)
            return refuse_used("model", id.str(), users, "adapters");
        applied = erase_from(models_, id, "model");
    }
    else if (change.has_remove_service())
    {
        const service_id id(change.remove_service().id());
        const auto users = used_by(endpoints_,
            [&](const endpoint& value) { return value.service == id; });
        if (users > 0)
            return refuse_used("service", id.str(), users, "endpoints");
        applied = erase_from(services_, id, "service");
    }
    else if (change.has_remove_adapter())
        applied = erase_from(
            adapters_, adapter_id(change.remove_adapter().id()), "adapter");
    else if (change.has_remove_endpoint())
        applied = erase_from(
            endpoints_, endpoint_id(change.remove_endpoint().id()), "endpoint");
    else
        return fail(error_code::invalid_argument, "unknown kind of change");
    if (applied)
        entity_revisions_.erase(entity_of(change));
    return applied;
}

result<void> snapshot::apply_withdrawal(const std::string& id)
{
    const auto it = keys_.find(key_id(id));
    if (it == keys_.end())
        return does_not_exist("key", id);
    it->second.withdrawn = true;
    return {};
}

result<void> snapshot::apply_membership(const config::Change& change)
{
    const auto& membership = change.membership();
    if (membership.epoch() > rows::max_revision)
        return fail(error_code::invalid_argument,
            fmt::format("epoch {} is out of range", membership.epoch()));
    if (membership.epoch() <= epoch_)
        return fail(error_code::conflict,
            fmt::format("membership has epoch {}, but the epoch is {}",
                membership.epoch(), epoch_));
    auto previous = std::move(members_);
    if (auto set = set_members(conversion::from_proto(membership.members()));
        !set)
        return set;
    previous_members_ = std::move(previous);
    membership_revision_ = revision_;
    epoch_ = membership.epoch();
    epoch_open_ = false;
    return {};
}

result<void> snapshot::apply_epoch_open(std::int64_t epoch)
{
    if (epoch != epoch_ || epoch_open_)
        return fail(error_code::conflict,
            fmt::format("epoch {} cannot be opened: epoch {} is {}", epoch,
                epoch_, epoch_open_ ? "open" : "closed"));
    epoch_open_ = true;
    return {};
}

result<void> snapshot::put_key(const config::Api_key& message)
{
    auto key = conversion::from_proto(message);
    if (key.withdrawn)
        return fail(
            error_code::invalid_argument, "a key can't be issued as withdrawn");
    return put(std::move(key));
}

result<void> snapshot::put(workspace value)
{
    if (auto checked = validate(value); !checked)
        return checked;
    const auto id = value.id;
    workspaces_.insert_or_assign(id, std::move(value));
    return {};
}

result<void> snapshot::put(api_key value)
{
    if (auto checked = validate(value); !checked)
        return checked;
    if (keys_.contains(value.id))
        return fail(error_code::already_exists,
            fmt::format(
                "key '{}' exists; key ids are not reused", value.id.str()));
    if (keys_by_digest_.contains(value.secret_sha256))
        return fail(
            error_code::already_exists, "another key has the same secret");
    // Withdrawn keys are kept after their workspace is removed, so that
    // their ids can't be reused.
    if (!value.withdrawn && !workspaces_.contains(value.workspace))
        return does_not_exist("workspace", value.workspace.str());
    const auto id = value.id;
    keys_by_digest_.emplace(value.secret_sha256, id);
    keys_.emplace(id, std::move(value));
    return {};
}

result<void> snapshot::put(model value)
{
    if (auto checked = validate(value); !checked)
        return checked;
    const auto id = value.id;
    models_.insert_or_assign(id, std::move(value));
    return {};
}

result<void> snapshot::put(adapter value)
{
    if (auto checked = validate(value); !checked)
        return checked;
    if (!models_.contains(value.model))
        return does_not_exist("model", value.model.str());
    const auto id = value.id;
    adapters_.insert_or_assign(id, std::move(value));
    return {};
}

result<void> snapshot::put(service value)
{
    if (auto checked = validate(value); !checked)
        return checked;
    const auto name = value.name;
    services_.insert_or_assign(name, std::move(value));
    return {};
}

result<void> snapshot::put(endpoint value)
{
    if (auto checked = validate(value); !checked)
        return checked;
    if (!value.service.empty() && !services_.contains(value.service))
        return does_not_exist("service", value.service.str());
    const auto id = value.id;
    endpoints_.insert_or_assign(id, std::move(value));
    return {};
}

result<void> snapshot::set_members(std::vector<member> members)
{
    std::set<instance_id> seen;
    for (const auto& value : members)
    {
        if (auto checked = validate(value); !checked)
            return checked;
        if (!seen.insert(value.instance).second)
            return fail(error_code::invalid_argument,
                fmt::format(
                    "member '{}' is given twice", value.instance.str()));
    }
    members_ = std::move(members);
    return {};
}

config::Snapshot snapshot::to_proto() const
{
    config::Snapshot message;
    message.set_revision(revision_);
    for (const auto& [id, value] : workspaces_)
        conversion::to_proto(value, *message.add_workspaces());
    for (const auto& [id, value] : keys_)
        conversion::to_proto(value, *message.add_keys());
    for (const auto& [id, value] : models_)
        conversion::to_proto(value, *message.add_models());
    for (const auto& [id, value] : adapters_)
        conversion::to_proto(value, *message.add_adapters());
    for (const auto& [id, value] : services_)
        conversion::to_proto(value, *message.add_services());
    for (const auto& [id, value] : endpoints_)
        conversion::to_proto(value, *message.add_endpoints());
    for (const auto& value : members_)
        conversion::to_proto(value, *message.add_members());
    for (const auto& value : previous_members_)
        conversion::to_proto(value, *message.add_previous_members());
    message.set_epoch(epoch_);
    message.set_epoch_open(epoch_open_);
    message.mutable_entity_revisions()->insert(
        entity_revisions_.begin(), entity_revisions_.end());
    message.set_membership_revision(membership_revision_);
    return message;
}

result<snapshot> snapshot::from_proto(const config::Snapshot& message)
{
    if (message.revision() < 0 || message.epoch() < 0 ||
        message.membership_revision() < 0 ||
        message.membership_revision() > message.revision() ||
        message.revision() > rows::max_revision ||
        message.epoch() > rows::max_revision ||
        !std::all_of(message.entity_revisions().begin(),
            message.entity_revisions().end(),
            [&](const auto& entry)
            { return entry.second > 0 && entry.second <= message.revision(); }))
        return fail(error_code::invalid_argument,
            "the snapshot has a revision or epoch that is out of range");
    snapshot restored;
    result<void> checked;
    const auto put_all = [&](const auto& messages)
    {
        for (const auto& entity : messages)
        {
            if (!checked)
                return;
            checked = restored.put(conversion::from_proto(entity));
        }
    };
    // Referenced entities must be added before those that refer to them.
    put_all(message.workspaces());
    put_all(message.keys());
    put_all(message.models());
    put_all(message.adapters());
    put_all(message.services());
    put_all(message.endpoints());
    if (checked)
        checked = restored.set_members(
            conversion::from_proto(message.previous_members()));
    restored.previous_members_ = std::move(restored.members_);
    if (checked)
        checked =
            restored.set_members(conversion::from_proto(message.members()));
    if (!checked)
        return tl::unexpected(checked.error());
    restored.revision_ = message.revision();
    restored.epoch_ = message.epoch();
    restored.epoch_open_ = message.epoch_open();
    restored.membership_revision_ = message.membership_revision();
    restored.entity_revisions_.insert(
        message.entity_revisions().begin(), message.entity_revisions().end());
    return restored;
}

std::string entity_of(const config::Change& change)
{
    switch (change.kind_case())
    {
    case config::Change::kPutWorkspace:
        return "workspace/" + change.put_workspace().id();
    case config::Change::kRemoveWorkspace:
        return "workspace/" + change.remove_workspace().id();
    case config::Change::kPutKey:
        return "key/" + change.put_key().id();
    case config::Change::kWithdrawKey:
        return "key/" + change.withdraw_key().id();
    case config::Change::kPutModel:
        return "model/" + change.put_model().id();
    case config::Change::kRemoveModel:
        return "model/" + change.remove_model().id();
    case config::Change::kPutAdapter:
        return "adapter/" + change.put_adapter().id();
    case config::Change::kRemoveAdapter:
        return "adapter/" + change.remove_adapter().id();
    case config::Change::kPutService:
        return "service/" + change.put_service().name();
    case config::Change::kRemoveService:
        return "service/" + change.remove_service().id();
    case config::Change::kPutEndpoint:
        return "endpoint/" + change.put_endpoint().id();
    case config::Change::kRemoveEndpoint:
        return "endpoint/" + change.remove_endpoint().id();
    default:
        return {};
    }
}

} // namespace tarragonquay::catalog
