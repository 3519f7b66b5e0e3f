#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/clock.hpp"
#include "common/error.hpp"
#include "operator.pb.h"

namespace tarragonquay::operators
{

template <class Request, class Reply>
using operation =
    std::function<void(const Request&, std::function<void(Reply)> on_done)>;

/// Handlers of the operator calls. They run on gRPC's threads, must copy what
/// they keep of the request and may call `on_done` on any thread. A call whose
/// `on_done` is destroyed without a call fails with `stopping`.
struct control_port
{
    operation<Apply_request, Apply_reply> apply;
    operation<Describe_request, Describe_reply> describe;
    operation<Status_request, Status_reply> status;
    operation<Show_order_request, Show_order_reply> show_order;
    operation<Resolve_order_request, Resolve_order_reply> resolve_order;
    operation<Timeline_request, Timeline_reply> timeline;
    operation<Drain_request, Drain_reply> drain;
};

/// Listening address and TLS files. TLS is used when both files are set.
struct listen_settings
{
    /// "ip:port"; port 0 takes any free port.
    std::string address;
    std::string certificate_file;
    std::string key_file;
};

/// Converts an error to the failure of a reply. `current_revision` is set for
/// conflicts only.
Failure to_failure(const error& reason, std::int64_t current_revision = 0);

/// Validate a request before it is passed to the control port.
result<void> validate(const Apply_request& request);
result<void> validate(const Show_order_request& request);
result<void> validate(const Resolve_order_request& request);
result<void> validate(const Timeline_request& request);

/// gRPC server for operators.
class service
{
public:
    /// Starts listening. Fails with `invalid_settings` when the TLS files
    /// can't be read or hold no certificate with its key, and with
    /// `connect_failed` when the address can't be bound.
    static result<std::unique_ptr<service>> create(
        const listen_settings& settings, control_port port);

    /// Shuts down and cancels the calls in progress.
    ~service();
    service(const service&) = delete;
    service& operator=(const service&) = delete;

    /// The bound port.
    int port() const;

    /// Rejects new calls, waits for calls in progress until the deadline and
    /// then cancels them. Blocks until each call has called or destroyed its
    /// `on_done`, so the control thread must keep running meanwhile.
    void shutdown(time_point deadline);

private:
    class implementation;
    explicit service(std::unique_ptr<implementation> parts);

    std::unique_ptr<implementation> implementation_;
};

} // namespace tarragonquay::operators
