// The settings of one node, read from a JSON file with comments and validated
// before any service starts.
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

/// A control node listed in the settings.
struct control_node {
  std::string name;
  std::string address;  // peer address
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
  /// Maximum delay until a change of an endpoint shows in the platform's list.
  std::chrono::milliseconds platform_list_lag{1000};
  /// An open connection to a node or an endpoint counts as lost after this time
  /// without a packet from the remote system, acknowledgements included.
  std::chrono::milliseconds connection_silence{
      transport::default_tcp_user_timeout};
  std::chrono::milliseconds drain_timeout{60'000};
  /// How long a node accepts new requests after a planned stop has begun.
  /// Callers stop using it only after their next query of the directory.
  std::chrono::milliseconds drain_grace{0};
  /// How long callers may cache an answer of the entry directory.
  std::chrono::milliseconds directory_lifetime{5000};
};

/// The protocols used by callers, operators and endpoints.
enum class surface_kind { own, platform };

struct settings {
  std::string node;
  std::string region;
  std::string availability_zone;
  bool gateway = true;
  bool control = false;
  std::string data_folder;  // empty: the node stores nothing
  std::string charts_folder;
  std::string callers_address;
  std::string forwards_address;
  std::string operators_address;
  std::string peers_address;
  /// The addresses sent to other nodes and callers; those listened on unless
  /// set.
  std::string advertised_callers;
  std::string advertised_forwards;
  std::string advertised_peers;
  std::string outgoing_ip;  // source of connections; empty: any
  surface_kind surface = surface_kind::own;
  // Interfaces of the platform's surface; an empty address is not served.
  std::string readiness_address;
  std::string directory_address;
  std::string orders_address;
  /// Whether this node founds the configuration group at its first start. Only
  /// the first seed does.
  bool found_at_first_start = false;
  /// How many control nodes may fail at the same time without loss of
  /// acknowledged changes.
  std::size_t tolerated_losses = 0;
  /// The region of each availability zone that may have endpoints.
  std::map<std::string, std::string> zone_regions;
  routing::shared_retry_limits retries;
  std::vector<control_node> control_nodes;
  std::vector<std::string> seeds;
  std::string peer_secret;
  std::vector<operator_account> operators;
  std::string platform_address;  // empty: no platform
  log_level min_log_level = log_level::info;
  std::string log_file;
  std::size_t queue_capacity = 2000;
  std::size_t snapshot_every = 1000;
  std::size_t memory_limit = 0;  // bytes; 0: the default
  timing_settings timing;
  membership::node_state_options state;
  membership::endpoint_options endpoints;
  routing::region_choice_options region_choice;
};

/// Parses and validates `text`. The error lists all validation errors; `file`
/// is the file name shown in it.
result<settings> parse_settings(const std::string& text,
                                const std::string& file);
/// Reads and validates a settings file and checks the local file system.
result<settings> load_settings(const std::string& file);

/// Checks that the data folder is writable, and replaces the path in
/// `peer_secret` by the secret in that file. Fails when the secret is too
/// short.
result<void> check_environment(settings& value, const std::string& file);

}  // namespace trestlepost::node
