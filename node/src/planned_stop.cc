#include "planned_stop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

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
constexpr milliseconds announce_time{1500};

}  // namespace

void planned_stop::begin() {
  if (begun_) return;
  begun_ = true;
  context_.state.order_stop();
  parts_.heartbeats.announce();
  boost::asio::co_spawn(context_.io, finish(), boost::asio::detached);
}

bool planned_stop::may_end(monotonic_time started) {
  const timing_settings& timing = context_.options.timing;
  const monotonic_time now = context_.clock.now();
  const bool taking = now < started + timing.drain_grace;
  if (!taking) parts_.routed_entry.stop_accepting();
  const bool idle = parts_.entry_server.in_progress() == 0 &&
                    parts_.forward_server.in_progress() == 0 &&
                    parts_.ledger.pending() == 0;
  const bool announced = now >= started + announce_time && !taking;
  const bool late = now + exit_margin >= started + timing.drain_timeout;
  return (idle && announced) || late;
}

awaitable<void> planned_stop::finish() {
  const monotonic_time started = context_.clock.now();
  parts_.entry_server.close_after_answers();
  transport::timer timer(context_.io);
  while (!may_end(started)) {
    timer.expires_after(check_interval);
    boost::system::error_code ec;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }
  log_event(
      log_level::info, "node-stopped",
      {{"in_progress", std::to_string(parts_.entry_server.in_progress() +
                                      parts_.forward_server.in_progress())}});
  ended_ = true;
  parts_.entry_server.drain();
  parts_.forward_server.drain();
  parts_.operator_server.drain();
  context_.io.stop();
}

}  // namespace trestlepost::node
