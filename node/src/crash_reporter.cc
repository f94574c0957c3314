#include "crash_reporter.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// Delay before a report is first sent again; it doubles with each resend.
constexpr milliseconds initial_resend_delay{1000};
constexpr milliseconds max_resend_delay{16'000};
constexpr std::size_t max_pending_reports = 2000;

}  // namespace

void crash_reporter::enqueue(const routing::crash_report& report) {
  pending_.push_back({report, context_.clock.now(), initial_resend_delay});
  if (pending_.size() > max_pending_reports) pending_.pop_front();
}

void crash_reporter::report_crash(const routing::crash_report& report) {
  enqueue(report);
}

void crash_reporter::report_success(const std::string& fingerprint) {
  routing::crash_report report;
  report.fingerprint = fingerprint;
  report.at = context_.clock.now();
  enqueue(report);
}

void crash_reporter::tick() {
  const monotonic_time now = context_.clock.now();
  json reports(Json::arrayValue);
  for (pending_report& it : pending_) {
    if (now < it.next_send) continue;
    // Sent as an age because the nodes' clocks differ.
    const milliseconds age =
        std::chrono::duration_cast<milliseconds>(now - it.report.at);
    json one;
    one["fingerprint"] = it.report.fingerprint;
    one["age_ms"] = as_number(static_cast<std::uint64_t>(age.count()));
    if (!it.report.endpoint.empty()) {
      one["endpoint"] = it.report.endpoint;
      one["service"] = it.report.service;
    }
    reports.append(std::move(one));
    it.next_send = now + it.delay;
    it.delay *= 2;
  }
  if (reports.empty()) return;
  std::erase_if(pending_, [](const pending_report& it) {
    return it.delay > 2 * max_resend_delay;
  });
  json params;
  params["reports"] = std::move(reports);
  const transport::encoded_notification encoded =
      transport::encode_notification("crash.report", params);
  for (const std::string& it : context_.control_addresses()) {
    context_.links.send(it, encoded);
  }
}

}  // namespace trestlepost::node
