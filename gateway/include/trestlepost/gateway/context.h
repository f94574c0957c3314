// What the parts of a gateway share. All of it belongs to the node and
// outlives the gateway.
#pragma once

#include <chrono>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/random.h"
#include "trestlepost/config/store.h"
#include "trestlepost/gateway/metrics.h"
#include "trestlepost/ledger/record.h"
#include "trestlepost/membership/endpoint_tracker.h"
#include "trestlepost/membership/node_state.h"
#include "trestlepost/membership/node_table.h"
#include "trestlepost/routing/region_choice.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::gateway {

/// The ledger of this node's region, and the way to those of other regions.
class run_once {
 public:
  virtual ~run_once() = default;

  /// The decision on a claim, committed by a majority; an error when there is
  /// none by `deadline`. The claim is then given up, and released should it
  /// be granted late.
  virtual transport::awaitable<result<ledger::claim_decision>> claim(
      ledger::claim_command asked, monotonic_time deadline) = 0;

  /// Closes a key in a region that owned it before.
  virtual transport::awaitable<result<ledger::claim_decision>> fence(
      std::string region, ledger::fence_command asked,
      monotonic_time deadline) = 0;

  /// Records how an attempt ended; goes on until it is recorded.
  virtual void finish(const ledger::finish_command& told) = 0;

  /// An id for an attempt of this process.
  virtual std::string make_attempt_id() = 0;
};

struct gateway_options {
  std::size_t queue_capacity = 2000;  // for each service
  std::chrono::milliseconds claim_timeout{3000};
  unsigned most_attempts = 3;
  routing::region_choice_options region_choice;
  /// How long an answer of the entry directory may be used.
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
  run_once& ledger;
  std::string peer_secret;
  gateway_options options;
  /// Round trip to each region, as measured.
  std::map<std::string, std::chrono::milliseconds>& round_trips;
};

}  // namespace trestlepost::gateway
