#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "placement/engine_model_test.hpp"
#include "store/fake_store.hpp"

namespace tarragonquay::placement
{

using namespace std::chrono_literals;

// Queues store calls and runs them in any order, so that a holder can be paused
// between its decision and the effect of its write.
class deferring_store
{
public:
    void transact(std::vector<store::condition> conditions,
        std::vector<store::write> writes, time_point deadline,
        store::handler<store::transact_outcome> on_done)
    {
        calls_.push_back([=, this]
            { store.transact(conditions, writes, deadline, on_done); });
        settle();
    }
    void read(std::vector<std::string> keys, time_point deadline,
        store::handler<std::vector<store::row>> on_done)
    {
        calls_.push_back([=, this] { store.read(keys, deadline, on_done); });
        settle();
    }
    void scan(std::string prefix, std::string after, std::int32_t limit,
        time_point deadline, store::handler<store::scan_page> on_done)
    {
        calls_.push_back(
            [=, this] { store.scan(prefix, after, limit, deadline, on_done); });
        settle();
    }
    void run_one(std::size_t pick)
    {
        if (calls_.empty())
            return;
        const auto index = static_cast<std::ptrdiff_t>(pick % calls_.size());
        const auto call = calls_[pick % calls_.size()];
        calls_.erase(calls_.begin() + index);
        call();
    }
    void set_deferring(bool value)
    {
        deferring_ = value;
        settle();
    }

    store::fake_store store;

private:
    void settle()
    {
        while (!deferring_ && !calls_.empty())
            run_one(0);
    }
    std::vector<std::function<void()>> calls_;
    bool deferring_ = false;
};

using test_controller =
    controller<deferring_store, fake_clock, command_network>;

inline constexpr std::int64_t capacity = 100;

// Two controllers, engines with and without fencing, and a network that loses,
// delays, duplicates and reorders commands. The caller makes all random
// choices.
class simulated_region
{
public:
    explicit simulated_region(
        std::size_t model_count = 4, bool late_copies = false)
        : late_copies_(late_copies)
    {
        for (int i = 0; i < 4; ++i)
        {
            engines_.emplace_back(
                "e" + std::to_string(i), capacity, i < 2, i < 3, late_copies);
            catalog::endpoint settings;
            settings.id = endpoint_id(engines_.back().id());
            settings.region = "r";
            settings.honours_fencing = i < 2;
            settings_.push_back(settings);
        }
        for (std::size_t i = 0; i < model_count; ++i)
            models_.push_back({model_id("m" + std::to_string(i)), "1", 40});
        for (std::size_t i = 0; i < 2; ++i)
        {
            const std::string name(1, static_cast<char>('a' + i));
            controller_settings own{"r", name, "1", {}};
            own.limits.loads_per_second = 5;
            own.limits.concurrent_loads = 4;
            own.limits.replica_tokens_per_second = 100;
            own.limits.min_residence_s = 1;
            holders_.push_back(std::make_unique<test_controller>(
                own, store_, clocks_.at(i), network_));
            holders_.back()->update(settings_, models_, adapters_);
        }
        queued_reports_.resize(holders_.size());
        asked_reports_.resize(holders_.size());
    }

    void demand(std::size_t hot)
    {
        std::vector<routing::demand_entry> all;
        for (std::size_t i = 0; i < models_.size(); ++i)
            all.push_back({models_[i].id, {}, 0, i == hot ? 250.0 : 5.0, 0,
                std::nullopt});
        for (const auto& each : adapters_)
            all.push_back({each.model, each.id, 0, 5.0, 0, std::nullopt});
        for (auto& holder : holders_)
            holder->set_demand(all);
    }

    void change_version(std::size_t model)
    {
        models_[model].version += "+";
        for (auto& holder : holders_)
            holder->update(settings_, models_, adapters_);
    }
    // Adds an adapter of a model or changes its version and size in bytes.
    void set_adapter(const std::string& id, std::size_t model,
        const std::string& version, std::int64_t bytes)
    {
        std::erase_if(adapters_,
            [&](const catalog::adapter& each) { return each.id.str() == id; });
        adapters_.push_back(
            {adapter_id(id), models_[model].id, version, bytes});
        for (auto& holder : holders_)
            holder->update(settings_, models_, adapters_);
    }
    // Number of resident copies of each version of an adapter.
    std::map<std::string, int> adapter_versions(const std::string& id) const
    {
        std::map<std::string, int> out;
        for (const auto& engine : engines_)
            for (const auto& resident : engine.report().adapters)
                if (resident.adapter.str() == id)
                    ++out[*resident.version];
        return out;
    }
    // Number of engines that can serve requests for the adapter.
    int reachable(const std::string& id, std::size_t model) const
    {
        return static_cast<int>(std::count_if(engines_.begin(), engines_.end(),
            [&](const engine_model& each)
            { return each.ready(models_[model].id, adapter_id(id)); }));
    }
    // Whether each model is ready and no replica has an old version.
    bool only_configured_versions() const
    {
        for (const auto& engine : engines_)
            for (const auto& resident : engine.report().models)
                for (const auto& model : models_)
                    if (model.id == resident.model &&
                        model.version != resident.version)
                        return false;
        return ready_models() == models_.size();
    }

    void tick(std::size_t holder) { holders_[holder]->tick(); }

