// The gateway's metrics, based on prometheus-cpp.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <string>

namespace trestlepost::gateway {

class gateway_metrics {
 public:
  explicit gateway_metrics(prometheus::Registry& registry);

  /// `outcome` is "answered" or the error kind of the refusal.
  void request_done(const std::string& service, const std::string& outcome,
                    std::chrono::nanoseconds duration);
  /// A request was answered by an endpoint of `region`.
  void served_in(const std::string& service, const std::string& region);
  /// `duration` is the time until the first piece of an answer arrived, for
  /// routed requests since their arrival, for others since they left the queue.
  void first_piece(const std::string& service,
                   std::chrono::nanoseconds duration);
  /// A request was written to an endpoint. `first`: it was not written to any
  /// endpoint before.
  void sent(const std::string& service, bool first);
  void retried(const std::string& service);
  /// The retry budget denied a retry that was otherwise possible.
  void retry_denied(const std::string& service);
  /// An interrupted stream was continued at another endpoint.
  void resumed(const std::string& service, const std::string& outcome);
  /// `n` runs lost their connections to one endpoint. `endpoint_is` is the
  /// result of the probe: "crashed", "well" or "silent".
  void runs_interrupted(const std::string& service,
                        const std::string& endpoint_is, std::size_t n);
  /// The planned stop of this node ended a request. `outcome` is "not-run",
  /// "unknown" or, if the answer had begun, "incomplete".
  void ended_by_stop(const std::string& service, const std::string& outcome);
  void forwarded(const std::string& region);
  void queue_length(const std::string& service, std::size_t n);

 private:
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& durations_;
  prometheus::Family<prometheus::Histogram>& first_pieces_;
  prometheus::Family<prometheus::Counter>& served_;
  prometheus::Family<prometheus::Counter>& sends_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Counter>& retries_denied_;
  prometheus::Family<prometheus::Counter>& resumptions_;
  prometheus::Family<prometheus::Counter>& interrupted_runs_;
  prometheus::Family<prometheus::Counter>& stop_ends_;
  prometheus::Family<prometheus::Counter>& forwards_;
  prometheus::Family<prometheus::Gauge>& queue_;
};

}  // namespace trestlepost::gateway
