#include "experiment/engine_sim.hpp"

#include <algorithm>
#include <utility>

namespace tarragonquay::experiment
{

void engine_sim::submit(simulated_request request)
{
    request.prefill_left = static_cast<double>(request.prompt_tokens);
    request.decode_left = static_cast<double>(request.output_tokens);
    queue_.push_back(request);
}

bool engine_sim::touch_prefix(std::uint64_t prefix)
{
    if (prefix == 0)
        return false;
    const auto it = std::find(prefixes_.begin(), prefixes_.end(), prefix);
    const bool hit = it != prefixes_.end();
    if (hit)
        prefixes_.erase(it);
    prefixes_.push_front(prefix);
    if (prefixes_.size() > speed_.cached_prefixes)
        prefixes_.pop_back();
    return hit;
}

void engine_sim::fill_batch()
{
    while (!queue_.empty() &&
           static_cast<int>(batch_.size()) < speed_.largest_batch)
    {
        auto next = queue_.front();
        queue_.pop_front();
        next.prefix_hit = touch_prefix(next.prefix_hash);
        // A cached prefix leaves about a tenth of the prompt to compute.
        constexpr double part_after_hit = 0.1;
        if (next.prefix_hit)
            next.prefill_left *= part_after_hit;
        batch_.push_back(next);
    }
}

void engine_sim::cancel(std::uint64_t assignment)
{
    const auto same = [assignment](const simulated_request& each)
    { return each.assignment == assignment; };
    std::erase_if(queue_, same);
    std::erase_if(batch_, same);
}

std::vector<simulated_request> engine_sim::run(double seconds, time_point now)
{
    std::vector<simulated_request> done;
    if (speed_.silent)
        return done;
    fill_batch();
    // Prefills run first and one after another; decodes share the rest.
    auto left = seconds;
    for (auto& request : batch_)
    {
        if (request.prefill_left <= 0 || left <= 0)
            continue;
        const auto needed =
            request.prefill_left / speed_.prefill_tokens_per_second;
        const auto used = std::min(needed, left);
        request.prefill_left -= used * speed_.prefill_tokens_per_second;
        left -= used;
        if (needed <= used)
        {
            request.prefill_left = 0;
            request.first_token_s =
                std::chrono::duration<double>(now - request.arrived_at)
                    .count() +
                seconds - left;
        }
    }
    const auto token_s =
        speed_.base_token_s +
        speed_.token_s_per_request * static_cast<double>(batch_.size());
    for (auto& request : batch_)
    {
        if (request.prefill_left > 0)
            continue;
        request.decode_left -= left / token_s;
        request.decode_s += seconds;
    }
    for (auto it = batch_.begin(); it != batch_.end();)
    {
        if (it->prefill_left > 0 || it->decode_left > 0)
        {
            ++it;
            continue;
        }
        done.push_back(*it);
        it = batch_.erase(it);
    }
    return done;
}

} // namespace tarragonquay::experiment
