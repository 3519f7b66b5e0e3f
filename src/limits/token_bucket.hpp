#pragma once

#include <cstdint>
#include <map>

#include "catalog/types.hpp"
#include "common/clock.hpp"

namespace tarragonquay::limits
{

inline constexpr std::int64_t millitokens_per_token = 1000;
/// Upper bound of the rate and burst of a workspace. It keeps all products
/// within 128 bits.
inline constexpr std::int64_t max_tokens = 1'000'000'000'000;

/// Token bucket of one workspace at one instance. It refills at shares /
/// `total_shares` of the rate, and its capacity is the same fraction of the
/// burst.
class token_bucket
{
public:
    /// Creates a full bucket.
    token_bucket(
        const catalog::workspace& limit, std::int64_t shares, time_point now);

    const catalog::workspace& limit() const { return limit_; }
    std::int64_t shares() const { return shares_; }
    /// In millitokens; negative after a request used more than it reserved.
    std::int64_t level() const { return level_; }

    /// Adds the tokens that accrued since the last call. Must be called before
    /// any other change, so that they accrue at the previous shares and limits.
    void refill(time_point now);
    void set_limit(const catalog::workspace& limit);
    void set_shares(std::int64_t shares);

    /// Sets the level to zero.
    void clear_level() { level_ = 0; }
    /// Takes the tokens of a reservation. Returns false, and takes nothing,
    /// when the level is too low.
    bool take(std::uint64_t reservation, std::int64_t tokens);
    /// Ends a reservation of `tokens`: refunds the unused ones, or charges what
    /// was `used` beyond them.
    void settle(
        std::uint64_t reservation, std::int64_t tokens, std::int64_t used);
    /// Drops all pending refunds, because the shares that they belong to have
    /// been reassigned.
    void drop_refunds();

    /// Adds transferred shares and their level.
    void add_shares(std::int64_t shares, std::int64_t level_millitokens);
    /// Removes shares together with at most this level. Returns the level that
    /// was removed, in millitokens.
    std::int64_t remove_shares(
        std::int64_t shares, std::int64_t level_millitokens);
    /// The smallest number of shares whose capacity holds this level.
    std::int64_t shares_for(std::int64_t level_millitokens) const;

private:
    std::int64_t capacity() const;
    void clamp();

    catalog::workspace limit_;
    std::int64_t shares_ = 0;
    std::int64_t level_ = 0;
    // Millitokens that each open reservation may still get back, oldest first,
    // and their sum.
    std::map<std::uint64_t, std::int64_t> refunds_;
    std::int64_t refundable_ = 0;
    // Remainder of the refill below one millitoken, in units of 10^-12
    // millitoken.
    std::int64_t fraction_ = 0;
    time_point refilled_at_;
};

} // namespace tarragonquay::limits
