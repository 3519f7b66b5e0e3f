#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership.hpp"

// Test model of a fleet: instances, their store and their network.
namespace tarragonquay::membership
{

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr milliseconds tick_interval{100};

struct clock_ref
{
    const fake_clock* source;
    time_point now() const { return source->now(); }
};

inline std::vector<catalog::member> members_of(
    const config::Membership_change& from)
{
    std::vector<catalog::member> result;
    for (const auto& each : from.members())
        result.push_back({instance_id(each.instance()), each.incarnation(),
            each.peer_address(), "", "", ""});
    return result;
}

inline membership_view apply(membership_view view, const config::Change& change)
{
    if (change.revision() != view.applied_revision + 1)
        return view;
    view.applied_revision = change.revision();
    if (change.has_membership())
    {
        view.previous_members = view.members;
        view.members = members_of(change.membership());
        view.membership_revision = change.revision();
        view.epoch = change.membership().epoch();
        view.epoch_open = false;
    }
    if (change.has_epoch_open())
        view.epoch_open = true;
    return view;
}

// Instances with a shared log in place of the store, and a network that
// delivers a message immediately or drops it.
class fleet
{
public:
    struct node
    {
        catalog::member self;
        std::unique_ptr<membership> members;
        membership_view view;
        bool running = true;
        // Reads changes from the store; otherwise only from peers.
        bool reads_store = true;
        // Neither sends nor receives messages.
        bool isolated = false;
        std::optional<view_lease<clock_ref>> lease;
        int reopened = 0;
        bool admits = true;
        std::optional<in_force_report> report;
        // Epoch of the shares that this node received as a non-member.
        std::int64_t guest_epoch = 0;
        // Non-members that this node gave shares to.
        limits::guest_list given_guests;
    };

    node& add(const std::string& name, int incarnation = 1)
    {
        nodes.push_back(std::make_unique<node>());
        auto& created = *nodes.back();
        created.self = {instance_id(name),
            name + "-" + std::to_string(incarnation), name + ":1", "", "", ""};
        created.lease.emplace(
            clock_ref{&clock}, created.self.instance, created.self.incarnation);
        created.members = std::move(*membership::create(
            created.self, {"a:1", "b:1"}, make_callbacks(created)));
        return created;
    }

    void run(duration time)
    {
        for (const auto end = clock.now() + time; clock.now() < end;)
        {
            clock.advance(tick_interval);
            record_running();
            for (std::size_t i = 0; i < nodes.size(); ++i)
            {
                if (!nodes[i]->running)
                    continue;
                if (nodes[i]->reads_store && store_available)
                {
                    catch_up(*nodes[i], log);
                    nodes[i]->lease->renew_from_store(
                        clock.now(), nodes[i]->view.applied_revision);
                }
                nodes[i]->members->update_platform_list(
                    listed(), clock.now() - list_lag);
                nodes[i]->members->tick();
                deliver();
            }
        }
    }

    std::int64_t commit(config::Change change)
    {
        change.set_revision(static_cast<std::int64_t>(log.size()) + 1);
        log.push_back(change);
        return change.revision();
    }

    membership_view head() const
    {
        membership_view view;
        for (const auto& change : log)
            view = apply(view, change);
        return view;
    }

    fake_clock clock;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<config::Change> log;
    bool store_available = true;
    // The platform's list shows the instances that ran this long ago, except
    // those in `hidden_from_list`. If `lists_ended`, it includes ended
    // instances.
    duration list_lag = duration::zero();
    bool lists_ended = true;
    std::set<std::string> hidden_from_list;

private:
    void record_running()
    {
        std::set<std::string> running;
        for (const auto& each : nodes)
        {
            if (each->running || lists_ended)
                running.insert(each->self.instance.str());
        }
        if (history_.empty() || history_.rbegin()->second != running)
            history_[clock.now()] = std::move(running);
    }

    std::vector<instance_id> listed() const
    {
        std::vector<instance_id> result;
        const auto later = history_.upper_bound(clock.now() - list_lag);
        if (later == history_.begin())
            return result;
        for (const auto& name : std::prev(later)->second)
        {
            if (!hidden_from_list.contains(name))
                result.emplace_back(name);
        }
        return result;
    }

    template <class Changes>
    void catch_up(node& target, const Changes& changes)
    {
        for (const auto& change : changes)
        {
            if (change.revision() != target.view.applied_revision + 1)
                continue;
            target.view = apply(target.view, change);
            target.lease->update(
                target.view.members, target.view.applied_revision);
            target.members->update(target.view);
        }
    }

