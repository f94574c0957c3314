#include "trestlepost/routing/retry_window.h"

#include <algorithm>

namespace trestlepost::routing {
namespace {

constexpr int slots_per_window = 10;
// The rest of the ratio is left for requests that are counted late or by two
// gateways, and half of the slack for an earlier life of this process.
constexpr double used_ratio = 0.8;
constexpr double used_slack = 0.5;

}  // namespace

retry_window_options window_share_of(const shared_retry_limits& limits,
                                     std::size_t gateways) {
  retry_window_options out;
  out.ratio = limits.ratio * used_ratio;
  out.slack = limits.slack * used_slack /
              static_cast<double>(std::max<std::size_t>(1, gateways));
  out.window = limits.window;
  return out;
}

retry_window::slot& retry_window::current(monotonic_time now) {
  const std::chrono::nanoseconds length =
      std::chrono::nanoseconds(options_.window) / slots_per_window;
  if (slots_.empty() || now >= slots_.back().start + length) {
    slots_.push_back({now});
  }
  // A slot that began just inside the window may hold what is older: retries
  // are kept for a slot longer, requests are left out when they are counted.
  while (slots_.front().start + options_.window + length <= now) {
    slots_.pop_front();
  }
  return slots_.back();
}

void retry_window::request_seen(monotonic_time now) {
  ++current(now).requests;
}

bool retry_window::take(monotonic_time now) {
  slot& newest = current(now);
  double requests = 0;
  double retries = 0;
  for (const slot& it : slots_) {
    retries += it.retries;
    if (it.start + options_.window > now) requests += it.requests;
  }
  if (retries + 1 > options_.ratio * requests + options_.slack) return false;
  ++newest.retries;
  return true;
}

}  // namespace trestlepost::routing
