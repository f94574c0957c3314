// What one gateway sends to a gateway of another region for a routed request.
// It is a type of its own: what arrives as one can be served or refused,
// never sent on.
#pragma once

#include <chrono>
#include <set>
#include <string>

#include "trestlepost/config/traffic_plan.h"
#include "trestlepost/surface/call_head.h"

namespace trestlepost::gateway {

/// The target of forwarded routed requests on the peers' HTTP address. The
/// body holds the message as JSON and then the caller's body.
inline constexpr char route_target[] = "/forward-route";
/// How many bytes of the body are the message.
inline constexpr char message_size_header[] = "Trestlepost-Message-Size";

struct route_message {
  surface::call_head head;
  std::string service;
  std::string entry_region;
  std::chrono::milliseconds remaining{0};  // until the deadline
  std::set<std::string> avoid;             // endpoints
  unsigned sends = 0;                      // endpoints that were tried
  config::plan_number plan = 0;            // by which the sender routed
};

json to_json(const route_message& value);
result<route_message> route_message_from(const std::string& text);

}  // namespace trestlepost::gateway
