// Simulation of the limiters of one deployment.

namespace tarragonquay::experiment
{

template <class Policy>
void limits_run<Policy>::schedule(double after_s, std::function<void()> action)
{
    actions_.emplace(start_ + std::chrono::duration_cast<duration>(
                                  std::chrono::duration<double>(after_s)),
        std::move(action));
}

template <class Policy>
void limits_run<Policy>::start_node(int index)
{
    auto& self = at(index);
    self.alive = true;
    self.views.clear();
    const auto own = member(index);
    self.limiter =
        std::make_unique<limiter_type>(own.instance, own.incarnation);
    self.limiter->apply(view_, now_);
    // Ticks of the instances are not in step.
    constexpr int shift_ms = 13;
    self.next_tick = now_ + std::chrono::milliseconds(index * shift_ms);
}

template <class Policy>
void limits_run<Policy>::begin()
{
    nodes_.resize(static_cast<std::size_t>(scenario_.instances));
    for (int i = 0; i < count(); ++i)
        view_.members.push_back(member(i));
    view_.epoch = 1;
    for (int i = 0; i < count(); ++i)
        start_node(i);
    // Workspaces that are created in an open epoch start with full levels.
    view_.epoch_open = true;
    for (auto& each : nodes_)
        each.limiter->apply(view_, now_);
    for (const auto& each : traced_workspaces())
        view_.workspaces.push_back(each.limit);
    for (auto& each : nodes_)
        each.limiter->apply(view_, now_);
}

template <class Policy>
void limits_run<Policy>::commit(limits::limits_view view)
{
    view_ = std::move(view);
    for (auto& each : nodes_)
    {
        std::uniform_int_distribution<int> delay_ms(5, 200);
        auto due = now_ + std::chrono::milliseconds(delay_ms(network_));
        if (!each.views.empty())
            due = std::max(due, each.views.back().first);
        each.views.emplace_back(due, view_);
    }
}

template <class Policy>
void limits_run<Policy>::change_members(int index, bool present)
{
    auto next = view_;
    std::erase_if(next.members, [&](const catalog::member& each)
        { return each.instance == name(index); });
    if (present)
        next.members.push_back(member(index));
    ++next.epoch;
    next.epoch_open = false;
    commit(std::move(next));
}

template <class Policy>
void limits_run<Policy>::open_epoch()
{
    auto next = view_;
    next.epoch_open = true;
    commit(std::move(next));
}

// Removal after the suspicion time and the opening after the fence.
template <class Policy>
void limits_run<Policy>::plan_faults()
{
    const auto fault_s = scenario_.seconds / 4;
    constexpr double fence_s = 6;
    const auto kill = [this]
    {
        at(victim).alive = at(victim).serving = false;
        at(victim).limiter.reset();
    };
    switch (scenario_.fault)
    {
    case limits_fault::killed:
        schedule(fault_s, kill);
        schedule(fault_s + fence_s, [this] { change_members(victim, false); });
        schedule(fault_s + 2 * fence_s, [this] { open_epoch(); });
        break;
    case limits_fault::store_down:
        schedule(fault_s, kill);
        break;
    case limits_fault::cut_off:
        schedule(fault_s, [this] { cut_off_ = victim; });
        schedule(3 * fault_s, [this] { cut_off_ = -1; });
        break;
    case limits_fault::rolling:
        for (int i = 0; i < count(); ++i)
            schedule(fault_s / 2 + i * 2 * fence_s, [this, i] { replace(i); });
        break;
    case limits_fault::none:
        break;
    }
}

template <class Policy>
void limits_run<Policy>::replace(int index)
{
    const auto since = std::chrono::duration<double>(now_ - start_).count();
    at(index).serving = false;
    at(index).limiter->hand_over();
    schedule(since + 2,
        [this, index]
        {
            change_members(index, false);
            at(index).alive = false;
            at(index).limiter.reset();
        });
    // An instance that leaves acknowledges its removal, so nobody is fenced.
    schedule(since + 3, [this] { open_epoch(); });
    schedule(since + 9,
        [this, index]
        {
            ++at(index).incarnation;
            change_members(index, true);
            start_node(index);
            at(index).serving = true;
        });
    schedule(since + 10, [this] { open_epoch(); });
}

// Most messages take a few milliseconds; some are late, and some are lost.
template <class Policy>
void limits_run<Policy>::send(int from, int to, peer::Envelope message)
{
    ++messages_;
    bytes_ += static_cast<std::int64_t>(message.ByteSizeLong());
    std::uniform_int_distribution<int> percent(0, 99);
    std::uniform_int_distribution<int> usual_ms(1, 10);
    std::uniform_int_distribution<int> late_ms(50, 300);
    const bool lost = percent(network_) < 1;
    const bool late = percent(network_) < 3;
    const auto delay_ms = late ? late_ms(network_) : usual_ms(network_);
    if (!lost && reachable(from, to))
        packets_.emplace(now_ + std::chrono::milliseconds(delay_ms),
            packet{from, to, std::move(message)});
}

template <class Policy>
void limits_run<Policy>::deliver(const packet& item)
{
    if (!at(item.to).alive || !reachable(item.from, item.to))
        return;
    auto& self = *at(item.to).limiter;
    const auto& message = item.message;
    if (message.has_share_request())
        self.on_request(name(item.from), member(item.from).incarnation,
            message.share_request(), now_);
    else if (message.has_share_transfer_ack())
        self.on_transfer_ack(message.share_transfer_ack());
    else if (message.has_heartbeat())
        self.on_demands(name(item.from), message.heartbeat(), now_);
    else if (message.has_share_transfer() &&
             self.on_transfer(message.share_transfer(), now_))
    {
        peer::Envelope ack;
        ack.mutable_share_transfer_ack()->set_transfer_id(
            message.share_transfer().transfer_id());
        send(item.to, item.from, std::move(ack));
    }
    send_all(item.to, self.take_messages(now_));
}

template <class Policy>
void limits_run<Policy>::send_all(
    int from, std::vector<limits::outgoing_message> messages)
{
    constexpr std::size_t number_at = sizeof("instance-") - 1;
    for (auto& out : messages)
        send(from, std::stoi(out.to.str().substr(number_at)),
            std::move(out.message));
}

template <class Policy>
void limits_run<Policy>::tick(int index)
{
    auto& self = at(index);
    while (!self.views.empty() && self.views.front().first <= now_)
    {
        if (self.alive)
            self.limiter->apply(self.views.front().second, now_);
        self.views.pop_front();
    }
    if (!self.alive || now_ < self.next_tick)
        return;
    self.next_tick += tick_interval;
    send_all(index, self.limiter->tick(now_));
    if ((self.next_tick - start_) / tick_interval %
            (heartbeat / tick_interval) !=
        0)
        return;
    peer::Envelope envelope;
    envelope.mutable_heartbeat()->set_stopping(!self.serving);
    for (auto& demand : self.limiter->take_demands(now_))
        *envelope.mutable_heartbeat()->add_demands() = std::move(demand);
    for (int to = 0; to < count(); ++to)
    {
        if (to == index)
            continue;
        send(index, to, envelope);
        // Heartbeats are sent in any case; only their size counts.
        --messages_;
    }
}

template <class Policy>
void limits_run<Policy>::admit(std::size_t index)
{
    const auto& request = trace_[index];
    auto to = request.instance;
    for (int i = 0; i < count() && !at(to).serving; ++i)
        to = (to + 1) % count();
    outcome_.answers[index] = limits_answer::lost;
    at(to).limiter->admit_before(
        traced_workspaces()[request.workspace].limit.id, request.reserved,
        {now_ + wait, now_ + wait}, now_,
        [this, index, to, incarnation = at(to).incarnation](
            const result<limits::reservation>& made)
        {
            outcome_.answers[index] =
                made ? limits_answer::admitted : limits_answer::refused;
            if (!made)
                return;
            const auto& admitted = trace_[index];
            admitted_[admitted.workspace].emplace_back(now_, admitted.used);
            open_.emplace(now_ + admitted.service_time,
                open_request{index, to, incarnation, *made});
        });
    send_all(to, at(to).limiter->take_messages(now_));
}

template <class Policy>
void limits_run<Policy>::settle(const open_request& open)
{
    auto& self = at(open.node);
    if (self.alive && self.incarnation == open.incarnation)
        self.limiter->settle(open.reserved, trace_[open.request].used, now_);
}

template <class Policy>
double limits_run<Policy>::overshoot() const
{
    double worst = 0;
    for (std::size_t w = 0; w < admitted_.size(); ++w)
    {
        const auto& limit = traced_workspaces()[w].limit;
        const auto rate = static_cast<double>(limit.rate_tokens_per_second);
        double used = 0;
        // Largest sum of used tokens less the refill over the windows that
        // end now.
        double window = 0;
        std::optional<time_point> previous;
        for (const auto& [at, tokens] : admitted_[w])
        {
            const std::chrono::duration<double> gap =
                at - previous.value_or(at);
            previous = at;
            window = std::max(0.0, window - rate * gap.count()) +
                     static_cast<double>(tokens);
            used = std::max(used, window);
        }
        worst = std::max(worst, used - static_cast<double>(limit.burst_tokens));
    }
    return worst;
}

template <class Policy>
limits_outcome limits_run<Policy>::run()
{
    begin();
    plan_faults();
    admitted_.resize(traced_workspaces().size());
    outcome_.answers.resize(trace_.size());
    const auto until =
        start_ + std::chrono::duration_cast<duration>(
                     std::chrono::duration<double>(scenario_.seconds + 1));
    const auto run_due = [this](auto& items, const auto& action)
    {
        while (!items.empty() && items.begin()->first <= now_)
        {
            const auto item = std::move(items.begin()->second);
            items.erase(items.begin());
            action(item);
        }
    };
    for (std::size_t next = 0; now_ < until; now_ += step)
    {
        run_due(actions_, [](const auto& action) { action(); });
        run_due(packets_, [this](const packet& item) { deliver(item); });
        run_due(open_, [this](const open_request& open) { settle(open); });
        for (; next < trace_.size() && trace_[next].at <= now_; ++next)
            admit(next);
        for (int i = 0; i < count(); ++i)
            tick(i);
    }
    outcome_.overshoot_tokens = std::max(0.0, overshoot());
    const auto instance_seconds = scenario_.seconds * count();
    outcome_.messages_per_second =
        static_cast<double>(messages_) / instance_seconds;
    outcome_.bytes_per_second = static_cast<double>(bytes_) / instance_seconds;
    return outcome_;
}

} // namespace tarragonquay::experiment
