#include "operators/service.hpp"

#include <atomic>
#include <chrono>
#include <fstream>
#include <iterator>
#include <utility>

#include <fmt/format.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include "operator.grpc.pb.h"

namespace tarragonquay::operators
{

namespace
{

// Larger than the limit in validate(), which returns a typed failure.
constexpr int max_message_bytes = 1024 * 1024;
// Without pings, gRPC keeps the connection of an unresponsive peer for 2 h.
constexpr int keepalive_interval_ms = 10'000;
constexpr int keepalive_timeout_ms = 2'000;
// gRPC's default of 120 s lets an unresponsive peer hold its descriptor longer.
constexpr int handshake_timeout_ms = 10'000;

/// One call in progress. Finishes its reactor exactly once: with the reply,
/// or in the destructor when the control port released it without a reply.
template <class Reply>
class pending_call
{
public:
    pending_call(grpc::ServerUnaryReactor* reactor, Reply* reply)
        : reactor_(reactor), reply_(reply)
    {
    }

    ~pending_call()
    {
        fail_with(error(error_code::stopping, "the instance is stopping"));
    }

    pending_call(const pending_call&) = delete;
    pending_call& operator=(const pending_call&) = delete;

    void finish(Reply reply)
    {
        if (finished_.exchange(true))
            return;
        *reply_ = std::move(reply);
        reactor_->Finish(grpc::Status::OK);
    }

    void fail_with(const error& reason)
    {
        Reply reply;
        *reply.mutable_failure() = to_failure(reason);
        finish(std::move(reply));
    }

private:
    grpc::ServerUnaryReactor* reactor_;
    Reply* reply_;
    std::atomic<bool> finished_{false};
};

template <class Request>
result<void> check(const Request& request)
{
    if constexpr (requires { validate(request); })
        return validate(request);
    else
        return {};
}

class grpc_service final : public Operator::CallbackService
{
public:
    explicit grpc_service(control_port port) : port_(std::move(port)) {}

    grpc::ServerUnaryReactor* Apply(grpc::CallbackServerContext* context,
        const Apply_request* request, Apply_reply* reply) override
    {
        return run(port_.apply, context, request, reply);
    }

    grpc::ServerUnaryReactor* Describe(grpc::CallbackServerContext* context,
        const Describe_request* request, Describe_reply* reply) override
    {
        return run(port_.describe, context, request, reply);
    }

    grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext* context,
        const Status_request* request, Status_reply* reply) override
    {
        return run(port_.status, context, request, reply);
    }

    grpc::ServerUnaryReactor* ShowOrder(grpc::CallbackServerContext* context,
        const Show_order_request* request, Show_order_reply* reply) override
    {
        return run(port_.show_order, context, request, reply);
    }

    grpc::ServerUnaryReactor* ResolveOrder(grpc::CallbackServerContext* context,
        const Resolve_order_request* request,
        Resolve_order_reply* reply) override
    {
        return run(port_.resolve_order, context, request, reply);
    }

    grpc::ServerUnaryReactor* Timeline(grpc::CallbackServerContext* context,
        const Timeline_request* request, Timeline_reply* reply) override
    {
        return run(port_.timeline, context, request, reply);
    }

    grpc::ServerUnaryReactor* Drain(grpc::CallbackServerContext* context,
        const Drain_request* request, Drain_reply* reply) override
    {
        return run(port_.drain, context, request, reply);
    }

private:
    template <class Request, class Reply>
    static grpc::ServerUnaryReactor* run(const operation<Request, Reply>& call,
        grpc::CallbackServerContext* context, const Request* request,
        Reply* reply)
    {
        auto* reactor = context->DefaultReactor();
        auto pending = std::make_shared<pending_call<Reply>>(reactor, reply);
        if (const auto checked = check(*request); !checked)
            pending->fail_with(checked.error());
        else if (!call)
            pending->fail_with(
                error(error_code::unsupported, "this call is not supported"));
        else
            call(*request, [pending](Reply answer)
                { pending->finish(std::move(answer)); });
        return reactor;
    }

