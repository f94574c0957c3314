// Polls endpoints for their load on nodes with the setting `surface: own`, and
// the platform's endpoint list for endpoints that are leaving.
#pragma once

#include <map>
#include <string>

#include "node_context.h"
#include "trestlepost/own/codecs.h"

namespace trestlepost::node {

/// Polls the endpoints that this node is responsible for; two nodes of the
/// region poll each endpoint.
class probe_service {
 public:
  explicit probe_service(node_context& context) : context_(context) {}

  void tick();
  /// The loads polled by this node, sent to the other gateways in heartbeats.
  const std::map<std::string, membership::reported_load>& reports() const {
    return reports_;
  }

 private:
  transport::awaitable<void> read_load(std::string endpoint,
                                       std::string address);
  transport::awaitable<void> read_platform_list();
  /// Whether this node is among those that poll the endpoint, selected by
  /// rendezvous hashing.
  bool is_prober_of(const std::string& endpoint) const;

  node_context& context_;
  own::directory_codec directory_;
  std::map<std::string, membership::reported_load> reports_;
  monotonic_time next_load_;
  monotonic_time next_platform_;
};

}  // namespace trestlepost::node
