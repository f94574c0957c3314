// Exchanges the usage of organisations: gateways report to a collector of their
// region, and collectors tell each other their sums. Every node can be a
// collector, so that nodes need not agree on which ones are.
#pragma once

#include <string>

#include "node_context.h"
#include "trestlepost/routing/organisation_table.h"
#include "trestlepost/usage/shared_limiter.h"
#include "trestlepost/usage/usage_collector.h"

namespace trestlepost::node {

class usage_service {
 public:
  usage_service(node_context& context,
                const routing::organisation_table& organisations);

  void start();
  void tick();
  usage::usage_limiter& limiter() { return limiter_; }

 private:
  void handle_report(const json& params);
  void handle_reply(const json& params);
  void handle_sums(const json& params);
  bool report_is_due(monotonic_time now) const;
  void send_report(monotonic_time now);
  void send_sums(monotonic_time now);
  /// Chooses another collector if the last one is gone or does not answer.
  void choose_collector(monotonic_time now);

  node_context& context_;
  const routing::organisation_table& organisations_;
  std::string process_name_;
  usage::usage_collector collector_;
  usage::shared_limiter limiter_;
  std::string collector_address_;  // that this gateway reports to
  monotonic_time chosen_at_;
  monotonic_time answered_at_;  // the last report
  monotonic_time reported_at_;
  monotonic_time next_report_;
  monotonic_time next_tick_;
};

}  // namespace trestlepost::node
