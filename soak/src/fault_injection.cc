#include "fault_injection.h"

#include <csignal>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <thread>

#include "endpoint_partition.h"

namespace trestlepost::soak {
namespace {

using platform::test::behaviour;
using platform::test::deployment;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Returns the behaviour of an endpoint under the fault, or nullopt if the
/// fault does not change it.
std::optional<behaviour> behaviour_under(fault_kind kind) {
  switch (kind) {
    case fault_kind::refuse:
      return behaviour::refuse;
    case fault_kind::overload:
      return behaviour::overload;
    case fault_kind::fail:
      return behaviour::fail;
    case fault_kind::hang:
      return behaviour::hang;
    case fault_kind::pause:
      return behaviour::pause;
    case fault_kind::close_streams:
      return behaviour::close_midway;
    case fault_kind::silence_streams:
      return behaviour::hang_midway;
    default:
      return std::nullopt;
  }
}

bool is_partition(fault_kind kind) {
  return kind == fault_kind::partition || kind == fault_kind::reset_partition;
}

/// Returns whether the fault is one of a node's process.
bool strikes_node(fault_kind kind) {
  return !behaviour_under(kind) && kind != fault_kind::undelimited &&
         kind != fault_kind::limit && kind != fault_kind::crash &&
         !is_partition(kind);
}

void begin_node_fault(deployment& target, const fault& it) {
  switch (it.kind) {
    case fault_kind::kill:
      target.kill(it.target);
      break;
    case fault_kind::wipe:
      target.kill(it.target);
      target.wipe(it.target);
      break;
    case fault_kind::freeze:
      target.process_of(it.target).signal(SIGSTOP);
      break;
    case fault_kind::stop:
      target.process_of(it.target).signal(SIGTERM);
      break;
    default:
      // A service manager reloads no process that has not begun.
      target.process_of(it.target).wait_until_prepared_for(SIGHUP);
      target.process_of(it.target).signal(SIGHUP);
  }
}

void end_node_fault(deployment& target, const fault& it) {
  switch (it.kind) {
    case fault_kind::kill:
    case fault_kind::wipe:
      target.start(it.target);
      break;
    case fault_kind::freeze:
      target.process_of(it.target).signal(SIGCONT);
      break;
    case fault_kind::stop:
      // The node may not have exited yet.
      target.kill(it.target);
      target.start(it.target);
      break;
    default:
      break;
  }
}

bool strikes_at(const fault& it, milliseconds at) {
  return it.begin <= at && at < it.end;
}

/// Returns the limit that an endpoint states under the fault.
std::string limit_under(const fault& it) {
  const std::vector<std::string> limits{"0.4", "1", "2.5", "12"};
  return limits[static_cast<std::size_t>(it.begin.count()) % limits.size()];
}

/// Sets the behaviour of an endpoint to that of the newest fault that strikes
/// it at the time `at`, whether its answers have a length, and its limit.
void update_endpoint(deployment& target, const std::vector<fault>& schedule,
                     const std::string& endpoint, milliseconds at) {
  behaviour what = behaviour::serve;
  bool undelimited = false;
  std::optional<std::string> limit;
  for (const fault& it : schedule) {
    if (it.target != endpoint || !strikes_at(it, at)) continue;
    what = behaviour_under(it.kind).value_or(what);
    undelimited = undelimited || it.kind == fault_kind::undelimited;
    if (it.kind == fault_kind::limit) limit = limit_under(it);
  }
  target.set_behaviour(endpoint, what);
  target.set_undelimited(endpoint, undelimited);
  target.set_request_limit(endpoint, limit);
}

/// Partitions the entries that are partitioned from the endpoints at the time
/// `at`. The fault `newest` begins or ends then.
void update_partitions(deployment& target,
                       platform::test::endpoint_partition& partition,
                       const std::vector<fault>& schedule, const fault& newest,
                       milliseconds at) {
  using platform::test::open_connections;
  std::set<std::string> ips;
  for (const fault& it : schedule) {
    if (is_partition(it.kind) && strikes_at(it, at))
      ips.insert(target.ip_of(it.target));
  }
  const bool resets = newest.kind == fault_kind::reset_partition;
  partition.begin(ips,
                  resets ? open_connections::reset : open_connections::silent);
}

}  // namespace

void inject_faults(deployment& target, const std::vector<fault>& schedule) {
  const steady_clock::time_point start = steady_clock::now();
  std::multimap<milliseconds, std::function<void()>> actions;
  platform::test::endpoint_partition partition(target.endpoint_ips());
  for (const fault& it : schedule) {
    if (strikes_node(it.kind)) {
      actions.emplace(it.begin,
                      [&target, &it] { begin_node_fault(target, it); });
      actions.emplace(it.end, [&target, &it] { end_node_fault(target, it); });
      continue;
    }
    if (it.kind == fault_kind::crash) {
      actions.emplace(it.begin,
                      [&target, &it] { target.crash_endpoint(it.target); });
      continue;
    }
    for (const milliseconds at : {it.begin, it.end}) {
      actions.emplace(at, [&target, &partition, &schedule, &it, at] {
        if (is_partition(it.kind)) {
          update_partitions(target, partition, schedule, it, at);
        } else {
          update_endpoint(target, schedule, it.target, at);
        }
      });
    }
  }
  for (const auto& [at, action] : actions) {
    std::this_thread::sleep_until(start + at);
    action();
  }
}

}  // namespace trestlepost::soak
