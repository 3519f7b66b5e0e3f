#pragma once

#include <utility>

#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "gateway/answer_sink.hpp"
#include "gateway/caller_request.hpp"
#include "gateway/context.hpp"

namespace tarragonquay::gateway
{

/// How one send to an endpoint ended.
enum class attempt_outcome
{
    /// A whole answer that the endpoint made.
    answered,
    /// No byte was sent.
    not_connected,
    /// The endpoint rejected the request before running it.
    rejected,
    /// It is not the expected endpoint, or lacks the model.
    misdirected,
    /// The request may have run: no answer, a part of one, or a wrong one.
    unknown,
    /// The caller has closed its connection.
    caller_gone
};

std::string_view to_string(attempt_outcome value);

/// A request on its way through the gateway. The configuration stays the one
/// that it was admitted with.
struct call
{
    context& ctx;
    caller_request request;
    answer_sink& out;
    std::shared_ptr<const routes::route_table> routes;
    const routes::route* route = nullptr;
    const routes::workspace* workspace = nullptr;
    const routes::service* service = nullptr;
    /// The caller's deadline or the route's timeout, whichever is first.
    time_point deadline;
    /// Sends that reached an endpoint.
    int sends = 0;
    /// Whether one of them may have run.
    bool may_have_run = false;
    std::set<endpoint_id> tried;
    /// Endpoint of the latest send, for the log.
    endpoint_id endpoint;
    /// Typed reason of the outcome, for the log.
    std::string reason;
    /// Expected wait at the chosen endpoint, for the log; negative when none
    /// was chosen.
    double expected_ms = -1;

    call(context& context, caller_request from, answer_sink& sink)
        : ctx(context), request(std::move(from)), out(sink)
    {
    }
};

/// Answers a request that was not run, or whose outcome is unknown.
boost::asio::awaitable<void> refuse(
    call& call, int status, std::string reason, double retry_after_s = 0);

/// What the decision about a request depended on, for its log line.
nlohmann::ordered_json decision_inputs(const call& call);

/// Whether another send is allowed: attempts, time and the budget of repeats.
/// Takes one repeat from the budget.
bool take_attempt(call& call);

/// The request as it goes to this endpoint.
endpoints::exchange_request make_exchange(
    const call& call, const dispatch::endpoint_choice& to, time_point deadline);

/// Opens or reuses a connection to the endpoint; fails as not_run.
boost::asio::awaitable<result<endpoints::http_connection>> connect(
    call& call, const dispatch::endpoint_choice& to, time_point deadline);

/// Classifies the head of an answer; `answered` when it is the endpoint's own.
attempt_outcome classify_head(
    const call& call, const endpoints::answer_head& head);

/// The answer as it may go to the caller. A status that promises that the
/// request has not run becomes 502 where the endpoint made no such promise.
whole_answer make_caller_answer(
    const call& call, endpoints::answer_head head, std::string body);

/// Writes the line of an attempt that did not end with an answer.
void log_attempt(const call& call, const endpoint_id& endpoint,
    attempt_outcome outcome, const std::string& detail);

/// Serves a request whose answer is whole.
boost::asio::awaitable<void> run_plain_call(call& call);
/// Serves a request whose answer is a stream of events.
boost::asio::awaitable<void> run_stream_call(call& call);

} // namespace tarragonquay::gateway
