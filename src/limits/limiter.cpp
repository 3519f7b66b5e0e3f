#include "limits/limiter.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "common/digest.hpp"

namespace tarragonquay::limits
{

namespace
{

constexpr std::int64_t millitokens_per_token = 1000;
// Nanoseconds times shares times tokens a second for one millitoken.
constexpr std::int64_t refill_unit = 1'000'000'000'000;
// Limits of one workspace; they keep all products within 128 bits.
constexpr std::int64_t max_tokens = 1'000'000'000'000;
constexpr duration transfer_retry = std::chrono::milliseconds(500);
constexpr duration request_interval = std::chrono::milliseconds(100);
// Transfers to one member that are not acknowledged yet. It bounds what a
// receiver has to remember; a few are open at a time.
constexpr std::uint64_t transfer_window = 64;
// Receivers of transfers that are no members, and members. Twice the instances
// to design for.
constexpr std::size_t max_receivers = 1500;
// A member whose heartbeats, one each 500 ms, have stopped for this long gets
// no shares of a stopping one.
constexpr duration successor_silence = std::chrono::seconds(2);
// Smaller transfers cost more messages than they help.
constexpr std::int64_t min_balance_tokens = 16;

__extension__ using wide = __int128;

// The number at the end of a transfer id; 0 when there is none.
std::uint64_t sequence_of(const std::string& transfer_id)
{
    const auto slash = transfer_id.rfind('/');
    if (slash == std::string::npos)
        return 0;
    std::uint64_t value = 0;
    const auto* end = transfer_id.data() + transfer_id.size();
    const auto parsed =
        std::from_chars(transfer_id.data() + slash + 1, end, value);
    return parsed.ec == std::errc() && parsed.ptr == end ? value : 0;
}

std::int64_t equal_part(
    const std::vector<instance_id>& members, const instance_id& instance)
{
    const auto found = std::find(members.begin(), members.end(), instance);
    if (found == members.end())
        return 0;
    const auto count = static_cast<std::int64_t>(members.size());
    // The first members take the remainder, so that all shares together can
    // hold a request of the whole burst.
    const bool extra = found - members.begin() < total_shares % count;
    return total_shares / count + (extra ? 1 : 0);
}

} // namespace

std::int64_t transfer_policy::allotment(const workspace_id& /*workspace*/,
    const std::vector<instance_id>& members, const instance_id& instance)
{
    return equal_part(members, instance);
}

std::int64_t static_split_policy::allotment(const workspace_id& /*workspace*/,
    const std::vector<instance_id>& members, const instance_id& instance)
{
    return equal_part(members, instance);
}

std::optional<instance_id> owner_grant_policy::owner(
    const workspace_id& workspace, const std::vector<instance_id>& members)
{
    std::optional<instance_id> best;
    std::uint64_t best_score = 0;
    for (const auto& member : members)
    {
        const auto score = fast_hash(member.str(), fast_hash(workspace.str()));
        if (!best || score > best_score)
        {
            best = member;
            best_score = score;
        }
    }
    return best;
}

std::int64_t owner_grant_policy::allotment(const workspace_id& workspace,
    const std::vector<instance_id>& members, const instance_id& instance)
{
    return owner(workspace, members) == instance ? total_shares : 0;
}

template <class Policy>
basic_limiter<Policy>::basic_limiter(instance_id local, std::string incarnation)
    : local_(std::move(local)), incarnation_(std::move(incarnation))
{
}

template <class Policy>
std::int64_t basic_limiter<Policy>::allotment(
    const workspace_id& workspace) const
{
    return is_member_ ? Policy::allotment(workspace, members_, local_) : 0;
}

template <class Policy>
std::int64_t basic_limiter<Policy>::capacity(const bucket& of)
{
    return static_cast<std::int64_t>(wide(of.shares) * of.limit.burst_tokens *
                                     millitokens_per_token / total_shares);
}

// Level and outstanding refunds together stay within the capacity; otherwise
// refunds of old reservations would let a window admit more than its rate and
// burst. Each reservation keeps its own refund: with a common sum, one that
// lost its refund would spend that of another.
template <class Policy>
void basic_limiter<Policy>::clamp(bucket& of)
{
    const auto most = capacity(of);
    of.level = std::min(of.level, most);
    if (of.level == most)
        of.fraction = 0;
    auto excess = of.level + of.refundable - most;
    while (excess > 0 && !of.refunds.empty())
    {
        const auto oldest = of.refunds.begin();
        const auto lost = std::min(excess, oldest->second);
        oldest->second -= lost;
        of.refundable -= lost;
        excess -= lost;
        if (oldest->second == 0)
            of.refunds.erase(oldest);
    }
}

template <class Policy>
void basic_limiter<Policy>::refill(bucket& of, time_point now)
{
    if (now <= of.refilled_at)
        return;
    const auto elapsed = std::chrono::duration_cast<std::chrono::nanoseconds>(
        now - of.refilled_at)
                             .count();
    of.refilled_at = now;
    const wide gained =
        wide(elapsed) * of.shares * of.limit.rate_tokens_per_second +
        of.fraction;
    const wide room = wide(capacity(of)) - of.level;
    of.fraction = static_cast<std::int64_t>(gained % refill_unit);
    of.level += static_cast<std::int64_t>(
        std::min(gained / refill_unit, std::max<wide>(room, 0)));
    clamp(of);
}

template <class Policy>
void basic_limiter<Policy>::apply(const limits_view& view, time_point now)
{
    for (auto& [id, item] : buckets_)
        refill(item, now);
    if (view.epoch != epoch_)
        close_epoch(view, now);
    apply_workspaces(view, now);
    if (view.epoch_open && !open_)
        open_epoch(now);
    serve_waiters(now);
}

template <class Policy>
void basic_limiter<Policy>::close_epoch(
    const limits_view& view, time_point /*now*/)
{
    epoch_ = view.epoch;
    open_ = false;
    members_.clear();
    incarnations_.clear();
    guests_.clear();
    is_member_ = false;
    for (const auto& member : view.members)
    {
        members_.push_back(member.instance);
        incarnations_[member.instance] = member.incarnation;
        is_member_ = is_member_ || (member.instance == local_ &&
                                       member.incarnation == incarnation_);
    }
    has_shares_ = has_shares_ && is_member_;
    std::sort(members_.begin(), members_.end());
    outgoing_.clear();
    last_transfer_.clear();
    received_.clear();
    demands_.clear();
    // Refunds end with the epoch, because their shares may have moved.
    reservations_.clear();
    std::erase_if(
        buckets_, [](const auto& entry) { return entry.second.removed; });
    for (auto& [id, item] : buckets_)
    {
        item.refunds.clear();
        item.refundable = 0;
        item.shares = std::min(item.shares, allotment(id));
        clamp(item);
    }
}

template <class Policy>
void basic_limiter<Policy>::open_epoch(time_point /*now*/)
{
    open_ = true;
    has_shares_ = is_member_;
    for (auto& [id, item] : buckets_)
    {
        item.shares = allotment(id);
        clamp(item);
    }
}

template <class Policy>
void basic_limiter<Policy>::apply_workspaces(
    const limits_view& view, time_point now)
{
    std::set<workspace_id> present;
    for (const auto& limit : view.workspaces)
    {
        present.insert(limit.id);
        auto bounded = limit;
        bounded.rate_tokens_per_second = std::clamp<std::int64_t>(
            limit.rate_tokens_per_second, 0, max_tokens);
        bounded.burst_tokens =
            std::clamp<std::int64_t>(limit.burst_tokens, 0, max_tokens);
        const auto [found, created] = buckets_.try_emplace(limit.id);
        auto& item = found->second;
        item.limit = std::move(bounded);
        item.removed = false;
        if (created)
        {
            item.refilled_at = item.last_admitted = now;
            item.shares = open_ ? allotment(limit.id) : 0;
            item.level = capacity(item);
        }
        clamp(item);
    }
    for (auto& [id, item] : buckets_)
        item.removed = !present.contains(id);
}

template <class Policy>
result<reservation> basic_limiter<Policy>::take(
    bucket& from, std::int64_t tokens, time_point now)
{
    refill(from, now);
    const auto wanted = tokens * millitokens_per_token;
    if (from.level < wanted && awaits_share())
        return fail(error_code::no_share,
            fmt::format("this instance has no share of the rate of workspace "
                        "{} yet",
                from.limit.id.str()));
    if (from.level < wanted)
        return fail(error_code::rate_limited,
            fmt::format("workspace {} has used its rate", from.limit.id.str()));
    from.level -= wanted;
    from.refundable += wanted;
    from.last_admitted = now;
    const reservation made{next_reservation_++, from.limit.id, tokens, epoch_};
    reservations_.insert(made.id);
    if (wanted > 0)
        from.refunds[made.id] = wanted;
    return made;
}

// Why these tokens can't be admitted at any time.
template <class Policy>
result<reservation> basic_limiter<Policy>::refusal(
    const workspace_id& workspace, std::int64_t tokens) const
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end() || found->second.removed)
        return fail(error_code::not_found,
            fmt::format("workspace {} does not exist", workspace.str()));
    if (tokens < 0)
        return fail(error_code::invalid_argument,
            "a request needs a number of tokens that is not negative");
    return fail(error_code::request_exceeds_burst,
        fmt::format("{} tokens are more than the burst of {}", tokens,
            found->second.limit.burst_tokens));
}

