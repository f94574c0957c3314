// Reports to the control nodes which requests ran on endpoints that crashed,
// and which of these requests have completed successfully since.
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

  /// Reports that an endpoint crashed while it ran a request.
  void report_crash(const routing::crash_report& report);
  /// Reports a successful run with the trait of this fingerprint.
  void report_success(const std::string& fingerprint);
  void tick();

 private:
  /// A crash, or a successful completion when `endpoint` is empty.
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