    const control_port port_;
};

result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return fail(error_code::invalid_settings,
            fmt::format("file '{}' can't be read", path));
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::unique_ptr<BIO, decltype(&BIO_free_all)> make_memory_bio(
    const std::string& text)
{
    return {BIO_new_mem_buf(text.data(), static_cast<int>(text.size())),
        BIO_free_all};
}

/// Without this callback, OpenSSL asks for a passphrase on the terminal.
int refuse_passphrase(char*, int, int, void*)
{
    return -1;
}

/// Checks the TLS files, because gRPC reports invalid ones only as an address
/// that can't be bound.
result<void> check_certificate_and_key(const listen_settings& settings,
    const std::string& certificate_pem, const std::string& key_pem)
{
    const auto certificate_text = make_memory_bio(certificate_pem);
    const std::unique_ptr<X509, decltype(&X509_free)> certificate(
        PEM_read_bio_X509(certificate_text.get(), nullptr, nullptr, nullptr),
        X509_free);
    if (!certificate)
        return fail(error_code::invalid_settings,
            fmt::format("file '{}' holds no PEM certificate",
                settings.certificate_file));
    const auto key_text = make_memory_bio(key_pem);
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(
        PEM_read_bio_PrivateKey(
            key_text.get(), nullptr, refuse_passphrase, nullptr),
        EVP_PKEY_free);
    if (!key)
        return fail(error_code::invalid_settings,
            fmt::format("file '{}' holds no PEM key without a passphrase",
                settings.key_file));
    if (X509_check_private_key(certificate.get(), key.get()) != 1)
        return fail(error_code::invalid_settings,
            fmt::format("the key in '{}' does not belong to the certificate "
                        "in '{}'",
                settings.key_file, settings.certificate_file));
    return {};
}

result<std::shared_ptr<grpc::ServerCredentials>> make_credentials(
    const listen_settings& settings)
{
    if (settings.certificate_file.empty() != settings.key_file.empty())
        return fail(error_code::invalid_settings,
            "TLS needs both a certificate file and a key file");
    if (settings.certificate_file.empty())
        return grpc::InsecureServerCredentials();
    const auto certificate = read_file(settings.certificate_file);
    if (!certificate)
        return tl::unexpected(certificate.error());
    const auto key = read_file(settings.key_file);
    if (!key)
        return tl::unexpected(key.error());
    if (auto checked = check_certificate_and_key(settings, *certificate, *key);
        !checked)
        return tl::unexpected(checked.error());
    grpc::SslServerCredentialsOptions options;
    options.pem_key_cert_pairs.push_back({*key, *certificate});
    return grpc::SslServerCredentials(options);
}

} // namespace

class service::implementation
{
public:
    explicit implementation(control_port port) : handlers_(std::move(port)) {}

    result<void> listen(const listen_settings& settings)
    {
        const auto credentials = make_credentials(settings);
        if (!credentials)
            return tl::unexpected(credentials.error());
        grpc::ServerBuilder builder;
        // A second process on the same port must fail, not share it.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddChannelArgument(
            GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_interval_ms);
        builder.AddChannelArgument(
            GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
        // By default, gRPC sends at most two pings without data frames.
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        builder.AddChannelArgument(
            GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS, handshake_timeout_ms);
        builder.SetMaxReceiveMessageSize(max_message_bytes);
        builder.AddListeningPort(settings.address, *credentials, &bound_port_);
        builder.RegisterService(&handlers_);
        server_ = builder.BuildAndStart();
        if (!server_ || bound_port_ == 0)
            return fail(error_code::connect_failed,
                fmt::format("address '{}' can't be bound", settings.address));
        return {};
    }

    int port() const { return bound_port_; }

    void shutdown(time_point deadline)
    {
        if (!server_)
            return;
        const auto remaining = deadline - std::chrono::steady_clock::now();
        server_->Shutdown(
            std::chrono::system_clock::now() +
            std::chrono::duration_cast<std::chrono::system_clock::duration>(
                remaining));
        server_.reset();
    }

private:
    grpc_service handlers_;
    int bound_port_ = 0;
    std::unique_ptr<grpc::Server> server_;
};

service::service(std::unique_ptr<implementation> parts)
    : implementation_(std::move(parts))
{
}

service::~service()
{
    shutdown(std::chrono::steady_clock::now());
}

result<std::unique_ptr<service>> service::create(
    const listen_settings& settings, control_port port)
{
    auto parts = std::make_unique<implementation>(std::move(port));
    if (const auto listening = parts->listen(settings); !listening)
        return tl::unexpected(listening.error());
    return std::unique_ptr<service>(new service(std::move(parts)));
}

int service::port() const
{
    return implementation_->port();
}

void service::shutdown(time_point deadline)
{
    implementation_->shutdown(deadline);
}

} // namespace tarragonquay::operators