template <class Policy>
result<reservation> basic_limiter<Policy>::admit(
    const workspace_id& workspace, std::int64_t tokens, time_point now)
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end() || found->second.removed || tokens < 0 ||
        tokens > found->second.limit.burst_tokens)
        return refusal(workspace, tokens);
    found->second.requested_tokens += tokens;
    return take(found->second, tokens, now);
}

template <class Policy>
void basic_limiter<Policy>::admit_before(const workspace_id& workspace,
    std::int64_t tokens, const admission_deadlines& deadlines, time_point now,
    admit_handler handler)
{
    auto admitted = admit(workspace, tokens, now);
    waiter each{tokens, deadlines, {}};
    const bool lacks_tokens =
        !admitted && (admitted.error().code() == error_code::rate_limited ||
                         admitted.error().code() == error_code::no_share);
    if (!lacks_tokens || !may_wait(each, now))
    {
        handler(std::move(admitted));
        return;
    }
    each.handler = std::move(handler);
    waiters_[workspace].push_back(std::move(each));
}

template <class Policy>
bool basic_limiter<Policy>::may_wait(waiter& each, time_point now) const
{
    each.had_no_share = each.had_no_share || awaits_share();
    return now < (each.had_no_share ? each.deadlines.without_share
                                    : each.deadlines.usual);
}

