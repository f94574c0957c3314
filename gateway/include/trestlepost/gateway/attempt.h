// How one attempt to serve a request ended.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "trestlepost/base/error.h"

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
  std::chrono::seconds retry_after{0};
  std::string endpoint;  // that was tried, or empty
};

/// An attempt that ended without an answer.
attempt failed_attempt(
    run_state ran, error cause,
    std::chrono::seconds retry_after = std::chrono::seconds(0));

/// The HTTP status of a refusal.
unsigned status_of(error_kind kind);

}  // namespace trestlepost::gateway
