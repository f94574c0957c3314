// Table of the known nodes, built from heartbeats, region summaries and
// digests.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/json.h"
#include "trestlepost/membership/cached_prefix.h"
#include "trestlepost/membership/limit_statement.h"

namespace trestlepost::membership {

/// Identity, location and addresses of a node. Addresses are "IP:PORT".
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
  /// Expected queueing time of a request that arrives now.
  std::chrono::milliseconds wait{0};
  /// Time between two events of a stream.
  std::chrono::milliseconds event_interval{0};
};

/// Load by service name.
using service_loads = std::map<std::string, service_load>;

/// Load that an endpoint reported to the node that polls it.
struct reported_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// State that a node sends periodically to the nodes of its region.
struct heartbeat {
  node_info node;
  std::uint64_t sequence = 0;
  std::string state;  // of the node chart
  std::uint64_t revision = 0;
  std::map<std::string, std::uint32_t> endpoint_in_flight;
  service_loads services;
  std::map<std::string, reported_load> reports;
  /// Prompt tokens waiting for prefill at each endpoint, by priority.
  std::map<std::string, std::vector<std::uint32_t>> pending_tokens;
  /// Prompt prefixes that endpoints were sent recently.
  std::vector<cached_prefix> cached_prefixes;
  /// Services of which the gateway reaches no endpoint, although there are some
  /// in its region.
  std::set<std::string> unreachable_services;
  /// What endpoints stated to the gateway.
  trestlepost::membership::limit_statements limit_statements;
};

/// State of a region's nodes that its relay sends to other regions.
struct region_summary {
  std::string region;
  std::string relay;
  std::uint64_t sequence = 0;
  std::vector<heartbeat> nodes;  // without endpoint details
};

json to_json(const node_info& value);
node_info node_info_from(const json& value);
json to_json(const service_loads& value);
service_loads service_loads_from(const json& value);
json to_json(const heartbeat& value);
heartbeat heartbeat_from(const json& value);
json to_json(const region_summary& value);
region_summary region_summary_from(const json& value);

/// Reachability of a node by the time of its last contact.
enum class peer_state { live, suspect, dead };

/// Last known state of a node, and the times of the last contacts with it.
struct node_record {
  heartbeat last;
  monotonic_time last_contact_at;
  /// Last first-hand contact: a heartbeat of the node or, for a node of another
  /// region, a digest of that region's relay. Digests of other nodes of this
  /// region do not count.
  std::optional<monotonic_time> first_hand_at{};
  /// Time of the last heartbeat of the node itself, which carries its loads.
  std::optional<monotonic_time> load_received_at{};
  std::uint32_t load = 0;          // requests in flight and queued
  bool updated_by_digest = false;  // the last update came from a digest
};

/// Returns how many of `nodes`, apart from `self`, precede the node `self` in
/// the order by rendezvous hash for `key`.
std::size_t rendezvous_rank(const std::string& key, const std::string& self,
                            const std::vector<const node_record*>& nodes);

/// Times without contact after which a node's reachability changes.
struct suspicion_options {
  std::chrono::milliseconds suspect_after{1500};
  std::chrono::milliseconds dead_after{5000};
  /// Time without contact after which a dead node is removed.
  std::chrono::milliseconds remove_after{600'000};
};

struct digest_row;

class node_table {
 public:
  explicit node_table(suspicion_options options = {}) : options_(options) {}

  /// Applies a heartbeat; ignores one that is older than the last one of the
  /// same incarnation.
  void observe(const heartbeat& in, monotonic_time now);
  void observe(const region_summary& in, monotonic_time now);
  /// Records contact with a known node that sent no full heartbeat. Returns
  /// false if the incarnation is not known.
  bool observe_alive(const std::string& name, std::uint64_t incarnation,
                     std::uint64_t sequence, std::uint64_t revision,
                     monotonic_time now);
  /// Applies a digest row of a node; its relay had contact with the node at
  /// `contact_at`.
  void apply(const digest_row& in, monotonic_time contact_at);
  /// Records that a relay had contact with the node at `contact_at`.
  /// `first_hand`: the relay and the node are in the same region, and this node
  /// is in another one.
  void record_contact(const std::string& name, monotonic_time contact_at,
                      bool first_hand);
  /// Sets the service loads of another region at each of its ready gateways.
  /// `first_hand`: a relay of that region reports them.
  void set_region_services(const std::string& region,
                           const service_loads& loads, bool first_hand,
                           monotonic_time now);
  /// Returns whether a node of `region` has reported service loads lately.
  bool has_first_hand_services(const std::string& region,
                               monotonic_time now) const;
  void remove_expired(monotonic_time now);

  const suspicion_options& options() const { return options_; }
  bool has_fresh_load(const node_record& record, monotonic_time now) const;
  const node_record* find(const std::string& name) const;
  peer_state state_of(const node_record& record, monotonic_time now) const;
  bool is_live(const std::string& name, monotonic_time now) const;
  std::vector<const node_record*> all() const;
  std::vector<const node_record*> live_in(const std::string& region,
                                          monotonic_time now) const;
  /// The live and ready gateways of `region` other than `self` that accept
  /// forwarded requests and reach an endpoint of `service`.
  std::vector<const node_record*> forward_targets(const std::string& region,
                                                  const std::string& service,
                                                  const node_info& self,
                                                  monotonic_time now) const;
  /// The live gateways in the region of `self`, without `self`.
  std::vector<const node_record*> other_gateways(const node_info& self,
                                                 monotonic_time now) const;
  /// As `other_gateways`, but includes suspect gateways: they may still serve
  /// their callers.
  std::vector<const node_record*> possible_gateways(const node_info& self,
                                                    monotonic_time now) const;
  /// The number of known gateways in all regions, including this node if it is
  /// one. Unreachable ones count: they may serve on the other side of a network
  /// partition.
  std::size_t gateway_count() const;
  std::vector<std::string> regions() const;

  /// The relays among the live nodes of a region, in the order of
  /// `rank_relays`. All nodes of the region compute the same relays from the
  /// same table.
  std::vector<const node_record*> relays_of(const std::string& region,
                                            monotonic_time now) const;

 private:
  suspicion_options options_;
  std::map<std::string, node_record> nodes_;
  // By region.
  std::map<std::string, monotonic_time> services_set_at_;
  std::map<std::string, monotonic_time> first_hand_services_at_;
};

/// Number of relays of a region.
inline constexpr std::size_t relays_per_region = 2;

}  // namespace trestlepost::membership
