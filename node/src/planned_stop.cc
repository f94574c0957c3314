#include "planned_stop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using transport::awaitable;

constexpr milliseconds check_interval{25};
// A stop ends this long before drain_timeout, after which the process may be
// killed.
constexpr milliseconds exit_margin{400};
// Minimum time between the announcement of a stop and the exit, so that peers
// and callers receive it.
constexpr milliseconds min_announce_time{1500};

}  // namespace

void planned_stop::begin() {
  if (started_) return;
  started_ = true;
  context_.state.order_stop();
  services_.heartbeats.announce();
  boost::asio::co_spawn(context_.io, finish(), boost::asio::detached);
}

bool planned_stop::may_end(monotonic_time started) {
  const timing_settings& timing = context_.options.timing;
  const monotonic_time now = context_.clock.now();
  const bool accepting = now < started + timing.drain_grace;
  if (!accepting) services_.routed_entry.stop_accepting();
  const bool idle = services_.entry_server.in_progress() == 0 &&
                    services_.forward_server.in_progress() == 0 &&
                    services_.ledger.pending() == 0;
  const bool announced = now >= started + min_announce_time && !accepting;
  const bool near_timeout = now + exit_margin >= started + timing.drain_timeout;
  return (idle && announced) || near_timeout;
}

awaitable<void> planned_stop::finish() {
  const monotonic_time started = context_.clock.now();
  services_.entry_server.disable_keep_alive();
  while (!may_end(started)) {
    co_await transport::sleep_for(context_.io, check_interval);
  }
  log_event(log_level::info, "node-stopped",
            {{"in_progress",
              std::to_string(services_.entry_server.in_progress() +
                             services_.forward_server.in_progress())}});
  ended_ = true;
  services_.entry_server.drain();
  services_.forward_server.drain();
  services_.operator_server.drain();
  context_.io.stop();
}

}  // namespace trestlepost::node
