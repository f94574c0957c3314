// State of each endpoint of the region as this gateway sees it: chart state,
// own requests, reported load, an adaptive concurrency limit and the ramp-up
// after a return.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/charts/chart.h"
#include "trestlepost/membership/endpoint_reachability.h"

namespace trestlepost::membership {

namespace endpoint_states {
inline constexpr char joining[] = "joining";
inline constexpr char serving[] = "serving";
inline constexpr char ejected[] = "ejected";
inline constexpr char leaving[] = "leaving";
}  // namespace endpoint_states

/// The states, events and guards that the code provides to an endpoint chart.
charts::chart_interface endpoint_chart_interface();

struct endpoint_options {
  /// Consecutive failures after which an endpoint is ejected.
  unsigned failures_to_eject = 3;
  /// Duration of the first ejection. It doubles with each further one, up to
  /// `max_ejection`; a successful request resets it.
  std::chrono::milliseconds first_ejection{1000};
  std::chrono::milliseconds max_ejection{30'000};
  /// Time in which the limit of a returned endpoint grows to its full value.
  std::chrono::milliseconds ramp{8000};
  /// Percentage of a service's endpoints that may be ejected for failures.
  unsigned max_ejected_percent = 50;
  /// Time after which a load report is ignored.
  std::chrono::milliseconds report_lifetime{5000};
};

/// Load that an endpoint reported at time `at`.
struct load_report {
  unsigned running = 0;
  unsigned waiting = 0;
  monotonic_time at;
  unsigned own_in_flight_at_report = 0;
};

/// State of one endpoint, as input to routing.
struct endpoint_view {
  std::string name;
  std::string service;
  std::string address;
  bool usable = false;
  std::string state;
  double limit = 0;  // concurrent requests, over all gateways
  unsigned own_in_flight = 0;
  unsigned others_in_flight = 0;
  double load = 0;  // own requests plus the estimate of the others'
};

/// Tracks the endpoints of a region; counts this gateway's requests and runs
/// the endpoint chart.
class endpoint_tracker {
 public:
  endpoint_tracker(charts::chart chart, endpoint_options options)
      : chart_(std::move(chart)), options_(options) {}

  /// Name, address and capacity of an endpoint.
  struct declared_endpoint {
    std::string name;
    std::string service;
    std::string address;
    unsigned slots = 1;
    bool drained = false;
  };
  /// Replaces the set of known endpoints. Endpoints whose name and address stay
  /// the same keep their state.
  void declare(const std::vector<declared_endpoint>& endpoints,
               monotonic_time now);

  void request_started(const std::string& name);
  void request_ended(const std::string& name);
  void request_succeeded(const std::string& name);
  void request_failed(const std::string& name, monotonic_time now);
  void connection_refused(const std::string& name, monotonic_time now);
  /// The endpoint answered. If no endpoint of its service had been reachable,
  /// the ejected ones may be tried again.
  void endpoint_reached(const std::string& name, monotonic_time now);
  /// No connection to the endpoint could be opened, or one failed before the
  /// answer.
  void endpoint_unreached(const std::string& name, monotonic_time now);
  /// The endpoint has left a request unanswered that was sent at `sent_at`, for
  /// longer than an endpoint usually takes.
  void endpoint_unanswered(const std::string& name, monotonic_time sent_at,
                           monotonic_time now);
  void report(const std::string& name, load_report in);
  /// Updates the endpoints at `address` from the platform's list. Endpoints
  /// that the list does not contain keep their state, because the list lags.
  void platform_listed(const std::string& address, bool leaving,
                       monotonic_time now);
  void set_others_in_flight(std::map<std::string, std::uint32_t> by_endpoint);
  void tick(monotonic_time now);

  /// Returns since when this gateway has reached no endpoint of `service`.
  /// Returns nothing if it may reach one, or if there is none.
  std::optional<monotonic_time> unreachable_since(
      const std::string& service) const;
  bool is_unreachable(const std::string& service) const {
    return unreachable_since(service).has_value();
  }
  std::set<std::string> unreachable_services() const;
  /// Returns whether `service` has endpoints and all of them are ejected.
  bool all_ejected(const std::string& service) const;

  std::vector<endpoint_view> views(const std::string& service,
                                   monotonic_time now) const;
  std::map<std::string, std::uint32_t> own_in_flight() const;
  std::vector<endpoint_view> all_views(monotonic_time now) const;

 private:
  struct record {
    declared_endpoint declared;
    std::string state;
    double limit = 1;
    unsigned failures = 0;
    unsigned ejections = 0;
    monotonic_time ramp_started_at;
    monotonic_time ejected_until;
    load_report last_report;
    bool listed_leaving = false;
  };

  /// Returns whether the endpoint is one of `service` and not leaving.
  static bool belongs_to(const record& it, const std::string& service);
  void handle(record& it, const std::string& event, monotonic_time now);
  bool guard_holds(const record& it, const std::string& guard) const;
  bool ejection_allowed(const record& it) const;
  double ramp_share(const record& it, monotonic_time now) const;
  void adapt_limit(record& it);
  endpoint_view view_of(const record& it, monotonic_time now) const;
  unsigned in_flight_at(const std::string& name) const;
  record* find(const std::string& name);

  charts::chart chart_;
  endpoint_options options_;
  std::map<std::string, record> endpoints_;
  endpoint_reachability reachability_;
  /// This gateway's requests by endpoint. They last longer than records, which
  /// are replaced when the address of an endpoint changes.
  std::map<std::string, unsigned> in_flight_;
  std::map<std::string, std::uint32_t> others_in_flight_;
  bool any_declared_ = false;
};

}  // namespace trestlepost::membership
