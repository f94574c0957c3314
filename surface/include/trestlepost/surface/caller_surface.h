// Interface to the protocol of callers: parses request heads and formats
// refusals.
#pragma once

#include <chrono>
#include <string>

#include "trestlepost/surface/call_head.h"
#include "trestlepost/surface/run_state.h"

namespace trestlepost::surface {

/// Why a request gets no response from an endpoint.
struct refusal {
  error cause;
  /// Whether the request ran. The response to the caller must not claim more
  /// than this.
  run_state ran = run_state::no;
  /// Time after which the caller may retry; 0 if a retry does not help.
  std::chrono::milliseconds retry_after{0};
  std::string request_id{};
};

/// Parses calls and formats refusals in the protocol of callers.
class caller_surface {
 public:
  virtual ~caller_surface() = default;

  /// Parses the request head of `exchange`; fails if it is invalid.
  virtual result<call_head> read_head(
      const transport::http_exchange& exchange) const = 0;

  virtual transport::http_response refuse(const refusal& why) const = 0;
};

}  // namespace trestlepost::surface