// Waiting requests of a workspace are tried in order of arrival. One that
// fits is served although an earlier, larger one still waits: a single bucket
// would admit it, and no request waits beyond its deadline.
template <class Policy>
void basic_limiter<Policy>::serve_waiters(time_point now)
{
    std::vector<std::pair<admit_handler, result<reservation>>> done;
    for (auto& entry : waiters_)
    {
        const auto& workspace = entry.first;
        auto& queue = entry.second;
        const auto found = buckets_.find(workspace);
        const bool exists = found != buckets_.end() && !found->second.removed;
        std::erase_if(queue,
            [&](waiter& each)
            {
                const bool possible =
                    exists && each.tokens <= found->second.limit.burst_tokens;
                auto taken = possible ? take(found->second, each.tokens, now)
                                      : refusal(workspace, each.tokens);
                if (!taken && possible && may_wait(each, now))
                    return false;
                done.emplace_back(std::move(each.handler), std::move(taken));
                return true;
            });
    }
    std::erase_if(
        waiters_, [](const auto& entry) { return entry.second.empty(); });
    for (auto& [handler, outcome] : done)
        handler(std::move(outcome));
}

template <class Policy>
void basic_limiter<Policy>::settle(
    const reservation& reserved, std::int64_t used, time_point now)
{
    const bool open = reservations_.erase(reserved.id) > 0;
    const auto found = buckets_.find(reserved.workspace);
    if (found == buckets_.end() || (!open && reserved.epoch == epoch_))
        return;
    auto& item = found->second;
    refill(item, now);
    const auto charged = std::clamp<std::int64_t>(used, 0, max_tokens);
    const auto unused = (reserved.tokens - charged) * millitokens_per_token;
    // Nothing is refunded after the end of the epoch, but debt still counts.
    if (unused < 0)
        item.level += unused;
    const auto refund = item.refunds.find(reserved.id);
    if (refund != item.refunds.end())
    {
        item.level += std::clamp<std::int64_t>(unused, 0, refund->second);
        item.refundable -= refund->second;
        item.refunds.erase(refund);
    }
    clamp(item);
    serve_waiters(now);
}

