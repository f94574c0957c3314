// Selects an endpoint of another region as the source for copying cached parts
// of a prompt.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "trestlepost/membership/cached_prefix.h"

namespace trestlepost::gateway {

/// Returns whether a request may be cached in the region.
using region_filter = std::function<bool(const std::string& region)>;

/// The endpoints of other regions, as listed by the deployment.
class remote_caches {
 public:
  struct endpoint {
    std::string id;
    std::string address;
  };

  void clear() { regions_.clear(); }
  void add(const std::string& service, const std::string& region,
           endpoint added);

  /// Returns the address of the endpoint most likely to have `section` cached,
  /// or an empty string. It is the one preferred by the gateways of the region
  /// with the most endpoints, among those that pass the filter.
  std::string likely_source(const std::string& service,
                            const membership::prompt_section& section,
                            const region_filter& permits) const;

 private:
  using endpoints = std::vector<endpoint>;
  // By service, then by region.
  std::map<std::string, std::map<std::string, endpoints>> regions_;
};

}  // namespace trestlepost::gateway
