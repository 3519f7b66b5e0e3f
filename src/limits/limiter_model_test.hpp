#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "limits/limiter.hpp"

// A simulation of instances that share limits, for property tests.
namespace tarragonquay::limits
{

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const workspace_id acme("acme");

inline catalog::member member_of(int index, int incarnation = 1)
{
    catalog::member result;
    result.instance = instance_id("i" + std::to_string(index));
    result.incarnation =
        result.instance.str() + "-" + std::to_string(incarnation);
    return result;
}

inline limits_view view_of(
    int members, std::int64_t epoch, bool open, std::int64_t burst = 1000)
{
    limits_view view;
    for (int i = 0; i < members; ++i)
        view.members.push_back(member_of(i));
    view.epoch = epoch;
    view.epoch_open = open;
    view.workspaces = {{acme, 100, burst}};
    return view;
}

// Instances that apply one log of configurations, connected by a network that
// loses, delays and duplicates messages. Instances that are not members, such
// as restarted ones, receive shares from others. An instance that has not seen
// the close of an epoch has no lease, and admits nothing, once the next epoch
// opens.
template <class Policy>
class simulation
{
public:
    static constexpr int instances = 5;
    static constexpr std::int64_t rate = 100;
    static constexpr std::int64_t burst = 1000;

    simulation()
    {
        for (int i = 0; i < instances; ++i)
            restart(i);
        // The workspace is created in an open epoch, so that buckets start
        // full.
        auto view = view_of(3, 1, false);
        view.workspaces.clear();
        log_.push_back(view);
        view.epoch_open = true;
        log_.push_back(view);
        log_.push_back(view_of(3, 1, true));
        for (int i = 0; i < instances; ++i)
            catch_up(i, 3);
        check_bounds();
    }

    void step(int kind, int a, int b)
    {
        a %= instances;
        auto& self = *nodes_[a].limits;
        switch (kind % 16)
        {
        case 0:
        case 1:
            now_ += milliseconds(b * 32);
            break;
        case 2:
        case 3:
            admit(a, b * 16);
            break;
        case 4:
        case 14:
        case 15:
            if (!reservations_.empty())
                settle(b);
            break;
        case 5:
        case 6:
            send(a, b);
            break;
        case 7:
        case 8:
        case 9:
            deliver(b);
            break;
        case 10:
            catch_up(a, b % 4 == 0 ? 1 : 100);
            break;
        case 11:
            if (log_.back().epoch_open || b % 8 == 0)
                change_members(a, b);
            break;
        case 12:
            for (int i = 0; b % 4 != 0 && i < instances; ++i)
                catch_up(i, 100);
            open_epoch();
            break;
        default:
            if (b % 16 == 0)
                restart(a);
            else if (b % 16 == 1)
                toggle_workspace();
            else
                self.admit_before(acme, b * 12,
                    {now_ + seconds(b), now_ + seconds(2 * b)}, now_,
                    [this, a](const result<reservation>& reserved)
                    { record(a, reserved); });
        }
        check_bounds();
    }

private:
    struct node
    {
        int incarnation = 0;
        std::size_t applied = 0;
        std::optional<basic_limiter<Policy>> limits;
    };
    struct open_reservation
    {
        int node, incarnation;
        reservation reserved;
        std::size_t admission;
    };
    struct network_message
    {
        int from;
        std::string from_incarnation;
        outgoing_message out;
    };

    struct pending_transfer
    {
        int to;
        std::int64_t epoch, shares;
    };

    void restart(int index)
    {
        auto& target = nodes_[index];
        ++target.incarnation;
        target.applied = 0;
        const auto self = member_of(index, target.incarnation);
        target.limits.emplace(self.instance, self.incarnation);
        std::erase_if(reservations_,
            [&](const open_reservation& each) { return each.node == index; });
    }

    void catch_up(int index, int count)
    {
        auto& target = nodes_[index];
        for (; count > 0 && target.applied < log_.size(); --count)
            target.limits->apply(log_[target.applied++], now_);
    }

    // Whether this instance may hold a view lease: it has seen the start of the
    // latest epoch that was opened. It need not be a member.
    bool may_serve(int index) const
    {
        const auto applied = nodes_[index].applied;
        if (applied == 0)
            return false;
        const auto open = std::find_if(log_.rbegin(), log_.rend(),
            [](const limits_view& view) { return view.epoch_open; });
        return open == log_.rend() || log_[applied - 1].epoch >= open->epoch;
    }

    void admit(int index, std::int64_t tokens)
    {
        record(index, may_serve(index)
                          ? nodes_[index].limits->admit(acme, tokens, now_)
                          : fail(error_code::no_view_lease, "no lease"));
    }

    void record(int index, const result<reservation>& reserved)
    {
        if (!reserved || !may_serve(index))
            return;
        reservations_.push_back(
            {index, nodes_[index].incarnation, *reserved, admitted_.size()});
        admitted_.emplace_back(now_, reserved->tokens);
    }

    void settle(int b)
    {
        const auto at = b % reservations_.size();
        const auto each = reservations_[at];
        reservations_.erase(
            reservations_.begin() + static_cast<std::ptrdiff_t>(at));
        const auto used = each.reserved.tokens * (b % 3) / 2;
        admitted_[each.admission].second = used;
        nodes_[each.node].limits->settle(each.reserved, used, now_);
    }