template <class Policy>
bool basic_limiter<Policy>::may_move() const
{
    return Policy::moves_shares && open_;
}

template <class Policy>
typename basic_limiter<Policy>::receiver basic_limiter<Policy>::member_receiver(
    const instance_id& member) const
{
    return {member, incarnations_.at(member)};
}

template <class Policy>
bool basic_limiter<Policy>::is_member(const receiver& who) const
{
    const auto found = incarnations_.find(who.instance);
    return found != incarnations_.end() && found->second == who.incarnation;
}

// Any process can ask in the name of instances that do not exist, and each
// receiver is remembered until the epoch ends.
template <class Policy>
bool basic_limiter<Policy>::may_give(const receiver& to) const
{
    return is_member(to) || last_transfer_.contains(to) ||
           last_transfer_.size() < max_receivers;
}

template <class Policy>
bool basic_limiter<Policy>::is_known(const std::string& incarnation) const
{
    const auto same = [&](const auto& entry)
    { return entry.second == incarnation; };
    return std::any_of(incarnations_.begin(), incarnations_.end(), same) ||
           std::any_of(guests_.begin(), guests_.end(), same);
}

// The donor lowers its share and level before the transfer exists, so a
// lost message loses capacity and never creates any.
template <class Policy>
void basic_limiter<Policy>::donate(const workspace_id& workspace, bucket& from,
    const receiver& to, std::int64_t shares, std::int64_t level, time_point now)
{
    const auto open = std::count_if(outgoing_.begin(), outgoing_.end(),
        [&](const auto& entry) { return entry.second.to == to; });
    if (shares <= 0 || shares > from.shares || !may_give(to) ||
        static_cast<std::uint64_t>(open) >= transfer_window)
        return;
    auto& sequence = last_transfer_[to];
    // Set before the transfer exists, so that no acknowledgement of the next
    // membership change can lack it.
    if (!is_member(to))
    {
        guests_[to.instance] = to.incarnation;
        if (given_guests_.epoch != epoch_)
            given_guests_ = {epoch_, {}};
        given_guests_.incarnations.insert(to.incarnation);
    }
    const auto given = std::clamp<std::int64_t>(
        level, 0, std::max<std::int64_t>(from.level, 0));
    from.shares -= shares;
    from.level -= given;
    clamp(from);
    outgoing_transfer out;
    out.to = to;
    out.next_send = now;
    // Each receiver gets sequence numbers without gaps.
    out.message.set_transfer_id(fmt::format(
        "{}/{}/{}/{}", incarnation_, epoch_, to.incarnation, ++sequence));
    out.message.set_to_incarnation(to.incarnation);
    out.message.set_workspace(workspace.str());
    out.message.set_epoch(epoch_);
    out.message.set_shares(shares);
    out.message.set_level_millitokens(given);
    outgoing_.emplace(out.message.transfer_id(), out);
}

// Gives the level with as many shares as can hold it.
template <class Policy>
void basic_limiter<Policy>::donate_level(const workspace_id& workspace,
    bucket& from, const receiver& to, std::int64_t level, time_point now)
{
    const auto given = std::min(level, from.level);
    const wide per_share =
        wide(from.limit.burst_tokens) * millitokens_per_token;
    if (given <= 0 || per_share == 0)
        return;
    const auto shares = static_cast<std::int64_t>(std::min<wide>(
        from.shares, (wide(given) * total_shares + per_share - 1) / per_share));
    donate(workspace, from, to, shares, given, now);
}

