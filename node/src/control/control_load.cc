#include "control/control_load.h"

#include <ctime>

#include "trestlepost/base/log.h"
#include "trestlepost/base/log_fields.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds log_interval{1000};
// Time after a start or a change of the leader in which the load is logged.
constexpr milliseconds log_period{20'000};

/// Returns the processor time that this process has used.
milliseconds cpu_time() {
  constexpr std::clock_t ms_per_second = 1000;
  return milliseconds(std::clock() / (CLOCKS_PER_SEC / ms_per_second));
}

std::string difference(std::uint64_t before, std::uint64_t now) {
  return std::to_string(now - before);
}

}  // namespace

void control_load::tick(const std::string& leader, bool leads,
                        monotonic_time now) {
  if (!logged_at_ || leader != leader_) {
    leader_ = leader;
    log_until_ = now + log_period;
  }
  if (logged_at_ && now < *logged_at_ + log_interval) return;
  if (logged_at_ && now < log_until_) log(leads, now);
  logged_ = counters_;
  logged_traffic_ = links_.traffic();
  logged_cpu_time_ = cpu_time();
  logged_at_ = now;
}

void control_load::log(bool leads, monotonic_time now) const {
  const transport::peer_traffic& traffic = links_.traffic();
  log_event(
      log_level::info, "control-load",
      {{"leads", leads ? "yes" : "no"},
       {"ms", ms_between(*logged_at_, now)},
       {"cpu_ms", std::to_string((cpu_time() - logged_cpu_time_).count())},
       {"polls", difference(logged_.polls, counters_.polls)},
       {"forwarded_polls",
        difference(logged_.forwarded_polls, counters_.forwarded_polls)},
       {"passed_on", difference(logged_.passed_on, counters_.passed_on)},
       {"answers", difference(logged_.answers, counters_.answers)},
       {"directory_entries",
        difference(logged_.directory_entries, counters_.directory_entries)},
       {"lease_lapses",
        difference(logged_.lease_lapses, counters_.lease_lapses)},
       {"messages_sent",
        difference(logged_traffic_.messages_sent, traffic.messages_sent)},
       {"bytes_sent",
        difference(logged_traffic_.bytes_sent, traffic.bytes_sent)},
       {"queued_bytes", std::to_string(links_.queued_bytes())}});
}

}  // namespace trestlepost::node
