#include "ctl/connection.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <openssl/pem.h>

#include "operator.grpc.pb.h"

namespace tarragonquay::ctl
{

namespace
{

using operators::Operator;

// A change waits for a majority, so one attempt may take several seconds.
constexpr std::chrono::seconds attempt_timeout{5};
constexpr std::chrono::milliseconds retry_delay{200};
constexpr int max_reply_bytes = 64 * 1024 * 1024;

/// Without a certificate, gRPC fails each call without a clear cause.
bool holds_certificate(const std::string& pem)
{
    const std::unique_ptr<BIO, decltype(&BIO_free_all)> text(
        BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())),
        BIO_free_all);
    const std::unique_ptr<X509, decltype(&X509_free)> certificate(
        PEM_read_bio_X509(text.get(), nullptr, nullptr, nullptr), X509_free);
    return certificate != nullptr;
}

result<std::shared_ptr<grpc::ChannelCredentials>> make_credentials(
    const std::string& ca_file)
{
    if (ca_file.empty())
        return grpc::InsecureChannelCredentials();
    std::ifstream file(ca_file, std::ios::binary);
    if (!file)
        return fail(error_code::invalid_settings,
            fmt::format("file '{}' can't be read", ca_file));
    grpc::SslCredentialsOptions options;
    options.pem_root_certs.assign(std::istreambuf_iterator<char>(file), {});
    if (!holds_certificate(options.pem_root_certs))
        return fail(error_code::invalid_settings,
            fmt::format("file '{}' holds no PEM certificate", ca_file));
    return grpc::SslCredentials(options);
}

bool contains(const grpc::Status& status, const char* text)
{
    return status.error_message().find(text) != std::string::npos;
}

bool has_no_answer(const grpc::Status& status)
{
    return status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ||
           status.error_code() == grpc::StatusCode::UNAVAILABLE ||
           status.error_code() == grpc::StatusCode::CANCELLED;
}

/// Whether the TLS handshake failed, so that no call was sent. A retry would
/// fail in the same way. Only gRPC's message distinguishes this from a lost
/// connection.
bool is_tls_failure(const grpc::Status& status)
{
    return status.error_code() == grpc::StatusCode::UNAVAILABLE &&
           (contains(status, "Ssl handshake failed") ||
               contains(status, "is not in peer certificate"));
}

/// Whether the instance could not determine the outcome.
bool is_outcome_unknown(const operators::Failure& failure)
{
    return failure.code() == to_string(error_code::store_outcome_unknown);
}

} // namespace

class connection::implementation
{
public:
    implementation(const global_options& options,
        std::shared_ptr<grpc::ChannelCredentials> credentials)
        : address_(options.address),
          uses_tls_(!options.ca_file.empty()),
          credentials_(std::move(credentials)),
          deadline_(std::chrono::steady_clock::now() +
                    std::chrono::milliseconds(options.timeout_ms))
    {
        reconnect();
    }

    template <class Reply, class Method, class Request>
    result<Reply> call(Method method, const Request& request, bool may_retry)
    {
        bool is_first = true;
        while (true)
        {
            Reply reply;
            grpc::ClientContext context;
            const auto now = std::chrono::steady_clock::now();
            const auto limit =
                std::min<duration>(attempt_timeout, deadline_ - now);
            context.set_deadline(
                std::chrono::system_clock::now() +
                std::chrono::duration_cast<std::chrono::milliseconds>(limit));
            const auto status =
                (stub_.get()->*method)(&context, request, &reply);
            if (status.ok() && !is_outcome_unknown(reply.failure()))
                return checked(std::move(reply));
            const bool is_last =
                !may_retry ||
                std::chrono::steady_clock::now() + retry_delay >= deadline_;
            if (status.ok() && is_last)
                return checked(std::move(reply));
            if (!status.ok() && is_tls_failure(status))
                return tls_failure(status, is_first);
            if (!status.ok() && (is_last || !has_no_answer(status)))
                return to_error(status);
            is_first = false;
            std::this_thread::sleep_for(retry_delay);
            reconnect();
        }
    }

private:
    template <class Reply>
    static result<Reply> checked(Reply reply)
    {
        const auto& failure = reply.failure();
        if (failure.code().empty())
            return reply;
        auto text = failure.message();
        if (failure.current_revision() != 0)
            text += fmt::format(
                " (current revision {})", failure.current_revision());
        return fail(error_code_from_string(failure.code()), std::move(text));
    }

