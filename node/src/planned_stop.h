// The planned stop of a node: peers are notified, new requests are accepted for
// a grace period, and requests in progress complete before the node exits.
#pragma once

#include "heartbeat_service.h"
#include "ledger_service.h"
#include "node_context.h"
#include "trestlepost/gateway/route_handler.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::node {

/// Runs a planned stop and ends the event loop when it has completed.
class planned_stop {
 public:
  /// The services that are notified, waited for and shut down.
  struct services {
    heartbeat_service& heartbeats;
    ledger_service& ledger;
    gateway::route_handler& routed_entry;
    transport::http_server& entry_server;
    transport::http_server& forward_server;
    transport::http_server& operator_server;
  };

  planned_stop(node_context& context, const services& of)
      : context_(context), services_(of) {}

  /// Begins the stop. Further calls have no effect.
  void begin();
  bool ended() const { return ended_; }

 private:
  transport::awaitable<void> finish();
  bool may_end(monotonic_time started);

  node_context& context_;
  services services_;
  bool started_ = false;
  bool ended_ = false;
};

}  // namespace trestlepost::node
