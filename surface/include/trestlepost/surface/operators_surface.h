// Interface to the protocol by which operators replace the traffic plan and
// evacuate availability zones.
#pragma once

#include <string>
#include <string_view>

#include "trestlepost/config/traffic_plan.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::surface {

enum class order_kind { replace_plan, read_plan, evacuate, end_evacuation };

/// An operator's call that reads or changes the configuration.
struct operator_order {
  order_kind kind = order_kind::read_plan;
  config::plan_ptr plan;          // for replace_plan; not validated yet
  std::string availability_zone;  // for evacuate and end_evacuation
};

/// Parses operators' calls and formats their responses.
class operators_surface {
 public:
  virtual ~operators_surface() = default;

  /// Parses the order in a call. Fails with `not_found` for an unknown call and
  /// with `bad_input` for one that can't be parsed completely.
  virtual result<operator_order> read_order(std::string_view method,
                                            std::string_view target,
                                            const std::string& body) const = 0;

  /// Formats the response for an order that is committed or needed no change.
  virtual transport::http_response acknowledge(
      const operator_order& order) const = 0;
  virtual transport::http_response show_plan(
      const config::traffic_plan& plan) const = 0;
  /// Formats an error. `bad_input` is final; the client may retry after any
  /// other kind.
  virtual transport::http_response refuse(const error& why) const = 0;
};

}  // namespace trestlepost::surface
