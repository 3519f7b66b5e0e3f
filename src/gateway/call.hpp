#pragma once

#include <utility>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "gateway/answer_sink.hpp"
#include "gateway/caller_request.hpp"
#include "gateway/collected_bytes.hpp"
#include "gateway/context.hpp"

namespace tarragonquay::gateway
{

/// Outcome of sending a request to one endpoint.
enum class attempt_outcome
{
    /// The endpoint itself returned a complete answer.
    answered,
    /// No byte of the request was sent.
    not_connected,
    /// The endpoint rejected the request before running it.
    rejected,
    /// The receiver is not the expected endpoint, or it lacks the model.
    misdirected,
    /// The request may have run: the answer is missing, incomplete or invalid.
    unknown,
    /// The caller has closed its connection.
    caller_gone
};

std::string_view to_string(attempt_outcome value);

/// Marks the parts of a suspect request as in flight at this instance, until it
/// is established or lost.
class suspect_flight
{
public:
    suspect_flight(context& ctx, std::vector<std::uint64_t> parts);
    ~suspect_flight();
    suspect_flight(const suspect_flight&) = delete;
    suspect_flight& operator=(const suspect_flight&) = delete;

private:
    context* ctx_;
    std::vector<std::uint64_t> parts_;
};

/// A send whose connection the endpoint broke before the answer was
/// established.
struct lost_send
{
    dispatch::endpoint_choice at;
    /// Start of the endpoint's process in milliseconds of Unix time.
    std::int64_t started_unix_ms = 0;
    time_point lost_at;
};

/// State of a request while the gateway serves it. `routes` is the
/// configuration at the request's arrival; a later one does not replace it.
struct call
{
    context& ctx;
    caller_request request;
    answer_sink& out;
    std::shared_ptr<const routes::route_table> routes;
    const routes::route* route = nullptr;
    const routes::workspace* workspace = nullptr;
    const routes::service* service = nullptr;
    /// The earlier of the caller's deadline and the route's timeout.
    time_point deadline;
    /// Number of times that the request was sent to an endpoint.
    int sends = 0;
    /// Those of them that went to an endpoint to which the request was sent
    /// before.
    int sends_to_known = 0;
    /// Number of sends that run, have run, or may have run. The workspace is
    /// charged for each of them.
    int charged_sends = 0;
    /// Whether an endpoint may have run the request.
    bool may_have_run = false;
    /// Whether the repeat for the next send has been taken from the budget.
    bool repeat_taken = false;
    std::set<endpoint_id> tried;
    /// Set while the request is sent although one of its parts is suspect.
    std::unique_ptr<suspect_flight> suspect;
    /// Whether an engine ended while the request waited or had just begun
    /// there.
    bool lost_in_crash = false;
    /// Whether an endpoint has answered the request for so long that its prompt
    /// is no cause of crashes.
    bool established = false;
    /// Lost sends that are not yet recorded as evidence of crashes.
    std::vector<lost_send> lost_sends;
    /// Endpoint of the latest attempt, for the log.
    endpoint_id endpoint;
    /// Reason code of the outcome, for the log and the metrics.
    std::string reason;
    /// Expected wait at the chosen endpoint in milliseconds, for the log;
    /// negative when none was chosen.
    double expected_ms = -1;
    collected_bytes answer_bytes;

