// Identifies one incarnation of an endpoint.
#pragma once

#include <chrono>
#include <compare>
#include <string>
#include <string_view>

namespace trestlepost::surface {

/// Start of an endpoint by the clock of its VM.
using start_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// One incarnation of an endpoint. An endpoint may restart under the same id
/// without its previous requests and caches. All state about an endpoint (load,
/// speed, warmth and cached prompt parts) is therefore stored and exchanged by
/// `name`, so that records of an earlier incarnation are never used for a later
/// one.
struct endpoint_identity {
  /// Id in the deployment, the same for all incarnations.
  std::string id;
  /// Start of this incarnation. The epoch (first incarnation) if the deployment
  /// does not report it.
  start_time born{};

  /// Name of this incarnation in records, logs and messages between gateways:
  /// the id, followed by "@" and the start in ms for later incarnations.
  std::string name() const;

  auto operator<=>(const endpoint_identity&) const = default;
};

/// Returns the id contained in a result of `endpoint_identity::name`.
std::string_view id_in_name(std::string_view name);

}  // namespace trestlepost::surface
