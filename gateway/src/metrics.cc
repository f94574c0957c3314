// Definitions of the gateway's Prometheus metrics.
#include "trestlepost/gateway/metrics.h"

namespace trestlepost::gateway {
namespace {

const prometheus::Histogram::BucketBoundaries seconds_buckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
    0.5,   1,      2.5,   5,    10,    30,   60};

prometheus::Family<prometheus::Counter>& counter(prometheus::Registry& registry,
                                                 const char* name,
                                                 const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>& histogram(
    prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge>& gauge(prometheus::Registry& registry,
                                             const char* name,
                                             const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

double seconds_of(std::chrono::nanoseconds n) {
  return std::chrono::duration<double>(n).count();
}

}  // namespace

gateway_metrics::gateway_metrics(prometheus::Registry& registry)
    : requests_(counter(registry, "trestlepost_requests_total",
                        "Requests of callers, by service and outcome.")),
      durations_(histogram(registry, "trestlepost_request_duration_seconds",
                           "Time until the answer was whole.")),
      first_pieces_(histogram(registry, "trestlepost_first_piece_seconds",
                              "Time until the first piece of the answer.")),
      served_(counter(registry, "trestlepost_served_total",
                      "Answered requests, by the region that served them.")),
      sends_(counter(registry, "trestlepost_sends_total",
                     "Requests written to endpoints of the own region.")),
      retries_(counter(registry, "trestlepost_retries_total",
                       "Second and later attempts.")),
      retries_denied_(counter(registry, "trestlepost_retries_denied_total",
                              "Retries that the budget did not pay for.")),
      resumptions_(counter(registry, "trestlepost_stream_resumptions_total",
                           "Broken streams continued at another endpoint.")),
      interrupted_runs_(
          counter(registry, "trestlepost_runs_broken_total",
                  "Runs that broke off with their connection, by what "
                  "became of the endpoint.")),
      stop_ends_(counter(registry, "trestlepost_ended_by_stop_total",
                         "Requests that this node's planned stop ended.")),
      forwards_(counter(registry, "trestlepost_forwards_total",
                        "Requests sent to another region.")),
      queue_(gauge(registry, "trestlepost_queue_length",
                   "Requests that wait for an endpoint.")) {}

void gateway_metrics::request_done(const std::string& service,
                                   const std::string& outcome,
                                   std::chrono::nanoseconds duration) {
  requests_.Add({{"service", service}, {"outcome", outcome}}).Increment();
  durations_.Add({{"service", service}}, seconds_buckets)
      .Observe(seconds_of(duration));
}

void gateway_metrics::served_in(const std::string& service,
                                const std::string& region) {
  served_.Add({{"service", service}, {"region", region}}).Increment();
}

void gateway_metrics::first_piece(const std::string& service,
                                  std::chrono::nanoseconds duration) {
  first_pieces_.Add({{"service", service}}, seconds_buckets)
      .Observe(seconds_of(duration));
}

void gateway_metrics::sent(const std::string& service, bool first) {
  sends_.Add({{"service", service}, {"which", first ? "first" : "repeat"}})
      .Increment();
}

void gateway_metrics::retried(const std::string& service) {
  retries_.Add({{"service", service}}).Increment();
}

void gateway_metrics::retry_denied(const std::string& service) {
  retries_denied_.Add({{"service", service}}).Increment();
}

void gateway_metrics::resumed(const std::string& service,
                              const std::string& outcome) {
  resumptions_.Add({{"service", service}, {"outcome", outcome}}).Increment();
}

void gateway_metrics::runs_interrupted(const std::string& service,
                                       const std::string& endpoint_is,
                                       std::size_t n) {
  interrupted_runs_.Add({{"service", service}, {"endpoint_is", endpoint_is}})
      .Increment(static_cast<double>(n));
}

void gateway_metrics::ended_by_stop(const std::string& service,
                                    const std::string& outcome) {
  stop_ends_.Add({{"service", service}, {"outcome", outcome}}).Increment();
}

void gateway_metrics::forwarded(const std::string& region) {
  forwards_.Add({{"region", region}}).Increment();
}

void gateway_metrics::queue_length(const std::string& service, std::size_t n) {
  queue_.Add({{"service", service}}).Set(static_cast<double>(n));
}

}  // namespace trestlepost::gateway
