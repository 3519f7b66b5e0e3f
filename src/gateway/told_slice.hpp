#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "dispatch/endpoint_pool.hpp"

namespace tarragonquay::gateway
{

/// What one process of an endpoint is told with.
template <class T>
using told_process = std::pair<dispatch::endpoint_process, T>;

/// The part of `all`, sorted by process, that the next heartbeat tells after
/// one that has told `last`, in round-robin order.
template <class T>
std::vector<told_process<T>> next_to_tell(std::vector<told_process<T>> all,
    const std::vector<told_process<T>>& last, std::size_t max_size)
{
    if (all.size() <= max_size)
        return all;
    const auto after =
        last.empty() ? dispatch::endpoint_process() : last.back().first;
    const auto next = std::upper_bound(all.begin(), all.end(), after,
        [](const dispatch::endpoint_process& process,
            const told_process<T>& each) { return process < each.first; });
    std::rotate(all.begin(), next, all.end());
    all.resize(max_size);
    return all;
}

} // namespace tarragonquay::gateway
