// What a gateway knows of which endpoints are cold, from the platform's list
// and from endpoints' own answers, and of which it cannot know.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/change.h"

namespace trestlepost::routing {

/// Who told that an endpoint is cold.
enum class warmth_source { list, answer };

class endpoint_warmth {
 public:
  /// `source` says that `endpoint` stays cold for `left` from `now` on;
  /// nothing when it says that it is warm.
  void told(const std::string& endpoint, std::chrono::milliseconds left,
            warmth_source source, monotonic_time now);

  /// The change `revision` has given `zone` back. Its endpoints may have turned
  /// cold before, and that change is here sooner than a list that says so.
  /// Returns whether that is news.
  bool given_back(const std::string& zone, config::revision_number revision,
                  monotonic_time now);

  /// A list came that shows what the configuration did up to `revision`.
  void list_covers(config::revision_number revision);

  /// Whether `endpoint` is cold, or may be for all that is known: its zone was
  /// given back less than `warmup` ago, and no list has told since. `warmup` is
  /// how long an endpoint stays cold at most.
  bool may_be_cold(const std::string& endpoint, const std::string& zone,
                   std::chrono::milliseconds warmup, monotonic_time now) const;

  /// Forgets endpoints that are warm at `now`, or gone.
  void keep(const std::function<bool(const std::string&)>& exists,
            monotonic_time now);

 private:
  struct zone_return {
    config::revision_number revision = 0;
    monotonic_time at;
  };

  bool is_cold(const std::string& endpoint, monotonic_time now) const;

  std::map<std::string, monotonic_time> cold_until_;
  std::map<std::string, zone_return> returns_;  // by zone
  config::revision_number covered_ = 0;
};

}  // namespace trestlepost::routing
