// What a relay tells: which nodes live, and sums of their loads. A digest
// names only the nodes whose news is newer than the receiver's last version;
// all the others are as they were, and heard of not long ago unless it says
// that they are late. So its length does not grow with the region.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "trestlepost/base/error.h"
#include "trestlepost/base/json.h"
#include "trestlepost/membership/endpoint_sums.h"

namespace trestlepost::membership {

/// A region of more nodes than this sends heartbeats to its relays only;
/// below it, heartbeats from each to each are fresher and as cheap.
inline constexpr std::size_t largest_mesh = 8;

/// What a node has of a relay's digests; a version of 0 asks for all.
struct digest_ask {
  std::uint64_t life = 0;
  std::uint64_t version = 0;
};

/// News of one node.
struct digest_row {
  node_info node;  // only the name, unless `whole`
  bool whole = false;
  bool gone = false;  // silent for so long that it counts as dead
  std::string state;
  std::uint64_t sequence = 0;  // of the heartbeat that brought the news
  std::uint64_t revision = 0;
  std::uint32_t load = 0;  // requests, roughly
};

/// The load of each service, by its name.
using service_loads = std::map<std::string, service_load>;

/// One message of a relay to one receiver.
struct region_digest {
  std::string relay;
  std::string region;          // of the relay
  std::uint64_t life = 0;      // of the relay's process
  std::uint64_t sequence = 0;  // of this digest
  std::uint64_t since = 0;     // all news after this version are in
  std::uint64_t version = 0;
  std::vector<digest_row> rows;
  /// The relay heard of each node within this time, except those below.
  std::chrono::milliseconds fresh{0};
  std::map<std::string, std::chrono::milliseconds> late;
  std::map<std::string, service_loads> services;  // by region
  endpoint_sums sums;  // without the receiver's own share
  /// What endpoints reported of their load.
  std::map<std::string, reported_load> reports;
};

json to_json(const digest_ask& value);
digest_ask digest_ask_from(const json& value);
json to_json(const region_digest& value);
/// Refuses a digest that contradicts itself.
result<region_digest> region_digest_from(const json& value);

}  // namespace trestlepost::membership
