#pragma once

#include <map>
#include <set>

#include "orders/order_book.hpp"
#include "store/fake_store.hpp"

namespace tarragonquay::orders::testing
{

// Queues the calls of an instance until the test runs them, in any order, so
// that calls of several instances interleave and arrive late.
class queued_store
{
public:
    explicit queued_store(store::fake_store& target) : target_(target) {}

    void transact(std::vector<store::condition> conditions,
        std::vector<store::write> writes, time_point deadline,
        store::handler<store::transact_outcome> on_done)
    {
        calls_.push_back([=, this]
            { target_.transact(conditions, writes, deadline, on_done); });
    }
    void read(std::vector<std::string> keys, time_point deadline,
        store::handler<std::vector<store::row>> on_done)
    {
        calls_.push_back([=, this] { target_.read(keys, deadline, on_done); });
    }
    void scan(std::string prefix, std::string after, std::int32_t limit,
        time_point deadline, store::handler<store::scan_page> on_done)
    {
        calls_.push_back([=, this]
            { target_.scan(prefix, after, limit, deadline, on_done); });
    }

    bool run(std::size_t choice)
    {
        if (calls_.empty())
            return false;
        const auto it = calls_.begin() +
                        static_cast<std::ptrdiff_t>(choice % calls_.size());
        auto call = std::move(*it);
        calls_.erase(it);
        call();
        return true;
    }

private:
    store::fake_store& target_;
    std::vector<std::function<void()>> calls_;
};

// State that all instances of a test share.
struct shared_state
{
    store::fake_store store;
    fake_clock clock;
    int last_id = 0;
    std::set<std::string> removed;
    // Revision of the membership that all instances have applied.
    std::int64_t membership = 1;

    void remove(const std::string& name)
    {
        removed.insert(name);
        ++membership;
    }
    std::map<std::string, std::string> objects;
};

struct instance
{
    instance(shared_state& shared, std::string name)
        : calls(shared.store), book(calls, environment(shared, std::move(name)))
    {
    }

    order_environment environment(shared_state& shared, std::string name)
    {
        order_environment out;
        out.instance = name;
        out.incarnation = "1";
        out.now = [&shared] { return shared.clock.now(); };
        out.unix_ms = [] { return 0; };
        out.new_id = [&shared] { return std::to_string(++shared.last_id); };
        out.after = [this](duration, std::function<void()> action)
        { timers.push_back(std::move(action)); };
        out.membership = [&shared, name]() -> std::optional<std::int64_t>
        {
            if (shared.removed.contains(name))
                return std::nullopt;
            return shared.membership;
        };
        out.is_fenced = [&shared](const std::string& who, const std::string&,
                            std::int64_t membership) {
            return shared.removed.contains(who) &&
                   shared.membership > membership;
        };
        out.put_object = [&shared](std::string object, std::string content,
                             std::function<void(result<void>)> done)
        {
            shared.objects[object] = std::move(content);
            done({});
        };
        out.fetch_object = [&shared](std::string object,
                               std::function<void(result<std::string>)> done)
        {
            const auto found = shared.objects.find(object);
            if (found == shared.objects.end())
                return done(fail(error_code::not_found, "no such object"));
            done(found->second);
        };
        return out;
    }

    // Runs queued calls and timers in order, at most 50 of them.
    void run_until_idle()
    {
        for (int i = 0; i < 50; ++i)
        {
            if (calls.run(0))
                continue;
            if (timers.empty())
                return;
            run_timer();
        }
    }

    bool run_timer()
    {
        if (timers.empty())
            return false;
        auto action = std::move(timers.front());
        timers.erase(timers.begin());
        action();
        return true;
    }

    std::vector<std::function<void()>> timers;
    queued_store calls;
    order_book<queued_store> book;
};

inline order_call make_call(
    const shared_state& shared, std::string digest = "d")
{
    return {workspace_id("w"), "key", std::move(digest), "florist", "POST",
        "/confirm", shared.clock.now() + std::chrono::seconds(10)};
}

inline void ignore(result<void>) {}

} // namespace tarragonquay::orders::testing
