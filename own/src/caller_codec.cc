// Parses the heads of callers' requests and encodes refusals, which the gateway
// sends when it has no answer from an endpoint to relay.
#include "headers.h"
#include "trestlepost/own/codecs.h"
#include "trestlepost/own/request_options.h"

namespace trestlepost::own {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t max_deadline_ms = 3'600'000;

// Headers that are forwarded to the endpoint unchanged.
constexpr const char* passthrough_header_names[] = {headers::content_type,
                                                    headers::idempotency_key};

}  // namespace

unsigned status_of(error_kind kind) {
  switch (kind) {
    case error_kind::bad_input:
      return 400;
    case error_kind::unauthorized:
      return 401;
    case error_kind::label_not_allowed:
    case error_kind::no_matching_rule:
    case error_kind::not_permitted:
      return 403;
    case error_kind::unknown_service:
    case error_kind::not_found:
      return 404;
    case error_kind::conflict:
    case error_kind::in_progress:
    case error_kind::outcome_unknown:
      return 409;
    case error_kind::key_expired:
      return 410;
    case error_kind::too_large:
      return 413;
    case error_kind::transit_refused:
      return 421;
    case error_kind::mismatch:
      return 422;
    case error_kind::overloaded:
      return 429;
    case error_kind::endpoint_failed:
      return 502;
    case error_kind::deadline:
      return 504;
    case error_kind::internal:
      return 500;
    default:
      return 503;
  }
}

result<surface::call_head> caller_codec::read_head(
    const transport::http_exchange& exchange) const {
  surface::call_head out;
  out.request_id = valid_request_id(exchange.header(headers::request_id));
  out.method = exchange.method();
  out.target = exchange.target();
  const std::string_view deadline = exchange.header(headers::deadline);
  if (!deadline.empty()) {
    const std::optional<std::int64_t> n =
        read_number(deadline, 1, max_deadline_ms);
    if (!n) {
      return invalid_header(headers::deadline,
                            "write milliseconds from 1 to 3600000");
    }
    out.caller_timeout = milliseconds(*n);
  }
  for (const char* name : passthrough_header_names) {
    const std::string_view text = exchange.header(name);
    if (!text.empty()) out.passthrough_headers.emplace_back(name, text);
  }
  return out;
}

transport::http_response caller_codec::refuse(
    const surface::refusal& why) const {
  // Retry-After has whole seconds, so it is rounded up.
  transport::http_response out = transport::problem_response(
      status_of(why.cause.kind), why.cause, to_string(why.ran),
      std::chrono::ceil<std::chrono::seconds>(why.retry_after));
  if (!why.request_id.empty()) {
    out.headers.emplace_back(headers::request_id, why.request_id);
  }
  return out;
}

}  // namespace trestlepost::own
