// Whether a request was run by an endpoint.
#pragma once

#include <string_view>

namespace trestlepost::surface {

/// Unknown: it was sent, and no answer tells.
enum class run_state { no, unknown, yes };

/// "no", "unknown" or "yes", as callers are told.
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
