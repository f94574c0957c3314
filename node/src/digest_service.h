// Heartbeats to the region's relays and the digests that relays send back, for
// regions too large for heartbeats between all nodes; and digests between
// regions. Any node answers a digest request, so nodes need not agree on which
// ones are relays.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "node_context.h"
#include "trestlepost/membership/digest_reader.h"
#include "trestlepost/membership/digest_writer.h"
#include "trestlepost/membership/relay_selector.h"
#include "trestlepost/transport/peer_links.h"

namespace trestlepost::node {

/// Requests and receives digests; on a relay it also produces them.
class digest_service {
 public:
  explicit digest_service(node_context& context);

  void start();
  /// The time between two heartbeats of this node.
  std::chrono::milliseconds interval() const;
  /// Sends a heartbeat to the relays and to those that are missing, with the
  /// version of the last digest received from each.
  void send_to_relays(const membership::heartbeat& beat);
  /// Records the digest request in a heartbeat, if it has one.
  void record_digest_request(const json& heartbeat,
                             const membership::node_info& sender);
  /// Sends a digest to each node with an unanswered recent request.
  void answer_digest_requests();
  /// Sends a digest of this region to the nodes at `addresses`, one in each
  /// other region.
  void send_to_regions(const std::vector<std::string>& addresses);
  /// Forwards data about another region to the nodes of this region that would
  /// not get it in a digest.
  void forward_in_region(const char* method, const json& params);

  /// The requests in flight from the region's other gateways.
  membership::endpoint_sums other_gateway_sums() const;
  /// Called after a digest with new data was received.
  std::function<void()> on_digest;

 private:
  struct requester {
    std::string address;
    membership::digest_request known;
    monotonic_time requested_at;
    bool waiting = false;  // request not answered yet
  };
  /// The content that is the same in the digests to all requesters.
  struct shared_content {
    membership::endpoint_sums sums;
    std::map<std::string, membership::service_loads> services;
    std::map<std::string, membership::reported_load> reports;
  };

  void handle_digest(const json& params);
  /// Applies a digest; false when it had nothing new.
  bool apply_digest(const json& params);
  /// The other nodes of this region.
  std::vector<membership::relay_candidate> relay_candidates() const;
  /// The names of the relays of this node.
  std::vector<std::string> relays() const;
  /// Time without an answer after which a relay is skipped.
  std::chrono::milliseconds relay_timeout() const;
  shared_content collect_shared_content() const;
  void update_writer();
  membership::region_digest make_digest(
      const membership::digest_request& request, const shared_content& content);
  /// Encodes a digest for all requesters with this request.
  transport::encoded_notification encode_shared_digest(
      const membership::digest_request& request, const shared_content& content);
  /// Sends a digest without the receiver's own values.
  void send_own_digest(const std::string& name, const requester& it,
                       const shared_content& content);

  node_context& context_;
  membership::digest_writer writer_;
  membership::digest_reader reader_;
  membership::relay_selector relay_selector_;
  std::map<std::string, requester> requesters_;  // by name
  std::uint64_t digest_round_ = 0;      // number of rounds of digests sent
  std::uint64_t relay_heartbeats_ = 0;  // number of heartbeats sent to relays
  /// The version of this region's data last sent to other regions.
  std::uint64_t last_sent_version_ = 0;
  int full_digests_left_ = 0;  // full digests still due to other regions
  monotonic_time next_full_digest_;
};

}  // namespace trestlepost::node
