#include <string>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "support/caller_loops.hpp"
#include "support/callers.hpp"
#include "support/deployment.hpp"

namespace tarragonquay::test_support
{
namespace
{

using nlohmann::json;

constexpr std::int64_t model_bytes = 1'000'000'000;
constexpr std::int64_t new_bytes = 30'000'000;
// A rollout takes a few seconds for each engine: the daemon's state polls come
// once a second, and a command is sent once the last one is confirmed.
constexpr milliseconds rollout_time{90'000};

json state_of(const deployment& system, std::size_t engine)
{
    return fetch(system.engine_address(engine), "/control/state").json();
}

/// Versions of the adapter a at an engine, each followed by a semicolon.
std::string versions_at(const deployment& system, std::size_t engine)
{
    std::string out;
    const auto state = state_of(system, engine);
    for (const auto& each : state.at("adapters"))
        if (each.at("adapter") == "a")
            out += each.at("version").get<std::string>() + ";";
    return out;
}

std::string versions(const deployment& system, std::size_t engines)
{
    std::string out;
    for (std::size_t i = 0; i < engines; ++i)
        out += fmt::format("e{}={} ", i, versions_at(system, i));
    return out;
}

/// Whether each engine has only this version of the adapter.
bool all_have(
    const deployment& system, std::size_t engines, const std::string& version)
{
    for (std::size_t i = 0; i < engines; ++i)
        if (versions_at(system, i) != version + ";")
            return false;
    return true;
}

/// A deployment whose engines all have the model m from their start, and the
/// adapter a of version 1 once it is asked for.
configured_system start_with_adapters(int engines, int without_fencing)
{
    deployment_options options;
    options.daemons = 2;
    options.engines = engines;
    options.engines_without_fencing = without_fencing;
    options.engine_arguments = {
        "--token-ms", "2", "--model", fmt::format("m:1:{}", model_bytes)};
    return start_configured(options);
}

completion_call call_with_adapter()
{
    completion_call call;
    call.adapter = "a";
    return call;
}

} // namespace

class adapters_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(adapters_test);
    CPPUNIT_TEST(new_version_reaches_all_engines_while_callers_ask);
    CPPUNIT_TEST(only_engine_replaces_the_version_between_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a changed version that is never loaded where the old one
    // is resident, and against callers that get no answer during the rollout.
    void new_version_reaches_all_engines_while_callers_ask()
    {
        constexpr std::size_t engines = 3;
        auto fleet = start_with_adapters(engines, 1);
        const auto& system = *fleet.system;
        caller_loops callers;
        for (std::size_t i = 0; i < 4; ++i)
            callers.add(
                [&, i]
                {
                    const auto call = call_with_adapter();
                    return failure_of("caller", call,
                        complete(system.entry(i % 2), fleet.key1, call));
                },
                milliseconds(5));
        CPPUNIT_ASSERT_MESSAGE(versions(system, engines),
            eventually(
                [&] { return all_have(system, engines, "1"); }, rollout_time));
        fleet->put_adapter("a", "m", "2", new_bytes);
        CPPUNIT_ASSERT_MESSAGE(versions(system, engines) + callers.failures(),
            eventually(
                [&] { return all_have(system, engines, "2"); }, rollout_time));
        callers.stop();
        CPPUNIT_ASSERT_EQUAL(std::string(), callers.failures());
        for (std::size_t i = 0; i < engines; ++i)
            assert_memory(system, i, model_bytes + new_bytes);
    }

    // Guards against a region with one engine that keeps the old version, and
    // against requests that fail because they meet the change.
    void only_engine_replaces_the_version_between_requests()
    {
        auto fleet = start_with_adapters(1, 0);
        const auto& system = *fleet.system;
        caller_loops callers;
        callers.add(
            [&]
            {
                const auto call = call_with_adapter();
                return failure_of("caller", call,
                    complete(system.entry(0), fleet.key1, call));
            },
            milliseconds(200));
        CPPUNIT_ASSERT(
            eventually([&] { return all_have(system, 1, "1"); }, rollout_time));
        fleet->put_adapter("a", "m", "2", new_bytes);
        CPPUNIT_ASSERT_MESSAGE(versions(system, 1) + callers.failures(),
            eventually([&] { return all_have(system, 1, "2"); }, rollout_time));
        callers.stop();
        CPPUNIT_ASSERT_EQUAL(std::string(), callers.failures());
        assert_memory(system, 0, model_bytes + new_bytes);
    }

private:
    // The engine counts for itself. Both versions are never resident at once.
    static void assert_memory(
        const deployment& system, std::size_t engine, std::int64_t bytes)
    {
        const auto state = state_of(system, engine);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            state.dump(), bytes, state.at("used_bytes").get<std::int64_t>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            state.dump(), bytes, state.at("peak_bytes").get<std::int64_t>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            state.dump(), 0, state.at("overcommits").get<int>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adapters_test);

} // namespace tarragonquay::test_support
