#include "crash_reporter.h"

#include <map>
#include <utility>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// Delay before a report is first sent again; it doubles with each resend.
constexpr milliseconds initial_resend_delay{1000};
constexpr milliseconds max_resend_delay{16'000};
constexpr std::size_t max_pending_reports = 4000;

/// Builds one message of reports.
class report_encoder {
 public:
  explicit report_encoder(monotonic_time now) : now_(now) {}

  void add(const routing::crash_report& report) {
    if (report.kind == routing::trait_kind::request) {
      add_request(report);
    } else {
      add_part(report);
    }
  }

  bool empty() const { return requests_.empty() && parts_.empty(); }

  json message() const {
    json out;
    out["reports"] = requests_;
    json& all = out["parts"] = json(Json::arrayValue);
    for (const auto& [key, it] : parts_) all.append(it);
    return out;
  }

 private:
  /// Sent as an age because the nodes' clocks differ.
  json age_of(const routing::crash_report& report) const {
    const milliseconds age =
        std::chrono::duration_cast<milliseconds>(now_ - report.at);
    return as_number(static_cast<std::uint64_t>(age.count()));
  }

  void add_request(const routing::crash_report& report) {
    json one;
    one["fingerprint"] = report.fingerprint;
    one["age_ms"] = age_of(report);
    if (!report.endpoint.empty()) {
      one["endpoint"] = report.endpoint;
      one["service"] = report.service;
    }
    requests_.append(std::move(one));
  }

  /// The parts in the runs of one endpoint are listed together, since there may
  /// be hundreds.
  void add_part(const routing::crash_report& report) {
    json& crash = parts_[{report.endpoint, report.at}];
    crash["endpoint"] = report.endpoint;
    crash["service"] = report.service;
    crash["age_ms"] = age_of(report);
    const bool any = report.kind == routing::trait_kind::part;
    crash[any ? "parts" : "organisation_parts"].append(report.fingerprint);
  }

  monotonic_time now_;
  json requests_{Json::arrayValue};
  std::map<std::pair<std::string, monotonic_time>, json> parts_;
};

}  // namespace

void crash_reporter::enqueue(const routing::crash_report& report) {
  pending_.push_back({report, context_.clock.now(), initial_resend_delay});
  if (pending_.size() > max_pending_reports) pending_.pop_front();
}

void crash_reporter::report_crash(const routing::crash_report& report) {
  enqueue(report);
}

void crash_reporter::report_success(const std::string& fingerprint,
                                    monotonic_time at) {
  routing::crash_report report;
  report.fingerprint = fingerprint;
  report.at = at;
  enqueue(report);
}

void crash_reporter::tick() {
  const monotonic_time now = context_.clock.now();
  report_encoder reports(now);
  for (pending_report& it : pending_) {
    if (now < it.next_send) continue;
    reports.add(it.report);
    it.next_send = now + it.delay;
    it.delay *= 2;
  }
  if (reports.empty()) return;
  std::erase_if(pending_, [](const pending_report& it) {
    return it.delay > 2 * max_resend_delay;
  });
  const transport::encoded_notification encoded =
      transport::encode_notification("crash.report", reports.message());
  for (const std::string& it : context_.control_addresses()) {
    context_.links.send(it, encoded);
  }
}

}  // namespace trestlepost::node
