#pragma once

#include <map>
#include <set>

#include "orders/order_book.hpp"
#include "store/fake_store.hpp"

namespace tarragonquay::orders::testing
{

// Delays the calls of an instance until the test lets them reach the store,
// so that calls of several instances interleave and arrive late.
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
struct world
{
    store::fake_store store;
    fake_clock clock;
    int last_id = 0;
    std::set<std::string> gone;
    // Revision of the membership, which all instances know.
    std::int64_t membership = 1;

    void remove(const std::string& name)
    {
        gone.insert(name);
        ++membership;
    }
    std::map<std::string, std::string> objects;
};

struct instance
{
    instance(world& surroundings, std::string name)
        : calls(surroundings.store),
          book(calls, environment(surroundings, std::move(name)))
    {
    }

    order_environment environment(world& all, std::string name)
    {
        order_environment out;
        out.instance = name;
        out.incarnation = "1";
        out.now = [&all] { return all.clock.now(); };
        out.unix_ms = [] { return 0; };
        out.new_id = [&all] { return std::to_string(++all.last_id); };
        out.after = [this](duration, std::function<void()> action)
        { timers.push_back(std::move(action)); };
        out.membership = [&all, name]() -> std::optional<std::int64_t>
        {
            if (all.gone.contains(name))
                return std::nullopt;
            return all.membership;
        };
        out.is_fenced = [&all](const std::string& who, const std::string&,
                            std::int64_t membership)
        { return all.gone.contains(who) && all.membership > membership; };
        out.put_object = [&all](std::string object, std::string content,
                             std::function<void(result<void>)> done)
        {
            all.objects[object] = std::move(content);
            done({});
        };
        out.fetch_object = [&all](std::string object,
                               std::function<void(result<std::string>)> done)
        {
            const auto found = all.objects.find(object);
            if (found == all.objects.end())
                return done(fail(error_code::not_found, "no such object"));
            done(found->second);
        };
        return out;
    }

    // Runs everything that is due, in order, a bounded number of times.
    void settle()
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

inline order_call make_call(const world& all, std::string digest = "d")
{
    return {workspace_id("w"), "key", std::move(digest), "florist", "POST",
        "/confirm", all.clock.now() + std::chrono::seconds(10)};
}

inline void ignore(result<void>) {}

} // namespace tarragonquay::orders::testing