    void send(const node& from, const std::string& address, peer::Envelope out)
    {
        out.set_from_instance(from.self.instance.str());
        out.set_from_incarnation(from.self.incarnation);
        out.set_from_address(from.self.peer_address);
        if (!from.isolated)
            network_.emplace_back(address, std::move(out));
    }

    void deliver()
    {
        while (!network_.empty())
        {
            const auto [address, message] = std::move(network_.front());
            network_.pop_front();
            const auto sender = message.from_incarnation();
            for (auto& each : nodes)
            {
                if (each->running && !each->isolated &&
                    each->self.peer_address == address &&
                    each->self.incarnation != sender)
                    each->members->on_message(message);
            }
        }
    }

    void try_commit(node& self, config::Change change,
        const membership_view& base,
        const collaborators::commit_handler& handler)
    {
        const auto current = head();
        if (!store_available || !self.reads_store)
            handler(fail(error_code::store_unavailable, "no store"));
        else if (current.membership_revision != base.membership_revision ||
                 current.epoch_open != base.epoch_open)
            handler(fail(error_code::conflict, "another change was first"));
        else
        {
            // Like the daemon, applies a committed change and pushes it
            // immediately.
            change.set_revision(commit(change));
            catch_up(self, log);
            self.members->push({change});
            handler(change.revision());
        }
    }

    collaborators make_callbacks(node& self)
    {
        collaborators callbacks;
        callbacks.now = [this] { return clock.now(); };
        callbacks.send = [this, &self](
                             const instance_id& to, peer::Envelope out)
        { send(self, to.str() + ":1", std::move(out)); };
        callbacks.send_to_address =
            [this, &self](const std::string& to, peer::Envelope out)
        { send(self, to, std::move(out)); };
        callbacks.set_peer = [](const instance_id&, const std::string&) {};
        callbacks.remove_peer = [](const instance_id&) {};
        callbacks.reopen = [&self](const instance_id&) { ++self.reopened; };
        callbacks.commit = [this, &self](config::Change change,
                               const membership_view& base,
                               const collaborators::commit_handler& handler)
        { try_commit(self, std::move(change), base, handler); };
        callbacks.apply_push = [this, &self](const peer::Push& push)
        { catch_up(self, push.changes()); };
        callbacks.apply_catch_up = [this, &self](
                                       const peer::Catch_up_reply& reply)
        { catch_up(self, reply.changes()); };
        callbacks.read_changes = [this, &self](std::int64_t after)
        {
            peer::Catch_up_reply reply;
            for (auto at = after; at < self.view.applied_revision; ++at)
                *reply.add_changes() = log[at];
            return reply;
        };
        callbacks.record_reply = [&self](const instance_id& peer,
                                     const std::string& incarnation,
                                     time_point sent_at, std::int64_t revision)
        {
            self.lease->record_peer_reply(peer, incarnation, sent_at, revision);
        };
        callbacks.demands = []
        { return std::vector<peer::Workspace_demand>(); };
        callbacks.on_demands = [](const instance_id&, const peer::Heartbeat&) {
        };
        callbacks.admits_for = [&self]
        { return self.admits ? view_lease_validity : duration::zero(); };
        callbacks.given_guests = [&self] { return self.given_guests; };
        callbacks.on_serving_changed = [](const std::vector<instance_id>&) {};
        return callbacks;
    }

    std::deque<std::pair<std::string, peer::Envelope>> network_;
    // Names of the running instances, by the time at which the set changed.
    std::map<time_point, std::set<std::string>> history_;
};

// Gives shares to a non-member in the same open epoch. They arrive immediately;
// a delay need not be modelled, as the receiver would still be in the same
// epoch.
inline void give_shares(fleet::node& from, fleet::node& to)
{
    const auto is_member = [](const fleet::node& each)
    {
        const auto& members = each.view.members;
        return std::find(members.begin(), members.end(), each.self) !=
               members.end();
    };
    const auto epoch = from.view.epoch;
    const bool has_shares = is_member(from) || from.guest_epoch == epoch;
    if (!from.running || !to.running || !has_shares || is_member(to) ||
        &from == &to || !from.view.epoch_open || !to.view.epoch_open ||
        epoch != to.view.epoch)
        return;
    if (from.given_guests.epoch != epoch)
        from.given_guests = {epoch, {}};
    from.given_guests.incarnations.insert(to.self.incarnation);
    to.guest_epoch = epoch;
}

} // namespace tarragonquay::membership
