// The settings of one node: read from a JSON file with comments, checked whole
// before anything starts.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "trestlepost/base/error.h"
#include "trestlepost/base/log.h"
#include "trestlepost/membership/endpoint_tracker.h"
#include "trestlepost/membership/node_state.h"
#include "trestlepost/routing/region_choice.h"
#include "trestlepost/routing/retry_budget.h"
#include "trestlepost/transport/asio.h"

namespace trestlepost::node {

struct control_node {
  std::string name;
  std::string address;  // of its peers' port
};

struct operator_account {
  std::string name;
  std::string role;  // "read", "change" or "found"
  std::string token_sha256;
};

struct timing_settings {
  std::chrono::milliseconds election_timeout{1000};
  std::chrono::milliseconds heartbeat_interval{300};
  std::chrono::milliseconds poll_interval{500};
  std::chrono::milliseconds load_poll_interval{250};
  std::chrono::milliseconds platform_poll_interval{1000};
  /// By how much the platform's list lags behind its endpoints at most.
  std::chrono::milliseconds platform_list_lag{1000};
  /// After so long without a word from the other side's system an open
  /// connection to a node or an endpoint counts as lost.
  std::chrono::milliseconds connection_silence{transport::usual_silence};
  std::chrono::milliseconds drain_timeout{60'000};
  /// How long a planned stop goes on taking requests: callers learn of it
  /// only when they ask the directory again.
  std::chrono::milliseconds drain_grace{0};
  /// How long callers may use an answer of the entry directory.
  std::chrono::milliseconds directory_lifetime{5000};
};

/// How callers, operators and endpoints speak.
enum class surface_kind { own, platform };

struct settings {
  std::string node;
  std::string region;
  std::string availability_zone;
  bool gateway = true;
  bool control = false;
  std::string data_folder;  // empty: no disk
  std::string charts_folder;
  std::string callers_address;
  std::string forwards_address;
  std::string operators_address;
  std::string peers_address;
  /// What others are told, when it differs from where the node listens.
  std::string advertised_callers;
  std::string advertised_forwards;
  std::string advertised_peers;
  std::string outgoing_ip;  // empty: any
  surface_kind surface = surface_kind::own;
  // Interfaces of the platform's surface; empty: not served.
  std::string readiness_address;
  std::string directory_address;
  std::string orders_address;
  /// Found the configuration group at the first start, if this node is the
  /// first seed.
  bool found_at_first_start = false;
  /// Control nodes whose loss at once must lose nothing.
  std::size_t tolerated_losses = 0;
  /// The region of each availability zone that endpoints may stand in.
  std::map<std::string, std::string> zone_regions;
  routing::shared_retry_limits retries;
  std::vector<control_node> control_nodes;
  std::vector<std::string> seeds;
  std::string peer_secret;
  std::vector<operator_account> operators;
  std::string platform_address;  // empty: none
  log_level log_lowest = log_level::info;
  std::string log_file;
  std::size_t queue_capacity = 2000;
  std::size_t snapshot_every = 1000;
  timing_settings timing;
  membership::node_state_options state;
  membership::endpoint_options endpoints;
  routing::region_choice_options region_choice;
};

/// Reads and checks `text`; `file` is named in the mistakes.
result<settings> parse_settings(const std::string& text,
                                const std::string& file);
result<settings> load_settings(const std::string& file);

/// What has to hold on the machine: folders writable, secret readable.
result<void> check_machine(settings& value, const std::string& file);

}  // namespace trestlepost::node
