#include "limits/token_bucket.hpp"

#include <algorithm>

#include "limits/types.hpp"

namespace tarragonquay::limits
{

namespace
{

// One millitoken, in nanoseconds * shares * tokens per second.
constexpr std::int64_t refill_units_per_millitoken = 1'000'000'000'000;

__extension__ using int128 = __int128;

} // namespace

token_bucket::token_bucket(
    const catalog::workspace& limit, std::int64_t shares, time_point now)
    : shares_(shares), refilled_at_(now)
{
    set_limit(limit);
    level_ = capacity();
}

std::int64_t token_bucket::capacity() const
{
    return static_cast<std::int64_t>(int128(shares_) * limit_.burst_tokens *
                                     millitokens_per_token / total_shares);
}

// Keeps the sum of the level and the pending refunds within the capacity;
// otherwise refunds of old reservations would let a time window admit more than
// its rate and burst. Refunds are tracked per reservation: with only their sum,
// a reservation whose refund was dropped would use that of another one.
void token_bucket::clamp()
{
    const auto max_level = capacity();
    level_ = std::min(level_, max_level);
    if (level_ == max_level)
        fraction_ = 0;
    auto excess = level_ + refundable_ - max_level;
    while (excess > 0 && !refunds_.empty())
    {
        const auto oldest = refunds_.begin();
        const auto dropped = std::min(excess, oldest->second);
        oldest->second -= dropped;
        refundable_ -= dropped;
        excess -= dropped;
        if (oldest->second == 0)
            refunds_.erase(oldest);
    }
}

void token_bucket::refill(time_point now)
{
    if (now <= refilled_at_)
        return;
    const auto elapsed =
        std::chrono::duration_cast<std::chrono::nanoseconds>(now - refilled_at_)
            .count();
    refilled_at_ = now;
    const int128 accrued =
        int128(elapsed) * shares_ * limit_.rate_tokens_per_second + fraction_;
    const int128 room = int128(capacity()) - level_;
    fraction_ =
        static_cast<std::int64_t>(accrued % refill_units_per_millitoken);
    level_ += static_cast<std::int64_t>(std::min(
        accrued / refill_units_per_millitoken, std::max<int128>(room, 0)));
    clamp();
}

void token_bucket::set_limit(const catalog::workspace& limit)
{
    limit_ = limit;
    limit_.rate_tokens_per_second =
        std::clamp<std::int64_t>(limit.rate_tokens_per_second, 0, max_tokens);
    limit_.burst_tokens =
        std::clamp<std::int64_t>(limit.burst_tokens, 0, max_tokens);
    clamp();
}

void token_bucket::set_shares(std::int64_t shares)
{
    shares_ = shares;
    clamp();
}

bool token_bucket::take(std::uint64_t reservation, std::int64_t tokens)
{
    const auto needed = tokens * millitokens_per_token;
    if (level_ < needed)
        return false;
    level_ -= needed;
    refundable_ += needed;
    if (needed > 0)
        refunds_[reservation] = needed;
    return true;
}

void token_bucket::settle(
    std::uint64_t reservation, std::int64_t tokens, std::int64_t used)
{
    const auto charged = std::clamp<std::int64_t>(used, 0, max_tokens);
    const auto unused = (tokens - charged) * millitokens_per_token;
    // The end of the epoch drops refunds, but debt is still charged.
    if (unused < 0)
        level_ += unused;
    const auto refund = refunds_.find(reservation);
    if (refund != refunds_.end())
    {
        level_ += std::clamp<std::int64_t>(unused, 0, refund->second);
        refundable_ -= refund->second;
        refunds_.erase(refund);
    }
    clamp();
}

void token_bucket::drop_refunds()
{
    refunds_.clear();
    refundable_ = 0;
}

void token_bucket::add_shares(
    std::int64_t shares, std::int64_t level_millitokens)
{
    shares_ = std::min(shares_ + shares, total_shares);
    level_ = static_cast<std::int64_t>(
        std::min<int128>(int128(level_) + level_millitokens, capacity()));
    clamp();
}

std::int64_t token_bucket::remove_shares(
    std::int64_t shares, std::int64_t level_millitokens)
{
    const auto removed = std::clamp<std::int64_t>(
        level_millitokens, 0, std::max<std::int64_t>(level_, 0));
    shares_ -= shares;
    level_ -= removed;
    clamp();
    return removed;
}

std::int64_t token_bucket::shares_for(std::int64_t level_millitokens) const
{
    const int128 per_share =
        int128(limit_.burst_tokens) * millitokens_per_token;
    if (per_share == 0)
        return 0;
    return static_cast<std::int64_t>(std::min<int128>(
        shares_, (int128(level_millitokens) * total_shares + per_share - 1) /
                     per_share));
}

} // namespace tarragonquay::limits
