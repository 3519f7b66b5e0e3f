#include "catalog/store_access.hpp"

#include <deque>
#include <memory>
#include <optional>

#include <cppunit/extensions/HelperMacros.h>

#include "store/fake_store.hpp"

namespace tarragonquay::catalog
{

class store_access_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_access_test);
    CPPUNIT_TEST(answers_after_destruction_are_dropped);
    CPPUNIT_TEST(a_row_without_a_revision_is_refused);
    CPPUNIT_TEST_SUITE_END();

    using access = store_access<store::fake_store, fake_clock>;

public:
    // Guards against a handler that uses a destroyed replica.
    void answers_after_destruction_are_dropped()
    {
        int calls = 0;
        auto tested = std::make_unique<access>(store_, clock_, post());
        const auto answer =
            tested->on_control<int>([&](const result<int>&) { ++calls; });
        answer(1);
        run();
        CPPUNIT_ASSERT_EQUAL(1, calls);
        // One answer is queued for the control thread before the destruction,
        // one arrives after it.
        answer(2);
        tested.reset();
        answer(3);
        run();
        CPPUNIT_ASSERT_EQUAL(1, calls);
    }

    // Guards against a corrupt row that is read as revision 0.
    void a_row_without_a_revision_is_refused()
    {
        store_.transact({}, {{rows::head_key, "7"}, {"damaged", "7x"}},
            clock_.now() + access::call_timeout, [](const auto&) {});
        const access tested(store_, clock_, post());
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(7), read(tested, rows::head_key)->revision);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(0), read(tested, "missing")->revision);
        CPPUNIT_ASSERT(read(tested, "damaged").error().code() ==
                       error_code::malformed_message);
    }

private:
    post_function post()
    {
        return [this](std::function<void()> task)
        { queue_.push_back(std::move(task)); };
    }

    void run()
    {
        for (; !queue_.empty(); queue_.pop_front())
            queue_.front()();
    }

    result<rows::revision_row> read(
        const access& tested, const std::string& key)
    {
        std::optional<result<rows::revision_row>> found;
        tested.read_revision(key, tested.call_deadline(),
            [&](const result<rows::revision_row>& row) { found = row; });
        run();
        CPPUNIT_ASSERT(found.has_value());
        return *found;
    }

    store::fake_store store_;
    fake_clock clock_;
    std::deque<std::function<void()>> queue_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_access_test);

} // namespace tarragonquay::catalog
