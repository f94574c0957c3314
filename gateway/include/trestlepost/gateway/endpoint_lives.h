// Which life of each listed endpoint is the newest. Lists lag by different
// times, and another reader's may come late.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/surface/endpoint_directory.h"

namespace trestlepost::gateway {

class endpoint_lives {
 public:
  /// The entries of `listed` without those of a life that ended before one
  /// that is known, here or from an earlier list. Of two entries for one life
  /// the first holds, and it leaves when either says so.
  std::vector<surface::listed_endpoint> newest(
      const std::vector<surface::listed_endpoint>& listed, monotonic_time now);

 private:
  struct life {
    surface::start_time born;
    monotonic_time listed_at;
  };

  void note(const std::vector<surface::listed_endpoint>& listed,
            monotonic_time now);

  std::map<std::string, life> newest_;  // by id
};

}  // namespace trestlepost::gateway
