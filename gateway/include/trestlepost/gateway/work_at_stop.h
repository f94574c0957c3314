// Which work a stopping node begins, and the outcome of work that it ends.
#pragma once

#include <chrono>
#include <string>

#include "trestlepost/gateway/attempt.h"
#include "trestlepost/gateway/context.h"
#include "trestlepost/gateway/routed_request.h"

namespace trestlepost::gateway {

/// Why a stopping node does not begin a request. The request has not run.
error stopping_error();
attempt stopping_refusal();

/// Returns whether a request of `kind` that begins now may run at this node.
/// While the node is stopping, the request must be expected to end, by itself
/// or at its `deadline`, before work in progress is ended.
bool may_begin(const stop_deadline& stop, const routing::run_time_bounds& times,
               const std::string& kind, monotonic_time deadline,
               monotonic_time now);
bool may_begin(const gateway_context& context, const std::string& kind,
               monotonic_time deadline);

bool may_begin(const gateway_context& context, const routed_request& request);

/// Returns whether a request that is expected to take so long from `now` may
/// run at this node.
bool may_take(const stop_deadline& stop, std::chrono::nanoseconds expected,
              monotonic_time deadline, monotonic_time now);

/// Returns whether a call of a request with this deadline failed with `cause`
/// because the stop ended it.
bool is_ended_by_stop(const stop_deadline& stop, const error& cause,
                      monotonic_time deadline, monotonic_time now);
bool is_ended_by_stop(const gateway_context& context, const error& cause,
                      monotonic_time deadline);

/// If the stop has ended `ended`, an attempt of this request, sets its cause
/// accordingly, logs and counts it.
void record_if_ended_by_stop(const gateway_context& context,
                             const std::string& request_id,
                             const std::string& service,
                             monotonic_time deadline,
                             const transport::http_exchange& exchange,
                             attempt& ended);

/// Records how long a request has run that began at `began`.
void record_run_time(gateway_context& context, const std::string& kind,
                     monotonic_time began, const attempt& outcome);

}  // namespace trestlepost::gateway
