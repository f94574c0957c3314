// Whether an endpoint has run a request.
#pragma once

#include <string_view>

namespace trestlepost::surface {

/// Unknown: the request was sent, but no response shows whether it ran.
enum class run_state { no, unknown, yes };

/// Returns "no", "unknown" or "yes", as reported to callers.
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

}  // namespace trestlepost::surface
