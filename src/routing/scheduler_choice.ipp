// Decisions of the scheduler: candidates, choice, refusal and queues.

namespace tarragonquay::routing
{

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
auto scheduler<Clock, Choice, Queue>::line_of(const target& of) -> waiting_line&
{
    return lines_
        .try_emplace(of, waiting_line{Queue(limits_.queue_capacity), {}})
        .first->second;
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::forget_resident(
    endpoint_state& state, const held& of)
{
    if (!state.report)
        return;
    const auto& model = of.for_target.first;
    if (of.adapter.empty())
    {
        std::erase_if(state.report->models,
            [&](const resident_model& each) { return each.model == model; });
        by_target_[of.for_target].erase(of.endpoint);
        return;
    }
    std::erase_if(state.report->adapters, [&](const resident_adapter& each)
        { return each.adapter == of.adapter && each.model == model; });
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
bool scheduler<Clock, Choice, Queue>::able(
    const endpoint_state& state, const request_spec& spec) const
{
    if (state.leaving() || state.health.suspected())
        return false;
    return spec.model.empty() || state.ready(spec.model, spec.adapter);
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
bool scheduler<Clock, Choice, Queue>::any_able(
    const request_spec& spec, bool despite_exclusion) const
{
    const auto it = by_target_.find(target_of(spec));
    if (it == by_target_.end())
        return false;
    const auto& out = spec.excluded;
    return std::any_of(it->second.begin(), it->second.end(),
        [&](const endpoint_id& id)
        {
            return able(endpoints_.at(id), spec) &&
                   (despite_exclusion ||
                       std::find(out.begin(), out.end(), id) == out.end());
        });
}

// Service time of the fastest endpoint. An endpoint about which nothing is
// known counts as the fastest, so that it gets requests and is measured.
template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
service_time scheduler<Clock, Choice, Queue>::fastest(
    const target& of, time_point now) const
{
    // The expected times are proportional to the output.
    constexpr std::int64_t compared_tokens = 1000;
    const auto it = by_target_.find(of);
    if (it == by_target_.end())
        return {};
    request_spec spec;
    std::tie(spec.model, spec.service) = of;
    spec.output_tokens = of.first.empty() ? 0 : compared_tokens;
    const endpoint_state* best = nullptr;
    for (const auto& id : it->second)
    {
        const auto& state = endpoints_.at(id);
        if (able(state, spec) &&
            (best == nullptr || state.expected_service(spec, now) <
                                    best->expected_service(spec, now)))
            best = &state;
    }
    if (best == nullptr || !best->service.contains(spec.model))
        return {};
    return best->service.at(spec.model);
}

// A request may wait because no endpoint can serve it, and a tried one may be
// the first that can again. The exclusion therefore ends with the last other
// endpoint; otherwise the request would wait in vain up to its deadline.
template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
bool scheduler<Clock, Choice, Queue>::avoided(
    const endpoint_state& state, const request_spec& spec) const
{
    const auto& out = spec.excluded;
    return std::find(out.begin(), out.end(), state.settings.id) != out.end() &&
           any_able(spec, false);
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
bool scheduler<Clock, Choice, Queue>::has_room(
    const endpoint_state& state, const request_spec& spec) const
{
    const auto now = clock_.now();
    return able(state, spec) && state.own_in_flight < state.limit.value() &&
           now + state.expected_service(spec, now) <= spec.deadline &&
           !avoided(state, spec);
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
bool scheduler<Clock, Choice, Queue>::any_room(const request_spec& spec) const
{
    const auto it = by_target_.find(target_of(spec));
    return it != by_target_.end() &&
           std::any_of(it->second.begin(), it->second.end(),
               [&](const endpoint_id& id)
               { return has_room(endpoints_.at(id), spec); });
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
        if (auto& state = endpoints_.at(id); has_room(state, spec))
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
    assignments_.emplace(id, held{state.settings.id, target_of(spec),
                                 spec.adapter, now, spec.output_tokens});
    return assignment{
        id, state.settings.id, state.settings.address, chosen.prefix_expected};
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
std::optional<error> scheduler<Clock, Choice, Queue>::early_refusal(
    const request_spec& spec, waiting_line& line, time_point now)
{
    if (spec.deadline <= now)
        return error(error_code::deadline_exceeded,
            "The deadline passed before the request was queued.");
    const bool served = any_able(spec, true);
    if (spec.model.empty() && !served && !by_target_.contains(target_of(spec)))
        return error(error_code::no_endpoint, "The service has no endpoint.");
    if (!served)
        return std::nullopt;
    if (!spec.excluded.empty() && !any_able(spec, false))
        return error(error_code::no_endpoint,
            "Every endpoint that could serve the request was tried.");
    const auto service =
        fastest(target_of(spec), now).expected(spec.output_tokens, now);
    if (spec.output_tokens > 0 && now + service > spec.deadline)
        return error(error_code::overloaded,
            "The estimated time of the answer exceeds the deadline.");
    if (line.queue.size() == 0)
        return std::nullopt;
    const auto rate = line.estimate.rate();
    if (!rate)
        return std::nullopt;
    const auto own_rate = line.shares.available(spec.workspace, *rate, now);
    const auto wait = std::max(time_for(line.queue.tokens_ahead(spec), *rate),
        time_for(line.queue.own_tokens_ahead(spec), own_rate));
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
void scheduler<Clock, Choice, Queue>::drain(const target& of, completions& done)
{
    auto& line = line_of(of);
    if (line.queue.size() == 0)
        return;
    // What could not be placed in this pass can't be placed later in it, so
    // a long queue is not searched again and again.
    std::set<adapter_id> blocked;
    const request_filter filter = [&](const queued_request& item)
    {
        const bool plain = item.spec.excluded.empty();
        if (plain && blocked.contains(item.spec.adapter))
            return false;
        if (any_room(item.spec))
            return true;
        if (plain)
            blocked.insert(item.spec.adapter);
        return false;
    };
    while (auto item = line.queue.pop(filter))
    {
        auto placed_at = assign(item->spec);
        tickets_.erase(item->ticket);
        meter_.stopped_waiting(item->spec, item->enqueued_at);
        line.estimate.dispatched(item->spec.cost_tokens);
        line.shares.dispatched(
            item->spec.workspace, item->spec.cost_tokens, clock_.now());
        done.emplace_back(std::move(item->on_done), std::move(*placed_at));
    }
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::drain_all(completions& done)
{
    for (auto& [of, line] : lines_)
        if (line.queue.size() > 0)
            drain(of, done);
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::notify(
    const endpoint_id& id, bool suspected)
{
    if (observer_)
        observer_({id, suspected});
}

} // namespace tarragonquay::routing
