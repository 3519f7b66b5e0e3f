#pragma once

#include "dispatch/endpoint_availability.hpp"
#include "dispatch/endpoint_pool.hpp"
#include "endpoints/http_connection.hpp"
#include "gateway/context.hpp"

namespace tarragonquay::gateway
{

/// Records that a process of an endpoint is leaving and closes the idle
/// connections to it.
void note_leaving(context& ctx, const dispatch::endpoint_process& process,
    dispatch::leaving_source source);

/// Records a limit of which another instance has told.
void note_told_limit(context& ctx, const dispatch::endpoint_process& process,
    const dispatch::endpoint_limit& told);

/// Records a cold phase of which another instance has told.
void note_told_cold_phase(context& ctx,
    const dispatch::endpoint_process& process,
    const dispatch::told_cold_phase& told);
/// Logs that a cold phase of an endpoint begins, as learned from `source`.
void log_cold_phase(context& ctx, const endpoint_id& id, const char* source);

/// Applies what the head of an answer says about the endpoint that sent it:
/// that it is leaving, that it wants no requests for some time, how many it
/// accepts, or that it is cold. Must be
/// called as soon as the head has been read, since the body may take long.
void note_answer_head(context& ctx, const dispatch::endpoint_process& from,
    const endpoints::answer_head& head);

} // namespace tarragonquay::gateway
