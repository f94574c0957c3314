// The planned stop of a node: it is announced, new requests are taken for a
// grace and those in progress are finished before the node exits.
#pragma once

#include "heartbeat_service.h"
#include "ledger_service.h"
#include "node_context.h"
#include "trestlepost/gateway/route_handler.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::node {

class planned_stop {
 public:
  /// What is announced, waited for and closed.
  struct parts {
    heartbeat_service& heartbeats;
    ledger_service& ledger;
    gateway::route_handler& routed_entry;
    transport::http_server& entry_server;
    transport::http_server& forward_server;
    transport::http_server& operator_server;
  };

  planned_stop(node_context& context, const parts& of)
      : context_(context), parts_(of) {}

  /// Begins the stop; once it has begun this does nothing.
  void begin();
  bool ended() const { return ended_; }

 private:
  transport::awaitable<void> finish();
  bool may_end(monotonic_time started);

  node_context& context_;
  parts parts_;
  bool begun_ = false;
  bool ended_ = false;
};

}  // namespace trestlepost::node
