// How operators write the traffic plan and evacuate availability zones.
#pragma once

#include <string>
#include <string_view>

#include "trestlepost/config/traffic_plan.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::surface {

enum class order_kind { replace_plan, read_plan, evacuate, end_evacuation };

struct operator_order {
  order_kind kind = order_kind::read_plan;
  config::plan_ptr plan;          // of replace_plan; not checked yet
  std::string availability_zone;  // of evacuate and end_evacuation
};

class operators_surface {
 public:
  virtual ~operators_surface() = default;

  /// The order that a call holds: `not_found` for an unknown call,
  /// `bad_input` for one that can't be read in full.
  virtual result<operator_order> read_order(std::string_view method,
                                            std::string_view target,
                                            const std::string& body) const = 0;

  /// The order is in the log, or needed no change.
  virtual transport::http_answer acknowledge(
      const operator_order& order) const = 0;
  virtual transport::http_answer show_plan(
      const config::traffic_plan& plan) const = 0;
  /// `bad_input` is final; any other kind means "ask again".
  virtual transport::http_answer refuse(const error& why) const = 0;
};

}  // namespace trestlepost::surface
