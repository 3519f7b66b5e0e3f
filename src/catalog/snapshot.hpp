#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "catalog/types.hpp"
#include "common/error.hpp"

namespace tarragonquay::config
{
class Api_key;
class Change;
class Snapshot;
} // namespace tarragonquay::config

namespace tarragonquay::catalog
{

/// Immutable configuration at one revision.
class snapshot
{
public:
    snapshot() = default;

    /// Revision of the last applied change; 0 when none was applied.
    std::int64_t revision() const { return revision_; }

    const std::map<workspace_id, workspace>& workspaces() const
    {
        return workspaces_;
    }
    const std::map<key_id, api_key>& keys() const { return keys_; }
    const std::map<model_id, model>& models() const { return models_; }
    const std::map<adapter_id, adapter>& adapters() const { return adapters_; }
    const std::map<service_id, service>& services() const { return services_; }
    const std::map<endpoint_id, endpoint>& endpoints() const
    {
        return endpoints_;
    }
    const std::vector<member>& members() const { return members_; }
    const std::vector<member>& previous_members() const
    {
        return previous_members_;
    }
    std::int64_t membership_revision() const { return membership_revision_; }
    /// Epoch of the current division of the rate limits among the members.
    std::int64_t epoch() const { return epoch_; }
    bool epoch_open() const { return epoch_open_; }

    const workspace* find_workspace(const workspace_id& id) const;
    const model* find_model(const model_id& id) const;
    const adapter* find_adapter(const adapter_id& id) const;
    const service* find_service(const service_id& name) const;
    const endpoint* find_endpoint(const endpoint_id& id) const;
    const member* find_member(const instance_id& id) const;

    /// Finds a key by the digest of its secret, including withdrawn keys.
    const api_key* find_key_by_digest(const std::string& sha256) const;

    /// Returns the rule for a path (without the service's prefix) and method:
    /// the longest prefix wins, then a rule that names the method. Without a
    /// match, returns a default route with `repeat_rule::by_method`.
    route match_route(const service& target, const std::string& path,
        const std::string& method) const;

    /// Revision of the last change of an entity such as "workspace/acme";
    /// 0 when it does not exist.
    std::int64_t entity_revision(const std::string& entity) const;

    /// Returns the snapshot after this change. Fails with `invalid_argument`
    /// when the change is malformed or its revision is not the next one, with
    /// `not_found` when it refers to an entity that does not exist, with
    /// `already_exists` when it reuses the id or secret of a key, and with
    /// `conflict` when it removes an entity that others refer to, sets an
    /// epoch that is not newer, or opens an epoch that is not the closed
    /// current one.
    result<snapshot> apply(const config::Change& change) const;

    config::Snapshot to_proto() const;
    /// Fails with `invalid_argument`, `not_found` or `already_exists` when the
    /// message is not a consistent configuration.
    static result<snapshot> from_proto(const config::Snapshot& message);

    bool operator==(const snapshot&) const = default;

private:
    result<void> apply_kind(const config::Change& change);
    result<void> apply_entity_removal(const config::Change& change);
    result<void> apply_withdrawal(const std::string& id);
    result<void> apply_membership(const config::Change& change);
    result<void> apply_epoch_open(std::int64_t epoch);
    result<void> put_key(const config::Api_key& message);
    result<void> put(workspace value);
    result<void> put(api_key value);
    result<void> put(model value);
    result<void> put(adapter value);
    result<void> put(service value);
    result<void> put(endpoint value);
    result<void> set_members(std::vector<member> members);

    std::int64_t revision_ = 0;
    std::map<workspace_id, workspace> workspaces_;
    std::map<key_id, api_key> keys_;
    std::unordered_map<std::string, key_id> keys_by_digest_;
    std::map<model_id, model> models_;
    std::map<adapter_id, adapter> adapters_;
    std::map<service_id, service> services_;
    std::map<endpoint_id, endpoint> endpoints_;
    std::vector<member> members_;
    std::vector<member> previous_members_;
    std::int64_t membership_revision_ = 0;
    std::int64_t epoch_ = 0;
    bool epoch_open_ = false;
    std::map<std::string, std::int64_t> entity_revisions_;
};

/// Name of the entity that a change writes, for example "workspace/acme";
/// empty for membership changes and epochs.
std::string entity_of(const config::Change& change);

/// Pointer to an immutable value that one thread replaces while others read
/// it. Replaces std::atomic<std::shared_ptr>: in g++ 12 its load unlocks
/// without release ordering, so that the next store may race with the read.
template <class T>
class published_pointer
{
public:
    using pointer = std::shared_ptr<const T>;

    explicit published_pointer(T value)
        : current_(std::make_shared<const T>(std::move(value)))
    {
    }

    pointer load() const
    {
        const std::lock_guard lock(mutex_);
        return current_;
    }
    void store(T value)
    {
        auto next = std::make_shared<const T>(std::move(value));
        // The old value is destroyed after the mutex is unlocked.
        const std::lock_guard lock(mutex_);
        current_.swap(next);
    }

private:
    mutable std::mutex mutex_;
    pointer current_;
};

/// State that the control thread publishes to the traffic threads.
class published_state
{
public:
    using snapshot_ptr = std::shared_ptr<const snapshot>;

    snapshot_ptr current() const { return current_.load(); }
    void publish(snapshot next) { current_.store(std::move(next)); }

    /// Whether requests with an API key may be served at this time.
    bool view_lease_valid(std::int64_t steady_ns) const
    {
        return steady_ns < lease_deadline_ns_.load(std::memory_order_acquire);
    }
    /// The deadline is in nanoseconds of the monotonic clock.
    void publish_lease_deadline(std::int64_t steady_ns)
    {
        lease_deadline_ns_.store(steady_ns, std::memory_order_release);
    }

    /// Condition that this instance waits for before it can serve; empty when
    /// it is ready.
    std::string waiting_for() const { return *waiting_for_.load(); }
    void publish_waiting_for(std::string text)
    {
        waiting_for_.store(std::move(text));
    }

    bool stopping() const { return stopping_.load(); }
    void publish_stopping() { stopping_.store(true); }

    /// Whether the shutdown deadline has passed and running requests must end.
    bool stop_deadline_passed() const { return stop_deadline_passed_.load(); }
    void publish_stop_deadline_passed() { stop_deadline_passed_.store(true); }

private:
    published_pointer<snapshot> current_{snapshot()};
    std::atomic<std::int64_t> lease_deadline_ns_{0};
    published_pointer<std::string> waiting_for_{"the start"};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> stop_deadline_passed_{false};
};

} // namespace tarragonquay::catalog