    // Alternately requests reports from all engines and receives them, so that
    // polls do not overlap. The reports stay queued until `take_reports`, since
    // the holder may be paused.
    void poll(std::size_t holder)
    {
        auto& asked = asked_reports_[holder];
        if (asked.empty())
        {
            for (const auto& engine : engines_)
                asked.push_back(engine.report());
            return;
        }
        for (auto& each : std::exchange(asked, {}))
        {
            each.received_at = clocks_.at(holder).now();
            queued_reports_[holder].push_back(std::move(each));
        }
    }
    void take_reports(std::size_t holder)
    {
        for (const auto& each : std::exchange(queued_reports_[holder], {}))
            holders_[holder]->report(each);
    }

    void deliver(std::size_t pick, bool lose, bool keep, bool answer)
    {
        auto& copies = network_.copies();
        if (copies.empty())
            return;
        const auto index = pick % copies.size();
        auto copy = copies[index];
        if (!keep || lose || late_copies_)
            copies.erase(copies.begin() + static_cast<std::ptrdiff_t>(index));
        if (keep && late_copies_)
            held_copies_.push_back(copy);
        if (lose)
            return copy.on_done(fail(error_code::connection_broken, "lost"));
        auto& engine = engine_for(copy.command.endpoint);
        const auto before = ready_counts();
        // An engine that does not deduplicate can't be protected from copies of
        // commands that it has answered, so those are not generated.
        answer = answer && (engine.deduplicates() || !keep);
        const auto reply = engine.receive(copy.command);
        note_lost_replicas(before);
        if (answer && reply)
            copy.on_done(*reply);
    }

    void advance(duration by)
    {
        for (auto& clock : clocks_)
            clock.advance(by);
    }

    // One holder runs for a while, and the other one is paused.
    void run_alone(std::size_t holder, int seconds, bool takes_reports)
    {
        for (int i = 0; i < seconds; ++i)
        {
            tick(holder);
            for (std::size_t call = 0; call < 3; ++call)
                store_.run_one(static_cast<std::size_t>(i) + call);
            // The newest command arrives; older ones stay in flight.
            if (!network_.copies().empty())
                deliver(network_.copies().size() - 1, false, false, true);
            finish_loads();
            poll(holder);
            if (takes_reports)
                take_reports(holder);
            clocks_.at(holder).advance(1s);
        }
    }

    void finish_loads()
    {
        for (auto& engine : engines_)
            engine.finish_loads();
    }
    void restart(std::size_t engine)
    {
        engines_[engine].restart();
        // Delayed copies can arrive from now on.
        for (auto& each : std::exchange(held_copies_, {}))
            network_.copies().push_back(std::move(each));
    }

    // Normal operation of both holders.
    void run_without_faults(int seconds)
    {
        for (int i = 0; i < seconds; ++i)
        {
            for (std::size_t h = 0; h < holders_.size(); ++h)
                tick(h);
            while (!network_.copies().empty())
                deliver(0, false, false, true);
            finish_loads();
            for (std::size_t h = 0; h < holders_.size(); ++h)
            {
                poll(h);
                poll(h);
                take_reports(h);
            }
            advance(1s);
        }
    }

    // Whether an engine that honours fencing uses more memory than the lease
    // holder's ledger accounts for.
    bool uses_unaccounted_memory() const
    {
        const auto row = store_.store.rows().find("placement/r/lease");
        if (row == store_.store.rows().end())
            return false;
        const auto holder_name = lease_from_row(row->second.value)->instance;
        const auto& holder = *holders_[holder_name == "a" ? 0 : 1];
        const auto& accounts = holder.accounts();
        return holder.active() &&
               std::any_of(engines_.begin(), engines_.end(),
                   [&](const engine_model& engine)
                   {
                       const endpoint_id id(engine.id());
                       return engine.honours_fencing() && accounts.fresh(id) &&
                              accounts.committed_bytes(id) < engine.used();
                   });
    }
    std::string violations() const
    {
        std::string out = lost_replicas_;
        for (const auto& engine : engines_)
            if (engine.peak() > engine.capacity())
                out += engine.id() +
                       " overcommitted: " + std::to_string(engine.peak()) +
                       "; ";
        return out;
    }
    std::size_t ready_models() const
    {
        std::size_t count = 0;
        for (const auto& [model, replicas] : ready_counts())
            count += replicas > 0 ? 1 : 0;
        return count;
    }

    // One clock per holder: time may stand still for a paused process.
    std::array<fake_clock, 2> clocks_;
    deferring_store store_;
    command_network network_;
    std::vector<std::unique_ptr<test_controller>> holders_;

private:
    engine_model& engine_for(const endpoint_id& id)
    {
        return *std::find_if(engines_.begin(), engines_.end(),
            [&](const engine_model& each) { return each.id() == id.str(); });
    }
    std::map<model_id, int> ready_counts() const
    {
        std::map<model_id, int> out;
        for (const auto& model : models_)
            for (const auto& engine : engines_)
                out[model.id] += engine.ready(model.id) ? 1 : 0;
        return out;
    }
    void note_lost_replicas(const std::map<model_id, int>& before)
    {
        const auto after = ready_counts();
        for (const auto& [model, count] : before)
            if (count > 0 && after.at(model) == 0)
                lost_replicas_ += model.str() + " lost its last replica; ";
    }

    // Whether duplicates are delayed until an engine has restarted.
    const bool late_copies_;
    std::vector<command_network::copy> held_copies_;
    std::vector<engine_model> engines_;
    std::vector<catalog::endpoint> settings_;
    std::vector<catalog::model> models_;
    std::vector<catalog::adapter> adapters_;
    std::vector<std::vector<routing::endpoint_report>> asked_reports_;
    std::vector<std::vector<routing::endpoint_report>> queued_reports_;
    std::string lost_replicas_;
};

} // namespace tarragonquay::placement