template <class Policy>
void basic_limiter<Policy>::received_transfers::insert(std::uint64_t sequence)
{
    beyond.insert(sequence);
    while (beyond.erase(complete + 1) > 0)
        ++complete;
}

template <class Policy>
bool basic_limiter<Policy>::on_transfer(
    const peer::Share_transfer& transfer, time_point now)
{
    const auto found = buckets_.find(workspace_id(transfer.workspace()));
    const auto& id = transfer.transfer_id();
    const auto sequence = sequence_of(id);
    const bool plausible =
        sequence > 0 && transfer.to_incarnation() == incarnation_ &&
        transfer.shares() > 0 && transfer.shares() <= total_shares &&
        transfer.level_millitokens() >= 0;
    // Only members and guests of this instance send transfers to it. Others
    // could make up ids without end, each of which would have to be remembered.
    const auto sender = id.substr(0, id.rfind('/'));
    const auto suffix = fmt::format("/{}/{}", epoch_, incarnation_);
    const bool from_member =
        sender.ends_with(suffix) &&
        is_known(sender.substr(0, sender.size() - suffix.size()));
    // A bucket that does not exist yet takes the transfer when it is sent
    // again, after the workspace has been applied here.
    if (!may_move() || transfer.epoch() != epoch_ || !plausible ||
        !from_member || found == buckets_.end())
        return false;
    auto& received = received_[sender];
    if (received.seen(sequence))
        return true;
    // Sent again once the earlier ones have arrived.
    if (sequence > received.complete + transfer_window)
        return false;
    received.insert(sequence);
    auto& item = found->second;
    refill(item, now);
    item.shares = std::min(item.shares + transfer.shares(), total_shares);
    const wide level = wide(item.level) + transfer.level_millitokens();
    item.level =
        static_cast<std::int64_t>(std::min<wide>(level, capacity(item)));
    clamp(item);
    serve_waiters(now);
    return true;
}

template <class Policy>
void basic_limiter<Policy>::on_transfer_ack(const peer::Share_transfer_ack& ack)
{
    outgoing_.erase(ack.transfer_id());
}

template <class Policy>
void basic_limiter<Policy>::on_request(const instance_id& from,
    const std::string& incarnation, const peer::Share_request& request,
    time_point now)
{
    const workspace_id workspace(request.workspace());
    const auto found = buckets_.find(workspace);
    if (!may_move() || request.epoch() != epoch_ || found == buckets_.end() ||
        from == local_ || incarnation.empty())
        return;
    // Of two members that collect level for large requests, the one with the
    // lower id goes first; otherwise each could hold what the other needs.
    if (waiters_.contains(workspace) && local_ < from)
        return;
    refill(found->second, now);
    donate_level(workspace, found->second, {from, incarnation},
        request.level_millitokens(), now);
}

template <class Policy>
void basic_limiter<Policy>::on_demands(
    const instance_id& from, const peer::Heartbeat& heartbeat, time_point now)
{
    if (!std::binary_search(members_.begin(), members_.end(), from))
        return;
    peers_[from] = {now, heartbeat.stopping()};
    for (const auto& demand : heartbeat.demands())
    {
        const workspace_id workspace(demand.workspace());
        if (buckets_.contains(workspace))
            // Within these bounds no difference or product overflows.
            demands_[workspace][from] = {
                std::clamp<std::int64_t>(
                    demand.requested_tokens(), 0, max_tokens),
                std::clamp<std::int64_t>(demand.level_tokens(), 0, max_tokens)};
    }
}

// Gives up to half of the level that this instance does not need to the
// member that lacks most. A report is used once, so that it is not answered
// again before the next heartbeat.
template <class Policy>
void basic_limiter<Policy>::balance(time_point now)
{
    for (auto& [workspace, item] : buckets_)
    {
        auto& reports = demands_[workspace];
        peer_demand* neediest = nullptr;
        instance_id neediest_member;
        std::int64_t most_lacking = min_balance_tokens;
        for (auto& [member, report] : reports)
        {
            const auto lacking = report.requested_tokens - report.level_tokens;
            if (report.answered || lacking < most_lacking)
                continue;
            most_lacking = lacking;
            neediest = &report;
            neediest_member = member;
        }
        if (neediest == nullptr || waiters_.contains(workspace))
            continue;
        refill(item, now);
        const auto own_need = item.requested_tokens * millitokens_per_token;
        const auto spare = (item.level - own_need) / 2;
        neediest->answered = true;
        if (spare >= min_balance_tokens * millitokens_per_token)
            donate_level(workspace, item, member_receiver(neediest_member),
                std::min(spare, most_lacking * millitokens_per_token), now);
    }
}

