// The commands of `trestlepost`. Each calls a node, prints the answer and
// returns an exit code.
#pragma once

#include <optional>
#include <string>

#include "client.h"

namespace trestlepost::ctl {

/// Public interface, documented in docs/INTERFACES.md.
namespace exit_codes {
inline constexpr int ok = 0;
inline constexpr int refused = 1;
inline constexpr int bad_input = 2;
inline constexpr int conflict = 3;
inline constexpr int unavailable = 4;
inline constexpr int unauthorized = 5;
}  // namespace exit_codes

struct output_options {
  bool as_json = false;
};

struct apply_options {
  std::string file;
  std::string change_id;
  std::optional<std::uint64_t> if_revision;
  bool wait = false;
};

struct audit_options {
  std::string operator_name;
  std::string kind;
  std::string name;
  std::string since;  // maximum age, for example "2 h"; empty: no limit
  std::uint64_t limit = 50;
};

struct explain_options {
  std::string caller;
  std::string service;
  std::string labels;
  bool run_once = false;
};

class commands {
 public:
  commands(client& rpc, output_options output) : rpc_(rpc), output_(output) {}

  int init();
  int apply(const apply_options& options);
  int get(const std::string& kind, const std::string& name);
  int remove(const std::string& kind, const std::string& name,
             const std::string& change_id);
  int status();
  int audit(const audit_options& options);
  int explain(const explain_options& options);
  int drain_endpoint(const std::string& name, bool undo);
  int drain_node();
  /// Lists requests that are held because they crash endpoints.
  int held();
  int release(const std::string& fingerprint, const std::string& change_id);
  /// Refuses unless the loss of changes is accepted.
  int recover(bool loss_accepted);
  /// Validates a file as a full configuration, without a node.
  int check(const std::string& file);

 private:
  /// Prints the error and returns its exit code.
  int report(const error& cause) const;
  int print(const json& answer, const std::string& text) const;
  int send_change(const json& params, bool wait);
  /// Polls the status until all nodes have the revision.
  int wait_until_in_force(std::uint64_t revision);

  client& rpc_;
  output_options output_;
};

}  // namespace trestlepost::ctl
