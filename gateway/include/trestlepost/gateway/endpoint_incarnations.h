// Tracks the newest incarnation of each listed endpoint. Lists are delayed by
// different amounts, and one relayed by another list reader may be older.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/surface/endpoint_directory.h"

namespace trestlepost::gateway {

class endpoint_incarnations {
 public:
  /// Returns the entries of `listed` without those of incarnations superseded
  /// by a newer one, in this list or an earlier one. If two entries describe
  /// the same incarnation, the first is returned; it is marked as leaving if
  /// either of them is.
  std::vector<surface::listed_endpoint> select_newest(
      const std::vector<surface::listed_endpoint>& listed, monotonic_time now);

 private:
  struct incarnation {
    surface::start_time born;
    monotonic_time last_listed;
  };

  /// Records the newest incarnation of each endpoint in `listed`.
  void record_newest(const std::vector<surface::listed_endpoint>& listed,
                     monotonic_time now);

  std::map<std::string, incarnation> newest_;  // by endpoint id
};

}  // namespace trestlepost::gateway
