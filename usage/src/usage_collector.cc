#include "trestlepost/usage/usage_collector.h"

#include <algorithm>

namespace trestlepost::usage {
namespace {

using std::chrono::milliseconds;

using seconds = std::chrono::duration<double>;

// Silent gateways and collectors, and organisations without requests, are
// forgotten after this time.
constexpr milliseconds idle_time{10'000};
// Counts are sent to other collectors for this long after their last change, so
// that several messages may be lost.
constexpr milliseconds repeat_time{2000};
// After a longer gap between two ticks the usage in between is not known.
constexpr milliseconds max_tick_gap{1000};
// Time after a start in which a collector learns levels from gateways.
constexpr milliseconds adoption_time{2000};
// Time constant of the moving average of the demand.
constexpr seconds demand_time{0.5};
// Collectors that start at different times have different levels, and only
// idle time makes them equal. They also move towards 0 with this time constant.
constexpr seconds level_decay_time{20};
// An organisation is near its limit from this fraction of its rate, or when its
// level falls below this fraction of its burst.
constexpr double near_demand = 0.5;
constexpr double near_level = 0.8;
// Gateways that start together with a collector ask it for the first time
// within this time.
constexpr seconds startup_time{5};

}  // namespace

usage_count usage_collector::count_change(source& from,
                                          const std::string& organisation,
                                          const usage_count& now_counted) {
  usage_count& before = from.counts[organisation];
  // The sender has forgotten the organisation and starts from 0.
  if (now_counted.asked < before.asked) before = {};
  const usage_count change{now_counted.asked - before.asked,
                           now_counted.used - before.used};
  before = now_counted;
  return change;
}

void usage_collector::add_usage(const std::string& organisation,
                                const usage_count& change, bool own,
                                monotonic_time now) {
  limit_state& state = states_[organisation];
  state.new_usage.asked += change.asked;
  state.new_usage.used += change.used;
  if (own) {
    state.own.asked += change.asked;
    state.own.used += change.used;
  }
  state.changed_at = now;
  // A flood is noticed at once, not at the next tick.
  const double level = state.level - state.new_usage.used;
  if (level < near_level * state.burst) near_limit_.insert(organisation);
}

void usage_collector::adopt(const usage_levels& levels, monotonic_time now) {
  if (observing_since_ && now > *observing_since_ + adoption_time) return;
  for (const auto& [name, it] : levels) {
    limit_state& state = states_[name];
    // Only debts are adopted: savings may have been used since.
    const double level = std::min(it.level, 0.0);
    state.level = state.is_new ? level : std::min(state.level, level);
    state.demand = std::max(state.demand, it.demand);
    state.is_new = false;
    state.changed_at = now;
    near_limit_.insert(name);
  }
}

usage_reply usage_collector::handle(const usage_report& report,
                                    monotonic_time now) {
  usage_reply out;
  out.collector = name_;
  out.session = report.session;
  out.sequence = report.sequence;
  const auto known = gateways_.find(report.gateway);
  const bool same_session =
      known != gateways_.end() && known->second.session == report.session;
  out.known = same_session || report.sequence == 1;
  if (!out.known) return out;
  source& from = gateways_[report.gateway];
  if (!same_session) from = {report.session, region_, {}, now};
  from.heard_at = now;
  if (!same_session) adopt(report.levels, now);
  for (const auto& [name, it] : report.counts) {
    const usage_count change = count_change(from, name, it);
    add_usage(name, change, true, now);
  }
  out.part = part_;
  out.starting = is_starting(now);
  for (const std::string& name : near_limit_) {
    const limit_state& it = states_[name];
    // What was reported since the last tick already reduces the level.
    const double level = it.level - it.new_usage.used;
    // What was saved since a start, waiting requests are about to use.
    out.levels[name] = {out.starting ? std::min(level, 0.0) : level, it.demand};
  }
  return out;
}

void usage_collector::handle(const region_usage& sums, monotonic_time now) {
  if (sums.collector == name_) return;
  // An unknown one may have counted for a long time, unless all have restarted.
  const bool counts_all = collectors_.contains(sums.collector) ||
                          (sums.starting && is_starting(now));
  const seconds silence = silence_of(sums.region, now);
  source& from = collectors_[sums.collector];
  from.region = sums.region;
  from.heard_at = now;
  for (const auto& [name, it] : sums.counts) {
    usage_count change = count_change(from, name, it);
    if (!counts_all) continue;
    // While it was silent, each region had its own part of the limit.
    const double own_part = states_[name].region_rate * silence.count();
    if (own_part > 0) change.used = std::max(0.0, change.used - own_part);
    add_usage(name, change, false, now);
  }
}

seconds usage_collector::silence_of(const std::string& region,
                                    monotonic_time now) const {
  if (region == region_) return seconds(0);
  monotonic_time heard_at = observing_since_.value_or(now);
  for (const auto& [name, it] : collectors_) {
    if (it.region == region) heard_at = std::max(heard_at, it.heard_at);
  }
  const bool silent = now >= heard_at + region_contact_time;
  return silent ? now - heard_at : seconds(0);
}

double usage_collector::part(monotonic_time now) const {
  std::set<std::string_view> heard{region_};
  for (const auto& [name, it] : collectors_) {
    if (now < it.heard_at + region_contact_time) heard.insert(it.region);
  }
  if (regions_ <= heard.size()) return 1;
  return static_cast<double>(heard.size()) / static_cast<double>(regions_);
}

bool usage_collector::is_starting(monotonic_time now) const {
  return now < observing_since_.value_or(now) + startup_time;
}

double usage_collector::saved_level(const config::usage_limit& limit,
                                    monotonic_time now) const {
  const seconds observed = now - observing_since_.value_or(now);
  const double saved = limit.amount_per_second * observed.count();
  return part_ * std::min(limit.burst, saved);
}

bool usage_collector::advance(limit_state& state,
                              const config::usage_limit& limit,
                              seconds passed) const {
  const double rate = limit.amount_per_second * part_;
  state.burst = limit.burst * part_;
  state.region_rate = limit.amount_per_second / static_cast<double>(regions_);
  state.level += rate * passed.count() - state.new_usage.used;
  state.level -= state.level * std::min(1.0, passed / level_decay_time);
  state.level = std::min(state.level, state.burst);
  const double asked = state.new_usage.asked / passed.count();
  state.demand += (asked - state.demand) * (passed / (passed + demand_time));
  state.new_usage = {};
  return state.demand > near_demand * rate ||
         state.level < near_level * state.burst;
}

void usage_collector::tick(const routing::organisation_table& organisations,
                           std::size_t regions, monotonic_time now) {
  const seconds passed = now - ticked_at_;
  if (passed.count() <= 0) return;
  const bool gap = passed > max_tick_gap;
  if (gap) observing_since_ = now;  // also at the first tick
  regions_ = std::max<std::size_t>(regions, 1);
  part_ = part(now);
  near_limit_.clear();
  for (auto& [name, it] : states_) {
    const config::organisation_ptr found = organisations.find(name);
    if (!found || !found->limit) {
      it.new_usage = {};
      continue;
    }
    if (it.is_new) it.level = saved_level(*found->limit, now);
    it.is_new = false;
    const bool near =
        advance(it, *found->limit, gap ? seconds(usage_interval) : passed);
    if (near) near_limit_.insert(name);
    // What was used during the gap is not known, so nothing is saved.
    if (gap) it.level = std::min(it.level, 0.0);
  }
  ticked_at_ = now;
  remove_idle(now);
}

void usage_collector::remove_idle(monotonic_time now) {
  const auto idle = [now](const auto& it) {
    return now > it.second.heard_at + idle_time;
  };
  std::erase_if(gateways_, idle);
  std::erase_if(collectors_, idle);
  std::erase_if(states_, [this, now](const auto& it) {
    return now > it.second.changed_at + idle_time &&
           !near_limit_.contains(it.first);
  });
}

bool usage_collector::active(monotonic_time now) const {
  return std::any_of(gateways_.begin(), gateways_.end(), [now](const auto& it) {
    return now < it.second.heard_at + region_contact_time;
  });
}

region_usage usage_collector::sums(monotonic_time now) const {
  region_usage out;
  out.region = region_;
  out.collector = name_;
  out.starting = is_starting(now);
  for (const auto& [name, it] : states_) {
    const bool recent = now < it.changed_at + repeat_time;
    if (recent && it.own.asked > 0) out.counts[name] = it.own;
  }
  return out;
}

}  // namespace trestlepost::usage
