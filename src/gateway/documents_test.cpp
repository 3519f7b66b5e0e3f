#include "gateway/documents.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::gateway
{
namespace
{

using namespace std::chrono_literals;
using remote_store::changed_row;

// A row of the endpoint "e"; the value tells whether it leaves.
changed_row serving(std::int64_t version)
{
    return {"e", "serving", version};
}

changed_row leaving(std::int64_t version)
{
    return {"e", "leaving", version};
}

changed_row erased(std::int64_t version)
{
    return {"e", std::nullopt, version};
}

dialect make_dialect()
{
    dialect out;
    out.decode_directory_entry =
        [](const endpoint_id& id, std::string_view value, time_point)
    {
        endpoints::directory_entry entry;
        entry.id = id;
        entry.service = service_id("s");
        entry.leaving = value == "leaving";
        return result<endpoints::directory_entry>(entry);
    };
    return out;
}

} // namespace

class documents_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(documents_test);
    CPPUNIT_TEST(changes_are_put_in_force_in_their_order);
    CPPUNIT_TEST(older_changes_do_not_undo_newer_ones);
    CPPUNIT_TEST(older_erasure_that_was_missed_is_put_in_force);
    CPPUNIT_TEST(older_erasure_before_a_known_return_is_left_out);
    CPPUNIT_TEST(entry_that_lapsed_is_kept_until_it_may_have_come_back);
    CPPUNIT_TEST(entry_that_was_leaving_does_not_lapse);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context io_;
    context ctx_{io_, settings::gateway_settings(), make_dialect(),
        log::json_log::create("error", "i1").value(), fleet::member()};
    documents tested_{ctx_};
    fake_clock clock_;

    void start()
    {
        tested_.apply_directory(
            {{serving(1)}, 1, false}, "store", clock_.now());
    }

    void change(std::vector<changed_row> rows, std::int64_t version)
    {
        tested_.apply_directory_changes(
            {std::move(rows), version, false}, clock_.now());
    }

    bool known() const { return ctx_.pool.find(endpoint_id("e")) != nullptr; }
    bool is_leaving() const
    {
        const auto* entry = ctx_.pool.find(endpoint_id("e"));
        return entry != nullptr && entry->leaving;
    }

public:
    void changes_are_put_in_force_in_their_order()
    {
        start();
        change({leaving(2)}, 2);
        CPPUNIT_ASSERT(is_leaving());
        change({erased(3)}, 3);
        CPPUNIT_ASSERT(!known());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), tested_.directory_version());
    }

    // Guards against requests to an endpoint that left: a feed that came back
    // after an outage told changes that peers had told before, and the entry
    // was there again without its mark (DRAIN on sft-orders-grown).
    void older_changes_do_not_undo_newer_ones()
    {
        start();
        change({leaving(5), erased(6)}, 6);
        CPPUNIT_ASSERT(!known());
        tested_.note_store_recovery(clock_.now());
        change({serving(3)}, 3);
        CPPUNIT_ASSERT(!known());
        change({serving(3), leaving(5), erased(6)}, 6);
        CPPUNIT_ASSERT(!known());
        CPPUNIT_ASSERT(tested_.directory().empty());
    }

    // Guards against an entry that nobody erases: a peer may leave out the
    // erasure of an entry that it keeps for a while.
    void older_erasure_that_was_missed_is_put_in_force()
    {
        start();
        change({}, 10);
        change({erased(8)}, 10);
        CPPUNIT_ASSERT(!known());
    }

    // Guards against the loss of an endpoint that came back.
    void older_erasure_before_a_known_return_is_left_out()
    {
        start();
        change({serving(9)}, 10);
        change({erased(8), serving(9)}, 10);
        CPPUNIT_ASSERT(known());
    }

    // Guards against endpoints that are lost since they could not renew their
    // entries while the store was away.
    void entry_that_lapsed_is_kept_until_it_may_have_come_back()
    {
        start();
        tested_.note_store_recovery(clock_.now());
        change({erased(2)}, 2);
        CPPUNIT_ASSERT(known());
        clock_.advance(2s);
        tested_.tick(clock_.now());
        CPPUNIT_ASSERT(!known());
    }

    // Guards against 2 s more of requests to an endpoint that was leaving.
    void entry_that_was_leaving_does_not_lapse()
    {
        start();
        tested_.note_store_recovery(clock_.now());
        change({leaving(2), erased(3)}, 3);
        CPPUNIT_ASSERT(!known());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(documents_test);

} // namespace tarragonquay::gateway
