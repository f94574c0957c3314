// How callers speak: bytes to a request head, a refusal to bytes.
#pragma once

#include <chrono>
#include <string>

#include "trestlepost/surface/call_head.h"
#include "trestlepost/surface/run_state.h"

namespace trestlepost::surface {

/// Why a request gets no endpoint's answer.
struct refusal {
  error cause;
  /// Whether the request ran; the answer must not promise more than this.
  run_state ran = run_state::no;
  /// When to come back; 0 when coming back does not help.
  std::chrono::milliseconds retry_after{0};
  std::string request_id{};
};

/// Reads calls and writes refusals, in the form that callers know.
class caller_surface {
 public:
  virtual ~caller_surface() = default;

  /// The head of the request of `exchange`; an error for one that is unsound.
  virtual result<call_head> read_head(
      const transport::http_exchange& exchange) const = 0;

  virtual transport::http_answer refuse(const refusal& why) const = 0;
};

}  // namespace trestlepost::surface
