// Which life of an endpoint is meant.
#pragma once

#include <chrono>
#include <compare>
#include <string>
#include <string_view>

namespace trestlepost::surface {

/// When an endpoint started, by the time of day of its VM.
using start_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// One life of an endpoint. An endpoint may start again under its id; it then
/// holds and knows nothing of before. So whatever is known of an endpoint
/// belongs to a life: its load, speed, warmth and cached prompt parts are kept
/// and told by `name`, and a record of the life before is never found again.
struct endpoint_identity {
  /// What the deployment calls it, in all its lives.
  std::string id;
  /// The epoch where the deployment does not tell: the first life.
  start_time born{};

  /// Stands for this life in records, logs and what gateways tell each other:
  /// the id, and for a later life "@" and its start in ms.
  std::string name() const;

  auto operator<=>(const endpoint_identity&) const = default;
};

/// The id in what `endpoint_identity::name` wrote.
std::string_view id_in_name(std::string_view name);

}  // namespace trestlepost::surface
