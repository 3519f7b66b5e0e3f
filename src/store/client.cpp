#include "store/client.hpp"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string_view>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <grpc/support/time.h>
#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

#include "platform.grpc.pb.h"

namespace tarragonquay::store
{

namespace
{

constexpr int keepalive_interval_ms = 10'000;
constexpr int keepalive_timeout_ms = 2'000;
// Snapshot objects exceed gRPC's default limit of 4 MiB.
constexpr int message_limit_bytes = 256 * 1024 * 1024;

using stub_type = platform::Platform::Stub;

std::shared_ptr<stub_type> make_stub(const std::string& address)
{
    grpc::ChannelArguments arguments;
    // Without its own pool, a new channel to the same address would share
    // the connection of the old one, which may be unresponsive.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    // A retry inside gRPC would hide whether a write was sent.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_interval_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
    arguments.SetMaxReceiveMessageSize(message_limit_bytes);
    arguments.SetMaxSendMessageSize(message_limit_bytes);
    return platform::Platform::NewStub(grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments));
}

gpr_timespec to_grpc(time_point deadline)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::nanoseconds>(
        deadline - std::chrono::steady_clock::now());
    return gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC),
        gpr_time_from_nanos(remaining.count(), GPR_TIMESPAN));
}

/// Whether a failed write certainly had no effect.
bool certainly_not_applied(const grpc::Status& status)
{
    switch (status.error_code())
    {
    case grpc::StatusCode::INVALID_ARGUMENT:
    case grpc::StatusCode::NOT_FOUND:
    case grpc::StatusCode::PERMISSION_DENIED:
    case grpc::StatusCode::UNAUTHENTICATED:
    case grpc::StatusCode::FAILED_PRECONDITION:
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
    case grpc::StatusCode::UNIMPLEMENTED:
        return true;
    case grpc::StatusCode::UNAVAILABLE:
        // gRPC uses UNAVAILABLE for broken connections too; only the message
        // shows that no connection was ever established.
        return status.error_message().starts_with("failed to connect to all");
    default:
        return false;
    }
}

/// Whether later calls should use a new connection.
bool may_be_connection_failure(const grpc::Status& status)
{
    return status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ||
           status.error_code() == grpc::StatusCode::UNAVAILABLE;
}

/// State that gRPC refers to until the call has ended.
struct call_base
{
    call_base() = default;
    virtual ~call_base() = default;
    call_base(const call_base&) = delete;
    call_base& operator=(const call_base&) = delete;

    std::shared_ptr<stub_type> stub;
    grpc::ClientContext context;
};

template <class Request, class Reply>
struct call : call_base
{
    Request request;
    Reply reply;
};

row to_row(platform::Row& message)
{
    return {std::move(*message.mutable_key()),
        std::move(*message.mutable_value()), message.version()};
}

template <class Rows>
std::vector<row> to_rows(Rows& messages)
{
    std::vector<row> rows;
    rows.reserve(static_cast<std::size_t>(messages.size()));
    for (auto& message : messages)
        rows.push_back(to_row(message));
    return rows;
}

} // namespace

class client::implementation
{
public:
    explicit implementation(std::string address)
        : address_(std::move(address)),
          stub_(make_stub(address_)),
          cleanup_thread_([this] { destroy_finished(); })
    {
    }

