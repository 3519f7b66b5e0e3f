#pragma once

#include <cstdint>
#include <map>

#include "catalog/types.hpp"
#include "common/clock.hpp"

namespace tarragonquay::limits
{

inline constexpr std::int64_t millitokens_per_token = 1000;
/// Limits of one workspace; they keep all products within 128 bits.
inline constexpr std::int64_t max_tokens = 1'000'000'000'000;

/// Token bucket of one workspace at one instance. It refills at shares / 10^6
/// of the rate and holds that part of the burst.
class token_bucket
{
public:
    /// Starts full.
    token_bucket(
        const catalog::workspace& limit, std::int64_t shares, time_point now);

    const catalog::workspace& limit() const { return limit_; }
    std::int64_t shares() const { return shares_; }
    /// In millitokens; negative after a use above the reservation.
    std::int64_t level() const { return level_; }

    /// Call it before any other change, so that the time since the last call
    /// counts with the shares and limits that it had.
    void refill(time_point now);
    void set_limit(const catalog::workspace& limit);
    void set_shares(std::int64_t shares);

    void empty() { level_ = 0; }
    /// Takes the tokens of a reservation; false when the level is too low.
    bool take(std::uint64_t reservation, std::int64_t tokens);
    /// Ends a reservation: refunds unused tokens, or charges more.
    void settle(
        std::uint64_t reservation, std::int64_t tokens, std::int64_t used);
    /// Ends all refunds, because the shares that they belong to have moved.
    void forget_refunds();

    void receive(std::int64_t shares, std::int64_t level_millitokens);
    /// Takes shares out together with up to this level; returns the level.
    std::int64_t give(std::int64_t shares, std::int64_t level_millitokens);
    /// The fewest shares that can hold this level.
    std::int64_t shares_for(std::int64_t level_millitokens) const;

private:
    std::int64_t capacity() const;
    void clamp();

    catalog::workspace limit_;
    std::int64_t shares_ = 0;
    std::int64_t level_ = 0;
    // What each open reservation may still get back, oldest first, and its
    // sum.
    std::map<std::uint64_t, std::int64_t> refunds_;
    std::int64_t refundable_ = 0;
    // Refill below one millitoken, in units of 10^-12 millitoken.
    std::int64_t fraction_ = 0;
    time_point refilled_at_;
};

} // namespace tarragonquay::limits
