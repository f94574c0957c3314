// Heartbeats to the region's relays and their digests back, in regions that
// are too large for heartbeats from each to each; and digests between regions.
// Whoever is asked answers: nodes need not agree on which ones are relays.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "node_context.h"
#include "trestlepost/membership/digest_reader.h"
#include "trestlepost/membership/digest_writer.h"
#include "trestlepost/membership/relay_selector.h"

namespace trestlepost::node {

/// Sends and takes digests; on a relay it also makes them.
class digest_service {
 public:
  explicit digest_service(node_context& context);

  void start();
  /// The time between two heartbeats of this node.
  std::chrono::milliseconds interval() const;
  /// Sends a heartbeat to the relays, with what this node has of their
  /// digests.
  void send_to_relays(const json& heartbeat);
  /// Takes note of what the sender of a heartbeat asks for.
  void note_ask(const json& heartbeat, const membership::node_info& sender);
  /// Tells all who asked not long ago.
  void answer_asks();
  /// This region to the nodes at these addresses, one in each other region.
  void send_to_regions(const std::vector<std::string>& addresses);
  /// News of another region, to those of this one that digests don't reach.
  void pass_on(const char* method, const json& params);

  /// What the other gateways of the region have under way.
  membership::endpoint_sums others() const;
  /// Called after a digest brought sums.
  std::function<void()> on_sums;

 private:
  struct asker {
    std::string address;
    membership::digest_request has;
    monotonic_time asked_at;
    bool waiting = false;  // for an answer
  };
  /// Parts of a digest that are the same for all who ask.
  struct shared_news {
    membership::endpoint_sums sums;
    std::map<std::string, membership::service_loads> services;
    std::map<std::string, membership::reported_load> reports;
  };

  void handle_digest(const json& params);
  /// False when the digest brought no news.
  bool take(const json& params);
  /// The nodes of the region that heartbeats go to.
  std::vector<std::string> relays() const;
  shared_news gather() const;
  void update_writer();
  void answer(const std::string& name, const asker& it,
              const shared_news& news);

  node_context& context_;
  membership::digest_writer writer_;
  membership::digest_reader reader_;
  membership::relay_selector choice_;
  std::map<std::string, asker> askers_;  // by name
  std::uint64_t round_ = 0;              // of digests to those who asked
  std::uint64_t beats_ = 0;              // sent to relays
  /// The version of this region that the others were told last.
  std::uint64_t told_version_ = 0;
  int whole_left_ = 0;  // digests to other regions that name all nodes
  monotonic_time next_whole_;
};

}  // namespace trestlepost::node
