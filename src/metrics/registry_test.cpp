#include "metrics/registry.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::metrics
{

class registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(registry_test);
    CPPUNIT_TEST(counters_add_up_by_label);
    CPPUNIT_TEST(label_values_are_escaped);
    CPPUNIT_TEST(distributions_report_count_sum_and_max);
    CPPUNIT_TEST_SUITE_END();

    static void assert_contains(
        const std::string& text, const std::string& expected)
    {
        CPPUNIT_ASSERT_MESSAGE("expected '" + expected + "' in:\n" + text,
            text.find(expected) != std::string::npos);
    }

public:
    void counters_add_up_by_label()
    {
        registry metrics;
        metrics.add("tq_requests_total", {{"code", "200"}});
        metrics.add("tq_requests_total", {{"code", "200"}}, 2);
        metrics.add("tq_requests_total", {{"code", "503"}});
        const auto text = metrics.prometheus_text();
        assert_contains(text, "# TYPE tq_requests_total counter\n");
        assert_contains(text, "tq_requests_total{code=\"200\"} 3\n");
        assert_contains(text, "tq_requests_total{code=\"503\"} 1\n");
    }

    // Guards against a label value that breaks the exposition format.
    void label_values_are_escaped()
    {
        registry metrics;
        metrics.set("tq_gauge", {{"id", "a\"b\nc"}}, 1);
        assert_contains(
            metrics.prometheus_text(), "tq_gauge{id=\"a\\\"b\\nc\"} 1\n");
    }

    void distributions_report_count_sum_and_max()
    {
        registry metrics;
        for (const double value : {1.0, 2.0, 6.0})
            metrics.observe("tq_wait_seconds", {}, value);
        const auto text = metrics.prometheus_text();
        assert_contains(text, "tq_wait_seconds_sum 9\n");
        assert_contains(text, "tq_wait_seconds_count 3\n");
        assert_contains(text, "tq_wait_seconds_max 6\n");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(registry_test);

} // namespace tarragonquay::metrics
