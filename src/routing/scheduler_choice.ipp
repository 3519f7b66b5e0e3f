// Private member functions of the scheduler: candidates, choice, refusal and
// queues.

namespace tarragonquay::routing
{

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
auto scheduler<Clock, Choice, Queue>::queue_for(const target& key)
    -> target_queue&
{
    return queues_
        .try_emplace(key, target_queue{Queue(limits_.queue_capacity), {}})
        .first->second;
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::mark_not_resident(
    endpoint_state& state, const active_assignment& released)
{
    if (!state.report)
        return;
    const auto& model = released.target_key.first;
    if (released.adapter.empty())
    {
        std::erase_if(state.report->models,
            [&](const resident_model& each) { return each.model == model; });
        by_target_[released.target_key].erase(released.endpoint);
        return;
    }
    std::erase_if(state.report->adapters, [&](const resident_adapter& each)
        { return each.adapter == released.adapter && each.model == model; });
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
bool scheduler<Clock, Choice, Queue>::can_serve(
    const endpoint_state& state, const request_spec& spec) const
{
    if (state.leaving() || state.health.suspected())
        return false;
    return spec.model.empty() || state.ready(spec.model, spec.adapter);
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
bool scheduler<Clock, Choice, Queue>::any_can_serve(
    const request_spec& spec, bool include_excluded) const
{
    const auto it = by_target_.find(target_of(spec));
    if (it == by_target_.end())
        return false;
    const auto& tried = spec.excluded;
    return std::any_of(it->second.begin(), it->second.end(),
        [&](const endpoint_id& id)
        {
            return can_serve(endpoints_.at(id), spec) &&
                   (include_excluded || std::find(tried.begin(), tried.end(),
                                            id) == tried.end());
        });
}

// Service time of the fastest endpoint. An endpoint without measurements counts
// as the fastest, so that it gets requests and is measured.
template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
service_time scheduler<Clock, Choice, Queue>::fastest_service_time(
    const target& key, time_point now) const
{
    // The expected times are proportional to the output.
    constexpr std::int64_t compared_tokens = 1000;
    const auto it = by_target_.find(key);
    if (it == by_target_.end())
        return {};
    request_spec spec;
    std::tie(spec.model, spec.service) = key;
    spec.output_tokens = key.first.empty() ? 0 : compared_tokens;
    const endpoint_state* best = nullptr;
    for (const auto& id : it->second)
    {
        const auto& state = endpoints_.at(id);
        if (can_serve(state, spec) &&
            (best == nullptr || state.expected_service(spec, now) <
                                    best->expected_service(spec, now)))
            best = &state;
    }
    if (best == nullptr || !best->service.contains(spec.model))
        return {};
    return best->service.at(spec.model);
}

// Tried endpoints are excluded only while another endpoint can serve the
// request. If none can and a tried one recovers first, the request goes there;
// otherwise it would wait until its deadline passes.
template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
bool scheduler<Clock, Choice, Queue>::is_excluded(
    const endpoint_state& state, const request_spec& spec) const
{
    const auto& tried = spec.excluded;
    return std::find(tried.begin(), tried.end(), state.settings.id) !=
               tried.end() &&
           any_can_serve(spec, false);
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
bool scheduler<Clock, Choice, Queue>::can_accept(
    const endpoint_state& state, const request_spec& spec) const
{
    const auto now = clock_.now();
    return can_serve(state, spec) &&
           state.own_in_flight < state.limit.value() &&
           now + state.expected_service(spec, now) <= spec.deadline &&
           !is_excluded(state, spec);
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
bool scheduler<Clock, Choice, Queue>::any_can_accept(
    const request_spec& spec) const
{
    const auto it = by_target_.find(target_of(spec));
    return it != by_target_.end() &&
           std::any_of(it->second.begin(), it->second.end(),
               [&](const endpoint_id& id)
               { return can_accept(endpoints_.at(id), spec); });
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::prefer_version(
    const request_spec& spec, std::vector<endpoint_state*>& states) const
{
    const auto wanted = adapter_versions_.find(spec.adapter);
    if (wanted == adapter_versions_.end())
        return;
    const auto first_other = std::stable_partition(states.begin(), states.end(),
        [&](const endpoint_state* state) {
            return state->has_version(spec.model, spec.adapter, wanted->second);
        });
    if (first_other != states.begin())
        states.erase(first_other, states.end());
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
std::optional<assignment> scheduler<Clock, Choice, Queue>::assign(
    const request_spec& spec)
{
    const auto it = by_target_.find(target_of(spec));
    if (it == by_target_.end())
        return std::nullopt;
    const auto now = clock_.now();
    std::vector<endpoint_state*> states;
    for (const auto& id : it->second)
        if (auto& state = endpoints_.at(id); can_accept(state, spec))
            states.push_back(&state);
    if (states.empty())
        return std::nullopt;
    prefer_version(spec, states);
    std::vector<candidate> candidates;
    candidates.reserve(states.size());
    for (const auto* state : states)
        candidates.push_back(
            {state->id_hash, state->own_in_flight, state->other_load(now),
                state->settings.availability_zone == own_zone_});
    const choice chosen = choice_.choose(candidates, spec.prefix_hash);
    auto& state = *states.at(chosen.index);
    ++state.own_in_flight;
    const auto id = next_id_++;
    assignments_.emplace(
        id, active_assignment{state.settings.id, target_of(spec), spec.adapter,
                now, spec.output_tokens});
    return assignment{
        id, state.settings.id, state.settings.address, chosen.prefix_expected};
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
std::optional<error> scheduler<Clock, Choice, Queue>::early_refusal(
    const request_spec& spec, target_queue& pending, time_point now)
{
    if (spec.deadline <= now)
        return error(error_code::deadline_exceeded,
            "The deadline passed before the request was queued.");
    const bool can_be_served = any_can_serve(spec, true);
    if (spec.model.empty() && !can_be_served &&
        !by_target_.contains(target_of(spec)))
        return error(error_code::no_endpoint, "The service has no endpoint.");
    if (!can_be_served)
        return std::nullopt;
    if (!spec.excluded.empty() && !any_can_serve(spec, false))
        return error(error_code::no_endpoint,
            "Every endpoint that could serve the request was tried.");
    const auto service = fastest_service_time(target_of(spec), now)
                             .expected(spec.output_tokens, now);
    if (spec.output_tokens > 0 && now + service > spec.deadline)
        return error(error_code::overloaded,
            "The estimated time of the answer exceeds the deadline.");
    if (pending.queue.size() == 0)
        return std::nullopt;
    const auto rate = pending.dispatch_rate.rate();
    if (!rate)
        return std::nullopt;
    const auto own_rate = pending.usage.available(spec.workspace, *rate, now);
    const auto wait =
        std::max(dispatch_time(pending.queue.tokens_ahead(spec), *rate),
            dispatch_time(pending.queue.own_tokens_ahead(spec), own_rate));
    if (now + wait + service > spec.deadline)
        return error(error_code::overloaded,
            "The estimated waiting time exceeds the deadline.");
    return std::nullopt;
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::refuse(
    queued_request item, error why, completions& done)
{
    tickets_.erase(item.ticket);
    meter_.stopped_waiting(item.spec, item.enqueued_at);
    done.emplace_back(
        std::move(item.on_done), tl::unexpected<error>(std::move(why)));
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::dispatch_waiting(
    const target& key, completions& done)
{
    auto& pending = queue_for(key);
    if (pending.queue.size() == 0)
        return;
    // An adapter without a free endpoint stays so during this pass; remembering
    // it avoids searching a long queue repeatedly.
    std::set<adapter_id> blocked;
    const request_filter filter = [&](const queued_request& item)
    {
        const bool unrestricted = item.spec.excluded.empty();
        if (unrestricted && blocked.contains(item.spec.adapter))
            return false;
        if (any_can_accept(item.spec))
            return true;
        if (unrestricted)
            blocked.insert(item.spec.adapter);
        return false;
    };
    while (auto item = pending.queue.pop(filter))
    {
        auto assigned = assign(item->spec);
        tickets_.erase(item->ticket);
        meter_.stopped_waiting(item->spec, item->enqueued_at);
        pending.dispatch_rate.dispatched(item->spec.cost_tokens);
        pending.usage.dispatched(
            item->spec.workspace, item->spec.cost_tokens, clock_.now());
        done.emplace_back(std::move(item->on_done), std::move(*assigned));
    }
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::dispatch_all_waiting(completions& done)
{
    for (auto& [key, pending] : queues_)
        if (pending.queue.size() > 0)
            dispatch_waiting(key, done);
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::notify(
    const endpoint_id& id, bool suspected)
{
    if (observer_)
        observer_({id, suspected});
}

} // namespace tarragonquay::routing
