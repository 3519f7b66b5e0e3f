namespace tarragonquay::placement
{

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
controller<S, C, T, P>::controller(controller_settings settings, S& store,
    const C& clock, T& transport, P planner)
    : settings_(std::move(settings)),
      store_(store),
      clock_(clock),
      transport_(transport),
      planner_(std::move(planner)),
      lease_({"placement/" + settings_.region + "/lease", settings_.instance,
                 settings_.incarnation},
          store, clock)
{
    lease_.on_confirmed(
        [this]
        {
            emit(events::kind::placement_lease_taken, settings_.region);
            scanned_ = false;
            scanning_ = false;
            ++scan_generation_;
        });
    lease_.on_lost(
        [this]
        {
            emit(events::kind::placement_lease_lost, settings_.region);
            scanned_ = false;
            scanning_ = false;
            ++scan_generation_;
            // The next holder concludes the open intents. `unsent_` is kept:
            // only this instance knows that these commands were never sent, so
            // only it may send them to an engine without fencing, which would
            // otherwise stay blocked.
            rows_to_erase_.clear();
            ledger_.replace_intents({});
        });
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
void controller<S, C, T, P>::update(
    const std::vector<catalog::endpoint>& endpoints,
    const std::vector<catalog::model>& models,
    const std::vector<catalog::adapter>& adapters)
{
    std::set<endpoint_id> listed;
    for (const auto& each : endpoints)
    {
        if (each.kind != catalog::endpoint_kind::engine ||
            each.region != settings_.region)
            continue;
        listed.insert(each.id);
        ledger_.set_engine(each.id, each.honours_fencing);
    }
    std::vector<endpoint_id> gone;
    for (const auto& [id, engine] : ledger_.engines())
        if (!listed.contains(id))
            gone.push_back(id);
    for (const auto& id : gone)
        ledger_.remove_engine(id);
    for (const auto& each : adapters)
        ledger_.set_adapter_bytes(each.id, each.version, each.bytes);
    inputs_.listed = std::move(listed);
    inputs_.models = models;
    inputs_.adapters = adapters;
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
void controller<S, C, T, P>::set_demand(
    std::vector<routing::demand_entry> demand)
{
    inputs_.demand = std::move(demand);
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
void controller<S, C, T, P>::set_unusable(std::set<endpoint_id> endpoints)
{
    inputs_.unusable = std::move(endpoints);
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
void controller<S, C, T, P>::report(const routing::endpoint_report& report)
{
    for (const auto& done : ledger_.apply(report))
    {
        if (done.adapter.empty())
            inputs_.last_moved_at[done.model] = clock_.now();
        sent_at_.erase(done.command_id);
        rows_to_erase_.insert(row_key(done));
        emit(events::kind::command_concluded, done.command_id,
            std::string(to_string(done.kind)) + " " + done.model.str());
    }
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
void controller<S, C, T, P>::tick()
{
    lease_.tick(true);
    refill_load_allowance();
    if (!lease_.holds())
        return;
    if (!scanned_)
        return start_scan();
    resend();
    if (!lease_.busy())
        plan_and_commit();
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
void controller<S, C, T, P>::start_scan()
{
    if (std::exchange(scanning_, true))
        return;
    scan_page({}, {}, scan_generation_);
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
void controller<S, C, T, P>::scan_page(
    std::string after, commands found, int generation)
{
    constexpr std::int32_t page_size = 500;
    const auto deadline = clock_.now() + lease_timing().call_timeout;
    store_.scan(intent_prefix(), std::move(after), page_size, deadline,
        [this, alive = std::weak_ptr<int>(alive_), found = std::move(found),
            generation](result<store::scan_page> page) mutable
        {
            if (alive.expired() || generation != scan_generation_)
                return;
            if (!page)
            {
                scanning_ = false;
                return;
            }
            for (const auto& row : page->rows)
            {
                auto value = read_intent(row);
                if (value)
                    found.push_back(std::move(*value));
                else
                    TQ_LOG(logger_, warning)
                        << "Ignored an invalid intent row: "
                        << value.error().message();
            }
            if (page->more && !page->rows.empty())
                return scan_page(
                    page->rows.back().key, std::move(found), generation);
            apply_scan(std::move(found));
        });
}

// Rejects a row whose key does not match its command: it could never be
// erased, and two rows of one command would be concluded together.
template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
result<intent> controller<S, C, T, P>::read_intent(const store::row& row) const
{
    auto value = intent_from_row(row.value);
    if (value && row_key(*value) != row.key)
        return fail(error_code::malformed_message,
            "The intent does not match its row key.");
    return value;
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
void controller<S, C, T, P>::apply_scan(commands found)
{
    // Skip concluded intents whose rows have not been erased yet.
    std::erase_if(found, [this](const intent& each)
        { return rows_to_erase_.contains(row_key(each)); });
    ledger_.replace_intents(found);
    ledger_.require_fresh_reports(clock_.now());
    scanning_ = false;
    scanned_ = true;
    const auto unsent = std::exchange(unsent_, {});
    for (const auto& each : found)
    {
        sent_at_.try_emplace(each.command_id, clock_.now());
        if (unsent.contains(each.command_id))
            send(each);
    }
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
void controller<S, C, T, P>::refill_load_allowance()
{
    const auto now = clock_.now();
    const std::chrono::duration<double> passed = now - refilled_at_;
    refilled_at_ = now;
    const auto& limits = settings_.limits;
    // Unused allowance accumulates for at most one second.
    loads_allowed_ = std::min(std::max(1.0, limits.loads_per_second),
        loads_allowed_ + passed.count() * limits.loads_per_second);
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
void controller<S, C, T, P>::plan_and_commit()
{
    inputs_.now = clock_.now();
    inputs_.awaited.clear();
    for (const auto& each : ledger_.intents())
    {
        const auto sent = sent_at_.find(each.command_id);
        const auto timeout =
            ledger_.listed(each) ? command_timeout : unlisted_timeout;
        if (sent != sent_at_.end() && inputs_.now - sent->second < timeout)
            inputs_.awaited.insert(each.command_id);
    }
    auto view = build_view(ledger_, inputs_);
    view.loads_allowed = static_cast<std::int64_t>(loads_allowed_);
    auto moves = planner_.plan(view, settings_.limits);
    if (moves.size() > max_batch_size)
        moves.resize(max_batch_size);
    auto batch = to_commands(moves);
    if (!batch.empty() || !rows_to_erase_.empty())
        commit(std::move(batch));
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
auto controller<S, C, T, P>::to_commands(const std::vector<move>& moves) const
    -> commands
{
    const auto deadline =
        unix_ms() + std::chrono::milliseconds(command_timeout).count();
    commands batch;
    for (const auto& each : moves)
    {
        const auto& engine = ledger_.engines().at(each.endpoint);
        batch.push_back({unique_id(), each.endpoint, engine.report->incarnation,
            0, each.kind, each.model, each.adapter, each.version, each.bytes,
            deadline});
    }
    return batch;
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
void controller<S, C, T, P>::commit(commands batch)
{
    const auto erased = rows_to_erase_;
    for (const auto& each : batch)
    {
        unsent_.insert(each.command_id);
        if (each.kind == command_kind::load_model)
            loads_allowed_ -= 1;
    }
    const auto rows = [&](std::int64_t first_fencing)
    {
        std::vector<store::write> out;
        for (auto& each : batch)
        {
            each.fencing = first_fencing++;
            out.push_back({row_key(each), to_row(each)});
        }
        for (const auto& key : erased)
            out.push_back({key, std::nullopt});
        return out;
    };
    const auto fencing_count = static_cast<std::int64_t>(batch.size());
    // The handler may run inside `lease_.commit`, so it uses a shared copy
    // that already has the fencing numbers.
    auto shared = std::make_shared<commands>();
    lease_.commit(
        [&](std::int64_t first_fencing)
        {
            auto out = rows(first_fencing);
            *shared = batch;
            return out;
        },
        fencing_count,
        [this, alive = std::weak_ptr<int>(alive_), shared, erased](
            const result<std::int64_t>& first)
        {
            // If the write was not confirmed, the next scan finds out which
            // rows exist.
            if (alive.expired() || !first)
                return;
            for (const auto& key : erased)
                rows_to_erase_.erase(key);
            for (const auto& each : *shared)
            {
                ledger_.add(each);
                unsent_.erase(each.command_id);
                // If the lease expired while the process was paused, the next
                // holder finds the intent in the table.
                if (lease_.holds())
                    send(each);
            }
        });
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
void controller<S, C, T, P>::send(const intent& command)
{
    // The engine has restarted since the command was planned. An engine that
    // ignores incarnations would execute the command, but its next report
    // would conclude the intent too early.
    const auto& engine = ledger_.engines().at(command.endpoint);
    if (engine.report &&
        engine.report->incarnation != command.engine_incarnation)
        return;
    sent_at_[command.command_id] = clock_.now();
    emit(events::kind::command_sent, command.command_id,
        std::string(to_string(command.kind)) + " " + command.model.str() +
            " at " + command.endpoint.str());
    transport_.send(command,
        [this, alive = std::weak_ptr<int>(alive_),
            command_id = command.command_id](
            const result<command_answer>& answer)
        {
            if (!alive.expired() && answer)
                ledger_.mark_answered(command_id);
        });
}

template <store::table_store S, clock_source C, command_transport T,
    placement_planner P>
void controller<S, C, T, P>::resend()
{
    const auto now = clock_.now();
    for (const auto& each : ledger_.intents())
    {
        const auto& engine = ledger_.engines().at(each.endpoint);
        const auto sent = sent_at_.find(each.command_id);
        // Resending is safe only to engines that reject old fencing numbers.
        if (!engine.honours_fencing ||
            engine.answered.contains(each.command_id) ||
            (sent != sent_at_.end() && now - sent->second < resend_interval))
            continue;
        send(each);
    }
}

} // namespace tarragonquay::placement
