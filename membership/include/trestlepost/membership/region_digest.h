// The digest that a relay sends: states of nodes and sums of their loads. It
// contains only nodes that changed after the receiver's last version. All other
// nodes are unchanged, and the relay had recent contact with them unless they
// are listed as late. The size of a digest therefore does not grow with the
// region.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/base/error.h"
#include "trestlepost/base/json.h"
#include "trestlepost/membership/endpoint_sums.h"

namespace trestlepost::membership {

/// In a region with more nodes than this, heartbeats are sent only to the
/// relays. Below, a full mesh of heartbeats is as cheap and gives fresher data.
inline constexpr std::size_t max_mesh_nodes = 8;

/// The version of a relay's digests that a node has; version 0 requests all
/// rows.
struct digest_request {
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;
  /// Whether the sender excludes its own values from the sums. Nodes of earlier
  /// versions expect the relay to do so.
  bool excludes_own = false;
};

/// State of one node.
struct digest_row {
  node_info node;  // only the name, unless `has_info`
  bool has_info = false;
  bool dead = false;  // without contact for so long that it counts as dead
  std::string state;
  std::uint64_t sequence = 0;  // of the heartbeat with this state
  std::uint64_t revision = 0;
  std::uint32_t load = 0;  // approximate number of requests
  std::set<std::string> unreachable_services;
};

/// A message of a relay to one receiver, or to all that have the same version.
struct region_digest {
  std::string relay;
  std::string region;              // of the relay
  std::uint64_t incarnation = 0;   // of the relay's process
  std::uint64_t sequence = 0;      // of this digest
  std::uint64_t base_version = 0;  // contains all changes after this version
  std::uint64_t version = 0;
  std::vector<digest_row> rows;
  /// The relay had contact with each node within this time, except those in
  /// `late`.
  std::chrono::milliseconds max_age{0};
  std::map<std::string, std::chrono::milliseconds> late;
  std::map<std::string, service_loads> services;  // by region
  endpoint_sums sums;
  /// Whether the sums and reports include the values of the receiver.
  bool includes_receiver = false;
  /// Loads that endpoints reported.
  std::map<std::string, reported_load> reports;
};

json to_json(const digest_request& value);
digest_request digest_request_from(const json& value);
json to_json(const region_digest& value);
/// Decodes a digest; returns an error if it is invalid or inconsistent.
result<region_digest> region_digest_from(const json& value);

}  // namespace trestlepost::membership
