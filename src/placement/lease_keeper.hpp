#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/clock.hpp"
#include "placement/fencing.hpp"
#include "placement/types.hpp"
#include "store/store_version.hpp"
#include "store/types.hpp"

namespace tarragonquay::placement
{

/// Renewal interval, validity and timeouts of the lease.
struct lease_timing
{
    std::chrono::milliseconds renewal_interval{3'000};
    std::chrono::milliseconds read_interval{1'000};
    /// Time without a change of the row after which another instance may take
    /// the lease over.
    std::chrono::milliseconds takeover_after{10'000};
    /// Validity of the lease, counted from the start of the holder's last
    /// successful write. Shorter than `takeover_after`, so that the holder
    /// stops before another instance may take over.
    std::chrono::milliseconds valid_for{8'000};
    /// Time after a release before another instance may take over.
    std::chrono::milliseconds takeover_after_release{0};
    /// Timeout of one store call; short enough to repeat a renewal without a
    /// response while the lease is still valid.
    std::chrono::milliseconds call_timeout{2'000};

    auto operator<=>(const lease_timing&) const = default;
};

/// What the holder of a lease tells other instances about it.
struct lease_notice
{
    std::string instance;
    std::int64_t fencing = 0;
    /// Identifies the holder's latest confirmed write of the row.
    std::int64_t renewals = 0;
    /// End of the validity that this write gave, unless there is a later one.
    time_point valid_until;
    /// Era of the store in which the write was confirmed.
    std::int64_t era = 0;

    auto operator<=>(const lease_notice&) const = default;
};

struct lease_settings
{
    std::string key;
    std::string instance;
    std::string incarnation;
    lease_timing timing = {};
};

/// Acquires and renews the placement lease of a region, and makes each write
/// of the holder conditional on it. Not thread-safe; must be used on the
/// control thread, and the store must call its handlers there. A change of the
/// store's era must be noted before the handler of an answer that shows it.
template <store::table_store Store, clock_source Clock>
class lease_keeper
{
public:
    /// Returns the rows to write, given the transaction's first fencing number.
    using row_writer =
        std::function<std::vector<store::write>(std::int64_t first_fencing)>;

    lease_keeper(lease_settings settings, Store& store, const Clock& clock)
        : settings_(std::move(settings)), store_(store), clock_(clock)
    {
    }

    /// Called when the lease was acquired, and again once writes whose outcome
    /// was unknown can no longer take effect. The rows of the table must then
    /// be read again.
    void on_confirmed(std::function<void()> observer)
    {
        on_confirmed_ = std::move(observer);
    }
    void on_lost(std::function<void()> observer)
    {
        on_lost_ = std::move(observer);
    }
    /// Called with the reason when a write was not confirmed. Unless the store
    /// was unavailable, so that nothing was written, `holds` is then false
    /// until the row was read and written again.
    void on_unconfirmed(std::function<void(const error&)> observer)
    {
        on_unconfirmed_ = std::move(observer);
    }

    /// Whether this instance holds a valid lease and knows the row's version.
    bool holds() const
    {
        return holder_ && confirmed_ && !released_ &&
               clock_.now() < valid_until_;
    }
    bool busy() const { return busy_; }
    /// Records that the store is known to be in this era, also if that is 0.
    /// Writes that were confirmed in an earlier one may be lost, so the lease
    /// is not held until a write has been confirmed in this era.
    void note_era(std::int64_t era);
    /// Records a fencing number that any instance has used. A holder of a lower
    /// one does not hold the lease until it has acquired it with a higher one.
    void note_fencing(std::int64_t fencing);

    /// Last fencing number used; it increases with each new holder and each
    /// commit.
    std::int64_t fencing() const { return state_.fencing; }

    /// The own lease while this instance holds it, to be told to others.
    std::optional<lease_notice> notice() const
    {
        if (!holds())
            return std::nullopt;
        return lease_notice{settings_.instance, state_.fencing, state_.renewals,
            valid_until_, version_.era};
    }
    /// Records what another instance told about its lease. While the row shows
    /// no later write of that holder, its lease is known to end at
    /// `valid_until`, and the takeover needs no longer wait from the first read
    /// of the row on. A notice of another era of the store is ignored, because
    /// the row may be older than the notice.
    void note_holder(lease_notice told)
    {
        if (told.era == era_)
            told_ = std::move(told);
    }

    /// Writes rows on the condition that the lease is unchanged, and allocates
    /// `fencing_count` fencing numbers. The handler gets the first one;
    /// `conflict` when the lease is not held or a call is in progress, or when
    /// the confirmation came too late; `store_outcome_unknown` when the write
    /// was not confirmed.
    void commit(const row_writer& rows, std::int64_t fencing_count,
        store::handler<std::int64_t> on_done);

    /// Renews the lease. After a write whose outcome is unknown, or after the
    /// lease has expired, reads the row and acquires the lease again unless
    /// another instance holds it. An instance that was not the last holder
    /// tries to take the lease over only if `may_take`.
    void tick(bool may_take);

    /// Releases the lease, so that another instance can take it over sooner.
    /// Afterwards, the object may only be destroyed.
    void release();

private:
    void drop_lease();
    void schedule_reread();
    void write_release();
    void read_row();
    void handle_row(const std::optional<store::row>& found);
    time_point takeover_time(const lease& current) const;
    /// Whether the row was written in the current era. Any other row may be
    /// older than leases of which it shows nothing.
    bool is_current(
        const std::optional<store::row>& found, const lease& current) const;
    /// Whether no other instance can have acquired the lease since the last
    /// confirmed write of this one, also if that write is lost.
    bool is_last_holder(time_point now) const;
    /// Ends the use of the lease until it is confirmed again.
    void require_confirmation();
    void write_lease(lease next, std::vector<store::write> rows,
        store::handler<std::int64_t> on_done);

    bool is_own(const lease& value) const
    {
        return value.instance == settings_.instance &&
               value.incarnation == settings_.incarnation;
    }
    time_point call_deadline() const
    {
        return clock_.now() + settings_.timing.call_timeout;
    }

    // Wraps a handler so that it does nothing once this object is destroyed.
    template <class Function>
    auto guarded(Function function)
    {
        return [alive = std::weak_ptr<int>(alive_),
                   function = std::move(function)](auto value) mutable
        {
            if (!alive.expired())
                function(std::move(value));
        };
    }

    const lease_settings settings_;
    Store& store_;
    const Clock& clock_;
    std::function<void()> on_confirmed_;
    std::function<void()> on_lost_;
    std::function<void(const error&)> on_unconfirmed_;
    lease state_;
    store::store_version version_;
    /// Latest known era of the store, and when it was noted.
    std::int64_t era_ = 0;
    time_point era_noted_at_{};
    /// Whether an era was noted, and whether a higher one was noted later.
    bool era_known_ = false;
    bool era_rose_ = false;
    /// Highest fencing number that this instance has used or heard of.
    std::int64_t highest_fencing_ = 0;
    bool holder_ = false;
    bool confirmed_ = false;
    bool busy_ = false;
    bool released_ = false;
    // The lease expired here, and no other holder was seen since.
    bool reacquiring_ = false;
    time_point valid_until_{};
    time_point next_renewal_{};
    time_point next_read_{};
    // Version of another holder's row, and when it was first seen.
    std::optional<store::store_version> seen_version_;
    time_point seen_since_{};
    std::optional<lease_notice> told_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

template <store::table_store Store, clock_source Clock>
void lease_keeper<Store, Clock>::commit(const row_writer& rows,
    std::int64_t fencing_count, store::handler<std::int64_t> on_done)
{
    if (!holds() || busy_)
        return on_done(fail(error_code::conflict,
            "The placement lease is not held or a call is in progress."));
    auto next = state_;
    next.fencing += fencing_count;
    ++next.renewals;
    write_lease(next, rows(state_.fencing + 1), std::move(on_done));
}

template <store::table_store Store, clock_source Clock>
void lease_keeper<Store, Clock>::write_lease(lease next,
    std::vector<store::write> rows, store::handler<std::int64_t> on_done)
{
    busy_ = true;
    const auto started = clock_.now();
    const auto first = state_.fencing + 1;
    const auto era = era_;
    rows.push_back({settings_.key, to_row(next)});
    store_.transact({{settings_.key, version_.version}}, std::move(rows),
        call_deadline(),
        guarded(
            [this, next, started, first, era, on_done = std::move(on_done)](
                result<store::transact_outcome> outcome)
            {
                busy_ = false;
                // The versions of an earlier era may be assigned to other
                // writes by now, so the condition has proved nothing.
                if (outcome && era != era_)
                    outcome = fail(error_code::store_outcome_unknown,
                        "the store was restored during the write");
                if (outcome && outcome->applied)
                {
                    state_ = next;
                    version_ = {era_, outcome->revision};
                    highest_fencing_ = std::max(highest_fencing_, next.fencing);
                    valid_until_ = started + settings_.timing.valid_for;
                    // The process may have been suspended.
                    if (clock_.now() >= valid_until_)
                    {
                        schedule_reread();
                        return on_done(fail(error_code::conflict,
                            "The placement lease expired "
                            "before its confirmation."));
                    }
                    holder_ = true;
                    next_renewal_ = started + settings_.timing.renewal_interval;
                    if (!std::exchange(confirmed_, true) && on_confirmed_)
                        on_confirmed_();
                    if (released_)
                        write_release();
                    return on_done(first);
                }
                // A version mismatch may mean that an earlier write of this
                // instance took effect late, so the row must be read again.
                const bool not_applied =
                    !outcome &&
                    outcome.error().code() == error_code::store_unavailable;
                if (!not_applied)
                    confirmed_ = false;
                if (on_unconfirmed_)
                    on_unconfirmed_(
                        outcome
                            ? error(error_code::conflict,
                                  "the version of the lease row has changed")
                            : outcome.error());
                // The holder retries at once. Other instances have lost a race
                // for the lease and wait.
                next_renewal_ = clock_.now();
                next_read_ = clock_.now();
                if (!holder_)
                    next_read_ += settings_.timing.read_interval;
                on_done(fail(error_code::store_outcome_unknown,
                    "The conditional write was not confirmed."));
            }));
}

template <store::table_store Store, clock_source Clock>
void lease_keeper<Store, Clock>::drop_lease()
{
    if (!std::exchange(holder_, false))
        return;
    schedule_reread();
    if (on_lost_)
        on_lost_();
}

template <store::table_store Store, clock_source Clock>
void lease_keeper<Store, Clock>::schedule_reread()
{
    confirmed_ = false;
    reacquiring_ = true;
    next_read_ = clock_.now();
}

template <store::table_store Store, clock_source Clock>
void lease_keeper<Store, Clock>::release()
{
    released_ = true;
    if (!busy_)
        write_release();
}

template <store::table_store Store, clock_source Clock>
void lease_keeper<Store, Clock>::write_release()
{
    if (!holder_ || !confirmed_ || clock_.now() >= valid_until_)
        return;
    auto next = state_;
    next.released = true;
    ++next.renewals;
    holder_ = false;
    store_.transact({{settings_.key, version_.version}},
        {{settings_.key, to_row(next)}}, call_deadline(),
        [](const result<store::transact_outcome>&) {});
}

template <store::table_store Store, clock_source Clock>
void lease_keeper<Store, Clock>::tick(bool may_take)
{
    if (holder_ && clock_.now() >= valid_until_)
        drop_lease();
    const auto now = clock_.now();
    const bool may_act = holder_ || reacquiring_ || may_take;
    if (busy_ || released_ || !may_act)
        return;
    if (holder_ && confirmed_)
    {
        if (now < next_renewal_)
            return;
        auto next = state_;
        ++next.renewals;
        return write_lease(next, {}, [](const result<std::int64_t>&) {});
    }
    if (now >= next_read_)
        read_row();
}

template <store::table_store Store, clock_source Clock>
void lease_keeper<Store, Clock>::read_row()
{
    busy_ = true;
    next_read_ = clock_.now() + settings_.timing.read_interval;
    store_.read({settings_.key}, call_deadline(),
        guarded(
            [this, era = era_, known = era_known_](
                result<std::vector<store::row>> rows)
            {
                busy_ = false;
                if (!rows || released_)
                    return;
                // The row may be that of another era. The first answer of the
                // store only tells the era in which it was read.
                if (known && era != era_)
                {
                    next_read_ = clock_.now();
                    return;
                }
                handle_row(rows->empty() ? std::nullopt
                                         : std::optional(rows->front()));
            }));
}

template <store::table_store Store, clock_source Clock>
time_point lease_keeper<Store, Clock>::takeover_time(const lease& current) const
{
    const auto& timing = settings_.timing;
    if (current.released && acquired_since(current.fencing, era_))
        return seen_since_ + timing.takeover_after_release;
    const auto by_row = seen_since_ + timing.takeover_after;
    const bool unchanged_since_told = told_ &&
                                      told_->instance == current.instance &&
                                      told_->fencing == current.fencing &&
                                      told_->renewals == current.renewals;
    if (!unchanged_since_told)
        return by_row;
    const auto gap = timing.takeover_after - timing.valid_for;
    return std::min(by_row, told_->valid_until + gap);
}

template <store::table_store Store, clock_source Clock>
void lease_keeper<Store, Clock>::handle_row(
    const std::optional<store::row>& found)
{
    const auto now = clock_.now();
    const store::store_version version{era_, found ? found->version : 0};
    lease current;
    if (found)
    {
        const auto parsed = lease_from_row(found->value);
        // An unreadable row is taken over like that of an inactive holder.
        if (parsed)
            current = *parsed;
    }
    // A lease of an earlier process of this instance is taken over without a
    // wait, since that process has ended. A row of an earlier era may hide a
    // lease of any instance.
    const bool foreign = found && current.instance != settings_.instance;
    const bool waits =
        is_current(found, current) ? foreign : !is_last_holder(now);
    if (waits)
    {
        drop_lease();
        reacquiring_ = false;
        if (seen_version_ != version)
        {
            seen_version_ = version;
            seen_since_ = now;
        }
        const auto takeover_at =
            is_current(found, current)
                ? takeover_time(current)
                : era_noted_at_ + settings_.timing.takeover_after;
        if (now < takeover_at)
        {
            next_read_ = std::min(next_read_, takeover_at);
            return;
        }
    }
    seen_version_.reset();
    state_ = current;
    version_ = version;
    confirmed_ = false;
    auto next = current;
    const auto highest = std::max(highest_fencing_, fencing_base(era_));
    if (!found || !is_own(current) || current.fencing < highest)
        next.fencing = std::max(current.fencing, highest) + 1;
    next.instance = settings_.instance;
    next.incarnation = settings_.incarnation;
    next.released = false;
    ++next.renewals;
    write_lease(next, {}, [](const result<std::int64_t>&) {});
}

template <store::table_store Store, clock_source Clock>
bool lease_keeper<Store, Clock>::is_current(
    const std::optional<store::row>& found, const lease& current) const
{
    if (era_ == 0)
        return true;
    if (found)
        return acquired_since(current.fencing, era_);
    // A process that has seen no rise cannot tell a new store from a restored
    // one; the first lease of a fleet must not wait.
    return !era_rose_;
}

template <store::table_store Store, clock_source Clock>
bool lease_keeper<Store, Clock>::is_last_holder(time_point now) const
{
    const auto gap =
        settings_.timing.takeover_after - settings_.timing.valid_for;
    return (holder_ || reacquiring_) && now < valid_until_ + gap;
}

template <store::table_store Store, clock_source Clock>
void lease_keeper<Store, Clock>::require_confirmation()
{
    if (!holder_ && !reacquiring_)
        return;
    confirmed_ = false;
    next_read_ = clock_.now();
}

template <store::table_store Store, clock_source Clock>
void lease_keeper<Store, Clock>::note_era(std::int64_t era)
{
    if (era <= era_)
    {
        era_known_ = true;
        return;
    }
    era_rose_ = era_known_ || holder_;
    era_known_ = true;
    era_ = era;
    era_noted_at_ = clock_.now();
    told_.reset();
    require_confirmation();
}

template <store::table_store Store, clock_source Clock>
void lease_keeper<Store, Clock>::note_fencing(std::int64_t fencing)
{
    highest_fencing_ = std::max(highest_fencing_, fencing);
    if (confirmed_ && highest_fencing_ > state_.fencing)
        require_confirmation();
}

} // namespace tarragonquay::placement
