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
    CPPUNIT_TEST(request_for_an_absent_model_fails_at_its_deadline);
    CPPUNIT_TEST(request_with_adapter_goes_only_where_it_is_resident);
    CPPUNIT_TEST(leaving_endpoint_gets_no_work);
    CPPUNIT_TEST(silent_endpoint_is_suspected_and_recovers_after_hold_down);
    CPPUNIT_TEST(alternating_endpoint_is_held_down_longer);
    CPPUNIT_TEST(retry_excludes_tried_endpoints);
    CPPUNIT_TEST(waiting_retry_goes_to_a_tried_endpoint_that_recovers);
    CPPUNIT_TEST(waiting_retry_goes_to_a_tried_endpoint_with_a_new_replica);
    CPPUNIT_TEST(waiting_retry_prefers_an_endpoint_that_is_full);
    CPPUNIT_TEST(nearer_zone_wins_ties);
    CPPUNIT_TEST(prefix_returns_to_its_endpoint_until_that_is_loaded);
    CPPUNIT_TEST(late_request_is_refused_early_as_not_run);
    CPPUNIT_TEST(answer_too_long_for_its_deadline_is_refused_early);
    CPPUNIT_TEST(very_high_maximum_is_no_estimate_of_the_length);
    CPPUNIT_TEST(slow_tokens_lower_the_limit_of_an_engine);
    CPPUNIT_TEST(cancelled_request_never_gets_an_endpoint);
    CPPUNIT_TEST(handler_may_call_back);
    CPPUNIT_TEST(service_recovers_without_state_polls);
    CPPUNIT_TEST(slow_call_of_a_service_refuses_no_other);
    CPPUNIT_TEST(configured_version_of_an_adapter_is_preferred);
    CPPUNIT_TEST(untold_version_of_an_adapter_is_no_disadvantage);
    CPPUNIT_TEST(engine_that_lost_an_adapter_is_left_out_until_its_report);
    CPPUNIT_TEST(engine_that_lost_a_model_is_left_out_until_its_report);
    CPPUNIT_TEST_SUITE_END();

    using outcome_list = std::vector<result<assignment>>;

    fake_clock clock_;
    scheduler<fake_clock> routes_{clock_, {64, 2, 2}};
    outcome_list outcomes_;

    void use(const std::vector<catalog::endpoint>& endpoints)
    {
        routes_.update(endpoints, "a");
        for (const auto& each : endpoints)
            routes_.report(ready_report(each.id.str(), clock_.now()));
    }

    std::uint64_t ask(duration patience = 10s, std::int64_t cost = 100)
    {
        request_spec spec;
        spec.workspace = workspace_id("w");
        spec.model = poet;
        spec.cost_tokens = cost;
        spec.deadline = clock_.now() + patience;
        return ask(std::move(spec));
    }

    std::uint64_t ask(request_spec spec)
    {
        return routes_.enqueue(std::move(spec), [this](result<assignment> value)
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
        routes_.report(report);
    }

    // Empty when the request waits.
    std::string endpoint_for_adapter()
    {
        const auto before = outcomes_.size();
        auto spec = spec_with_prefix(0);
        spec.adapter = adapter_id("rhyme");
        ask(std::move(spec));
        return outcomes_.size() == before
                   ? std::string()
                   : outcomes_.back().value().endpoint.str();
    }

    void fail_next()
    {
        ask();
        routes_.release(outcomes_.back()->id, outcome::failed);
    }

public:
    void request_waits_until_its_model_is_ready()
    {
        routes_.update({engine("e1")}, "a");
        ask();
        CPPUNIT_ASSERT(outcomes_.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), routes_.demand().at(0).waiting);
        routes_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(
            std::string("e1:1"), outcomes_.at(0).value().address);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), routes_.demand().at(0).waiting);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(100), routes_.demand().at(0).tokens);
    }

    void request_for_an_absent_model_fails_at_its_deadline()
    {
        routes_.update({engine("e1")}, "a");
        ask(2s);
        clock_.advance(2s);
        routes_.tick(clock_.now());
        CPPUNIT_ASSERT(
            error_code::model_not_ready == outcomes_.at(0).error().code());
        CPPUNIT_ASSERT(
            execution_state::not_run == outcomes_.at(0).error().execution());
    }

    void request_with_adapter_goes_only_where_it_is_resident()
    {
        use({engine("e1"), engine("e2")});
        request_spec spec = spec_with_prefix(0);
        spec.adapter = adapter_id("rhyme");
        ask(spec);
        CPPUNIT_ASSERT(outcomes_.empty());
        auto with_adapter = ready_report("e2", clock_.now());
        with_adapter.adapters = {{spec.adapter, poet}};
        routes_.report(with_adapter);
        CPPUNIT_ASSERT_EQUAL(
            std::string("e2"), outcomes_.at(0).value().endpoint.str());
    }

    // Guards against answers by the old version while the new one is ready,
    // and against requests that wait although the old one could serve them.
    void configured_version_of_an_adapter_is_preferred()
    {
        use({engine("e1"), engine("e2")});
        catalog::adapter rhyme;
        rhyme.id = adapter_id("rhyme");
        rhyme.model = poet;
        rhyme.version = "2";
        routes_.update_adapters({rhyme});
        report_adapter("e1", "1");
        report_adapter("e2", "1");
        CPPUNIT_ASSERT(!endpoint_for_adapter().empty());
        routes_.release(outcomes_.back()->id, outcome::completed);
        report_adapter("e2", "2");
        // Each endpoint takes two requests at a time.
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), endpoint_for_adapter());
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), endpoint_for_adapter());
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), endpoint_for_adapter());
    }

    void untold_version_of_an_adapter_is_no_disadvantage()
    {
        use({engine("e1", "a"), engine("e2", "b")});
        catalog::adapter rhyme;
        rhyme.id = adapter_id("rhyme");
        rhyme.version = "2";
        routes_.update_adapters({rhyme});
        report_adapter("e1", std::nullopt);
        report_adapter("e2", "2");
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), endpoint_for_adapter());
    }

    // Guards against a request that fails, or goes to the same engine again
    // and again, because the adapter was unloaded after the last report.
    void engine_that_lost_an_adapter_is_left_out_until_its_report()
    {
        use({engine("e1")});
        report_adapter("e1", "1");
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), endpoint_for_adapter());
        routes_.release(outcomes_.back()->id, outcome::not_resident);
        CPPUNIT_ASSERT_EQUAL(std::string(), endpoint_for_adapter());
        ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), outcomes_.size());
        report_adapter("e1", "2");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), outcomes_.size());
        CPPUNIT_ASSERT(outcomes_.back().has_value());
    }

    void engine_that_lost_a_model_is_left_out_until_its_report()
    {
        use({engine("e1")});
        ask();
        routes_.release(outcomes_.back()->id, outcome::not_resident);
        ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes_.size());
        routes_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), outcomes_.size());
        CPPUNIT_ASSERT(outcomes_.back().has_value());
    }

    void leaving_endpoint_gets_no_work()
    {
        use({engine("e1"), engine("e2")});
        routes_.mark_leaving({endpoint_id("e1")});
        ask();
        ask();
        for (const auto& each : outcomes_)
            CPPUNIT_ASSERT_EQUAL(
                std::string("e2"), each.value().endpoint.str());
        auto leaving = ready_report("e2", clock_.now());
        leaving.leaving = true;
        routes_.report(leaving);
        ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), outcomes_.size());
    }

    void silent_endpoint_is_suspected_and_recovers_after_hold_down()
    {
        use({engine("e1")});
        for (int i = 0; i < 3; ++i)
            routes_.report_failure(endpoint_id("e1"));
        CPPUNIT_ASSERT(routes_.suspected(endpoint_id("e1")));
        ask();
        routes_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT(outcomes_.empty());
        clock_.advance(1s);
        routes_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes_.size());
    }

    // Guards against an engine that answers polls but no exchanges: it must
    // not get requests again each second.
    void alternating_endpoint_is_held_down_longer()
    {
        use({engine("e1")});
        for (const auto hold_down : {1s, 2s, 4s})
        {
            fail_next();
            fail_next();
            clock_.advance(hold_down - 1ms);
            routes_.report(ready_report("e1", clock_.now()));
            CPPUNIT_ASSERT(routes_.suspected(endpoint_id("e1")));
            clock_.advance(1ms);
            routes_.report(ready_report("e1", clock_.now()));
            CPPUNIT_ASSERT(!routes_.suspected(endpoint_id("e1")));
        }
    }

    void retry_excludes_tried_endpoints()
    {
        use({engine("e1"), engine("e2")});
        auto spec = spec_with_prefix(0);
        spec.excluded = {endpoint_id("e1")};
        ask(spec);
        CPPUNIT_ASSERT_EQUAL(
            std::string("e2"), outcomes_.at(0).value().endpoint.str());
        spec.excluded.emplace_back("e2");
        ask(spec);
        CPPUNIT_ASSERT(
            error_code::no_endpoint == outcomes_.at(1).error().code());
    }

    // Guards against a retry that waits up to its deadline although the only
    // endpoint with its model has recovered.
    void waiting_retry_goes_to_a_tried_endpoint_that_recovers()
    {
        use({engine("e1")});
        fail_next();
        fail_next();
        CPPUNIT_ASSERT(routes_.suspected(endpoint_id("e1")));
        auto spec = spec_with_prefix(0);
        spec.excluded = {endpoint_id("e1")};
        ask(spec);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), routes_.waiting());
        clock_.advance(1s);
        routes_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), routes_.waiting());
        CPPUNIT_ASSERT_EQUAL(
            std::string("e1"), outcomes_.back().value().endpoint.str());
    }

    // Guards against a retry that waits up to its deadline because its model
    // was loaded again on the endpoint that had failed it.
    void waiting_retry_goes_to_a_tried_endpoint_with_a_new_replica()
    {
        use({engine("e1"), engine("e2")});
        for (const std::string id : {"e1", "e2"})
        {
            auto without_model = ready_report(id, clock_.now());
            without_model.models.clear();
            routes_.report(without_model);
        }
        auto spec = spec_with_prefix(0);
        spec.excluded = {endpoint_id("e1")};
        ask(spec);
        CPPUNIT_ASSERT(outcomes_.empty());
        routes_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes_.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string("e1"), outcomes_.at(0).value().endpoint.str());
    }

    // Guards against a retry at the endpoint that failed while another one
    // only has no room at the moment.
    void waiting_retry_prefers_an_endpoint_that_is_full()
    {
        use({engine("e1"), engine("e2")});
        auto spec = spec_with_prefix(0);
        spec.excluded = {endpoint_id("e1")};
        for (int i = 0; i < 3; ++i)
            ask(spec);
        routes_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), outcomes_.size());
        routes_.release(outcomes_.at(0).value().id, outcome::completed);
        CPPUNIT_ASSERT_EQUAL(
            std::string("e2"), outcomes_.at(2).value().endpoint.str());
    }

    void nearer_zone_wins_ties()
    {
        use({engine("e1", "b"), engine("e2", "a"), engine("e3", "c")});
        ask();
        CPPUNIT_ASSERT_EQUAL(
            std::string("e2"), outcomes_.at(0).value().endpoint.str());
    }

    void prefix_returns_to_its_endpoint_until_that_is_loaded()
    {
        use({engine("e1"), engine("e2"), engine("e3")});
        ask(spec_with_prefix(77));
        ask(spec_with_prefix(77));
        CPPUNIT_ASSERT_EQUAL(outcomes_.at(0).value().endpoint.str(),
            outcomes_.at(1).value().endpoint.str());
        CPPUNIT_ASSERT(outcomes_.at(1).value().prefix_expected);
        // The endpoint is at its limit of two.
        ask(spec_with_prefix(77));
        CPPUNIT_ASSERT(outcomes_.at(0).value().endpoint !=
                       outcomes_.at(2).value().endpoint);
    }

    void late_request_is_refused_early_as_not_run()
    {
        use({engine("e1")});
        for (int i = 0; i < 40; ++i)
            ask(60s);
        // The engine finishes ten requests of 100 tokens in a second.
        for (std::size_t i = 0; i < 10; ++i)
        {
            clock_.advance(100ms);
            routes_.release(outcomes_.at(i).value().id, outcome::completed);
            routes_.tick(clock_.now());
        }
        const auto before = outcomes_.size();
        ask(1s);
        CPPUNIT_ASSERT_EQUAL(before + 1, outcomes_.size());
        CPPUNIT_ASSERT(
            error_code::overloaded == outcomes_.back().error().code());
        ask(60s);
        CPPUNIT_ASSERT_EQUAL(before + 1, outcomes_.size());
    }

    // Guards against a request that occupies an engine up to its deadline in
    // vain, and against an estimate that refuses all requests for ever.
    void answer_too_long_for_its_deadline_is_refused_early()
    {
        use({engine("e1")});
        const auto ask_for = [&](std::int64_t output_tokens)
        {
            auto spec = spec_with_prefix(0);
            spec.output_tokens = output_tokens;
            ask(std::move(spec));
            return outcomes_.back().has_value();
        };
        CPPUNIT_ASSERT(ask_for(100));
        clock_.advance(2s);
        routes_.release(outcomes_.back()->id, outcome::completed);
        routes_.tick(clock_.now());
        CPPUNIT_ASSERT(!ask_for(600));
        CPPUNIT_ASSERT(
            execution_state::not_run == outcomes_.back().error().execution());
        CPPUNIT_ASSERT(ask_for(400));
        clock_.advance(6s);
        CPPUNIT_ASSERT(ask_for(600));
    }

    // Guards against callers with a high default maximum who are always
    // refused.
    void very_high_maximum_is_no_estimate_of_the_length()
    {
        use({engine("e1")});
        auto spec = spec_with_prefix(0);
        spec.output_tokens = 100;
        ask(spec);
        clock_.advance(1s);
        routes_.release(outcomes_.back()->id, outcome::completed);
        spec = spec_with_prefix(0);
        spec.output_tokens = 100'000;
        ask(spec);
        CPPUNIT_ASSERT(outcomes_.back().has_value());
    }

    // Guards against batches that are too slow for all of their requests
    // although the engine reports that nothing waits.
    void slow_tokens_lower_the_limit_of_an_engine()
    {
        scheduler<fake_clock> routes(clock_, {64, 8, 8});
        routes.update({engine("e1")}, "a");
        routes.report(ready_report("e1", clock_.now()));
        const auto place = [&](std::int64_t output_tokens)
        {
            routes.enqueue(spec_with_prefix(0),
                [&, output_tokens](const result<assignment>& value)
                {
                    clock_.advance(4s);
                    routes.release(
                        value->id, outcome::completed, output_tokens);
                });
            routes.report(ready_report("e1", clock_.now()));
        };
        // 4 s for 100 tokens are 40 ms for each; the target is 33 ms.
        for (int i = 0; i < 3; ++i)
            place(100);
        int placed = 0;
        for (int i = 0; i < 8; ++i)
            routes.enqueue(spec_with_prefix(0),
                [&](const result<assignment>&) { ++placed; });
        CPPUNIT_ASSERT_EQUAL(5, placed);
    }

    void cancelled_request_never_gets_an_endpoint()
    {
        routes_.update({engine("e1")}, "a");
        const auto ticket = ask();
        routes_.cancel(ticket);
        routes_.report(ready_report("e1", clock_.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes_.size());
        CPPUNIT_ASSERT(error_code::cancelled == outcomes_.at(0).error().code());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), routes_.waiting());
    }

    void handler_may_call_back()
    {
        use({engine("e1")});
        routes_.enqueue(spec_with_prefix(0),
            [this](result<assignment> value)
            {
                routes_.release(value->id, outcome::completed);
                ask();
            });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcomes_.size());
        CPPUNIT_ASSERT_EQUAL(1, routes_.in_flight(endpoint_id("e1")));
    }

    void service_recovers_without_state_polls()
    {
        auto desk = engine("s1");
        desk.kind = catalog::endpoint_kind::service;
        desk.service = service_id("desk");
        routes_.update({desk}, "a");
        request_spec spec;
        spec.service = desk.service;
        spec.deadline = clock_.now() + 10s;
        for (int i = 0; i < 2; ++i)
        {
            ask(spec);
            routes_.release(outcomes_.back()->id, outcome::failed);
        }
        ask(spec);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), outcomes_.size());
        clock_.advance(1s);
        routes_.tick(clock_.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), outcomes_.size());
    }

    // Guards against an estimate from one slow path of a service that refuses
    // the quick ones.
    void slow_call_of_a_service_refuses_no_other()
    {
        auto desk = engine("s1");
        desk.kind = catalog::endpoint_kind::service;
        desk.service = service_id("desk");
        routes_.update({desk}, "a");
        request_spec spec;
        spec.service = desk.service;
        spec.deadline = clock_.now() + 60s;
        ask(spec);
        clock_.advance(30s);
        routes_.release(outcomes_.back()->id, outcome::completed);
        spec.deadline = clock_.now() + 1s;
        ask(spec);
        CPPUNIT_ASSERT(outcomes_.back().has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scheduler_test);

} // namespace tarragonquay::routing