    ~implementation()
    {
        {
            std::unique_lock lock(mutex_);
            closing_ = true;
            for (const auto& entry : active_)
                entry.first->context.TryCancel();
            changed_.notify_all();
        }
        // The thread ends once no call is active.
        cleanup_thread_.join();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    /// Starts `method` of the stub's callback interface. `convert` turns the
    /// reply into the value for the handler.
    template <class Reply, class T, class Request, class Method, class Convert>
    void start(std::string_view name, bool is_write, Request request,
        time_point deadline, Method method, Convert convert, handler<T> on_done)
    {
        // An expired deadline says nothing about the connection, so such a
        // call must not replace the channel.
        if (deadline <= std::chrono::steady_clock::now())
            return on_done(fail(error_code::store_unavailable,
                fmt::format("{}: the deadline passed before the call", name)));
        auto new_call = std::make_unique<call<Request, Reply>>();
        auto* state = new_call.get();
        state->request = std::move(request);
        state->context.set_deadline(to_grpc(deadline));
        if (!add(std::move(new_call)))
            return on_done(fail(error_code::store_unavailable,
                fmt::format("{}: the client is closing", name)));
        method(state->stub->async(), &state->context,
            &std::as_const(state->request), &state->reply,
            [this, state, name = std::string(name), is_write,
                convert = std::move(convert),
                on_done = std::move(on_done)](const grpc::Status& status)
            {
                if (status.ok())
                    on_done(convert(state->reply));
                else
                {
                    if (may_be_connection_failure(status))
                        replace_channel(state->stub);
                    on_done(to_error(name, is_write, status));
                }
                finish(state);
            });
    }

private:
    static tl::unexpected<error> to_error(
        const std::string& name, bool is_write, const grpc::Status& status)
    {
        const bool unknown = is_write && !certainly_not_applied(status);
        return fail(unknown ? error_code::store_outcome_unknown
                            : error_code::store_unavailable,
            fmt::format("{}: gRPC status {}: {}", name,
                static_cast<int>(status.error_code()), status.error_message()),
            unknown ? execution_state::unknown : execution_state::not_run);
    }

    bool add(std::unique_ptr<call_base> state)
    {
        const std::scoped_lock lock(mutex_);
        if (closing_)
            return false;
        state->stub = stub_;
        auto* key = state.get();
        active_.emplace(key, std::move(state));
        return true;
    }

    void finish(call_base* state)
    {
        const std::scoped_lock lock(mutex_);
        const auto it = active_.find(state);
        finished_.push_back(std::move(it->second));
        active_.erase(it);
        // Notify under the lock: once it is released, the destructor may run.
        changed_.notify_all();
    }

    /// Thread function: destroys finished calls. The last call on a replaced
    /// channel destroys the channel too, and gRPC aborts when that happens in
    /// a callback of the same channel.
    void destroy_finished()
    {
        std::unique_lock lock(mutex_);
        while (!closing_ || !active_.empty() || !finished_.empty())
        {
            changed_.wait(lock,
                [this] {
                    return !finished_.empty() || (closing_ && active_.empty());
                });
            auto done = std::exchange(finished_, {});
            lock.unlock();
            done.clear();
            lock.lock();
        }
    }

    void replace_channel(const std::shared_ptr<stub_type>& failed)
    {
        auto new_stub = make_stub(address_);
        const std::scoped_lock lock(mutex_);
        // Many calls fail together; only the first one replaces the channel.
        if (stub_ == failed && !closing_)
            stub_ = std::move(new_stub);
    }

    const std::string address_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::shared_ptr<stub_type> stub_;
    std::map<call_base*, std::unique_ptr<call_base>> active_;
    std::vector<std::unique_ptr<call_base>> finished_;
    bool closing_ = false;
    std::thread cleanup_thread_;
};

client::client(std::unique_ptr<implementation> impl)
    : implementation_(std::move(impl))
{
}

client::~client() = default;

result<std::unique_ptr<client>> client::create(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0 ||
        colon + 1 == address.size() ||
        !std::all_of(address.begin() + static_cast<std::ptrdiff_t>(colon) + 1,
            address.end(), [](char c) { return c >= '0' && c <= '9'; }))
        return fail(error_code::invalid_argument,
            fmt::format("'{}' is not an address of the form ip:port", address));
    return std::unique_ptr<client>(
        new client(std::make_unique<implementation>(address)));
}

