// A deployment of real processes: seven nodes in three regions, stand-in
// endpoints, a platform list, and a relay on the links between nodes.
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
  unsigned delay_ms = 5;   // one way, between regions
  unsigned endpoints = 2;  // of the model, in each region
  double speed = 4;        // of the stand-ins
  unsigned plain_ms = 20;
  unsigned slots = 8;
  std::string policy = "weighed";
  std::string away_penalty = "100 ms";
  unsigned election_timeout_ms = 400;
  unsigned snapshot_every = 100;
  bool default_timing = false;  // as shipped, instead of faster
};

class cluster {
 public:
  explicit cluster(cluster_options options = {});
  ~cluster();

  /// Founds, applies the configuration and waits until all nodes serve.
  void bring_up();
  void start_nodes();

  void start_node(const std::string& name);
  void kill_node(const std::string& name);
  void freeze_node(const std::string& name);
  void thaw_node(const std::string& name);
  void stop_node(const std::string& name);  // SIGTERM, does not wait
  int wait_node(const std::string& name);
  void wipe_node(const std::string& name);
  bool node_running(const std::string& name);

  void kill_endpoint(const std::string& name);
  void start_endpoint(const std::string& name);
  /// Orders a fault of a stand-in; "none" ends it.
  void fault(const std::string& endpoint, const std::string& name);
  void platform_says(const std::string& endpoint, bool leaving);

  /// Cuts both directions between two regions, or ("*") all.
  void cut(const std::string& from, const std::string& to);
  void heal();

  /// An operators' call to a node.
  result<json> rpc(const std::string& node, const std::string& method,
                   const json& params = json(Json::objectValue));
  /// Applies objects to a node: {"regions": [...], ...}. Waits for the result.
  result<json> apply(const std::string& node, const std::string& text,
                     const std::string& change_id = "",
                     std::optional<std::uint64_t> if_revision = std::nullopt);
  json status(const std::string& node);
  std::uint64_t revision(const std::string& node);
  std::string state(const std::string& node);
  /// The control node that leads now, or empty.
  std::string leader();
  /// Waits until a control node leads; throws when none does in time.
  std::string wait_for_leader();
  /// From the node's data folder; 0 when there is none.
  std::uint64_t incarnation(const std::string& node) const;

  bench::caller_request model_request(const std::string& node,
                                      const std::string& caller,
                                      bool stream = false);
  bench::caller_request booking(const std::string& node,
                                const std::string& caller,
                                const std::string& key,
                                const std::string& body = R"({"slot":"1"})");

  /// Runs begun, of a request id or a key, in any region.
  std::vector<bench::run_record> runs_of(const std::string& request_id) const;
  std::vector<bench::run_record> runs_of_key(const std::string& key) const;
  std::vector<bench::run_record> all_runs() const;

  std::vector<std::string> nodes() const;
  std::vector<std::string> control_nodes() const;
  std::string address(const std::string& node, int port) const;
  std::string endpoint_address(const std::string& endpoint) const;
  const std::string& folder() const { return folder_; }
  /// The last lines of a node's log, for messages.
  std::string log_of(const std::string& node) const;

  /// CPU time that a node has used.
  std::chrono::milliseconds cpu_of(const std::string& node) const;
  /// Resident memory of a node, in bytes.
  std::uint64_t memory_of(const std::string& node) const;
  /// Bytes that a node has sent to peers.
  std::uint64_t peer_bytes_of(const std::string& node);

 private:
  struct node_place {
    std::string name;
    std::string region;
    int octet = 0;
    int number = 0;
    bool control = false;
  };
  struct endpoint_place {
    std::string name;
    std::string region;
    std::string ip;
    bool plain = false;
  };

  void write_settings(const node_place& it) const;
  void set_fast_timing(json& settings) const;
  std::string configuration() const;
  const node_place& place(const std::string& name) const;
  void control_relay(const std::string& query);

  cluster_options options_;
  loopback_range range_;  // given back last, when no process uses it
  std::string platform_address_;
  std::string relay_control_;
  std::string folder_;
  std::vector<node_place> places_;
  std::vector<endpoint_place> endpoints_;
  std::map<std::string, process> processes_;
};

/// Waits until `holds` is true; a bounded time.
bool eventually(const std::function<bool()>& holds,
                std::chrono::seconds limit = std::chrono::seconds(30));

}  // namespace trestlepost::test
