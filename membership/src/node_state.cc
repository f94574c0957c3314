#include "trestlepost/membership/node_state.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/log.h"

namespace trestlepost::membership {

charts::chart_interface node_chart_interface() {
  return {{node_states::starting, node_states::ready, node_states::isolated,
           node_states::draining},
          {"confirmed", "lease_expired", "startup_over", "stop_ordered"},
          {"has_configuration"}};
}

node_state::node_state(charts::chart chart, node_state_options options,
                       monotonic_time now)
    : chart_(std::move(chart)),
      options_(options),
      state_(chart_.initial()),
      started_at_(now) {}

void node_state::handle(const std::string& event, bool has_configuration) {
  const std::string& next = chart_.next(
      state_, event,
      [has_configuration](const std::string&) { return has_configuration; });
  if (next == state_) return;
  const std::string from(name());
  state_ = next;
  log_change(from, event);
}

void node_state::log_change(std::string_view from,
                            const std::string& cause) const {
  if (name() == from) return;
  log_event(log_level::info, "node-state-changed",
            {{"from", std::string(from)},
             {"to", std::string(name())},
             {"cause", cause}});
}

std::string_view node_state::name() const {
  const bool serves =
      state_ == node_states::ready || state_ == node_states::isolated;
  if (outdated_ && serves) return node_states::outdated;
  return state_;
}

void node_state::confirm(monotonic_time requested_at, monotonic_time now) {
  confirmed_until_ =
      std::max(confirmed_until_, requested_at + options_.config_lease);
  if (!first_confirmed_at_) first_confirmed_at_ = now;
  if (resumed_at_ && requested_at >= *resumed_at_) resumed_at_.reset();
  if (confirmed_at(now)) handle("confirmed", true);
}

bool node_state::confirmed_at(monotonic_time now) const {
  return first_confirmed_at_ && now < confirmed_until_;
}

std::optional<monotonic_time> node_state::last_confirmed_at() const {
  if (!first_confirmed_at_) return std::nullopt;
  return confirmed_until_ - options_.config_lease;
}

bool node_state::is_behind(monotonic_time now) const {
  // After a suspension, pending requests may be read from the sockets before
  // the next tick.
  const bool tick_overdue =
      last_tick_ && now >= *last_tick_ + options_.suspension_threshold;
  return tick_overdue ||
         (resumed_at_ && now < *resumed_at_ + options_.suspension_wait);
}

bool node_state::is_catching_up(monotonic_time now) const {
  if (is_behind(now)) return true;
  if (now >= started_at_ + options_.catch_up_time) return false;
  return !first_confirmed_at_ ||
         now < *first_confirmed_at_ + options_.confirmation_settling_time;
}

void node_state::order_stop() {
  handle("stop_ordered", true);
}

void node_state::set_outdated(bool outdated) {
  const std::string_view from = name();
  outdated_ = outdated;
  log_change(from, outdated ? "superseded" : "caught_up");
}

void node_state::tick(monotonic_time now, bool has_configuration) {
  if (last_tick_ && now >= *last_tick_ + options_.suspension_threshold)
    resumed_at_ = now;
  last_tick_ = now;
  if (!confirmed_at(now)) handle("lease_expired", has_configuration);
  if (now >= started_at_ + options_.startup_wait) {
    handle("startup_over", has_configuration);
  }
}

bool node_state::serves_callers() const {
  return is(node_states::ready) || is(node_states::isolated);
}

}  // namespace trestlepost::membership