template <class Policy>
void basic_limiter<Policy>::return_grants(time_point now)
{
    for (auto& [workspace, item] : buckets_)
    {
        const auto owner = owner_grant_policy::owner(workspace, members_);
        if (!owner || *owner == local_ || item.shares == 0 ||
            waiters_.contains(workspace) ||
            now - item.last_admitted < Policy::grant_time)
            continue;
        refill(item, now);
        donate(workspace, item, member_receiver(*owner), item.shares,
            item.level, now);
    }
}

// Members that take the shares of a stopping one, with their weights. Those
// that stop or are silent are left out, unless there is no other.
template <class Policy>
std::map<instance_id, std::int64_t> basic_limiter<Policy>::successors(
    const workspace_id& workspace, time_point now) const
{
    std::map<instance_id, std::int64_t> serving;
    std::map<instance_id, std::int64_t> others;
    const auto reports = demands_.find(workspace);
    for (const auto& member : members_)
    {
        if (member == local_)
            continue;
        // A member without demand gets a little, so that it can begin.
        std::int64_t weight = 1;
        if (reports != demands_.end() && reports->second.contains(member))
            weight += std::clamp<std::int64_t>(
                reports->second.at(member).requested_tokens, 0, max_tokens);
        others[member] = 1;
        const auto status = peers_.find(member);
        if (status != peers_.end() && !status->second.stopping &&
            now - status->second.heard_at < successor_silence)
            serving[member] = weight;
    }
    return serving.empty() ? others : serving;
}

template <class Policy>
void basic_limiter<Policy>::donate_everything(time_point now)
{
    for (auto& [workspace, item] : buckets_)
    {
        refill(item, now);
        auto receivers = successors(workspace, now);
        wide weights = 0;
        for (const auto& [member, weight] : receivers)
            weights += weight;
        const auto part = [&weights](std::int64_t whole, std::int64_t weight)
        { return static_cast<std::int64_t>(wide(whole) * weight / weights); };
        // A debt is not handed over; it lowers what this instance gives.
        for (const auto& [member, weight] : receivers)
        {
            donate(workspace, item, member_receiver(member),
                part(item.shares, weight),
                part(std::max<std::int64_t>(item.level, 0), weight), now);
            weights -= weight;
        }
    }
}

template <class Policy>
bool basic_limiter<Policy>::handed_over() const
{
    return outgoing_.empty() &&
           std::all_of(buckets_.begin(), buckets_.end(),
               [](const auto& entry) { return entry.second.shares == 0; });
}

template <class Policy>
std::int64_t basic_limiter<Policy>::reported_level(
    const workspace_id& workspace, const instance_id& member) const
{
    const auto reports = demands_.find(workspace);
    if (reports == demands_.end())
        return 0;
    const auto found = reports->second.find(member);
    return found == reports->second.end()
               ? 0
               : std::clamp<std::int64_t>(
                     found->second.level_tokens, 0, max_tokens);
}

// All other members, and the guests that got shares from here; those that
// reported most level come first.
template <class Policy>
std::vector<instance_id> basic_limiter<Policy>::donors(
    const workspace_id& workspace) const
{
    if constexpr (Policy::grant_time > duration::zero())
    {
        // Only the owner grants; it asks the others for what it has granted.
        const auto owner = Policy::owner(workspace, members_);
        if (owner && *owner != local_)
            return {*owner};
    }
    std::vector<instance_id> result;
    for (const auto& member : members_)
    {
        if (member != local_)
            result.push_back(member);
    }
    for (const auto& [guest, incarnation] : guests_)
    {
        if (!incarnations_.contains(guest))
            result.push_back(guest);
    }
    std::stable_sort(result.begin(), result.end(),
        [&](const instance_id& a, const instance_id& b) {
            return reported_level(workspace, a) > reported_level(workspace, b);
        });
    return result;
}

