// The nodes that this node knows, from heartbeats and region summaries.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/json.h"
#include "trestlepost/membership/cached_prefix.h"

namespace trestlepost::membership {

/// Where a node stands and where it listens. Addresses are "IP:PORT".
struct node_info {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string region;
  std::string availability_zone;
  std::string caller_address;
  std::string forward_address;
  std::string peer_address;
  bool control = false;
  bool durable = false;  // has a data folder

  bool operator==(const node_info&) const = default;
};

/// Load of one service on one gateway, or summed over a region.
struct service_load {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t free_slots = 0;
  std::uint32_t endpoints = 0;  // usable ones
  /// Expected time in the queue of a request that comes now.
  std::chrono::milliseconds wait{0};
  /// Time between two events of a stream.
  std::chrono::milliseconds event_interval{0};
};

/// What an endpoint reported to the node that polls it.
struct reported_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// What a node tells the nodes of its region.
struct heartbeat {
  node_info node;
  std::uint64_t sequence = 0;
  std::string state;  // of the node chart
  std::uint64_t revision = 0;
  std::map<std::string, std::uint32_t> endpoint_in_flight;
  std::map<std::string, service_load> services;
  std::map<std::string, reported_load> reports;
  /// Prompt tokens that wait to be read at each endpoint, by priority.
  std::map<std::string, std::vector<std::uint32_t>> pending_tokens;
  /// Prompt beginnings that endpoints were sent a moment ago.
  std::vector<cached_prefix> cached_prefixes;
};

/// What a relay tells other regions of its own region.
struct region_summary {
  std::string region;
  std::string relay;
  std::uint64_t sequence = 0;
  std::vector<heartbeat> nodes;  // without endpoint detail
};

json to_json(const node_info& value);
node_info node_info_from(const json& value);
json to_json(const std::map<std::string, service_load>& value);
std::map<std::string, service_load> service_loads_from(const json& value);
json to_json(const heartbeat& value);
heartbeat heartbeat_from(const json& value);
json to_json(const region_summary& value);
region_summary region_summary_from(const json& value);

enum class peer_state { live, suspect, dead };

struct node_record {
  heartbeat last;
  monotonic_time heard_at;
  /// When it was last heard at first hand: by its own word, or by that of a
  /// relay of its region; not by a digest of another node of this region.
  std::optional<monotonic_time> told_at{};
  /// When its own heartbeat, with its loads, was last heard.
  std::optional<monotonic_time> load_at{};
  std::uint32_t load = 0;  // requests under way and queued
  bool by_digest = false;  // the last news came by a digest
};

struct suspicion_options {
  std::chrono::milliseconds suspect_after{1500};
  std::chrono::milliseconds dead_after{5000};
  /// A dead node is forgotten after this time.
  std::chrono::milliseconds forget_after{600'000};
};

struct digest_row;

class node_table {
 public:
  explicit node_table(suspicion_options options = {}) : options_(options) {}

  /// Takes in a heartbeat; an older one of the same incarnation is ignored.
  void observe(const heartbeat& in, monotonic_time now);
  void observe(const region_summary& in, monotonic_time now);
  /// A sign of life of a known node without other news; false: not known.
  bool observe_alive(const std::string& name, std::uint64_t incarnation,
                     std::uint64_t sequence, std::uint64_t revision,
                     monotonic_time now);
  /// News by a digest, of a node that its relay heard at `heard_at`.
  void learn(const digest_row& in, monotonic_time heard_at);
  /// A relay heard the node at `heard_at`; `first_hand`: a relay of the
  /// node's region, while this node is of another one.
  void refresh(const std::string& name, monotonic_time heard_at,
               bool first_hand);
  /// The load of another region, as each of its ready gateways has it.
  void learn_services(const std::string& region,
                      const std::map<std::string, service_load>& loads,
                      monotonic_time now);
  void forget_old(monotonic_time now);

  const suspicion_options& options() const { return options_; }
  bool has_fresh_load(const node_record& record, monotonic_time now) const;
  const node_record* find(const std::string& name) const;
  peer_state state_of(const node_record& record, monotonic_time now) const;
  bool is_live(const std::string& name, monotonic_time now) const;
  std::vector<const node_record*> all() const;
  std::vector<const node_record*> live_in(const std::string& region,
                                          monotonic_time now) const;
  /// The live gateways of the region of `self`, itself left out.
  std::vector<const node_record*> other_gateways(const node_info& self,
                                                 monotonic_time now) const;
  /// As `other_gateways`, with those that are not heard now but not dead: they
  /// may serve their callers all the same.
  std::vector<const node_record*> possible_gateways(const node_info& self,
                                                    monotonic_time now) const;
  std::vector<std::string> regions() const;

  /// The relays among the live nodes of a region, as `rank_relays` orders
  /// them. Every node of the region computes the same ones.
  std::vector<const node_record*> relays_of(const std::string& region,
                                            monotonic_time now) const;

 private:
  suspicion_options options_;
  std::map<std::string, node_record> nodes_;
  std::map<std::string, monotonic_time> services_learned_;
};

/// Relays a region has.
inline constexpr std::size_t relays_per_region = 2;

}  // namespace trestlepost::membership