void client::transact(std::vector<condition> conditions,
    std::vector<write> writes, time_point deadline,
    handler<transact_outcome> on_done)
{
    platform::Transact_request request;
    for (auto& expected : conditions)
    {
        auto& message = *request.add_conditions();
        message.set_key(std::move(expected.key));
        message.set_version(expected.version);
    }
    for (auto& change : writes)
    {
        auto& message = *request.add_writes();
        message.set_key(std::move(change.key));
        message.set_erase(!change.value);
        if (change.value)
            message.set_value(std::move(*change.value));
    }
    implementation_->start<platform::Transact_reply>(
        "transact", true, std::move(request), deadline,
        [](auto* stub, auto&&... arguments)
        { stub->Transact(std::forward<decltype(arguments)>(arguments)...); },
        [](platform::Transact_reply& reply) -> result<transact_outcome>
        {
            return transact_outcome{reply.applied(), reply.revision(),
                reply.failed_key(), reply.failed_version()};
        },
        std::move(on_done));
}

void client::read(std::vector<std::string> keys, time_point deadline,
    handler<std::vector<row>> on_done)
{
    platform::Read_request request;
    for (auto& key : keys)
        request.add_keys(std::move(key));
    implementation_->start<platform::Read_reply>(
        "read", false, std::move(request), deadline,
        [](auto* stub, auto&&... arguments)
        { stub->Read(std::forward<decltype(arguments)>(arguments)...); },
        [](platform::Read_reply& reply) -> result<std::vector<row>>
        { return to_rows(*reply.mutable_rows()); },
        std::move(on_done));
}

void client::scan(std::string prefix, std::string after, std::int32_t limit,
    time_point deadline, handler<scan_page> on_done)
{
    platform::Scan_request request;
    request.set_prefix(std::move(prefix));
    request.set_after(std::move(after));
    request.set_limit(limit);
    implementation_->start<platform::Scan_reply>(
        "scan", false, std::move(request), deadline,
        [](auto* stub, auto&&... arguments)
        { stub->Scan(std::forward<decltype(arguments)>(arguments)...); },
        [](platform::Scan_reply& reply) -> result<scan_page> {
            return scan_page{to_rows(*reply.mutable_rows()), reply.more()};
        },
        std::move(on_done));
}

void client::put_object(std::string name, std::string content,
    time_point deadline, handler<bool> on_done)
{
    platform::Put_object_request request;
    request.set_name(std::move(name));
    request.set_content(std::move(content));
    implementation_->start<platform::Put_object_reply>(
        "put_object", true, std::move(request), deadline,
        [](auto* stub, auto&&... arguments)
        { stub->PutObject(std::forward<decltype(arguments)>(arguments)...); },
        [](platform::Put_object_reply&) -> result<bool> { return true; },
        std::move(on_done));
}

void client::fetch_object(std::string name, time_point deadline,
    handler<std::optional<std::string>> on_done)
{
    platform::Fetch_object_request request;
    request.set_name(std::move(name));
    implementation_->start<platform::Fetch_object_reply>(
        "fetch_object", false, std::move(request), deadline,
        [](auto* stub, auto&&... arguments)
        { stub->FetchObject(std::forward<decltype(arguments)>(arguments)...); },
        [](platform::Fetch_object_reply& reply)
            -> result<std::optional<std::string>>
        {
            if (!reply.found())
                return std::optional<std::string>();
            return std::optional(std::move(*reply.mutable_content()));
        },
        std::move(on_done));
}

void client::list_instances(time_point deadline, handler<instance_list> on_done)
{
    implementation_->start<platform::List_instances_reply>(
        "list_instances", false, platform::List_instances_request(), deadline,
        [](auto* stub, auto&&... arguments) {
            stub->ListInstances(
                std::forward<decltype(arguments)>(arguments)...);
        },
        [](platform::List_instances_reply& reply) -> result<instance_list>
        {
            instance_list list;
            list.as_of_unix_ms = reply.as_of_unix_ms();
            for (const auto& message : reply.instances())
                list.instances.push_back(
                    {message.id(), message.address(), message.leaving()});
            return list;
        },
        std::move(on_done));
}

} // namespace tarragonquay::store