    void send(int a, int b)
    {
        auto& from = *nodes_[a].limits;
        peer::Heartbeat heartbeat;
        for (auto& demand : from.take_demands(now_))
            *heartbeat.add_demands() = demand;
        nodes_[b % instances].limits->on_demands(
            member_of(a).instance, heartbeat, now_);
        for (auto& out : from.tick(now_))
        {
            const auto& transfer = out.message.share_transfer();
            const auto& id = transfer.transfer_id();
            if (!id.empty() && !accepted_.contains(id))
                pending_transfers_[id] = {out.to.str().back() - '0',
                    transfer.epoch(), transfer.shares()};
            network_.push_back(
                {a, member_of(a, nodes_[a].incarnation).incarnation,
                    std::move(out)});
        }
    }

    // Messages stay in the network after delivery, so that any message can be
    // delivered again at any time.
    void deliver(int b)
    {
        if (network_.empty())
            return;
        const auto item =
            network_[network_.size() - 1 -
                     b % std::min<std::size_t>(network_.size(), 40)];
        const auto to = item.out.to.str().back() - '0';
        auto& target = *nodes_[to].limits;
        const auto& message = item.out.message;
        if (message.has_share_request())
            target.on_request(member_of(item.from).instance,
                item.from_incarnation, message.share_request(), now_);
        if (message.has_share_transfer_ack())
            target.on_transfer_ack(message.share_transfer_ack());
        if (!message.has_share_transfer() ||
            !target.on_transfer(message.share_transfer(), now_))
            return;
        accepted_.insert(message.share_transfer().transfer_id());
        pending_transfers_.erase(message.share_transfer().transfer_id());
        peer::Envelope ack;
        ack.mutable_share_transfer_ack()->set_transfer_id(
            message.share_transfer().transfer_id());
        network_.push_back(
            {to, member_of(to, nodes_[to].incarnation).incarnation,
                {member_of(item.from).instance, ack}});
    }

    void change_members(int a, int b)
    {
        auto next = log_.back();
        next.members.clear();
        for (int i = 0; i < instances; ++i)
        {
            if (((a * 37 + b) >> i) & 1)
                next.members.push_back(member_of(i, nodes_[i].incarnation));
        }
        if (next.members.empty())
            return;
        ++next.epoch;
        next.epoch_open = false;
        log_.push_back(next);
    }

    void open_epoch()
    {
        auto next = log_.back();
        for (const auto& member : next.members)
        {
            const auto& target = nodes_[member.instance.str().back() - '0'];
            if (member != member_of(member.instance.str().back() - '0',
                              target.incarnation) ||
                target.applied < log_.size())
                return;
        }
        next.epoch_open = true;
        log_.push_back(next);
    }

    void toggle_workspace()
    {
        auto next = log_.back();
        if (next.workspaces.empty())
            next.workspaces = {{acme, rate, burst}};
        else
        {
            next.workspaces.clear();
            next.used_before = {acme};
        }
        log_.push_back(next);
    }

    void check_bounds()
    {
        std::int64_t shares = 0;
        std::int64_t level = 0;
        for (int i = 0; i < instances; ++i)
        {
            if (!may_serve(i))
                continue;
            const auto state = nodes_[i].limits->state(acme, now_);
            shares += state.shares;
            level += std::max<std::int64_t>(state.level_millitokens, 0);
        }
        for (const auto& [id, transfer] : pending_transfers_)
        {
            const auto applied = nodes_[transfer.to].applied;
            const auto epoch = applied > 0 ? log_[applied - 1].epoch : 0;
            if (may_serve(transfer.to) && transfer.epoch >= epoch)
                shares += transfer.shares;
        }
        RC_ASSERT(shares <= total_shares);
        RC_ASSERT(level <= burst * 1000);
        // Checks every time window that ends now; those that ended earlier have
        // been checked.
        std::int64_t tokens = 0;
        for (auto at = admitted_.rbegin(); at != admitted_.rend(); ++at)
        {
            tokens += at->second;
            const auto elapsed =
                std::chrono::duration_cast<milliseconds>(now_ - at->first);
            RC_ASSERT(tokens * 1000 <= rate * elapsed.count() + burst * 1000);
        }
    }

    time_point now_{std::chrono::hours(1)};
    std::vector<limits_view> log_;
    std::array<node, instances> nodes_;
    std::vector<network_message> network_;
    std::map<std::string, pending_transfer> pending_transfers_;
    std::set<std::string> accepted_;
    std::vector<open_reservation> reservations_;
    std::vector<std::pair<time_point, std::int64_t>> admitted_;
};

template <class Policy>
bool bounds_hold(const std::string& name)
{
    return rc::check(name,
        []
        {
            const auto steps =
                *rc::gen::container<std::vector<std::uint32_t>>(300,
                    // Full range from the first case on; with small values,
                    // all steps would be alike.
                    rc::gen::resize(
                        rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
            simulation<Policy> run;
            for (const auto each : steps)
                run.step(static_cast<int>(each & 0xff),
                    static_cast<int>((each >> 8) & 0xff),
                    static_cast<int>((each >> 16) & 0x3f));
        });
}

} // namespace tarragonquay::limits
