#include "limits/token_bucket.hpp"

#include <algorithm>

#include "limits/types.hpp"

namespace tarragonquay::limits
{

namespace
{

// Nanoseconds times shares times tokens a second for one millitoken.
constexpr std::int64_t refill_unit = 1'000'000'000'000;

__extension__ using wide = __int128;

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
    return static_cast<std::int64_t>(wide(shares_) * limit_.burst_tokens *
                                     millitokens_per_token / total_shares);
}

// Level and outstanding refunds together stay within the capacity; otherwise
// refunds of old reservations would let a window admit more than its rate and
// burst. Each reservation keeps its own refund: with a common sum, one that
// lost its refund would spend that of another.
void token_bucket::clamp()
{
    const auto most = capacity();
    level_ = std::min(level_, most);
    if (level_ == most)
        fraction_ = 0;
    auto excess = level_ + refundable_ - most;
    while (excess > 0 && !refunds_.empty())
    {
        const auto oldest = refunds_.begin();
        const auto lost = std::min(excess, oldest->second);
        oldest->second -= lost;
        refundable_ -= lost;
        excess -= lost;
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
    const wide gained =
        wide(elapsed) * shares_ * limit_.rate_tokens_per_second + fraction_;
    const wide room = wide(capacity()) - level_;
    fraction_ = static_cast<std::int64_t>(gained % refill_unit);
    level_ += static_cast<std::int64_t>(
        std::min(gained / refill_unit, std::max<wide>(room, 0)));
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
    const auto wanted = tokens * millitokens_per_token;
    if (level_ < wanted)
        return false;
    level_ -= wanted;
    refundable_ += wanted;
    if (wanted > 0)
        refunds_[reservation] = wanted;
    return true;
}

void token_bucket::settle(
    std::uint64_t reservation, std::int64_t tokens, std::int64_t used)
{
    const auto charged = std::clamp<std::int64_t>(used, 0, max_tokens);
    const auto unused = (tokens - charged) * millitokens_per_token;
    // Nothing is refunded after the end of the epoch, but debt still counts.
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

void token_bucket::forget_refunds()
{
    refunds_.clear();
    refundable_ = 0;
}

void token_bucket::receive(std::int64_t shares, std::int64_t level_millitokens)
{
    shares_ = std::min(shares_ + shares, total_shares);
    level_ = static_cast<std::int64_t>(
        std::min<wide>(wide(level_) + level_millitokens, capacity()));
    clamp();
}

std::int64_t token_bucket::give(
    std::int64_t shares, std::int64_t level_millitokens)
{
    const auto given = std::clamp<std::int64_t>(
        level_millitokens, 0, std::max<std::int64_t>(level_, 0));
    shares_ -= shares;
    level_ -= given;
    clamp();
    return given;
}

std::int64_t token_bucket::shares_for(std::int64_t level_millitokens) const
{
    const wide per_share = wide(limit_.burst_tokens) * millitokens_per_token;
    if (per_share == 0)
        return 0;
    return static_cast<std::int64_t>(std::min<wide>(shares_,
        (wide(level_millitokens) * total_shares + per_share - 1) / per_share));
}

} // namespace tarragonquay::limits
