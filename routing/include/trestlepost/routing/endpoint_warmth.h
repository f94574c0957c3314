// Tracks which endpoints are cold (still warming up), from the platform's list
// and the endpoints' responses, and which ones may be cold because no current
// list has arrived.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/change.h"

namespace trestlepost::routing {

/// Where the information that an endpoint is cold comes from.
enum class warmth_source { list, answer };

class endpoint_warmth {
 public:
  /// Records that `source` reports `endpoint` as cold for another `left`. Does
  /// nothing if `left` is not positive (the endpoint is warm).
  void record_cold(const std::string& endpoint, std::chrono::milliseconds left,
                   warmth_source source, monotonic_time now);

  /// Records that configuration change `revision` ended the evacuation of
  /// `zone`. Its endpoints may have gone cold during the evacuation, and the
  /// change arrives before a list that reports them as cold. Returns false if
  /// this change was recorded before.
  bool record_evacuation_end(const std::string& zone,
                             config::revision_number revision,
                             monotonic_time now);

  /// Records that a list arrived which reflects the configuration up to
  /// `revision`.
  void set_list_revision(config::revision_number revision);

  /// Returns whether `endpoint` is cold or may be cold. It may be cold if the
  /// evacuation of its zone ended less than `warmup` ago and no list has
  /// covered that change yet. `warmup` is the longest time that an endpoint
  /// stays cold.
  bool may_be_cold(const std::string& endpoint, const std::string& zone,
                   std::chrono::milliseconds warmup, monotonic_time now) const;

  /// Removes endpoints that are warm at `now` or for which `exists` returns
  /// false.
  void retain(const std::function<bool(const std::string&)>& exists,
              monotonic_time now);

 private:
  struct evacuation_end {
    config::revision_number revision = 0;
    monotonic_time at;
  };

  bool is_cold(const std::string& endpoint, monotonic_time now) const;

  std::map<std::string, monotonic_time> cold_until_;
  std::map<std::string, evacuation_end> evacuation_ends_;  // by zone
  config::revision_number list_revision_ = 0;
};

}  // namespace trestlepost::routing
