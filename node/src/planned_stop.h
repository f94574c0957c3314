// The planned stop of a node: peers are notified, new requests are accepted for
// a grace period, and requests in progress end before the node exits.
#pragma once

#include <vector>

#include "heartbeat_service.h"
#include "ledger_service.h"
#include "node_context.h"
#include "trestlepost/gateway/route_handler.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::node {

/// When the phases of a stop end.
struct stop_schedule {
  /// New requests are refused from then on.
  monotonic_time accepts_until;
  /// Work that is still in progress is ended then, with an answer.
  monotonic_time works_until;
  /// The process exits at this time at the latest.
  monotonic_time exits_at;
};

/// Returns the schedule of a stop that begins at `now`.
stop_schedule schedule_stop(monotonic_time now, const timing_settings& timing);

/// Runs a planned stop and ends the event loop when it has completed.
class planned_stop {
 public:
  /// The services that are notified, waited for and shut down.
  struct services {
    heartbeat_service& heartbeats;
    ledger_service& ledger;
    gateway::route_handler& routed_entry;
    std::vector<transport::http_server*> servers;
  };

  planned_stop(node_context& context, services of)
      : context_(context), services_(std::move(of)) {}

  /// Begins the stop. Further calls have no effect.
  void begin();
  bool ended() const { return ended_; }

 private:
  transport::awaitable<void> finish(stop_schedule schedule);
  /// Returns whether no request and no change of the ledger is in progress.
  bool is_idle() const;
  /// Answers the requests in progress and closes all connections.
  transport::awaitable<void> close_servers(monotonic_time until);
  std::size_t in_progress() const;
  std::size_t connections() const;

  node_context& context_;
  services services_;
  bool started_ = false;
  bool ended_ = false;
};

}  // namespace trestlepost::node
