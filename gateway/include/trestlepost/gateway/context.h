// State shared by the components of a gateway. The node owns all of it, and it
// outlives the gateway.
#pragma once

#include <chrono>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/memory_budget.h"
#include "trestlepost/base/random.h"
#include "trestlepost/config/store.h"
#include "trestlepost/gateway/metrics.h"
#include "trestlepost/gateway/stop_deadline.h"
#include "trestlepost/ledger/record.h"
#include "trestlepost/membership/endpoint_tracker.h"
#include "trestlepost/membership/node_state.h"
#include "trestlepost/membership/node_table.h"
#include "trestlepost/routing/region_choice.h"
#include "trestlepost/routing/run_time_bounds.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::gateway {

/// Access to the ledger of this node's region and to those of other regions.
class ledger_client {
 public:
  virtual ~ledger_client() = default;

  /// Returns the decision on a claim once a majority has committed it, or an
  /// error if there is none by `deadline`. In that case the claim is abandoned,
  /// and released if it is granted later.
  virtual transport::awaitable<result<ledger::claim_decision>> claim(
      ledger::claim_command command, monotonic_time deadline) = 0;

  /// Closes a key in a region that previously owned it.
  virtual transport::awaitable<result<ledger::claim_decision>> fence(
      std::string region, ledger::fence_command command,
      monotonic_time deadline) = 0;

  /// Records the outcome of an attempt, retrying until it is stored.
  virtual void finish(const ledger::finish_command& command) = 0;

  /// Returns a new attempt id, unique to this process.
  virtual std::string make_attempt_id() = 0;
};

struct gateway_options {
  std::size_t queue_capacity = 2000;  // per service
  std::chrono::milliseconds claim_timeout{3000};
  unsigned max_attempts = 3;
  routing::region_choice_options region_choice;
  /// How long callers may cache a response of the entry directory.
  std::chrono::milliseconds directory_lifetime{5000};
};

struct gateway_context {
  transport::asio::io_context& io;
  const clock_source& clock;
  random_source& random;
  const config::object_store& store;
  const membership::node_info& self;
  membership::node_state& state;
  membership::node_table& nodes;
  membership::endpoint_tracker& endpoints;
  transport::http_client& client;
  gateway_metrics& metrics;
  ledger_client& ledger;
  std::string peer_secret;
  gateway_options options;
  /// Measured round-trip time to each region.
  std::map<std::string, std::chrono::milliseconds>& round_trips;
  const stop_deadline& stop;
  /// Pays for answers that are held; null for no bound.
  std::shared_ptr<memory_budget> memory{};
  routing::run_time_bounds run_times{};
};

}  // namespace trestlepost::gateway
