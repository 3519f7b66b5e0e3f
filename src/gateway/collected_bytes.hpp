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

    /// `total` must outlive this object.
    explicit collected_bytes(std::size_t& total) : total_(total) {}
    ~collected_bytes() { total_ -= own_; }
    collected_bytes(const collected_bytes&) = delete;
    collected_bytes& operator=(const collected_bytes&) = delete;

    /// Fails with incomplete_answer when the limit would be exceeded.
    result<void> add(std::size_t count)
    {
        if (count > max_total - total_)
            return fail(error_code::incomplete_answer,
                "the answers that are being read are too large",
                execution_state::unknown);
        total_ += count;
        own_ += count;
        return {};
    }

private:
    std::size_t& total_;
    std::size_t own_ = 0;
};

} // namespace tarragonquay::gateway
