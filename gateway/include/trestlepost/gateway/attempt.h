// How one attempt to serve a request ended.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "trestlepost/base/error.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::gateway {

/// Whether a request was run by an endpoint.
enum class run_state { no, unknown, yes };

constexpr std::string_view to_string(run_state state) {
  switch (state) {
    case run_state::no:
      return "no";
    case run_state::yes:
      return "yes";
    case run_state::unknown:
      break;
  }
  return "unknown";
}

struct attempt {
  /// The caller got an answer, or at least its beginning: nothing may follow.
  bool delivered = false;
  run_state ran = run_state::no;
  error cause;  // when not delivered
  std::chrono::milliseconds retry_after{0};
  std::string endpoint;  // that was tried, or empty
  unsigned sends = 0;    // endpoints that the request was written to
  /// The endpoint broke off a stream of which the caller has events, and the
  /// answer is still open: it has to be continued or broken off.
  bool stream_broken = false;
  /// A failure that the endpoint itself answered; the caller gets it when no
  /// other attempt follows.
  std::optional<transport::http_answer> endpoint_answer;
};

/// An attempt that ended without an answer.
attempt failed_attempt(
    run_state ran, error cause,
    std::chrono::milliseconds retry_after = std::chrono::milliseconds(0));

/// Rounded up, for callers that know whole seconds only.
std::chrono::seconds whole_seconds(std::chrono::milliseconds n);

/// The HTTP status of a refusal.
unsigned status_of(error_kind kind);

}  // namespace trestlepost::gateway
