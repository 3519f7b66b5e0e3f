#include <utility>

#include "standins/platform_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <grpcpp/grpcpp.h>

#include "platform.grpc.pb.h"

namespace tarragonquay::standins
{
namespace
{

using grpc::CallbackServerContext;
using grpc::ServerUnaryReactor;
using effect = std::function<void()>;

/// What a call costs, and whether its answer may be lost.
struct call_cost
{
    bool write;
    double operations;
};

class platform_service final : public platform::Platform::CallbackService
{
public:
    platform_service(asio::io_context& io, platform_state& state)
        : io_(io), state_(state)
    {
    }

    ServerUnaryReactor* Transact(CallbackServerContext* context,
        const platform::Transact_request* request,
        platform::Transact_reply* reply) override
    {
        return start(context, {true, cost(request->writes_size())},
            [this, request, reply] { state_.transact(*request, *reply); });
    }

    ServerUnaryReactor* Read(CallbackServerContext* context,
        const platform::Read_request* request,
        platform::Read_reply* reply) override
    {
        return start(context, {false, cost(request->keys_size())},
            [this, request, reply] { state_.read(*request, *reply); });
    }

    ServerUnaryReactor* Scan(CallbackServerContext* context,
        const platform::Scan_request* request,
        platform::Scan_reply* reply) override
    {
        return start(context, {false, 1},
            [this, request, reply] { state_.scan(*request, *reply); });
    }

    ServerUnaryReactor* PutObject(CallbackServerContext* context,
        const platform::Put_object_request* request,
        platform::Put_object_reply*) override
    {
        return start(context, {true, 1},
            [this, request]
            { state_.objects()[request->name()] = request->content(); });
    }

    ServerUnaryReactor* FetchObject(CallbackServerContext* context,
        const platform::Fetch_object_request* request,
        platform::Fetch_object_reply* reply) override
    {
        return start(context, {false, 1},
            [this, request, reply]
            {
                const auto found = state_.objects().find(request->name());
                if (found == state_.objects().end())
                    return;
                reply->set_found(true);
                reply->set_content(found->second);
            });
    }

    ServerUnaryReactor* ListInstances(CallbackServerContext* context,
        const platform::List_instances_request*,
        platform::List_instances_reply* reply) override
    {
        return start(
            context, {false, 1}, [this, reply] { state_.list(*reply); });
    }

private:
    static double cost(int operations)
    {
        return operations > 0 ? operations : 1;
    }

    ServerUnaryReactor* start(
        CallbackServerContext* context, call_cost cost, effect run)
    {
        auto* reactor = context->DefaultReactor();
        asio::co_spawn(
            io_, serve(context, cost, std::move(run), reactor), asio::detached);
        return reactor;
    }

    /// Waits until the caller gave up.
    static asio::awaitable<void> wait_for_cancel(CallbackServerContext* context)
    {
        constexpr double poll_ms = 20;
        while (!context->IsCancelled())
            co_await sleep_ms(poll_ms);
    }

    asio::awaitable<void> serve(CallbackServerContext* context, call_cost cost,
        effect run, ServerUnaryReactor* reactor)
    {
        if (state_.mode() == platform_mode::hang)
            co_await wait_for_cancel(context);
        if (state_.mode() == platform_mode::down || context->IsCancelled())
        {
            reactor->Finish(grpc::Status(
                grpc::StatusCode::UNAVAILABLE, "platform is down"));
            co_return;
        }
        auto& queue = cost.write ? state_.writes() : state_.reads();
        const double wait = queue.reserve(cost.operations, state_.queue_ms());
        if (wait < 0)
        {
            state_.count_refusal();
            reactor->Finish(grpc::Status(
                grpc::StatusCode::RESOURCE_EXHAUSTED, "rate limit"));
            co_return;
        }
        if (wait > 0)
            co_await sleep_ms(wait);
        if (state_.mode() == platform_mode::slow)
            co_await sleep_ms(state_.slow_ms());
        run();
        state_.count(cost.write, cost.operations);
        if (cost.write && state_.consume_lost_answer())
            co_await wait_for_cancel(context);
        reactor->Finish(grpc::Status::OK);
    }

    asio::io_context& io_;
    platform_state& state_;
};

} // namespace

struct platform_server::parts
{
    std::unique_ptr<platform_service> service;
    std::unique_ptr<grpc::Server> server;
};

platform_server::platform_server(
    std::unique_ptr<parts> inner, std::string address)
    : parts_(std::move(inner)), address_(std::move(address))
{
}

platform_server::~platform_server() = default;

result<std::unique_ptr<platform_server>> platform_server::open(
    asio::io_context& io, platform_state& state, const std::string& listen)
{
    auto inner = std::make_unique<parts>();
    inner->service = std::make_unique<platform_service>(io, state);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(listen, grpc::InsecureServerCredentials(), &port);
    // Snapshots of the configuration exceed the default limit of 4 MiB.
    builder.SetMaxReceiveMessageSize(-1);
    builder.SetMaxSendMessageSize(-1);
    builder.RegisterService(inner->service.get());
    inner->server = builder.BuildAndStart();
    if (!inner->server || port == 0)
        return fail(error_code::invalid_argument, "cannot listen on " + listen);
    const std::string address =
        listen.substr(0, listen.rfind(':') + 1) + std::to_string(port);
    return std::unique_ptr<platform_server>(
        new platform_server(std::move(inner), address));
}

} // namespace tarragonquay::standins
