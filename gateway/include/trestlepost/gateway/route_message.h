// The message a gateway sends to a gateway of another region to forward a
// routed request. A forwarded request has a separate type, so that its receiver
// serves or refuses it and can't forward it again.
#pragma once

#include <chrono>
#include <set>
#include <string>

#include "trestlepost/config/traffic_plan.h"
#include "trestlepost/surface/call_head.h"

namespace trestlepost::gateway {

/// The target of forwarded routed requests on the address for peers. The body
/// consists of the message as JSON followed by the caller's body.
inline constexpr char route_target[] = "/forward-route";
/// The size of the message within the body, in bytes.
inline constexpr char message_size_header[] = "Trestlepost-Message-Size";

struct route_message {
  surface::call_head head;
  std::string service;
  std::string entry_region;
  std::chrono::milliseconds remaining{0};  // until the deadline
  std::set<std::string> avoid;             // endpoints
  unsigned sends = 0;                      // endpoints that were tried
  unsigned max_sends = 0;                  // of all gateways; 0: not stated
  config::plan_number plan = 0;            // the plan used by the sender
};

json to_json(const route_message& value);
result<route_message> route_message_from(const std::string& text);

}  // namespace trestlepost::gateway
