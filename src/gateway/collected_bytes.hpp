#pragma once

#include <cstddef>

#include "common/error.hpp"

namespace tarragonquay::gateway
{

/// Counts the bytes of answers that are collected in memory for one call,
/// together with those of all other calls.
class collected_bytes
{
public:
    /// Limit of all calls together. A gateway may use 160 MB; answers that are
    /// not streams have some kilobytes.
    static constexpr std::size_t max_total = 32UL << 20U;
    /// Limit of one call.
    static constexpr std::size_t max_answer = 8UL << 20U;
    /// Calls with more bytes than this leave `small_share` of the total to
    /// those with fewer, so that large answers of faulty endpoints do not make
    /// usual answers of others fail.
    static constexpr std::size_t max_small_answer = 64UL << 10U;
    static constexpr std::size_t small_share = 8UL << 20U;
    /// Calls with few bytes may have this part of the free bytes each: many
    /// answers without end become too large before they use up the total.
    static constexpr std::size_t free_part = 16;

    /// `total` must outlive this object.
    explicit collected_bytes(std::size_t& total) : total_(total) {}
    ~collected_bytes() { total_ -= own_; }
    collected_bytes(const collected_bytes&) = delete;
    collected_bytes& operator=(const collected_bytes&) = delete;

    std::size_t count() const { return own_; }

    /// Fails with incomplete_answer when a limit would be exceeded.
    result<void> add(std::size_t count) { return resize(own_ + count); }
    /// Sets the number of bytes of this call. Fails with incomplete_answer and
    /// changes nothing when a limit would be exceeded. Fewer bytes than before
    /// are always possible.
    result<void> resize(std::size_t count)
    {
        if (count > own_ && !fits(count))
            return fail(error_code::incomplete_answer,
                "the answers that are being read are too large",
                execution_state::unknown);
        total_ = total_ - own_ + count;
        own_ = count;
        return {};
    }

private:
    bool fits(std::size_t count) const
    {
        const auto others = total_ - own_;
        if (count > max_answer || count > max_total - others)
            return false;
        const auto free = max_total - others - count;
        return count > max_small_answer ? free >= small_share
                                        : count <= free / free_part;
    }

    std::size_t& total_;
    std::size_t own_ = 0;
};

} // namespace tarragonquay::gateway