    call(context& context, caller_request from, answer_sink& sink)
        : ctx(context),
          request(std::move(from)),
          out(sink),
          answer_bytes(context.collected_answer_bytes)
    {
        ctx.running_calls.insert(this);
    }
    ~call() { ctx.running_calls.erase(this); }
    call(const call&) = delete;
    call& operator=(const call&) = delete;
};

/// Logs a refusal and answers the caller with `status`. `retry_after_s` is the
/// Retry-After value in seconds; 0 for none.
boost::asio::awaitable<void> refuse(
    call& call, int status, std::string reason, double retry_after_s = 0);

/// Why no endpoint accepts the request now, and when the first one accepts
/// requests again.
struct blocked_endpoints
{
    /// Reason code of the refusal.
    const char* reason;
    double retry_after_s;
};

/// No value unless all endpoints of the service are in evacuated zones, have
/// asked for a pause or have no place left, since they have named a limit or
/// are cold, or the engines that hold the model and the adapter have no place
/// left.
std::optional<blocked_endpoints> find_blocked(const call& call);

/// Whether an endpoint runs the request, has run it or may have run it. A send
/// counts until the endpoint has rejected it.
bool runs_or_may_have_run(const call& call);

/// Whether the caller has gone and the request ends. A caller that closes only
/// its sending side can't be told from one that has left, so a plain request
/// that must not be repeated is finished once it was sent: only its answer
/// tells whether it has run.
bool is_abandoned(const call& call);

/// The inputs of the decision about a request, for the log.
nlohmann::ordered_json decision_inputs(const call& call);
/// The progress of a request that ends without an answer, for the log.
nlohmann::ordered_json progress_fields(const call& call);

/// Whether the route permits to send the request to one more endpoint. The
/// number of attempts limits the number of different endpoints.
bool attempts_left(const call& call);
/// Whether the service's budget has a repeat left.
bool has_repeat(call& call, time_point now);
/// Takes one repeat from the service's budget, unless this is the first send.
/// Returns false when the budget is used up.
bool take_repeat(call& call);

/// Must be called for each send. The admission charges the workspace for the
/// first one, and this function for each further one while an earlier one may
/// have run.
void charge_send(call& call);
/// Records that an endpoint rejected a send without running the request, so
/// that the workspace is not charged for it.
void note_not_run(call& call);
/// Refunds the charge of the admission when no endpoint may have run the
/// request.
void settle_charge(call& call);

/// Builds the request to send to this endpoint.
endpoints::exchange_request make_exchange(
    const call& call, const dispatch::endpoint_choice& to, time_point deadline);

/// Returns a pooled or a new connection to the endpoint. A failure has the
/// execution state not_run.
boost::asio::awaitable<result<endpoints::http_connection>> connect(
    call& call, const dispatch::endpoint_choice& to, time_point deadline);

/// Whether the request may still be sent to the endpoint that was chosen for
/// it. Must be asked after each wait, since the endpoint may have announced
/// that it leaves, or its zone may have been evacuated, which is logged.
bool may_use(const call& call, const dispatch::endpoint_choice& to);

/// Classifies an answer by its head; `answered` when the endpoint itself made
/// it.
attempt_outcome classify_head(
    const call& call, const endpoints::answer_head& head);

/// Reads the body of an answer into memory. Fails with incomplete_answer when
/// it is too large, and with cancelled when the caller has gone.
boost::asio::awaitable<result<std::string>> collect_body(
    call& call, endpoints::http_connection& connection, time_point deadline);

/// Whether the connection may be used again after this answer. A refusal that
/// the endpoint repeats on it would be taken for the answer to a retry, which
/// has the same request id. A leaving endpoint gets no further request.
bool may_keep_connection(const call& call, attempt_outcome outcome,
    const endpoints::answer_head& head);

/// Converts an endpoint's answer to the one for the caller. On routes that must
/// not repeat requests, a status that means "not run" (408, 421, 429, 503)
/// becomes 502, because the endpoint did not confirm that it has not run.
whole_answer make_caller_answer(
    const call& call, endpoints::answer_head head, std::string body);

/// Logs and counts an attempt that returned no answer for the caller. `send` is
/// the number of its send.
void log_attempt(const call& call, const endpoint_id& endpoint,
    attempt_outcome outcome, const std::string& detail, int send);

/// Serves a request that is answered with a single response.
boost::asio::awaitable<void> run_plain_call(call& call);
/// Serves a request that is answered with a stream of events.
boost::asio::awaitable<void> run_stream_call(call& call);

} // namespace tarragonquay::gateway
