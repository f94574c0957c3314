// Requests the configuration from another node when live nodes have a newer one
// and the leader's updates do not arrive, and answers such requests.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "node_context.h"
#include "trestlepost/config/store.h"
#include "trestlepost/transport/peer_links.h"

namespace trestlepost::node {

/// Returns the newest revision that live nodes, this one excepted, report; 0 if
/// there are none.
config::revision_number newest_reported(const node_context& context);

/// A copy from another node is not confirmed: it replaces an older one of the
/// same group, and only a leader tells whether it is current.
class newer_configuration {
 public:
  /// `apply` is called with an update of a newer revision.
  newer_configuration(node_context& context,
                      std::function<void(const json& update)> apply)
      : context_(context), apply_(std::move(apply)) {}

  void start();
  /// Sends a request if one is due. `lag` is how long other nodes have had a
  /// newer configuration, of which `newest` is the newest revision.
  void tick(config::revision_number newest, std::chrono::milliseconds lag);

 private:
  /// The peer addresses of the live nodes that report `revision`.
  std::vector<std::string> holders_of(config::revision_number revision) const;
  void handle_request(const json& params);
  void handle_answer(const json& params);
  /// The own configuration, encoded once for all that request it.
  const transport::encoded_notification& encoded_configuration();

  node_context& context_;
  std::function<void(const json& update)> apply_;
  monotonic_time next_request_;
  std::chrono::milliseconds retry_delay_{};
  transport::encoded_notification encoded_;
  config::revision_number encoded_revision_ = 0;
};

}  // namespace trestlepost::node
