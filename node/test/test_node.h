// A node without services for tests: the state that services share, and its
// links to peers.
#pragma once

#include <string>

#include "node_context.h"

namespace trestlepost::node::test {

/// One process of a node. Another one may take its address after its end.
class test_node {
 public:
  /// Listens for peers at `address`. Throws std::runtime_error if it can't be
  /// bound.
  test_node(transport::asio::io_context& io, const std::string& address,
            settings options = {});

  node_context& context() { return context_; }

 private:
  settings settings_;
  system_clock_source clock_;
  system_random random_;
  config::object_store store_;
  membership::node_state state_;
  membership::node_table nodes_;
  membership::endpoint_tracker endpoints_;
  transport::rpc_dispatcher dispatcher_;
  transport::peer_links links_;
  transport::peer_server server_;
  transport::http_client client_;
  node_context context_;
};

}  // namespace trestlepost::node::test
