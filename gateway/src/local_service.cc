// Serves calls on local endpoints; run-once calls are claimed in the ledger.
#include "trestlepost/gateway/local_service.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/log.h"
#include "trestlepost/gateway/region_views.h"
#include "trestlepost/gateway/request_fingerprint.h"
#include "trestlepost/gateway/work_at_stop.h"
#include "trestlepost/own/codecs.h"
#include "trestlepost/routing/placement.h"

namespace trestlepost::gateway {
namespace {

using ledger::claim_verdict;
using std::chrono::milliseconds;
using std::chrono::seconds;
using transport::awaitable;
using transport::http_exchange;

// Time after the request's deadline at which a claim without a recorded outcome
// becomes unknown.
constexpr milliseconds claim_grace{2000};

seconds round_up(milliseconds n) {
  return std::chrono::ceil<seconds>(std::max(n, milliseconds(1)));
}

attempt refused_by_ledger(const ledger::claim_decision& decided) {
  switch (decided.verdict) {
    case claim_verdict::in_progress:
      return failed_attempt(
          run_state::unknown,
          {error_kind::in_progress, "a request with this key is in progress",
           "send it again after Retry-After to get its outcome"},
          round_up(decided.retry_after));
    case claim_verdict::mismatch:
      return failed_attempt(
          run_state::no,
          {error_kind::mismatch, "this key was used for another request",
           "use a new Idempotency-Key for a new request"});
    case claim_verdict::expired:
      return failed_attempt(
          run_state::no,
          {error_kind::key_expired, "this key's window has passed",
           "look up the outcome of the request; use a new key for a new one"});
    case claim_verdict::moved:
      return failed_attempt(run_state::no,
                            {error_kind::configuration_behind,
                             "another region keeps this key's record now",
                             "send it again after Retry-After"},
                            seconds(1));
    default:
      break;
  }
  return failed_attempt(
      run_state::unknown,
      {error_kind::outcome_unknown,
       "a request with this key may have run; its outcome is not known",
       "look up its effect at the service; it will not be run again"});
}

/// The ledger did not decide in time.
attempt ledger_failed(const gateway_context& context, const error& cause) {
  const bool stopped = context.clock.now() >= context.stop.ends_at();
  return stopped ? stopping_refusal()
                 : failed_attempt(run_state::no, cause, seconds(2));
}

awaitable<attempt> replay(http_exchange& exchange,
                          const ledger::stored_answer& answer,
                          const std::string& region, const std::string& id) {
  if (!answer.complete) {
    co_return failed_attempt(
        run_state::yes, {error_kind::outcome_unknown,
                         "the request ran; its answer was too large to keep",
                         "look up its effect at the service"});
  }
  transport::http_response out;
  out.status = answer.status;
  out.content_type = answer.content_type;
  out.headers = answer_headers(region, run_state::yes, id);
  out.headers.emplace_back("Trestlepost-Replayed", "true");
  out.body = answer.body;
  co_await exchange.respond(std::move(out));
  attempt done;
  done.delivered = true;
  done.ran = run_state::yes;
  co_return done;
}

}  // namespace

std::vector<routing::region_view> local_service::views(
    const std::string& service) const {
  return region_views(context_, admission_, service, {});
}

awaitable<attempt> local_service::serve(const incoming_request& request,
                                        std::set<std::string> avoid,
                                        http_exchange& exchange) {
  const result<routing::placement> placed = routing::compute_placement(
      routing::inputs_of(context_.store), *request.caller, *request.service,
      request.labels);
  if (!placed) co_return failed_attempt(run_state::no, placed.error());
  if (!placed->permits(context_.self.region)) {
    co_return failed_attempt(
        run_state::no,
        {error_kind::not_permitted,
         "region " + context_.self.region + " may not serve this request",
         "run `trestlepost explain` to see the rules that decide"});
  }
  if (request.runs_once()) {
    co_return co_await serve_once(request, placed->home, std::move(avoid),
                                  exchange);
  }
  const std::string attempt_id = make_request_id(context_.random);
  delivery_result delivered =
      co_await dispatch(request, attempt_id, std::move(avoid), exchange);
  co_return std::move(delivered.outcome);
}

awaitable<attempt> local_service::serve_once(const incoming_request& request,
                                             const std::string& home,
                                             std::set<std::string> avoid,
                                             http_exchange& exchange) {
  if (home != context_.self.region) {
    co_return failed_attempt(run_state::no,
                             {error_kind::configuration_behind,
                              "the record of this key is kept in " + home,
                              "send it again after Retry-After"},
                             seconds(1));
  }
  const std::string attempt_id = context_.ledger.make_attempt_id();
  std::optional<attempt> stopped =
      co_await fence_previous_homes(request, attempt_id, exchange);
  if (stopped) co_return std::move(*stopped);
  stopped = co_await claim(request, attempt_id, exchange);
  if (stopped) co_return std::move(*stopped);
  const delivery_result delivered =
      co_await dispatch(request, attempt_id, std::move(avoid), exchange);
  finish(request, attempt_id, delivered);
  co_return delivered.outcome;
}

awaitable<std::optional<attempt>> local_service::fence_previous_homes(
    const incoming_request& request, const std::string& attempt_id,
    http_exchange& exchange) {
  const std::vector<std::string> previous = routing::previous_homes(
      context_.store, *request.caller, *request.service, request.labels,
      context_.self.region, context_.clock.wall_now());
  if (previous.empty()) co_return std::nullopt;
  const result<routing::placement> placed = routing::compute_placement(
      routing::inputs_of(context_.store), *request.caller, *request.service,
      request.labels);
  int n = 0;
  for (const std::string& region : previous) {
    // The record must not be looked up in a region that may no longer receive
    // the request.
    if (!placed || !placed->permits(region)) {
      co_return failed_attempt(
          run_state::no,
          {error_kind::configuration_behind,
           "the record of this key may be in " + region +
               ", which may no longer hold it",
           "wait for the service's key_window after the change of rules"},
          seconds(60));
    }
    ledger::fence_command command;
    command.key = ledger::record_key(
        request.caller->name, request.service->name, request.idempotency_key);
    command.digest = request_digest(request);
    command.attempt = attempt_id + "-f" + std::to_string(n++);
    command.at = context_.clock.wall_now();
    command.window = request.service->key_window;
    const monotonic_time until =
        std::min(context_.stop.bound(request.deadline),
                 context_.clock.now() + context_.options.claim_timeout);
    const result<ledger::claim_decision> decided =
        co_await context_.ledger.fence(region, command, until);
    if (!decided) {
      co_return ledger_failed(context_, decided.error());
    }
    if (decided->verdict == claim_verdict::moved) continue;
    co_return co_await answer_decision(request, *decided, exchange);
  }
  co_return std::nullopt;
}

awaitable<std::optional<attempt>> local_service::claim(
    const incoming_request& request, const std::string& attempt_id,
    http_exchange& exchange) {
  const monotonic_time now = context_.clock.now();
  ledger::claim_command command;
  command.key = ledger::record_key(request.caller->name, request.service->name,
                                   request.idempotency_key);
  command.digest = request_digest(request);
  command.attempt = attempt_id;
  command.at = context_.clock.wall_now();
  command.deadline =
      command.at +
      std::chrono::duration_cast<milliseconds>(request.deadline - now) +
      claim_grace;
  command.window = request.service->key_window;
  const monotonic_time until = std::min(context_.stop.bound(request.deadline),
                                        now + context_.options.claim_timeout);
  const result<ledger::claim_decision> decided =
      co_await context_.ledger.claim(command, until);
  if (!decided) {
    co_return ledger_failed(context_, decided.error());
  }
  if (decided->verdict == claim_verdict::granted) co_return std::nullopt;
  co_return co_await answer_decision(request, *decided, exchange);
}

awaitable<attempt> local_service::answer_decision(
    const incoming_request& request, const ledger::claim_decision& decided,
    http_exchange& exchange) {
  if (decided.verdict == claim_verdict::replay && decided.answer) {
    co_return co_await replay(exchange, *decided.answer, context_.self.region,
                              request.head.request_id);
  }
  co_return refused_by_ledger(decided);
}

std::string local_service::fingerprint(const incoming_request& request) const {
  const request_identity identity{request.caller->name, request.head.method,
                                  request.service->name, request.head.target,
                                  transport::view_of(request.body)};
  return fingerprint_of(identity, context_.peer_secret);
}

std::optional<delivery_result> local_service::refuse_held(
    const incoming_request& request) const {
  if (!crashes_.holds_any()) return std::nullopt;
  std::optional<attempt> held = crashes_.refusal_of(fingerprint(request));
  if (!held) return std::nullopt;
  delivery_result out;
  out.outcome = std::move(*held);
  return out;
}

void local_service::finish(const incoming_request& request,
                           const std::string& attempt_id,
                           const delivery_result& delivered) {
  ledger::finish_command command;
  command.key = ledger::record_key(request.caller->name, request.service->name,
                                   request.idempotency_key);
  command.attempt = attempt_id;
  command.answer = delivered.answer;
  switch (delivered.outcome.ran) {
    case run_state::yes:
      command.outcome = ledger::run_outcome::done;
      break;
    case run_state::no:
      command.outcome = ledger::run_outcome::not_run;
      break;
    case run_state::unknown:
      command.outcome = ledger::run_outcome::unknown;
      break;
  }
  context_.ledger.finish(command);
}

delivery_result local_service::send_failed(
    const incoming_request& request, const std::string& endpoint,
    const transport::call_failure& failure) {
  const monotonic_time now = context_.clock.now();
  const bool by_stop =
      is_ended_by_stop(context_, failure.cause, request.deadline);
  if (failure.refused) {
    context_.endpoints.connection_refused(endpoint, now);
  } else if (!by_stop) {
    context_.endpoints.request_failed(endpoint, now);
  }
  delivery_result out;
  out.outcome =
      failed_attempt(failure.bytes_written ? run_state::unknown : run_state::no,
                     failure.cause, seconds(1));
  out.outcome.endpoint = endpoint;
  log_event(log_level::warn, "endpoint-failed",
            {{"request_id", request.head.request_id},
             {"endpoint", endpoint},
             {"detail", failure.cause.message}});
  return out;
}

awaitable<delivery_result> local_service::dispatch(
    const incoming_request& request, const std::string& attempt_id,
    std::set<std::string> avoid, http_exchange& exchange) {
  std::optional<delivery_result> held = refuse_held(request);
  if (held) co_return std::move(*held);
  tl::expected<endpoint_lease, attempt> lease =
      co_await admission_.admit(request, std::move(avoid), exchange);
  if (!lease) {
    delivery_result refused;
    refused.outcome = lease.error();
    co_return refused;
  }
  // The request may have been held while it was queued.
  held = refuse_held(request);
  if (held) co_return std::move(*held);
  const std::string& service = request.service->name;
  const monotonic_time started = context_.clock.now();
  context_.run_times.begin(service, started);
  delivery_result out = co_await run(request, attempt_id, *lease, exchange);
  record_if_ended_by_stop(context_, request.head.request_id, service,
                          request.deadline, exchange, out.outcome);
  record_run_time(context_, service, started, out.outcome);
  co_return out;
}

awaitable<delivery_result> local_service::run(const incoming_request& request,
                                              const std::string& attempt_id,
                                              const endpoint_lease& lease,
                                              http_exchange& exchange) {
  const monotonic_time started = context_.clock.now();
  const std::shared_ptr<transport::http_call> call =
      context_.client.call(lease.address());
  // A request that must not run twice is left to complete, so that its outcome
  // is recorded.
  if (request.repeatable) exchange.on_disconnect([call] { call->cancel(); });
  const own::endpoint_codec codec(request.service->refusal_means_not_run);
  const surface::endpoint_attempt sending{.head = request.head,
                                          .body = request.body,
                                          .endpoint_id = lease.name(),
                                          .priority = request.priority,
                                          .attempt_id = attempt_id};
  transport::http_request out = codec.encode(sending);
  const tl::expected<void, transport::call_failure> sent =
      co_await call->send(std::move(out), request.deadline);
  const run_location at{lease.name(), lease.address(), request.service->name};
  if (!sent) {
    const bool interrupted = sent.error().bytes_written &&
                             !exchange.is_disconnected() &&
                             is_connection_loss(sent.error().cause);
    if (interrupted) crashes_.run_interrupted(fingerprint(request), at);
    co_return send_failed(request, lease.name(), sent.error());
  }
  const surface::endpoint_answer answer = codec.read_head(*call);
  if (!answer.attempt_id.empty() && answer.attempt_id != attempt_id) {
    call->cancel();
    transport::call_failure wrong_answer;
    wrong_answer.cause = {error_kind::endpoint_failed,
                          "the endpoint answered another request",
                          "check the endpoint " + lease.name()};
    wrong_answer.bytes_written = true;
    co_return send_failed(request, lease.name(), wrong_answer);
  }
  if (answer.not_run) {
    call->cancel();
    context_.endpoints.request_failed(lease.name(), context_.clock.now());
    delivery_result refused;
    refused.outcome = failed_attempt(
        run_state::no,
        {error_kind::unavailable, "the endpoint refused the request",
         "send it again after Retry-After"},
        seconds(1));
    refused.outcome.endpoint = lease.name();
    co_return refused;
  }
  const std::string service = request.service->name;
  transport::header_list headers = answer_headers(
      context_.self.region, run_state::yes, request.head.request_id);
  // A named variable, since g++ 12 destroys a temporary closure in the argument
  // list of an awaited call twice.
  std::function<void()> on_first = [this, started, service] {
    context_.metrics.first_piece(service, context_.clock.now() - started);
  };
  delivery_result delivered =
      co_await deliver(*call, exchange, std::move(headers), context_.memory,
                       std::move(on_first));
  delivered.outcome.endpoint = lease.name();
  const bool interrupted =
      delivered.outcome.connection_lost && !exchange.is_disconnected();
  if (interrupted) crashes_.run_interrupted(fingerprint(request), at);
  const bool by_stop =
      is_ended_by_stop(context_, delivered.outcome.cause, request.deadline);
  if (!delivered.outcome.delivered) {
    if (!exchange.is_disconnected() && !by_stop) {
      context_.endpoints.request_failed(lease.name(), context_.clock.now());
    }
    co_return delivered;
  }
  const bool complete = delivered.outcome.cause.message.empty();
  if (complete && crashes_.monitors_any()) {
    crashes_.service_answered(service);
    crashes_.run_completed(fingerprint(request));
  }
  if (complete) {
    context_.endpoints.request_succeeded(lease.name());
  } else if (!by_stop) {
    context_.endpoints.request_failed(lease.name(), context_.clock.now());
  }
  context_.metrics.served_in(service, context_.self.region);
  admission_.observe_duration(service, context_.clock.now() - started);
  co_return delivered;
}

}  // namespace trestlepost::gateway
