// Finds the route of a request by its host, then by the longest path prefix.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/base/random.h"
#include "trestlepost/config/traffic_plan.h"

namespace trestlepost::routing {

class route_table {
 public:
  route_table() = default;
  /// The table shares ownership of the plan.
  explicit route_table(config::plan_ptr plan);

  /// Returns the route for `path` at `host`, or null. Port and case of `host`
  /// are ignored.
  const config::route* find(std::string_view host, std::string_view path) const;

  const config::plan_ptr& plan() const { return plan_; }

 private:
  using prefix_map = std::map<std::string, const config::route*, std::less<>>;

  config::plan_ptr plan_;
  std::map<std::string, prefix_map, std::less<>> hosts_;
};

/// Chooses the service for a request of `route` at random, by weight.
const std::string& choose_service(const config::route& route,
                                  random_source& random);

}  // namespace trestlepost::routing
