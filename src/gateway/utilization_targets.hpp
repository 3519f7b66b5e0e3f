#pragma once

#include <compare>
#include <cstdint>

namespace tarragonquay::gateway
{

/// Engine utilization at which the placement adds and removes replicas of a
/// model.
struct utilization_targets
{
    /// Above it a model gets another replica. Prompts are read between the
    /// steps of the running streams, so pauses grow well before an engine is
    /// fully used.
    double add_above = 0;
    /// A replica may be removed when the remaining ones stay below it. The gap
    /// to `add_above` provides hysteresis.
    double remove_below = 0;

    auto operator<=>(const utilization_targets&) const = default;

    /// Returns the targets for engines with this memory for weights and models
    /// of this size, both in bytes and in total. Where all models fit twice,
    /// replicas are cheap and the load is spread more widely; otherwise they
    /// displace each other.
    static utilization_targets create(
        std::int64_t engine_bytes, std::int64_t model_bytes)
    {
        const bool ample = engine_bytes / 2 >= model_bytes;
        return ample ? utilization_targets{0.25, 0.18}
                     : utilization_targets{0.35, 0.25};
    }
};

} // namespace tarragonquay::gateway
