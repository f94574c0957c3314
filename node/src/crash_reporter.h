// Reports to the control nodes what ran on endpoints that crashed, requests and
// the parts of their prompts, and which of it has succeeded since.
#pragma once

#include <deque>
#include <string>

#include "node_context.h"
#include "trestlepost/routing/crash_attribution.h"

namespace trestlepost::node {

/// Sends each report to all control nodes, so that a new leader has the same
/// reports as the last one, and repeats it a few times: messages may be lost,
/// and control nodes lose the reports when they restart.
class crash_reporter {
 public:
  explicit crash_reporter(node_context& context) : context_(context) {}

  /// Reports that an endpoint crashed during a run with a trait.
  void report_crash(const routing::crash_report& report);
  /// Reports that a run with the trait of this fingerprint succeeded at `at`.
  void report_success(const std::string& fingerprint, monotonic_time at);
  void tick();

 private:
  /// A crash, or a successful run when `endpoint` is empty.
  struct pending_report {
    routing::crash_report report;
    monotonic_time next_send{};
    std::chrono::milliseconds delay{};
  };

  void enqueue(const routing::crash_report& report);

  node_context& context_;
  std::deque<pending_report> pending_;
};

}  // namespace trestlepost::node
