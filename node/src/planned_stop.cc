#include "planned_stop.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "trestlepost/base/log.h"
#include "trestlepost/base/log_fields.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using transport::awaitable;

constexpr milliseconds check_interval{25};
constexpr milliseconds closing_check_interval{5};
// A stop ends this long before drain_timeout, after which the process may be
// killed.
constexpr milliseconds exit_margin{400};
// Time for the answers to work that is ended.
constexpr milliseconds answer_margin{250};
// Minimum time between the announcement of a stop and the exit, so that peers
// and callers receive it.
constexpr milliseconds min_announce_time{1500};

}  // namespace

stop_schedule schedule_stop(monotonic_time now, const timing_settings& timing) {
  const milliseconds total =
      std::max(timing.drain_timeout - exit_margin, milliseconds(0));
  const milliseconds work = std::max(total - answer_margin, milliseconds(0));
  // What is accepted last needs time as well.
  const milliseconds accept = std::min(timing.drain_grace, work / 2);
  return {now + accept, now + work, now + total};
}

void planned_stop::begin() {
  if (started_) return;
  started_ = true;
  const stop_schedule schedule =
      schedule_stop(context_.clock.now(), context_.options.timing);
  context_.state.order_stop();
  context_.stop.begin(schedule.works_until);
  context_.client.limit_deadlines(schedule.works_until);
  for (transport::http_server* it : services_.servers) it->disable_keep_alive();
  services_.heartbeats.announce();
  log_event(
      log_level::info, "stop-begun",
      {{"in_progress", std::to_string(in_progress())},
       {"connections", std::to_string(connections())},
       {"works_ms", ms_between(context_.clock.now(), schedule.works_until)}});
  boost::asio::co_spawn(context_.io, finish(schedule), boost::asio::detached);
}

std::size_t planned_stop::in_progress() const {
  std::size_t out = 0;
  for (const transport::http_server* it : services_.servers)
    out += it->in_progress();
  return out;
}

std::size_t planned_stop::connections() const {
  std::size_t out = 0;
  for (const transport::http_server* it : services_.servers)
    out += it->connections();
  return out;
}

bool planned_stop::is_idle() const {
  return in_progress() == 0 && services_.ledger.pending() == 0;
}

awaitable<void> planned_stop::close_servers(monotonic_time until) {
  // A process that was suspended, or whose event loop is late, still answers.
  until = std::max(until, context_.clock.now() + answer_margin);
  bool open = true;
  while (open && context_.clock.now() < until) {
    for (transport::http_server* it : services_.servers) {
      it->drain();
      it->stop_reading();
    }
    co_await transport::sleep_for(context_.io, closing_check_interval);
    open = connections() > 0 || services_.ledger.pending() > 0;
  }
}

awaitable<void> planned_stop::finish(stop_schedule schedule) {
  const monotonic_time announced = context_.clock.now() + min_announce_time;
  while (context_.clock.now() < schedule.accepts_until) {
    co_await transport::sleep_for(context_.io, check_interval);
  }
  services_.routed_entry.stop_accepting();
  while (context_.clock.now() < schedule.works_until) {
    if (is_idle() && context_.clock.now() >= announced) break;
    co_await transport::sleep_for(context_.io, check_interval);
  }
  const std::size_t unfinished = in_progress();
  co_await close_servers(schedule.exits_at);
  const std::size_t cut = in_progress();
  for (const transport::http_server* it : services_.servers)
    it->log_requests_in_progress();
  log_event(cut == 0 ? log_level::info : log_level::warn, "node-stopped",
            {{"in_progress", std::to_string(cut)},
             {"ended", std::to_string(unfinished)},
             {"connections", std::to_string(connections())}});
  ended_ = true;
  context_.io.stop();
}

}  // namespace trestlepost::node