template <class Policy>
void basic_limiter<Policy>::request_level(
    time_point now, std::vector<outgoing_message>& messages)
{
    for (auto& [workspace, queue] : waiters_)
    {
        const auto found = buckets_.find(workspace);
        auto& next = next_request_[workspace];
        if (found == buckets_.end() || queue.empty() || now < next)
            continue;
        next = now + request_interval;
        refill(found->second, now);
        const auto lacking =
            queue.front().tokens * millitokens_per_token - found->second.level;
        if (lacking <= 0)
            continue;
        // Members seldom tell a guest their level, and each would give all
        // that it lacks. The first request asks each for a part.
        const bool evenly = !is_member_ && !queue.front().requested;
        queue.front().requested = true;
        ask_donors(workspace, lacking, evenly, messages);
    }
}

// Asks the members with most level first, and no more members than their
// reports say are needed. When the reports are not enough, the rest is asked
// of every other member, since reports are old.
template <class Policy>
void basic_limiter<Policy>::ask_donors(const workspace_id& workspace,
    std::int64_t lacking, bool evenly,
    std::vector<outgoing_message>& messages) const
{
    const auto asked_members = donors(workspace);
    const auto count = static_cast<std::int64_t>(asked_members.size());
    if (evenly && count > 0)
        lacking = (lacking + count - 1) / count;
    for (const auto& donor : asked_members)
    {
        if (lacking <= 0)
            return;
        const auto reported =
            evenly ? 0
                   : reported_level(workspace, donor) * millitokens_per_token;
        const auto asked = reported > 0 ? std::min(lacking, reported) : lacking;
        lacking -= reported > 0 ? asked : 0;
        peer::Envelope envelope;
        auto& request = *envelope.mutable_share_request();
        request.set_workspace(workspace.str());
        request.set_epoch(epoch_);
        request.set_level_millitokens(asked);
        messages.push_back({donor, std::move(envelope)});
    }
}

template <class Policy>
std::vector<outgoing_message> basic_limiter<Policy>::tick(time_point now)
{
    serve_waiters(now);
    if (!may_move())
        return {};
    if (handing_over_)
        donate_everything(now);
    else if (Policy::grant_time > duration::zero())
        return_grants(now);
    else
        balance(now);
    return take_messages(now);
}

template <class Policy>
std::vector<outgoing_message> basic_limiter<Policy>::take_messages(
    time_point now)
{
    std::vector<outgoing_message> messages;
    if (!may_move())
        return messages;
    if (!handing_over_)
        request_level(now, messages);
    for (auto& [id, transfer] : outgoing_)
    {
        if (now < transfer.next_send)
            continue;
        transfer.next_send = now + transfer_retry;
        peer::Envelope envelope;
        *envelope.mutable_share_transfer() = transfer.message;
        messages.push_back({transfer.to.instance, std::move(envelope)});
    }
    return messages;
}

template <class Policy>
std::vector<peer::Workspace_demand> basic_limiter<Policy>::take_demands(
    time_point now)
{
    std::vector<peer::Workspace_demand> result;
    for (auto& [workspace, item] : buckets_)
    {
        if (item.removed)
            continue;
        refill(item, now);
        peer::Workspace_demand demand;
        demand.set_workspace(workspace.str());
        demand.set_requested_tokens(item.requested_tokens);
        demand.set_level_tokens(
            std::max<std::int64_t>(item.level, 0) / millitokens_per_token);
        demand.set_shares(item.shares);
        item.requested_tokens = 0;
        result.push_back(std::move(demand));
    }
    return result;
}

template <class Policy>
bucket_state basic_limiter<Policy>::state(
    const workspace_id& workspace, time_point now)
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end())
        return {};
    refill(found->second, now);
    return {found->second.shares, found->second.level};
}

template class basic_limiter<transfer_policy>;
template class basic_limiter<static_split_policy>;
template class basic_limiter<owner_grant_policy>;

} // namespace tarragonquay::limits
