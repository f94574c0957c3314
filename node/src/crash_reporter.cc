#include "crash_reporter.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// Delay before a report is first sent again; it doubles with each resend.
constexpr milliseconds first_pause{1000};
constexpr milliseconds longest_pause{16'000};
constexpr std::size_t most_kept = 2000;

}  // namespace

void crash_reporter::keep(const routing::crash_report& what) {
  kept_.push_back({what, context_.clock.now(), first_pause});
  if (kept_.size() > most_kept) kept_.pop_front();
}

void crash_reporter::crashed(const routing::crash_report& report) {
  keep(report);
}

void crash_reporter::ended_well(const std::string& fingerprint) {
  routing::crash_report what;
  what.fingerprint = fingerprint;
  what.at = context_.clock.now();
  keep(what);
}

void crash_reporter::tick() {
  const monotonic_time now = context_.clock.now();
  json reports(Json::arrayValue);
  for (kept_report& it : kept_) {
    if (now < it.next_send) continue;
    // Sent as an age because the nodes' clocks differ.
    const milliseconds age =
        std::chrono::duration_cast<milliseconds>(now - it.what.at);
    json one;
    one["fingerprint"] = it.what.fingerprint;
    one["age_ms"] = as_number(static_cast<std::uint64_t>(age.count()));
    if (!it.what.endpoint.empty()) {
      one["endpoint"] = it.what.endpoint;
      one["service"] = it.what.service;
    }
    reports.append(std::move(one));
    it.next_send = now + it.pause;
    it.pause *= 2;
  }
  if (reports.empty()) return;
  std::erase_if(kept_, [](const kept_report& it) {
    return it.pause > 2 * longest_pause;
  });
  json params;
  params["reports"] = std::move(reports);
  const transport::packed_notification packed =
      transport::pack_notification("crash.report", params);
  for (const std::string& it : context_.control_addresses()) {
    context_.links.send(it, packed);
  }
}

}  // namespace trestlepost::node
