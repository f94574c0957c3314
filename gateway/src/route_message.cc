// JSON encoding of forwarded routed requests.
#include "trestlepost/gateway/route_message.h"

#include <utility>

namespace trestlepost::gateway {

json to_json(const route_message& value) {
  json out;
  out["head"] = surface::to_json(value.head);
  out["service"] = value.service;
  out["entry_region"] = value.entry_region;
  out["remaining_ms"] =
      as_number(static_cast<std::uint64_t>(value.remaining.count()));
  out["avoid"] = trestlepost::to_json(value.avoid);
  out["sends"] = value.sends;
  out["max_sends"] = value.max_sends;
  out["plan"] = as_number(value.plan);
  return out;
}

result<route_message> route_message_from(const std::string& text) {
  const result<json> parsed = parse_json(text);
  if (!parsed) return tl::make_unexpected(parsed.error());
  result<surface::call_head> head =
      surface::call_head_from(member_of(*parsed, "head"));
  if (!head) return tl::make_unexpected(head.error());
  route_message out;
  out.head = std::move(*head);
  out.service = text_of(*parsed, "service");
  out.entry_region = text_of(*parsed, "entry_region");
  out.remaining = std::chrono::milliseconds(number_of(*parsed, "remaining_ms"));
  out.avoid = text_set_of(*parsed, "avoid");
  out.sends = static_cast<unsigned>(number_of(*parsed, "sends"));
  out.max_sends = static_cast<unsigned>(number_of(*parsed, "max_sends"));
  out.plan = number_of(*parsed, "plan");
  if (!out.service.empty()) return out;
  return fail(error_kind::bad_input, "a forwarded request names no service",
              "run one version of trestlepostd on all nodes");
}

}  // namespace trestlepost::gateway
