// Public member functions of the scheduler.

namespace tarragonquay::routing
{

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
std::uint64_t scheduler<Clock, Choice, Queue>::enqueue(
    request_spec spec, handler on_done)
{
    const auto now = clock_.now();
    const auto ticket = next_id_++;
    const auto key = target_of(spec);
    auto& pending = queue_for(key);
    pending.dispatch_rate.observe(pending.queue.size() > 0, now);
    meter_.requested(spec, now);
    completions done;
    if (auto why = early_refusal(spec, pending, now))
    {
        done.emplace_back(
            std::move(on_done), tl::unexpected<error>(std::move(*why)));
        run(std::move(done));
        return ticket;
    }
    meter_.started_waiting(spec, now);
    tickets_.emplace(ticket, key);
    auto evicted =
        pending.queue.push({ticket, std::move(spec), std::move(on_done), now});
    if (evicted)
        refuse(std::move(*evicted),
            {error_code::overloaded, "The queue of the model is full."}, done);
    dispatch_waiting(key, done);
    run(std::move(done));
    return ticket;
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::cancel(std::uint64_t ticket)
{
    const auto it = tickets_.find(ticket);
    if (it == tickets_.end())
        return;
    completions done;
    for (auto& item : queue_for(it->second)
                          .queue.remove_if([ticket](const queued_request& each)
                              { return each.ticket == ticket; }))
        refuse(std::move(item),
            {error_code::cancelled, "The caller cancelled the request."}, done);
    run(std::move(done));
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::release(
    std::uint64_t assignment_id, outcome how, std::int64_t output_tokens)
{
    const auto it = assignments_.find(assignment_id);
    if (it == assignments_.end())
        return;
    const auto released = std::move(it->second);
    assignments_.erase(it);
    const auto at = endpoints_.find(released.endpoint);
    if (at != endpoints_.end())
    {
        auto& state = at->second;
        --state.own_in_flight;
        if (how == outcome::completed)
        {
            const auto now = clock_.now();
            state.health.exchange_succeeded();
            state.limit.record_answer(now - released.since, output_tokens);
            state.service[released.target_key.first].completed(
                now - released.since, released.output_tokens, now);
        }
        else if (how == outcome::rejected)
            state.limit.rejected();
        else if (how == outcome::not_resident)
            mark_not_resident(state, released);
        else if (how == outcome::failed &&
                 state.health.exchange_failed(clock_.now()))
            notify(released.endpoint, true);
    }
    completions done;
    dispatch_all_waiting(done);
    run(std::move(done));
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::update(
    const std::vector<catalog::endpoint>& endpoints,
    const std::string& own_zone)
{
    own_zone_ = own_zone;
    std::map<endpoint_id, endpoint_state> next;
    for (const auto& settings : endpoints)
    {
        const auto it = endpoints_.find(settings.id);
        if (it != endpoints_.end())
        {
            it->second.settings = settings;
            next.insert(endpoints_.extract(it));
            continue;
        }
        endpoint_state fresh{settings, fast_hash(settings.id.str()), {},
            in_flight_limit(limits_.initial_in_flight, limits_.max_in_flight),
            std::nullopt, {}, 0, 0, false};
        // Counts the assignments of an endpoint that was removed and added
        // again.
        for (const auto& [id, each] : assignments_)
            fresh.own_in_flight += each.endpoint == settings.id ? 1 : 0;
        next.emplace(settings.id, std::move(fresh));
    }
    endpoints_ = std::move(next);
    by_target_.clear();
    for (const auto& [id, state] : endpoints_)
    {
        if (state.settings.kind == catalog::endpoint_kind::service)
            by_target_[{{}, state.settings.service}].insert(id);
        else if (state.report)
            for (const auto& resident : state.report->models)
                by_target_[{resident.model, {}}].insert(id);
    }
    completions done;
    dispatch_all_waiting(done);
    run(std::move(done));
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::update_adapters(
    const std::vector<catalog::adapter>& adapters)
{
    adapter_versions_.clear();
    for (const auto& each : adapters)
        adapter_versions_[each.id] = each.version;
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::report(endpoint_report report)
{
    const auto it = endpoints_.find(report.endpoint);
    if (it == endpoints_.end())
        return;
    auto& state = it->second;
    if (state.settings.kind == catalog::endpoint_kind::engine)
    {
        if (state.report)
            for (const auto& resident : state.report->models)
                by_target_[{resident.model, {}}].erase(it->first);
        for (const auto& resident : report.models)
            by_target_[{resident.model, {}}].insert(it->first);
    }
    state.limit.observe(report, state.own_in_flight);
    state.own_at_report = state.own_in_flight;
    state.report = std::move(report);
    if (state.health.poll_succeeded(clock_.now()))
        notify(it->first, false);
    completions done;
    dispatch_all_waiting(done);
    run(std::move(done));
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::report_failure(const endpoint_id& id)
{
    const auto it = endpoints_.find(id);
    if (it != endpoints_.end() && it->second.health.poll_failed(clock_.now()))
        notify(id, true);
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::mark_leaving(
    const std::set<endpoint_id>& leaving)
{
    for (auto& [id, state] : endpoints_)
        state.listed_leaving = leaving.contains(id);
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
void scheduler<Clock, Choice, Queue>::tick(time_point now)
{
    completions done;
    // Plain services need not answer state polls; without a report, the end
    // of the hold-down counts as recovery.
    for (auto& [id, state] : endpoints_)
        if (state.settings.kind == catalog::endpoint_kind::service &&
            !state.report && state.health.suspected() &&
            state.health.poll_succeeded(now))
            notify(id, false);
    for (auto& [key, pending] : queues_)
    {
        pending.dispatch_rate.observe(pending.queue.size() > 0, now);
        const auto service = fastest_service_time(key, now);
        const auto too_late = [&](const queued_request& each)
        {
            const auto tokens = each.spec.output_tokens;
            const auto needed =
                tokens > 0 ? service.expected(tokens, now) : duration::zero();
            return each.spec.deadline <= now + needed;
        };
        for (auto& item : pending.queue.remove_if(too_late))
        {
            const bool can_be_served = any_can_serve(item.spec, true);
            auto why =
                item.spec.deadline > now
                    ? error(error_code::overloaded,
                          "The answer would end after the deadline.")
                : can_be_served || item.spec.model.empty()
                    ? error(error_code::deadline_exceeded,
                          "The deadline passed while the request waited.")
                    : error(error_code::model_not_ready,
                          "The model was not loaded before the deadline.");
            refuse(std::move(item), std::move(why), done);
        }
    }
    std::erase_if(queues_,
        [](const auto& entry)
        {
            return entry.second.queue.size() == 0 &&
                   !entry.second.dispatch_rate.rate();
        });
    dispatch_all_waiting(done);
    run(std::move(done));
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
std::size_t scheduler<Clock, Choice, Queue>::waiting() const
{
    return tickets_.size();
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
std::int32_t scheduler<Clock, Choice, Queue>::in_flight(
    const endpoint_id& id) const
{
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? 0 : it->second.own_in_flight;
}

template <clock_source Clock, choice_policy Choice, queue_discipline Queue>
bool scheduler<Clock, Choice, Queue>::suspected(const endpoint_id& id) const
{
    const auto it = endpoints_.find(id);
    return it != endpoints_.end() && it->second.health.suspected();
}

} // namespace tarragonquay::routing
