#include "operators/service.hpp"

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

#include "operator.grpc.pb.h"

namespace tarragonquay::operators
{

class service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(service_test);
    CPPUNIT_TEST(a_valid_change_reaches_the_control_port);
    CPPUNIT_TEST(bad_requests_get_typed_failures);
    CPPUNIT_TEST(a_timeline_cursor_for_all_instances_is_refused);
    CPPUNIT_TEST(a_dropped_call_still_gets_an_answer);
    CPPUNIT_TEST(shutdown_lets_a_call_in_progress_end);
    CPPUNIT_TEST(a_taken_address_and_bad_tls_files_are_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        control_port port;
        port.apply = [this](const Apply_request&, auto on_done)
        {
            ++applied_;
            Apply_reply reply;
            reply.set_revision(7);
            on_done(reply);
        };
        port.describe = [](const Describe_request&, auto) {};
        port.drain = [this](const Drain_request&, auto on_done)
        {
            slow_answer_ = std::thread(
                [this, on_done]
                {
                    drain_started_.set_value();
                    wait_for_shutdown();
                    on_done(Drain_reply());
                });
        };
        auto made = service::create({"127.0.0.1:0", "", ""}, port);
        CPPUNIT_ASSERT(made.has_value());
        service_ = std::move(*made);
        stub_ = Operator::NewStub(
            grpc::CreateChannel(fmt::format("127.0.0.1:{}", service_->port()),
                grpc::InsecureChannelCredentials()));
    }

    void tearDown() override
    {
        service_.reset();
        if (slow_answer_.joinable())
            slow_answer_.join();
    }

    void a_valid_change_reaches_the_control_port()
    {
        const auto reply = apply(valid_request());
        CPPUNIT_ASSERT_EQUAL(std::string(), reply.failure().code());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), reply.revision());
    }

    void bad_requests_get_typed_failures()
    {
        auto request = valid_request();
        request.clear_operation_id();
        assert_refused("invalid_argument", request);
        request = valid_request();
        request.clear_change();
        assert_refused("invalid_argument", request);
        request = valid_request();
        request.set_expected_revision(-2);
        assert_refused("invalid_argument", request);
        request = valid_request();
        request.mutable_change()->mutable_put_workspace()->set_id(
            std::string(300'000, 'a'));
        assert_refused("payload_too_large", request);
        // Operators must not change the membership.
        request = valid_request();
        request.mutable_change()->mutable_membership();
        assert_refused("unsupported", request);
        CPPUNIT_ASSERT_EQUAL(0, applied_.load());
    }

    // One cursor would skip or repeat events of the other instances.
    void a_timeline_cursor_for_all_instances_is_refused()
    {
        grpc::ClientContext context;
        Timeline_request request;
        request.set_all_instances(true);
        request.set_after_cursor("i1-a.5");
        Timeline_reply reply;
        CPPUNIT_ASSERT(stub_->Timeline(&context, request, &reply).ok());
        CPPUNIT_ASSERT_EQUAL(
            std::string("invalid_argument"), reply.failure().code());
    }

    // Guards against callers that wait forever when the control port stops.
    void a_dropped_call_still_gets_an_answer()
    {
        grpc::ClientContext context;
        Describe_reply reply;
        CPPUNIT_ASSERT(
            stub_->Describe(&context, Describe_request(), &reply).ok());
        CPPUNIT_ASSERT_EQUAL(std::string("stopping"), reply.failure().code());
    }

    // Guards against a shutdown that cancels the calls in progress. The call
    // is answered only after the shutdown has begun.
    void shutdown_lets_a_call_in_progress_end()
    {
        auto call = std::async(std::launch::async,
            [this]
            {
                grpc::ClientContext context;
                context.set_deadline(latest());
                Drain_reply reply;
                return stub_->Drain(&context, Drain_request(), &reply);
            });
        CPPUNIT_ASSERT(drain_started_.get_future().wait_until(latest()) ==
                       std::future_status::ready);
        service_->shutdown(
            std::chrono::steady_clock::now() + std::chrono::seconds(10));
        const auto status = call.get();
        CPPUNIT_ASSERT_MESSAGE(status.error_message(), status.ok());
    }

    void a_taken_address_and_bad_tls_files_are_refused()
    {
        const auto address = fmt::format("127.0.0.1:{}", service_->port());
        CPPUNIT_ASSERT(service::create({address, "", ""}, {}).error().code() ==
                       error_code::connect_failed);
        CPPUNIT_ASSERT(service::create({"127.0.0.1:0", "absent", "absent"}, {})
                           .error()
                           .code() == error_code::invalid_settings);
    }

private:
    static std::chrono::system_clock::time_point latest()
    {
        return std::chrono::system_clock::now() + std::chrono::seconds(20);
    }

    /// Returns once new calls are refused, that is, after the shutdown began.
    void wait_for_shutdown()
    {
        for (;;)
        {
            grpc::ClientContext context;
            context.set_deadline(latest());
            Describe_reply reply;
            if (!stub_->Describe(&context, Describe_request(), &reply).ok())
                return;
        }
    }

    static Apply_request valid_request()
    {
        Apply_request request;
        request.set_operation_id("op1");
        request.mutable_change()->mutable_put_workspace()->set_id("acme");
        return request;
    }

    Apply_reply apply(const Apply_request& request)
    {
        grpc::ClientContext context;
        Apply_reply reply;
        const auto status = stub_->Apply(&context, request, &reply);
        CPPUNIT_ASSERT_MESSAGE(status.error_message(), status.ok());
        return reply;
    }

    void assert_refused(const std::string& code, const Apply_request& request)
    {
        CPPUNIT_ASSERT_EQUAL(code, apply(request).failure().code());
    }

    std::atomic<int> applied_{0};
    std::promise<void> drain_started_;
    std::thread slow_answer_;
    std::unique_ptr<service> service_;
    std::unique_ptr<Operator::Stub> stub_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_test);

} // namespace tarragonquay::operators
