#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include "daemon/control_core.hpp"

namespace tarragonquay::daemon
{

/// A control core for tests, with the state that it shares with its process.
/// Members are destroyed in the same order as in the daemon: the core before
/// the store client, and the io_context after both.
struct core_fixture
{
    core_fixture(const std::string& store_address, std::int64_t events_kept)
        : events("a", events_kept)
    {
        settings.instance = instance_id("a");
        settings.availability_zone = "z";
        settings.region = "r";
        settings.listen.peer = settings.advertise.peer = "127.0.0.1:0";
        settings.events_kept = events_kept;
        auto made_store = store::client::create(store_address);
        CPPUNIT_ASSERT(made_store.has_value());
        store = std::move(*made_store);
        // Nothing listens at the entry address.
        auto made = control_core::create(
            io, {settings, *store, published, events, metrics}, "127.0.0.1:1");
        CPPUNIT_ASSERT_MESSAGE(
            made ? "" : made.error().message(), made.has_value());
        core = std::move(*made);
    }

    settings::daemon_settings settings;
    boost::asio::io_context io;
    std::unique_ptr<store::client> store;
    catalog::published_state published;
    events::recorder events;
    metrics::registry metrics;
    std::unique_ptr<control_core> core;
};

} // namespace tarragonquay::daemon
