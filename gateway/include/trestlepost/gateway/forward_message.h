// The message a gateway sends to a gateway of another region to forward a model
// or service call. A forwarded request has a separate type, so that its
// receiver serves or refuses it and can't forward it again.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "trestlepost/gateway/request.h"

namespace trestlepost::gateway {

/// The target of forwarded requests on the address for peers.
inline constexpr char forward_target[] = "/forward";
inline constexpr char forward_header[] = "Trestlepost-Forward";
inline constexpr char forward_digest_header[] = "Trestlepost-Forward-Digest";
/// Marks a refusal by the other gateway, as opposed to an endpoint's answer.
inline constexpr char refused_header[] = "Trestlepost-Refused";

struct forward_message {
  surface::call_head head;
  std::string caller;
  std::string service;
  config::label_map labels;
  bool repeatable = true;
  std::string idempotency_key;
  int priority = 0;
  std::chrono::milliseconds remaining{0};  // until the deadline
  std::uint64_t affinity = 0;
  std::set<std::string> avoid;  // endpoints
  std::uint64_t revision = 0;   // of the sender's configuration
  wall_time sent_at;
};

json to_json(const forward_message& value);
result<forward_message> forward_message_from(const std::string& text);

/// Returns a digest, keyed with the peers' secret, that proves that a peer
/// created the head and the body.
std::string forward_digest(const std::string& secret, const std::string& head,
                           std::string_view body);

}  // namespace trestlepost::gateway
