#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "catalog/replica.hpp"
#include "store/fake_store.hpp"

namespace tarragonquay::catalog
{

/// A replica with its own control queue on a shared store.
class replica_node
{
public:
    replica_node(store::fake_store& store, const fake_clock& clock,
        std::map<std::string, std::string>& objects)
        : replica_(store, clock, published_, make_objects(objects),
              [this](std::function<void()> task)
              { queue_.push_back(std::move(task)); },
              {[this](const snapshot&, const config::Change& change)
                  { applied.push_back(change.revision()); },
                  [this](const snapshot&) { ++snapshots; },
                  [this](time_point, std::int64_t head)
                  { contacts.push_back(head); },
                  [this](const error& reason)
                  { failures.push_back(reason.code()); }})
    {
    }

    /// Runs at most `max_tasks` queued tasks.
    void run(int max_tasks = std::numeric_limits<int>::max())
    {
        for (; max_tasks > 0 && !queue_.empty(); --max_tasks)
        {
            const auto task = std::move(queue_.front());
            queue_.pop_front();
            task();
        }
    }

    void poll()
    {
        replica_.poll_head();
        run();
    }

    replica<store::fake_store, fake_clock>& get() { return replica_; }
    const published_state& published() const { return published_; }

    std::vector<std::int64_t> applied;
    std::vector<std::int64_t> contacts;
    std::vector<error_code> failures;
    int snapshots = 0;
    /// Makes every put to the object store fail.
    bool objects_fail = false;

private:
    object_store make_objects(std::map<std::string, std::string>& objects)
    {
        return {[&](const std::string& name, const std::string& content,
                    time_point, const store::handler<bool>& on_done)
            {
                if (objects_fail)
                    return on_done(fail(error_code::store_unavailable, "down"));
                objects[name] = content;
                on_done(true);
            },
            [&](const std::string& name, time_point,
                const store::handler<std::optional<std::string>>& on_done)
            {
                const auto it = objects.find(name);
                on_done(it == objects.end() ? std::optional<std::string>()
                                            : std::optional(it->second));
            }};
    }

    std::deque<std::function<void()>> queue_;
    published_state published_;
    replica<store::fake_store, fake_clock> replica_;
};

inline config::Change workspace_change(const std::string& id, std::int64_t rate)
{
    config::Change change;
    change.mutable_put_workspace()->set_id(id);
    change.mutable_put_workspace()->set_rate_tokens_per_second(rate);
    change.mutable_put_workspace()->set_burst_tokens(1);
    return change;
}

inline std::string text_of(const std::optional<result<std::int64_t>>& outcome)
{
    if (!outcome)
        return "no answer";
    return *outcome ? std::to_string(**outcome)
                    : std::string(to_string(outcome->error().code()));
}

/// Two replicas on one store.
class replica_nodes : public CppUnit::TestFixture
{
protected:
    void start(replica_node& target, const config::Change& change,
        const std::string& id, std::int64_t expected,
        std::optional<result<std::int64_t>>& outcome)
    {
        target.get().commit(change, id, expected,
            clock_.now() + std::chrono::seconds(30),
            [&outcome](const result<std::int64_t>& done) { outcome = done; });
    }

    std::string commit(replica_node& target, const config::Change& change,
        const std::string& id, std::int64_t expected)
    {
        std::optional<result<std::int64_t>> outcome;
        start(target, change, id, expected, outcome);
        target.run();
        return text_of(outcome);
    }

    store::fake_store store_;
    fake_clock clock_;
    std::map<std::string, std::string> objects_;
    replica_node a_{store_, clock_, objects_};
    replica_node b_{store_, clock_, objects_};
};

} // namespace tarragonquay::catalog
