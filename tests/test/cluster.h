// Deployment of real processes for system tests: seven nodes in three regions,
// stand-in endpoints, a stand-in platform list, and a relay on the links
// between nodes that delays and cuts them.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "caller.h"
#include "loopback_range.h"
#include "process.h"
#include "run_log.h"
#include "trestlepost/base/json.h"

namespace trestlepost::test {

struct cluster_options {
  unsigned delay_ms = 5;   // one way, between regions, in ms
  unsigned endpoints = 2;  // model endpoints in each region
  double speed = 4;        // factor by which the stand-ins run faster
  unsigned plain_ms = 20;  // processing time of plain endpoints
  unsigned slots = 8;      // concurrent runs of each endpoint
  std::string policy = "weighed";
  std::string away_penalty = "100 ms";
  unsigned election_timeout_ms = 400;
  unsigned snapshot_every = 100;
  bool default_timing = false;  // use shipped timing, not shorter intervals
};

class cluster {
 public:
  explicit cluster(cluster_options options = {});
  ~cluster();

  /// Starts the nodes, founds the group, applies the configuration and waits
  /// until all nodes serve. Throws if that takes too long.
  void bring_up();
  void start_nodes();

  void start_node(const std::string& name);
  void kill_node(const std::string& name);    // SIGKILL
  void freeze_node(const std::string& name);  // SIGSTOP
  void thaw_node(const std::string& name);    // SIGCONT
  void stop_node(const std::string& name);    // SIGTERM, does not wait
  /// Waits until the node exits; returns its exit status.
  int wait_for_exit(const std::string& name);
  /// Removes the data folder of a node that doesn't run.
  void wipe_node(const std::string& name);
  bool node_running(const std::string& name);

  void kill_endpoint(const std::string& name);
  void start_endpoint(const std::string& name);
  /// Injects a fault into a stand-in endpoint; "none" ends it.
  void inject_fault(const std::string& endpoint, const std::string& name);
  /// Sets the state of the endpoint's VM in the platform list.
  void set_platform_state(const std::string& endpoint, bool leaving);

  /// Cuts both directions between two regions; "*" stands for all regions.
  void cut(const std::string& from, const std::string& to);
  void heal();

  /// Calls a method of the node's operators' interface.
  result<json> rpc(const std::string& node, const std::string& method,
                   const json& params = json(Json::objectValue));
  /// Applies objects ({"regions": [...], ...}) at a node and waits for the
  /// result.
  result<json> apply(const std::string& node, const std::string& text,
                     const std::string& change_id = "",
                     std::optional<std::uint64_t> if_revision = std::nullopt);
  json status(const std::string& node);
  std::uint64_t revision(const std::string& node);
  std::string state(const std::string& node);
  /// Returns the control node that leads the configuration group, or an empty
  /// string.
  std::string leader();
  /// Waits until a control node leads; throws if none does in time.
  std::string wait_for_leader();
  /// Returns the incarnation in the node's data folder, or 0 if there is none.
  std::uint64_t incarnation(const std::string& node) const;

  bench::caller_request model_request(const std::string& node,
                                      const std::string& caller,
                                      bool stream = false);
  bench::caller_request booking_request(
      const std::string& node, const std::string& caller,
      const std::string& key, const std::string& body = R"({"slot":"1"})");

  /// These return the started runs in any region: those of a request id, those
  /// of an idempotency key, or all.
  std::vector<bench::run_record> runs_of(const std::string& request_id) const;
  std::vector<bench::run_record> runs_of_key(const std::string& key) const;
  std::vector<bench::run_record> all_runs() const;

  std::vector<std::string> nodes() const;
  std::vector<std::string> control_nodes() const;
  std::string address(const std::string& node, int port) const;
  std::string endpoint_address(const std::string& endpoint) const;
  const std::string& folder() const { return folder_; }
  /// Returns the end of a node's log, for failure messages.
  std::string log_of(const std::string& node) const;

  /// Returns the CPU time used by a node.
  std::chrono::milliseconds cpu_time_of(const std::string& node) const;
  /// Returns the resident memory of a node, in bytes.
  std::uint64_t resident_bytes_of(const std::string& node) const;
  /// Returns the number of bytes that a node has sent to its peers.
  std::uint64_t peer_bytes_sent_by(const std::string& node);

 private:
  struct node_info {
    std::string name;
    std::string region;
    int octet = 0;
    int number = 0;
    bool control = false;
  };
  struct endpoint_info {
    std::string name;
    std::string region;
    std::string ip;
    bool plain = false;
  };

  void write_settings(const node_info& it) const;
  void set_fast_timing(json& settings) const;
  std::string configuration() const;
  const node_info& find_node(const std::string& name) const;
  void change_links(const std::string& query);

  cluster_options options_;
  // Declared before `processes_`, so that it is released after they have ended.
  loopback_range range_;
  std::string platform_address_;
  std::string relay_control_;
  std::string folder_;
  std::vector<node_info> nodes_;
  std::vector<endpoint_info> endpoints_;
  std::map<std::string, process> processes_;
};

/// Polls `condition` until it is true or `limit` has passed; returns its value.
bool eventually(const std::function<bool()>& condition,
                std::chrono::seconds limit = std::chrono::seconds(30));

}  // namespace trestlepost::test
