#pragma once

#include <string>

#include <cppunit/TestAssert.h>

#include "support/callers.hpp"

namespace tarragonquay::test_support
{

inline constexpr milliseconds key_check_time{20'000};

/// Asserts that an instance serves a key, at the latest after some time.
inline void assert_serves(
    const deployment& system, std::size_t i, const std::string& key)
{
    http_reply last;
    const bool served = eventually(
        [&]
        {
            last = complete(system.entry(i), key, {.max_tokens = 1});
            return claims_whole(last);
        },
        key_check_time);
    CPPUNIT_ASSERT_MESSAGE(
        "instance " + std::to_string(i) + " does not serve: " + describe(last),
        served);
}

/// Asserts that an instance refuses a key with a code and `not_run`, at the
/// latest after some time.
inline void assert_refuses(const deployment& system, std::size_t i,
    const std::string& key, const std::string& code)
{
    // A request that was running when the key was withdrawn ends with the
    // same code, but may have run.
    http_reply last;
    const bool refused = eventually(
        [&]
        {
            last = complete(system.entry(i), key, {.max_tokens = 1});
            return error_code_of(last) == code &&
                   last.body.find("\"execution\":\"not_run\"") !=
                       std::string::npos;
        },
        key_check_time);
    CPPUNIT_ASSERT_MESSAGE(
        "expected " + code + ", got " + describe(last), refused);
}

/// A deployment with one engine, short leases, and short polls of the head.
inline configured_system start_with_short_leases(bool proxies = false)
{
    deployment_options options;
    options.engines = 1;
    options.proxies = proxies;
    options.view_lease_ms = 2'000;
    options.head_poll_ms = 200;
    return start_configured(options);
}

inline constexpr milliseconds longer_than_lease{4'000};

/// Starts an instance anew while the store is down.
inline void restart_during_outage(deployment& system, std::size_t i)
{
    system.platform_mode({{"mode", "down"}});
    system.daemon(i).kill();
    system.start_daemon(i);
    CPPUNIT_ASSERT(system.wait_healthy(i));
}

} // namespace tarragonquay::test_support
