#include "loop/tick_monitor.h"

#include <algorithm>
#include <string>

#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// A delay that is logged: half of the time without heartbeats after which
// followers start an election.
constexpr milliseconds stall_threshold{250};
// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries delay_buckets{
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5};

}  // namespace

tick_monitor::tick_monitor(prometheus::Registry& registry)
    : delays_(prometheus::BuildHistogram()
                  .Name("trestlepost_tick_delay_seconds")
                  .Help("By how much ticks of the event loop were late.")
                  .Register(registry)
                  .Add({}, delay_buckets)) {}

void tick_monitor::record(monotonic_time due, monotonic_time now) {
  delays_.Observe(std::chrono::duration<double>(now - due).count());
  const milliseconds late = std::chrono::duration_cast<milliseconds>(now - due);
  longest_ = std::max(longest_, late);
  if (late < stall_threshold) return;
  log_event(log_level::warn, "event-loop-stalled",
            {{"ms", std::to_string(late.count())}});
}

}  // namespace trestlepost::node
