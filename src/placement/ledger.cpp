#include "placement/ledger.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace tarragonquay::placement
{
namespace
{

using routing::command_outcome;
using routing::endpoint_report;

std::optional<command_outcome> reported_outcome(
    const endpoint_report& report, const std::string& command_id)
{
    for (const auto& command : report.commands)
        if (command.command_id == command_id)
            return command.outcome;
    return std::nullopt;
}

bool has_model(const endpoint_report& report, const intent& value)
{
    return std::any_of(report.models.begin(), report.models.end(),
        [&](const routing::resident_model& resident) {
            return resident.model == value.model &&
                   resident.version == value.version;
        });
}

bool has_adapter(const endpoint_report& report, const intent& value)
{
    return std::any_of(report.adapters.begin(), report.adapters.end(),
        [&](const routing::resident_adapter& resident)
        {
            return resident.adapter == value.adapter &&
                   resident.model == value.model &&
                   resident.matches(value.version);
        });
}

// Whether the report shows the state that the command requests.
bool effect_visible(const endpoint_report& report, const intent& value)
{
    switch (value.kind)
    {
    case command_kind::load_model:
        return has_model(report, value);
    case command_kind::unload_model:
        return !has_model(report, value);
    case command_kind::load_adapter:
        return has_adapter(report, value);
    case command_kind::unload_adapter:
        return !has_adapter(report, value);
    }
    return false;
}

// Saturates, since an overflow would make a full engine look empty.
std::int64_t saturating_add(std::int64_t left, std::int64_t right)
{
    std::int64_t sum = 0;
    return __builtin_add_overflow(left, right, &sum)
               ? std::numeric_limits<std::int64_t>::max()
               : sum;
}

// Whether the engine has executed or rejected the command.
bool finished(const endpoint_report& report, const intent& value)
{
    const auto outcome = reported_outcome(report, value.command_id);
    if (outcome)
        return *outcome != command_outcome::pending;
    return effect_visible(report, value);
}

} // namespace

void ledger::set_engine(const endpoint_id& id, bool honours_fencing)
{
    engines_[id].honours_fencing = honours_fencing;
}

void ledger::remove_engine(const endpoint_id& id)
{
    const auto it = engines_.find(id);
    if (it != engines_.end() && it->second.intents.empty())
        engines_.erase(it);
}

void ledger::set_adapter_bytes(
    const adapter_id& id, const std::string& version, std::int64_t bytes)
{
    adapter_bytes_[id][version] = bytes;
}

std::int64_t ledger::adapter_bytes(
    const routing::resident_adapter& resident) const
{
    const auto sizes = adapter_bytes_.find(resident.adapter);
    if (sizes == adapter_bytes_.end())
        return 0;
    if (resident.version)
    {
        const auto exact = sizes->second.find(*resident.version);
        if (exact != sizes->second.end())
            return exact->second;
    }
    std::int64_t largest = 0;
    for (const auto& [version, bytes] : sizes->second)
        largest = std::max(largest, bytes);
    return largest;
}

void ledger::require_fresh_reports(time_point now)
{
    fresh_since_ = now;
    for (auto& [id, engine] : engines_)
    {
        engine.report.reset();
        engine.reports_since_reset = 0;
    }
}

void ledger::add(const intent& value)
{
    engines_[value.endpoint].intents[value.command_id] = value;
}

void ledger::mark_answered(const std::string& command_id)
{
    for (auto& [id, engine] : engines_)
        if (engine.intents.contains(command_id))
            engine.answered.insert(command_id);
}

void ledger::remove_intent(const std::string& command_id)
{
    for (auto& [id, engine] : engines_)
    {
        engine.intents.erase(command_id);
        engine.answered.erase(command_id);
        engine.effect_seen.erase(command_id);
    }
}

bool ledger::concluded(const engine_account& engine, const intent& value) const
{
    const auto& report = *engine.report;
    // An engine that honours fencing rejects copies for an earlier incarnation.
    // For other engines, a restart may be the only indication: a copy in flight
    // can't be distinguished from a lost one.
    if (report.incarnation != value.engine_incarnation)
        return true;
    // An engine that lists the command knows its id, so further copies have no
    // effect.
    if (const auto outcome = reported_outcome(report, value.command_id))
        return *outcome != command_outcome::pending;
    // Once the engine has seen this or a higher fencing number, it rejects all
    // copies that it has not accepted already.
    if (engine.honours_fencing)
        return report.highest_fencing >= value.fencing;
    return engine.answered.contains(value.command_id) &&
           finished(report, value);
}

std::vector<intent> ledger::apply(const endpoint_report& report)
{
    const auto it = engines_.find(report.endpoint);
    if (it == engines_.end())
        return {};
    auto& engine = it->second;
    // A control thread that was paused may process old reports late.
    if (report.received_at < fresh_since_)
        return {};
    constexpr int reports_until_fresh = 2;
    if (engine.reports_since_reset < reports_until_fresh)
        ++engine.reports_since_reset;
    if (engine.reports_since_reset < reports_until_fresh)
        return {};
    engine.report = report;
    std::vector<intent> done;
    for (const auto& [command_id, value] : engine.intents)
    {
        if (concluded(engine, value))
            done.push_back(value);
        else if (finished(report, value))
            engine.effect_seen.insert(command_id);
    }
    for (const auto& value : done)
        remove_intent(value.command_id);
    return done;
}

std::int64_t ledger::committed_bytes(const endpoint_id& id) const
{
    const auto it = engines_.find(id);
    if (it == engines_.end())
        return 0;
    const auto& engine = it->second;
    // Each version of a model or an adapter is accounted separately. A resident
    // adapter of unknown version matches every version that a command names.
    std::map<std::pair<model_id, std::string>, std::int64_t> models;
    std::map<std::pair<adapter_id, std::optional<std::string>>, std::int64_t>
        adapters;
    std::int64_t total = 0;
    if (engine.report)
    {
        for (const auto& resident : engine.report->models)
        {
            auto& bytes = models[{resident.model, resident.version}];
            bytes = saturating_add(bytes, resident.bytes);
        }
        for (const auto& resident : engine.report->adapters)
            adapters[{resident.adapter, resident.version}] =
                adapter_bytes(resident);
        for (const auto& [model, bytes] : models)
            total = saturating_add(total, bytes);
        for (const auto& [adapter, bytes] : adapters)
            total = saturating_add(total, bytes);
        // The reported usage includes memory that is not listed, such as that
        // of a load that has just begun.
        total = std::max(total, engine.report->used_bytes);
    }
    // Several open commands for one version need its memory only once.
    for (const auto& [command_id, value] : engine.intents)
    {
        const bool version_unknown =
            adapters.contains({value.adapter, std::nullopt});
        auto& accounted =
            value.adapter.empty() ? models[{value.model, value.version}]
            : version_unknown     ? adapters[{value.adapter, std::nullopt}]
                                  : adapters[{value.adapter, value.version}];
        if (value.bytes > accounted)
            total = saturating_add(total, value.bytes - accounted);
        accounted = std::max(accounted, value.bytes);
    }
    return total;
}

std::int64_t ledger::free_bytes(const endpoint_id& id) const
{
    if (!fresh(id))
        return 0;
    return std::max<std::int64_t>(
        0, engines_.at(id).report->capacity_bytes - committed_bytes(id));
}

bool ledger::fresh(const endpoint_id& id) const
{
    const auto it = engines_.find(id);
    return it != engines_.end() && it->second.report.has_value();
}

bool ledger::accepts_command(const endpoint_id& id) const
{
    if (!fresh(id))
        return false;
    const auto& engine = engines_.at(id);
    if (engine.honours_fencing)
        return true;
    return std::all_of(engine.intents.begin(), engine.intents.end(),
        [&](const auto& entry)
        { return engine.effect_seen.contains(entry.first); });
}

bool ledger::counts_as_ready(const endpoint_id& id, const model_id& model,
    const std::string& version) const
{
    if (!fresh(id))
        return false;
    const auto& engine = engines_.at(id);
    const auto& models = engine.report->models;
    const bool ready =
        !engine.report->leaving &&
        std::any_of(models.begin(), models.end(),
            [&](const routing::resident_model& resident)
            {
                return resident.model == model && resident.version == version &&
                       resident.state == routing::residency_state::ready;
            });
    return ready &&
           std::none_of(engine.intents.begin(), engine.intents.end(),
               [&](const auto& entry)
               {
                   return entry.second.kind == command_kind::unload_model &&
                          entry.second.model == model &&
                          entry.second.version == version;
               });
}

std::vector<intent> ledger::intents() const
{
    std::vector<intent> out;
    for (const auto& [id, engine] : engines_)
        for (const auto& [command_id, value] : engine.intents)
            out.push_back(value);
    return out;
}

std::vector<intent> ledger::intents(const endpoint_id& id) const
{
    std::vector<intent> out;
    const auto it = engines_.find(id);
    if (it != engines_.end())
        for (const auto& [command_id, value] : it->second.intents)
            out.push_back(value);
    return out;
}

bool ledger::open(const intent& value) const
{
    const auto it = engines_.find(value.endpoint);
    return it != engines_.end() &&
           it->second.intents.contains(value.command_id) &&
           !it->second.effect_seen.contains(value.command_id);
}

bool ledger::listed(const intent& value) const
{
    const auto it = engines_.find(value.endpoint);
    return it != engines_.end() && it->second.report &&
           reported_outcome(*it->second.report, value.command_id).has_value();
}

void ledger::replace_intents(const std::vector<intent>& values)
{
    std::set<std::string> kept;
    for (const auto& value : values)
        kept.insert(value.command_id);
    for (auto& [id, engine] : engines_)
    {
        engine.intents.clear();
        const auto gone = [&](const std::string& each)
        { return !kept.contains(each); };
        std::erase_if(engine.answered, gone);
        std::erase_if(engine.effect_seen, gone);
    }
    for (const auto& value : values)
        add(value);
}

} // namespace tarragonquay::placement
