#include "routing/scheduler.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragonquay::routing
{
namespace
{

using namespace std::chrono_literals;

const model_id poet("poet");

catalog::endpoint engine(const std::string& id, const std::string& zone = "a")
{
    catalog::endpoint out;
    out.id = endpoint_id(id);
    out.address = id + ":1";
    out.availability_zone = zone;
    return out;
}

endpoint_report ready_report(const std::string& id, time_point now)
{
    endpoint_report out;
    out.endpoint = endpoint_id(id);
    out.incarnation = "1";
    out.models = {{poet, "1", 10, residency_state::ready}};
    out.received_at = now;
    return out;
}

} // namespace

class scheduler_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(scheduler_test);
    CPPUNIT_TEST(request_waits_until_its_model_is_ready);
    CPPUNIT_TEST(request_for_a_model_that_is_not_loaded_fails_at_its_deadline);
    CPPUNIT_TEST(request_with_adapter_goes_only_where_it_is_resident);
    CPPUNIT_TEST(leaving_endpoint_gets_no_requests);
    CPPUNIT_TEST(
        endpoint_that_fails_polls_is_suspected_and_recovers_after_hold_down);
    CPPUNIT_TEST(hold_down_doubles_for_an_endpoint_that_fails_again);
    CPPUNIT_TEST(retry_excludes_tried_endpoints);
    CPPUNIT_TEST(waiting_retry_goes_to_a_tried_endpoint_that_recovers);
    CPPUNIT_TEST(waiting_retry_goes_to_a_tried_endpoint_that_loads_the_model);
    CPPUNIT_TEST(waiting_retry_prefers_a_full_endpoint_to_a_tried_one);
    CPPUNIT_TEST(own_zone_wins_ties);
    CPPUNIT_TEST(prefix_stays_at_its_endpoint_until_the_limit_is_reached);
    CPPUNIT_TEST(request_that_would_wait_past_its_deadline_is_refused_early);
    CPPUNIT_TEST(answer_too_long_for_its_deadline_is_refused_early);
    CPPUNIT_TEST(very_high_output_maximum_is_not_refused);
    CPPUNIT_TEST(slow_tokens_lower_the_limit_of_an_engine);
    CPPUNIT_TEST(cancelled_request_never_gets_an_endpoint);
    CPPUNIT_TEST(handler_may_call_the_scheduler);
    CPPUNIT_TEST(service_recovers_without_state_polls);
    CPPUNIT_TEST(slow_service_call_does_not_refuse_others);
    CPPUNIT_TEST(configured_version_of_an_adapter_is_preferred);
    CPPUNIT_TEST(unreported_adapter_version_counts_as_the_configured_one);
    CPPUNIT_TEST(engine_that_lost_an_adapter_is_skipped_until_its_next_report);
    CPPUNIT_TEST(engine_that_lost_a_model_is_skipped_until_its_next_report);
    CPPUNIT_TEST_SUITE_END();

    using outcome_list = std::vector<result<assignment>>;

    fake_clock clock_;
    scheduler<fake_clock> scheduler_{clock_, {64, 2, 2}};
    outcome_list outcomes_;

    void configure_ready(const std::vector<catalog::endpoint>& endpoints)
    {
        scheduler_.update(endpoints, "a");
        for (const auto& each : endpoints)
            scheduler_.report(ready_report(each.id.str(), clock_.now()));
    }

    std::uint64_t enqueue_request(
        duration time_to_deadline = 10s, std::int64_t cost = 100)
    {
        request_spec spec;
        spec.workspace = workspace_id("w");
        spec.model = poet;
        spec.cost_tokens = cost;
        spec.deadline = clock_.now() + time_to_deadline;
        return enqueue_request(std::move(spec));
    }

    std::uint64_t enqueue_request(request_spec spec)
    {
        return scheduler_.enqueue(std::move(spec),
            [this](result<assignment> value)
            { outcomes_.push_back(std::move(value)); });
    }

    request_spec spec_with_prefix(std::uint64_t prefix)
    {
        request_spec spec;
        spec.model = poet;
        spec.prefix_hash = prefix;
        spec.deadline = clock_.now() + 10s;
        return spec;
    }

    void report_adapter(
        const std::string& id, std::optional<std::string> version)
    {
        auto report = ready_report(id, clock_.now());
        report.adapters = {{adapter_id("rhyme"), poet, std::move(version)}};
        scheduler_.report(report);
    }

    // Empty when the request waits.
    std::string endpoint_for_adapter()
    {
        const auto before = outcomes_.size();
        auto spec = spec_with_prefix(0);
        spec.adapter = adapter_id("rhyme");
        enqueue_request(std::move(spec));
        return outcomes_.size() == before
                   ? std::string()
                   : outcomes_.back().value().endpoint.str();
    }

    void fail_request()
    {
        enqueue_request();
        scheduler_.release(outcomes_.back()->id, outcome::failed);
    }

public:
    void request_waits_until_its_model_is_ready()
    {
        scheduler_.update({engine("e1")}, "a");
        enqueue_request();
        CPPUNIT_ASSERT(outcomes_.empty());
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(1), scheduler_.demand().at(0).waiting);
        scheduler_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(
            std::string("e1:1"), outcomes_.at(0).value().address);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(0), scheduler_.demand().at(0).waiting);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(100), scheduler_.demand().at(0).tokens);
    }

    void request_for_a_model_that_is_not_loaded_fails_at_its_deadline()
    {
        scheduler_.update({engine("e1")}, "a");
        enqueue_request(2s);
        clock_.advance(2s);
        scheduler_.tick(clock_.now());
        CPPUNIT_ASSERT(
            error_code::model_not_ready == outcomes_.at(0).error().code());
        CPPUNIT_ASSERT(
            execution_state::not_run == outcomes_.at(0).error().execution());
    }

    void request_with_adapter_goes_only_where_it_is_resident()
    {
        configure_ready({engine("e1"), engine("e2")});
        request_spec spec = spec_with_prefix(0);
        spec.adapter = adapter_id("rhyme");
        enqueue_request(spec);
        CPPUNIT_ASSERT(outcomes_.empty());
        auto with_adapter = ready_report("e2", clock_.now());
        with_adapter.adapters = {{spec.adapter, poet}};
        scheduler_.report(with_adapter);
        CPPUNIT_ASSERT_EQUAL(
            std::string("e2"), outcomes_.at(0).value().endpoint.str());
    }

    // Guards against answers from the old version while the new one is ready,
    // and against requests that wait although the old version could serve them.
    void configured_version_of_an_adapter_is_preferred()
    {
        configure_ready({engine("e1"), engine("e2")});
        catalog::adapter rhyme;
        rhyme.id = adapter_id("rhyme");
        rhyme.model = poet;
        rhyme.version = "2";
        scheduler_.update_adapters({rhyme});
        report_adapter("e1", "1");
        report_adapter("e2", "1");
        CPPUNIT_ASSERT(!endpoint_for_adapter().empty());
        scheduler_.release(outcomes_.back()->id, outcome::completed);
        report_adapter("e2", "2");
        // Each endpoint takes two requests at a time.
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), endpoint_for_adapter());
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), endpoint_for_adapter());
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), endpoint_for_adapter());
    }

    void unreported_adapter_version_counts_as_the_configured_one()
    {
        configure_ready({engine("e1", "a"), engine("e2", "b")});
        catalog::adapter rhyme;
        rhyme.id = adapter_id("rhyme");
        rhyme.version = "2";
        scheduler_.update_adapters({rhyme});
        report_adapter("e1", std::nullopt);
        report_adapter("e2", "2");
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), endpoint_for_adapter());
    }

    // Guards against a request that fails, or goes to the same engine
    // repeatedly, because the adapter was unloaded after the last report.
    void engine_that_lost_an_adapter_is_skipped_until_its_next_report()
    {
        configure_ready({engine("e1")});
        report_adapter("e1", "1");
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), endpoint_for_adapter());
        scheduler_.release(outcomes_.back()->id, outcome::not_resident);
        CPPUNIT_ASSERT_EQUAL(std::string(), endpoint_for_adapter());
        enqueue_request();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), outcomes_.size());
        report_adapter("e1", "2");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), outcomes_.size());
        CPPUNIT_ASSERT(outcomes_.back().has_value());
    }

    void engine_that_lost_a_model_is_skipped_until_its_next_report()
    {
        configure_ready({engine("e1")});
        enqueue_request();
        scheduler_.release(outcomes_.back()->id, outcome::not_resident);
        enqueue_request();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes_.size());
        scheduler_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), outcomes_.size());
        CPPUNIT_ASSERT(outcomes_.back().has_value());
    }

    void leaving_endpoint_gets_no_requests()
    {
        configure_ready({engine("e1"), engine("e2")});
        scheduler_.mark_leaving({endpoint_id("e1")});
        enqueue_request();
        enqueue_request();
        for (const auto& each : outcomes_)
            CPPUNIT_ASSERT_EQUAL(
                std::string("e2"), each.value().endpoint.str());
        auto leaving = ready_report("e2", clock_.now());
        leaving.leaving = true;
        scheduler_.report(leaving);
        enqueue_request();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), outcomes_.size());
    }

    void endpoint_that_fails_polls_is_suspected_and_recovers_after_hold_down()
    {
        configure_ready({engine("e1")});
        for (int i = 0; i < 3; ++i)
            scheduler_.report_failure(endpoint_id("e1"));
        CPPUNIT_ASSERT(scheduler_.suspected(endpoint_id("e1")));
        enqueue_request();
        scheduler_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT(outcomes_.empty());
        clock_.advance(1s);
        scheduler_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes_.size());
    }

    // Guards against an engine that answers state polls but fails requests:
    // without a growing hold-down, it would get requests again every second.
    void hold_down_doubles_for_an_endpoint_that_fails_again()
    {
        configure_ready({engine("e1")});
        for (const auto hold_down : {1s, 2s, 4s})
        {
            fail_request();
            fail_request();
            clock_.advance(hold_down - 1ms);
            scheduler_.report(ready_report("e1", clock_.now()));
            CPPUNIT_ASSERT(scheduler_.suspected(endpoint_id("e1")));
            clock_.advance(1ms);
            scheduler_.report(ready_report("e1", clock_.now()));
            CPPUNIT_ASSERT(!scheduler_.suspected(endpoint_id("e1")));
        }
    }

    void retry_excludes_tried_endpoints()
    {
        configure_ready({engine("e1"), engine("e2")});
        auto spec = spec_with_prefix(0);
        spec.excluded = {endpoint_id("e1")};
        enqueue_request(spec);
        CPPUNIT_ASSERT_EQUAL(
            std::string("e2"), outcomes_.at(0).value().endpoint.str());
        spec.excluded.emplace_back("e2");
        enqueue_request(spec);
        CPPUNIT_ASSERT(
            error_code::no_endpoint == outcomes_.at(1).error().code());
    }

    // Guards against a retry that waits up to its deadline although the only
    // endpoint with its model has recovered.
    void waiting_retry_goes_to_a_tried_endpoint_that_recovers()
    {
        configure_ready({engine("e1")});
        fail_request();
        fail_request();
        CPPUNIT_ASSERT(scheduler_.suspected(endpoint_id("e1")));
        auto spec = spec_with_prefix(0);
        spec.excluded = {endpoint_id("e1")};
        enqueue_request(spec);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scheduler_.waiting());
        clock_.advance(1s);
        scheduler_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), scheduler_.waiting());
        CPPUNIT_ASSERT_EQUAL(
            std::string("e1"), outcomes_.back().value().endpoint.str());
    }

    // Guards against a retry that waits up to its deadline because its model
    // was loaded again on the endpoint that had failed it.
    void waiting_retry_goes_to_a_tried_endpoint_that_loads_the_model()
    {
        configure_ready({engine("e1"), engine("e2")});
        for (const std::string id : {"e1", "e2"})
        {
            auto without_model = ready_report(id, clock_.now());
            without_model.models.clear();
            scheduler_.report(without_model);
        }
        auto spec = spec_with_prefix(0);
        spec.excluded = {endpoint_id("e1")};
        enqueue_request(spec);
        CPPUNIT_ASSERT(outcomes_.empty());
        scheduler_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes_.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string("e1"), outcomes_.at(0).value().endpoint.str());
    }

    // Guards against a retry at the endpoint that failed while another one is
    // only temporarily full.
    void waiting_retry_prefers_a_full_endpoint_to_a_tried_one()
    {
        configure_ready({engine("e1"), engine("e2")});
        auto spec = spec_with_prefix(0);
        spec.excluded = {endpoint_id("e1")};
        for (int i = 0; i < 3; ++i)
            enqueue_request(spec);
        scheduler_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), outcomes_.size());
        scheduler_.release(outcomes_.at(0).value().id, outcome::completed);
        CPPUNIT_ASSERT_EQUAL(
            std::string("e2"), outcomes_.at(2).value().endpoint.str());
    }

    void own_zone_wins_ties()
    {
        configure_ready(
            {engine("e1", "b"), engine("e2", "a"), engine("e3", "c")});
        enqueue_request();
        CPPUNIT_ASSERT_EQUAL(
            std::string("e2"), outcomes_.at(0).value().endpoint.str());
    }

    void prefix_stays_at_its_endpoint_until_the_limit_is_reached()
    {
        configure_ready({engine("e1"), engine("e2"), engine("e3")});
        enqueue_request(spec_with_prefix(77));
        enqueue_request(spec_with_prefix(77));
        CPPUNIT_ASSERT_EQUAL(outcomes_.at(0).value().endpoint.str(),
            outcomes_.at(1).value().endpoint.str());
        CPPUNIT_ASSERT(outcomes_.at(1).value().prefix_expected);
        // The endpoint is at its limit of two.
        enqueue_request(spec_with_prefix(77));
        CPPUNIT_ASSERT(outcomes_.at(0).value().endpoint !=
                       outcomes_.at(2).value().endpoint);
    }

    void request_that_would_wait_past_its_deadline_is_refused_early()
    {
        configure_ready({engine("e1")});
        for (int i = 0; i < 40; ++i)
            enqueue_request(60s);
        // The engine finishes ten requests of 100 tokens in a second.
        for (std::size_t i = 0; i < 10; ++i)
        {
            clock_.advance(100ms);
            scheduler_.release(outcomes_.at(i).value().id, outcome::completed);
            scheduler_.tick(clock_.now());
        }
        const auto before = outcomes_.size();
        enqueue_request(1s);
        CPPUNIT_ASSERT_EQUAL(before + 1, outcomes_.size());
        CPPUNIT_ASSERT(
            error_code::overloaded == outcomes_.back().error().code());
        enqueue_request(60s);
        CPPUNIT_ASSERT_EQUAL(before + 1, outcomes_.size());
    }

    // Guards against a request that occupies an engine until its deadline
    // passes without an answer, and against an estimate that refuses all
    // requests indefinitely.
    void answer_too_long_for_its_deadline_is_refused_early()
    {
        configure_ready({engine("e1")});
        const auto is_accepted = [&](std::int64_t output_tokens)
        {
            auto spec = spec_with_prefix(0);
            spec.output_tokens = output_tokens;
            enqueue_request(std::move(spec));
            return outcomes_.back().has_value();
        };
        CPPUNIT_ASSERT(is_accepted(100));
        clock_.advance(2s);
        scheduler_.release(outcomes_.back()->id, outcome::completed);
        scheduler_.tick(clock_.now());
        CPPUNIT_ASSERT(!is_accepted(600));
        CPPUNIT_ASSERT(
            execution_state::not_run == outcomes_.back().error().execution());
        CPPUNIT_ASSERT(is_accepted(400));
        clock_.advance(6s);
        CPPUNIT_ASSERT(is_accepted(600));
    }

    // Guards against refusing every request of a caller with a high default
    // maximum.
    void very_high_output_maximum_is_not_refused()
    {
        configure_ready({engine("e1")});
        auto spec = spec_with_prefix(0);
        spec.output_tokens = 100;
        enqueue_request(spec);
        clock_.advance(1s);
        scheduler_.release(outcomes_.back()->id, outcome::completed);
        spec = spec_with_prefix(0);
        spec.output_tokens = 100'000;
        enqueue_request(spec);
        CPPUNIT_ASSERT(outcomes_.back().has_value());
    }

    // Guards against batches that exceed the target time between tokens while
    // the engine reports no waiting requests.
    void slow_tokens_lower_the_limit_of_an_engine()
    {
        scheduler<fake_clock> limited(clock_, {64, 8, 8});
        limited.update({engine("e1")}, "a");
        limited.report(ready_report("e1", clock_.now()));
        const auto complete_request = [&](std::int64_t output_tokens)
        {
            limited.enqueue(spec_with_prefix(0),
                [&, output_tokens](const result<assignment>& value)
                {
                    clock_.advance(4s);
                    limited.release(
                        value->id, outcome::completed, output_tokens);
                });
            limited.report(ready_report("e1", clock_.now()));
        };
        // 4 s for 100 tokens are 40 ms for each; the target is 33 ms.
        for (int i = 0; i < 3; ++i)
            complete_request(100);
        int assigned = 0;
        for (int i = 0; i < 8; ++i)
            limited.enqueue(spec_with_prefix(0),
                [&](const result<assignment>&) { ++assigned; });
        CPPUNIT_ASSERT_EQUAL(5, assigned);
    }

    void cancelled_request_never_gets_an_endpoint()
    {
        scheduler_.update({engine("e1")}, "a");
        const auto ticket = enqueue_request();
        scheduler_.cancel(ticket);
        scheduler_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes_.size());
        CPPUNIT_ASSERT(error_code::cancelled == outcomes_.at(0).error().code());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), scheduler_.waiting());
    }

    void handler_may_call_the_scheduler()
    {
        configure_ready({engine("e1")});
        scheduler_.enqueue(spec_with_prefix(0),
            [this](result<assignment> value)
            {
                scheduler_.release(value->id, outcome::completed);
                enqueue_request();
            });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes_.size());
        CPPUNIT_ASSERT_EQUAL(1, scheduler_.in_flight(endpoint_id("e1")));
    }

    void service_recovers_without_state_polls()
    {
        auto service_endpoint = engine("s1");
        service_endpoint.kind = catalog::endpoint_kind::service;
        service_endpoint.service = service_id("desk");
        scheduler_.update({service_endpoint}, "a");
        request_spec spec;
        spec.service = service_endpoint.service;
        spec.deadline = clock_.now() + 10s;
        for (int i = 0; i < 2; ++i)
        {
            enqueue_request(spec);
            scheduler_.release(outcomes_.back()->id, outcome::failed);
        }
        enqueue_request(spec);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), outcomes_.size());
        clock_.advance(1s);
        scheduler_.tick(clock_.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), outcomes_.size());
    }

    // Guards against refusing fast calls of a service because of an estimate
    // from a slow one.
    void slow_service_call_does_not_refuse_others()
    {
        auto service_endpoint = engine("s1");
        service_endpoint.kind = catalog::endpoint_kind::service;
        service_endpoint.service = service_id("desk");
        scheduler_.update({service_endpoint}, "a");
        request_spec spec;
        spec.service = service_endpoint.service;
        spec.deadline = clock_.now() + 60s;
        enqueue_request(spec);
        clock_.advance(30s);
        scheduler_.release(outcomes_.back()->id, outcome::completed);
        spec.deadline = clock_.now() + 1s;
        enqueue_request(spec);
        CPPUNIT_ASSERT(outcomes_.back().has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scheduler_test);

} // namespace tarragonquay::routing
