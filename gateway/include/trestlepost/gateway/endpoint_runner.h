// Runs one attempt of a routed request on one endpoint and passes its answer
// back to the caller.
#pragma once

#include <optional>
#include <string>

#include "trestlepost/gateway/attempt.h"
#include "trestlepost/gateway/crash_monitor.h"
#include "trestlepost/gateway/endpoint_pool.h"
#include "trestlepost/gateway/event_scanner.h"
#include "trestlepost/gateway/unanswered_requests.h"
#include "trestlepost/surface/surfaces.h"

namespace trestlepost::gateway {

class answer_reader;

/// Sends a request to an endpoint and relays the answer.
class endpoint_runner {
 public:
  endpoint_runner(gateway_context& context, const surface::surfaces& surfaces,
                  endpoint_pool& pool, crash_monitor& crashes)
      : context_(context),
        surfaces_(surfaces),
        pool_(pool),
        crashes_(crashes),
        unanswered_(context.endpoints) {}

  /// With `may_abandon`, abandons an endpoint that sends nothing for much
  /// longer than expected, so that another one can be tried. `events` is new,
  /// or contains the state of the stream that is to be continued.
  transport::awaitable<attempt> run(routed_request& request,
                                    const chosen_endpoint& endpoint,
                                    bool may_abandon, event_scanner& events,
                                    transport::http_exchange& exchange);
  void tick() { unanswered_.tick(context_.clock.now()); }

 private:
  struct active_run;

  /// Sends the request and reads the head of its answer.
  transport::awaitable<tl::expected<void, transport::call_failure>> send(
      active_run& current);
  /// Skips answers to earlier requests on the same connection.
  transport::awaitable<tl::expected<void, transport::call_failure>>
  skip_stale_answers(active_run& current);
  attempt send_failed(const active_run& current,
                      const transport::call_failure& failure);
  /// Records and logs that no answer came from the endpoint.
  void record_send_failure(const active_run& current,
                           const transport::call_failure& failure);
  /// Records that the endpoint failed, unless the caller or the stop of this
  /// node has ended the run.
  void record_failure(const active_run& current, const error& cause);
  /// Returns whether the run failed with `cause` since this node is stopping.
  bool ended_by_stop(const active_run& current, const error& cause) const;
  /// Reports to the crash monitor how the run ended.
  void record_end(routed_request& request, const active_run& current,
                  const attempt& out);
  /// Evaluates the head of the answer. Returns the result of the attempt if the
  /// endpoint refused the request.
  std::optional<attempt> read_head(active_run& current);
  transport::awaitable<attempt> deliver(active_run& current);
  transport::awaitable<attempt> deliver_buffered(active_run& current);
  transport::awaitable<attempt> deliver_stream(active_run& current);
  /// Relays the answer piece by piece, beginning with `first`.
  transport::awaitable<attempt> relay(active_run& current,
                                      answer_reader& reader, std::string first);
  /// Relays a resumable stream, in complete events only.
  transport::awaitable<attempt> deliver_events(active_run& current);
  /// Returns false if the caller disconnected.
  transport::awaitable<bool> relay_events(active_run& current, std::string text,
                                          bool ended);
  /// Records that the endpoint has begun to answer, which shows that the parts
  /// of the prompt don't crash it.
  void record_begin(active_run& current);
  /// Logs an answer without length that has ended in order.
  void log_undelimited_end(const active_run& current) const;
  /// The endpoint answered a continuation with something other than a stream.
  attempt continuation_rejected(active_run& current);
  /// The stream was interrupted, before or after its first event.
  attempt handle_interruption(active_run& current, const error& cause);
  /// The continuation does not follow the events already sent to the caller.
  attempt continuation_invalid(active_run& current, stream_fault fault);
  attempt caller_disconnected(active_run& current);

  gateway_context& context_;
  const surface::surfaces& surfaces_;
  endpoint_pool& pool_;
  crash_monitor& crashes_;
  unanswered_requests unanswered_;
};

}  // namespace trestlepost::gateway
