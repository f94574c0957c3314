// A usage limiter that follows the levels told by the region's collector.
//
// While an organisation is far from its limit, all its requests are admitted
// and only counted. Near the limit each request is admitted with a probability
// that makes the usage of all gateways together approach the limit, whatever
// the sizes of requests and wherever they arrive. Without a collector the
// gateway uses an equal part of the limit. At its start it knows neither the
// demand nor the other gateways, so requests wait for a collector's answer.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "trestlepost/base/random.h"
#include "trestlepost/usage/usage_limiter.h"
#include "trestlepost/usage/usage_messages.h"

namespace trestlepost::usage {

class shared_limiter : public usage_limiter {
 public:
  /// `gateway` must differ between processes of a node.
  shared_limiter(std::string gateway, random_source& random)
      : gateway_(std::move(gateway)),
        random_(random),
        session_(random.identifier()) {}

  void record_request(const config::organisation& organisation, double amount,
                      monotonic_time now) override;
  bool is_learning(monotonic_time now) const override;
  usage_decision admit(const config::organisation& organisation, double amount,
                       monotonic_time now) override;
  void give_back(const std::string& organisation, double amount) override;

  /// Whether the next report should not wait for its time: after the first
  /// request, and when much was admitted since the last report.
  bool has_urgent_usage() const { return has_urgent_usage_; }
  /// Returns the next report for the collector.
  usage_report make_report(monotonic_time now);
  void handle(const usage_reply& reply, monotonic_time now);
  /// Begins to count for another collector, or for one that has restarted.
  void begin_session();

  /// Whether a collector has answered recently.
  bool has_collector(monotonic_time now) const;
  /// Sets the number of gateways that share the limits. 0, before any is known,
  /// counts as 1: this gateway itself.
  void set_gateway_count(std::size_t n) {
    gateway_count_ = std::max<std::size_t>(n, 1);
  }

 protected:
  struct organisation_state {
    usage_count counted;              // in this session
    usage_count reported;             // in the last report
    usage_count known;                // to the collector
    std::uint64_t sequence = 0;       // of the last report
    std::optional<usage_level> near;  // unless far from the limit
    usage_bucket alone;               // while there is no collector
    monotonic_time changed_at;
  };

  /// Decides near the limit, with the collector's data.
  virtual usage_decision admit_near_limit(organisation_state& state,
                                          const config::usage_limit& limit,
                                          double amount, monotonic_time now);
  usage_decision admit_alone(organisation_state& state,
                             const config::usage_limit& limit, double amount,
                             monotonic_time now);

  double part_ = 0;
  monotonic_time heard_at_;

 private:
  /// Whether the collector must learn of earlier requests before this one can
  /// be admitted. Bounds what a flood at one gateway uses meanwhile.
  bool exceeds_unreported(const organisation_state& state,
                          const config::usage_limit& limit,
                          double amount) const;

  std::string gateway_;
  random_source& random_;
  std::size_t gateway_count_ = 1;
  bool is_collector_starting_ = false;
  std::optional<monotonic_time> first_asked_at_;
  std::optional<monotonic_time> first_heard_at_;
  bool has_urgent_usage_ = false;
  std::string collector_;  // that answered the current session
  /// Starts at a random number. A late answer to an earlier process at the same
  /// address must not belong to a session of this one.
  std::uint64_t session_;
  std::uint64_t sequence_ = 0;
  std::map<std::string, organisation_state> states_;
};

}  // namespace trestlepost::usage