    tl::unexpected<error> to_error(const grpc::Status& status) const
    {
        if (!has_no_answer(status))
            return fail(
                error_code::internal, fmt::format("gRPC status {}: {}",
                                          static_cast<int>(status.error_code()),
                                          status.error_message()));
        // A TLS listener closes connections that do not use TLS.
        const bool may_need_tls = !uses_tls_ &&
                                  contains(status, "failed to connect") &&
                                  !contains(status, "refused");
        return fail(error_code::peer_unreachable,
            fmt::format("{} did not answer: {}{}", address_,
                status.error_message(),
                may_need_tls ? "; a listener with TLS needs --ca-file" : ""),
            execution_state::unknown);
    }

    /// An earlier attempt may have reached the instance.
    tl::unexpected<error> tls_failure(
        const grpc::Status& status, bool is_first) const
    {
        const auto text = fmt::format("TLS with {} failed{}: {}", address_,
            is_first ? "" : " after an attempt without an answer",
            status.error_message());
        if (is_first)
            return fail(error_code::connect_failed, text);
        return fail(
            error_code::peer_unreachable, text, execution_state::unknown);
    }

    void reconnect()
    {
        grpc::ChannelArguments arguments;
        // Prevents a new channel from reusing an old connection.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetMaxReceiveMessageSize(max_reply_bytes);
        stub_ = Operator::NewStub(
            grpc::CreateCustomChannel(address_, credentials_, arguments));
    }

    const std::string address_;
    const bool uses_tls_;
    const std::shared_ptr<grpc::ChannelCredentials> credentials_;
    const time_point deadline_;
    std::unique_ptr<Operator::Stub> stub_;
};

connection::connection(std::unique_ptr<implementation> parts)
    : implementation_(std::move(parts))
{
}

connection::~connection() = default;

result<std::unique_ptr<connection>> connection::create(
    const global_options& options)
{
    auto credentials = make_credentials(options.ca_file);
    if (!credentials)
        return tl::unexpected(credentials.error());
    return std::unique_ptr<connection>(new connection(
        std::make_unique<implementation>(options, std::move(*credentials))));
}

result<operators::Apply_reply> connection::apply(
    const operators::Apply_request& request)
{
    return implementation_->call<operators::Apply_reply>(
        &Operator::Stub::Apply, request, true);
}

result<operators::Describe_reply> connection::describe()
{
    return implementation_->call<operators::Describe_reply>(
        &Operator::Stub::Describe, operators::Describe_request(), true);
}

result<operators::Status_reply> connection::status()
{
    return implementation_->call<operators::Status_reply>(
        &Operator::Stub::Status, operators::Status_request(), true);
}

result<operators::Timeline_reply> connection::timeline(
    const operators::Timeline_request& request)
{
    return implementation_->call<operators::Timeline_reply>(
        &Operator::Stub::Timeline, request, true);
}

result<operators::Drain_reply> connection::drain()
{
    return implementation_->call<operators::Drain_reply>(
        &Operator::Stub::Drain, operators::Drain_request(), true);
}

result<operators::Show_order_reply> connection::show_order(
    const operators::Show_order_request& request)
{
    return implementation_->call<operators::Show_order_reply>(
        &Operator::Stub::ShowOrder, request, true);
}

result<operators::Resolve_order_reply> connection::resolve_order(
    const operators::Resolve_order_request& request)
{
    return implementation_->call<operators::Resolve_order_reply>(
        &Operator::Stub::ResolveOrder, request, false);
}

} // namespace tarragonquay::ctl
