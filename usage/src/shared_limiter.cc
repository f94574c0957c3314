#include "trestlepost/usage/shared_limiter.h"

#include <algorithm>
#include <cmath>

namespace trestlepost::usage {
namespace {

using std::chrono::milliseconds;

using seconds = std::chrono::duration<double>;

// A gateway without an answer for this long is on its own.
constexpr milliseconds contact_time{1000};
// Organisations without requests are forgotten after this time.
constexpr milliseconds idle_time{10'000};
// Time in which a level above or below 0 is used up or made up for. Longer than
// the delay of reports and replies, so that the level does not oscillate.
constexpr seconds settling_time{0.5};
// All gateways together may admit this time's worth of a limit unreported.
constexpr seconds urgent_time{0.25};
// Time after the first request at a gateway until it knows the demand in all
// regions: for a report, for a tick of each collector, for a reply, and for the
// delay between regions.
constexpr milliseconds learning_time = 4 * usage_interval;

}  // namespace

bool shared_limiter::has_collector(monotonic_time now) const {
  return first_heard_at_ && now < heard_at_ + contact_time;
}

void shared_limiter::record_request(const config::organisation& organisation,
                                    double amount, monotonic_time now) {
  if (!organisation.limit) return;
  organisation_state& state = states_[organisation.name];
  state.counted.asked += amount;
  state.changed_at = now;
  if (first_asked_at_) return;
  first_asked_at_ = now;
  has_urgent_usage_ = true;
}

bool shared_limiter::is_learning(monotonic_time now) const {
  const monotonic_time asked_at = first_asked_at_.value_or(now);
  if (now >= asked_at + contact_time) return false;
  if (!first_heard_at_) return true;
  return is_collector_starting_ &&
         now < std::max(asked_at, *first_heard_at_) + learning_time;
}

usage_decision shared_limiter::admit(const config::organisation& organisation,
                                     double amount, monotonic_time now) {
  if (!organisation.limit) return {};
  organisation_state& state = states_[organisation.name];
  usage_decision out;
  if (!has_collector(now)) {
    out = admit_alone(state, *organisation.limit, amount, now);
  } else if (exceeds_unreported(state, *organisation.limit, amount)) {
    out = {false, 2 * min_report_interval};
  } else if (state.near) {
    out = admit_near_limit(state, *organisation.limit, amount, now);
  }
  if (!out.admitted) return out;
  state.counted.used += amount;
  const double unsent = state.counted.used - state.reported.used;
  const double urgent = urgent_time.count() *
                        organisation.limit->amount_per_second /
                        static_cast<double>(gateway_count_);
  has_urgent_usage_ = has_urgent_usage_ || unsent > urgent;
  return out;
}

bool shared_limiter::exceeds_unreported(const organisation_state& state,
                                        const config::usage_limit& limit,
                                        double amount) const {
  const double unreported = state.counted.used - state.known.used;
  const double max_unreported =
      part_ *
      std::max(limit.burst / 2, limit.amount_per_second * urgent_time.count());
  return unreported > 0 && unreported + amount > max_unreported;
}

usage_decision shared_limiter::admit_near_limit(
    organisation_state& state, const config::usage_limit& limit, double amount,
    monotonic_time) {
  const double rate = limit.amount_per_second * part_;
  const double unreported = state.counted.used - state.known.used;
  const double level = state.near->level - unreported;
  const double demand = std::max(state.near->demand, 1.0);
  const double probability = (rate + level / settling_time.count()) / demand;
  if (random_.fraction() < probability) return {};
  return {false, time_until_available(amount, std::min(level, 0.0), rate,
                                      random_.fraction())};
}

usage_decision shared_limiter::admit_alone(organisation_state& state,
                                           const config::usage_limit& limit,
                                           double amount, monotonic_time now) {
  const double part = 1.0 / static_cast<double>(gateway_count_);
  const double rate = limit.amount_per_second * part;
  state.alone.refill(rate, limit.burst * part, now);
  if (state.alone.take(amount)) return {};
  return {false, time_until_available(amount, state.alone.level(), rate,
                                      random_.fraction())};
}

void shared_limiter::give_back(const std::string& organisation, double amount) {
  const auto it = states_.find(organisation);
  if (it != states_.end()) it->second.counted.used -= amount;
}

void shared_limiter::begin_session() {
  ++session_;
  sequence_ = 0;
  collector_.clear();
  for (auto& [name, it] : states_) {
    // The new collector learns the earlier usage from the other one.
    it.counted = {it.counted.asked - it.known.asked,
                  it.counted.used - it.known.used};
    it.reported = {};
    it.known = {};
  }
}

usage_report shared_limiter::make_report(monotonic_time now) {
  std::erase_if(states_, [now](const auto& it) {
    return now > it.second.changed_at + idle_time;
  });
  usage_report out;
  out.gateway = gateway_;
  out.session = session_;
  out.sequence = ++sequence_;
  has_urgent_usage_ = false;
  for (auto& [name, it] : states_) {
    if (out.sequence == 1 && it.near) out.levels[name] = *it.near;
    if (it.counted == it.known) continue;
    out.counts[name] = it.counted;
    it.reported = it.counted;
    it.sequence = out.sequence;
  }
  return out;
}

void shared_limiter::handle(const usage_reply& reply, monotonic_time now) {
  // A collector without its first tick does not know its part yet.
  if (reply.session != session_ || (reply.known && reply.part <= 0)) return;
  const bool another = !collector_.empty() && collector_ != reply.collector;
  if (!reply.known || another) {
    begin_session();
    return;
  }
  collector_ = reply.collector;
  if (!has_collector(now)) {
    for (auto& [name, it] : states_) it.alone.clear();
  }
  if (!first_heard_at_) first_heard_at_ = now;
  heard_at_ = now;
  part_ = reply.part;
  is_collector_starting_ = reply.starting;
  for (auto& [name, it] : states_) {
    it.near.reset();
    if (it.sequence != 0 && it.sequence <= reply.sequence) {
      it.known = it.reported;
    }
  }
  for (const auto& [name, it] : reply.levels) {
    organisation_state& state = states_[name];
    if (state.counted.asked == 0) state.changed_at = now;
    state.near = it;
  }
}

}  // namespace trestlepost::usage
