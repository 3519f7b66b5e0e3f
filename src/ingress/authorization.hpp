#pragma once

#include <string>

#include "catalog/snapshot.hpp"
#include "common/clock.hpp"
#include "common/digest.hpp"

namespace tarragonquay::ingress
{

/// Workspace and key that authenticate a request.
struct caller
{
    workspace_id workspace;
    key_id key;
    std::string secret_sha256;

    auto operator<=>(const caller&) const = default;
};

/// Checks a key digest against a snapshot. Fails with unknown_key or
/// withdrawn_key; the keys of a removed workspace are withdrawn as well.
template <class Snapshot>
result<caller> find_caller(const Snapshot& view, const std::string& digest)
{
    const auto* key = view.find_key_by_digest(digest);
    if (key == nullptr)
        return fail(error_code::unknown_key, "the key is not known");
    if (key->withdrawn || view.find_workspace(key->workspace) == nullptr)
        return fail(error_code::withdrawn_key, "the key has been withdrawn");
    return caller{key->workspace, key->id, digest};
}

/// Whether the instance holds a valid view lease, without which it serves no
/// request that needs a key.
inline bool has_view_lease(const catalog::published_state& state)
{
    return state.view_lease_valid(
        std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::steady_clock::now().time_since_epoch())
            .count());
}

/// Checks the view lease and the digest of a key against the current snapshot.
/// Fails with no_view_lease, unknown_key or withdrawn_key.
template <class State>
result<caller> authorize_digest(const State& state, const std::string& digest)
{
    if (!has_view_lease(state))
        return fail(error_code::no_view_lease,
            "this instance can't tell whether keys are valid");
    const auto view = state.current();
    return find_caller(*view, digest);
}

/// As authorize_digest(), for a secret. Fails with missing_key when the secret
/// is empty.
template <class State>
result<caller> authorize(const State& state, const std::string& secret)
{
    if (secret.empty())
        return fail(error_code::missing_key, "the request has no key");
    return authorize_digest(state, sha256_hex(secret));
}

} // namespace tarragonquay::ingress
