// What a gateway knows of which endpoints are cold, from the platform's list
// and from endpoints' own answers.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "trestlepost/base/clock.h"

namespace trestlepost::routing {

/// Who told that an endpoint is cold.
enum class warmth_source { list, answer };

class endpoint_warmth {
 public:
  /// `source` says that `endpoint` stays cold for `left` from `now` on;
  /// nothing when it says that it is warm.
  void told(const std::string& endpoint, std::chrono::milliseconds left,
            warmth_source source, monotonic_time now);

  bool is_cold(const std::string& endpoint, monotonic_time now) const;

  /// Forgets endpoints that are warm at `now`, or gone.
  void keep(const std::function<bool(const std::string&)>& exists,
            monotonic_time now);

 private:
  std::map<std::string, monotonic_time> cold_until_;
};

}  // namespace trestlepost::routing
