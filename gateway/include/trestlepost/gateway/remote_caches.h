// Endpoints of other regions from whose caches prompt parts may be copied.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "trestlepost/config/traffic_plan.h"
#include "trestlepost/membership/cached_prefix.h"

namespace trestlepost::gateway {

/// The endpoints of other regions, as the deployment lists them.
class remote_caches {
 public:
  struct endpoint {
    std::string id;
    std::string address;
  };

  void clear() { regions_.clear(); }
  void add(const std::string& service, const std::string& region,
           endpoint added);

  /// The address of the endpoint that is most likely to have `section`: the
  /// one that the gateways of the largest other region prefer for it. Only
  /// regions count that `route` permits to cache its requests. Empty: none.
  std::string likely_holder(const std::string& service,
                            const membership::prompt_section& section,
                            const config::route& route) const;

 private:
  using endpoints = std::vector<endpoint>;
  // By service, then by region.
  std::map<std::string, std::map<std::string, endpoints>> regions_;
};

}  // namespace trestlepost::gateway
