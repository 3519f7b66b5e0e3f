#pragma once

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "support/deployment.hpp"
#include "support/http_client.hpp"

namespace tarragonquay::test_support
{

/// A completion as a caller asks for it.
struct completion_call
{
    std::string prompt = "write a verse";
    int max_tokens = 8;
    bool stream = true;
    std::string model = "m";
    std::string adapter;

    nlohmann::json body() const;
    /// Text that the stand-in engine produces for it.
    std::string expected_text() const;
    /// The request with the key as a bearer token.
    http_call request(const std::string& key) const;
};

/// Text of an answer, streamed or not, as far as it arrived.
std::string text_of(const http_reply& reply);
/// Whether an answer claims to be whole: status 200, the body arrived, and a
/// stream ended with [DONE] and without an error event.
bool claims_whole(const http_reply& reply);
/// Whether a stream ended with an explicit error event.
bool ends_with_error_event(const http_reply& reply);
/// Status, body and completeness, for the messages of assertions.
std::string describe(const http_reply& reply);
/// Code of a typed error body or error event, else empty.
std::string error_code_of(const http_reply& reply);

/// POST /v1/chat/completions over a new connection.
http_reply complete(const std::string& entry, const std::string& key,
    const completion_call& call = {});
/// POST /services/orders/send with an order and an idempotency key.
http_call order_request(const std::string& key, const std::string& order);

/// A deployment with the workspaces w1 and w2, the model m with the adapter a
/// and the service orders, whose routes below /open/ need no key.
struct configured_system
{
    std::unique_ptr<deployment> system;
    std::string key1;
    std::string key2;

    deployment* operator->() const { return system.get(); }
};

/// Returns when the model answers on every instance.
configured_system start_configured(const deployment_options& options);

/// Requests that an endpoint saw, from GET /admin/seen.
nlohmann::json seen_by(const std::string& endpoint);
/// Requests for completions or services among them, without polls.
std::size_t work_seen_by(const std::string& endpoint);

} // namespace tarragonquay::test_support
