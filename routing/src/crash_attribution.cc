// Attributes endpoint crashes to traits of runs and proposes what to hold.
#include "trestlepost/routing/crash_attribution.h"

#include <algorithm>
#include <utility>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

// Crashes of one endpoint that are reported within this time are the same
// crash: a restart takes longer, and reports are delayed by less.
constexpr milliseconds same_crash_window{1000};
// Maximum number of traits whose last success is kept.
constexpr std::size_t max_successes_kept = 10'000;
// How many of the latest crashes are searched for unexplained ones.
constexpr int max_crashes_searched = 500;

}  // namespace

crash_attribution::crash_id crash_attribution::find_or_add(
    const crash_report& report) {
  for (auto it = crashes_.rbegin(); it != crashes_.rend(); ++it) {
    const crash& known = it->second;
    const auto apart =
        known.at > report.at ? known.at - report.at : report.at - known.at;
    if (known.endpoint == report.endpoint && apart < same_crash_window) {
      return it->first;
    }
  }
  const crash_id id = next_id_++;
  crashes_[id] = {report.endpoint, report.service, report.at, {}, ""};
  const std::string service = service_fingerprint(report.service);
  if (!is_cleared(service, report.at))
    add_trait(id, trait_kind::service, service);
  if (crashes_.size() > limits_.max_crashes) drop_oldest();
  return id;
}

crash_attribution::trait_record* crash_attribution::add_trait(
    crash_id id, trait_kind kind, const std::string& fingerprint) {
  std::vector<trait_record*>& traits = crashes_[id].traits;
  if (traits.size() >= limits_.max_traits_per_crash) return nullptr;
  if (kind != trait_kind::service && has_held_cause(id, fingerprint))
    return nullptr;
  trait_record& it = traits_[fingerprint];
  it.fingerprint = fingerprint;
  it.kind = kind;
  if (!it.crashes.insert(id).second) return nullptr;
  traits.push_back(&it);
  ++observations_;
  record_change();
  return &it;
}

void crash_attribution::remove_trait(crash_id id, trait_record& trait) {
  std::erase(crashes_.at(id).traits, &trait);
  trait.crashes.erase(id);
  --observations_;
  record_change();
}

void crash_attribution::erase_record(const std::string& fingerprint) {
  candidates_.erase(fingerprint);
  traits_.erase(fingerprint);
}

void crash_attribution::drop_oldest() {
  const auto oldest = crashes_.begin();
  observations_ -= oldest->second.traits.size();
  for (trait_record* it : oldest->second.traits) {
    it->crashes.erase(oldest->first);
    if (it->crashes.empty()) erase_record(std::string(it->fingerprint));
  }
  crashes_.erase(oldest);
  record_change();
}

void crash_attribution::record_change() {
  changed_ = true;
  maxima_.clear();
}

bool crash_attribution::is_cleared(const std::string& fingerprint,
                                   monotonic_time at) const {
  const auto success = last_success_.find(fingerprint);
  return success != last_success_.end() && at <= success->second;
}

void crash_attribution::record_crash(const crash_report& report,
                                     monotonic_time now) {
  if (is_cleared(report.fingerprint, report.at)) return;
  const crash_id id = find_or_add(report);
  trait_record* it = add_trait(id, report.kind, report.fingerprint);
  if (it == nullptr) return;
  if (it->proposal_returned) explain(id, *it);
  const bool enough = it->crashes.size() >= limits_.crashes_to_suspect &&
                      !it->proposal_returned;
  // Later reports do not postpone the evaluation; otherwise a request that
  // crashes endpoints continuously would never be evaluated. Successes of other
  // runs with a part get some time after the crash that decides.
  const bool first = enough && candidates_.insert(report.fingerprint).second;
  const bool is_part = report.kind != trait_kind::request;
  const bool decides =
      enough && is_part && it->crashes.size() == limits_.crashes_to_hold;
  if (first || decides) {
    it->evaluate_at =
        now + (is_part ? limits_.part_settle_time : limits_.settle_time);
  }
  while (observations_ > limits_.max_observations && crashes_.size() > 1)
    drop_oldest();
}

bool crash_attribution::record_success(const std::string& fingerprint,
                                       monotonic_time at) {
  monotonic_time& latest = last_success_[fingerprint];
  latest = std::max(latest, at);
  if (last_success_.size() > max_successes_kept) drop_older_successes();
  const auto known = traits_.find(fingerprint);
  if (known == traits_.end()) return false;
  trait_record& trait = known->second;
  const std::set<crash_id> before = trait.crashes;
  for (const crash_id id : before) {
    if (crashes_.at(id).at <= at) remove_trait(id, trait);
  }
  const bool cleared = trait.crashes.empty();
  if (cleared) erase_record(fingerprint);
  return cleared;
}

void crash_attribution::drop_older_successes() {
  std::vector<monotonic_time> times;
  times.reserve(last_success_.size());
  for (const auto& [fingerprint, at] : last_success_) times.push_back(at);
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  const monotonic_time median = *middle;
  std::erase_if(last_success_,
                [median](const auto& it) { return it.second < median; });
}

const crash_attribution::crash_maxima& crash_attribution::maxima_of(
    crash_id id) const {
  const auto [known, first] = maxima_.try_emplace(id);
  crash_maxima& out = known->second;
  if (!first) return out;
  for (const trait_record* it : crashes_.at(id).traits) {
    std::size_t& most = out[static_cast<std::size_t>(it->kind)];
    most = std::max(most, it->crashes.size());
  }
  return out;
}

bool crash_attribution::is_explained_by_others(const trait_record& it,
                                               crash_id id) const {
  const crash_maxima& most = maxima_of(id);
  const std::size_t own = it.crashes.size();
  const std::size_t service = static_cast<std::size_t>(trait_kind::service);
  for (std::size_t kind = 0; kind < service; ++kind) {
    const bool narrower = kind < static_cast<std::size_t>(it.kind);
    const bool explains = narrower ? most[kind] >= own : most[kind] > own;
    if (explains) return true;
  }
  if (it.kind == trait_kind::request) return false;
  return most[service] >= own || has_rival(it, id);
}

bool crash_attribution::has_rival(const trait_record& it, crash_id id) const {
  const std::vector<trait_record*>& all = crashes_.at(id).traits;
  return std::any_of(all.begin(), all.end(), [&it](const auto* other) {
    return other->kind == it.kind &&
           other->crashes.size() == it.crashes.size() &&
           other->crashes != it.crashes;
  });
}

std::vector<monotonic_time> crash_attribution::attributed_times(
    const trait_record& it) const {
  std::vector<monotonic_time> out;
  for (const crash_id id : it.crashes) {
    if (!is_explained_by_others(it, id)) out.push_back(crashes_.at(id).at);
  }
  return out;
}

std::vector<monotonic_time> crash_attribution::unexplained_times(
    const trait_record& it, monotonic_time since) const {
  const std::string& service = crashes_.at(*it.crashes.begin()).service;
  const auto is_explained = [this](crash_id id) {
    const crash_maxima& most = maxima_of(id);
    const auto excuse = most.begin() + static_cast<int>(trait_kind::service);
    return *std::max_element(most.begin(), excuse) >= limits_.crashes_to_hold;
  };
  std::vector<monotonic_time> out;
  int searched = 0;
  for (auto at = crashes_.rbegin();
       at != crashes_.rend() && searched < max_crashes_searched; ++at) {
    ++searched;
    const crash& one = at->second;
    const bool concerned = one.service == service && one.at >= since &&
                           !it.crashes.contains(at->first);
    if (!concerned) continue;
    if (!is_explained(at->first)) out.push_back(one.at);
  }
  return out;
}

std::size_t crash_attribution::count_separate(
    std::vector<monotonic_time> times) const {
  std::sort(times.begin(), times.end());
  std::size_t out = 0;
  monotonic_time last{};
  for (const monotonic_time it : times) {
    if (out > 0 && it < last + limits_.common_cause_window) continue;
    last = it;
    ++out;
  }
  return out;
}

std::size_t crash_attribution::count_isolated(
    std::vector<monotonic_time> times) const {
  std::sort(times.begin(), times.end());
  std::size_t out = 0;
  for (std::size_t n = 0; n < times.size(); ++n) {
    const bool after_other =
        n > 0 && times[n] < times[n - 1] + limits_.common_cause_window;
    const bool before_other =
        n + 1 < times.size() &&
        times[n + 1] < times[n] + limits_.common_cause_window;
    if (!after_other && !before_other) ++out;
  }
  return out;
}

bool crash_attribution::is_near_any(
    monotonic_time at, const std::vector<monotonic_time>& others) const {
  return std::any_of(others.begin(), others.end(), [&](monotonic_time other) {
    const auto apart = at > other ? at - other : other - at;
    return apart < limits_.common_cause_window;
  });
}

bool crash_attribution::is_tied(const trait_record& it) const {
  const std::vector<trait_record*>& others =
      crashes_.at(*it.crashes.begin()).traits;
  return std::any_of(others.begin(), others.end(), [&it](const auto* other) {
    return other != &it && other->kind == it.kind &&
           other->crashes == it.crashes;
  });
}

bool crash_attribution::is_suspect(const trait_record& it) const {
  if (it.kind == trait_kind::service) return false;
  const std::vector<monotonic_time> times = attributed_times(it);
  const std::size_t crashes =
      it.kind == trait_kind::request ? times.size() : count_separate(times);
  return crashes >= limits_.crashes_to_suspect;
}

bool crash_attribution::is_to_be_held(const trait_record& it) const {
  switch (it.kind) {
    case trait_kind::request:
      return attributed_times(it).size() >= limits_.crashes_to_hold;
    case trait_kind::organisation_part:
    case trait_kind::part:
      return is_part_to_be_held(it);
    case trait_kind::service:
      break;
  }
  return false;
}

bool crash_attribution::is_part_to_be_held(const trait_record& it) const {
  std::vector<monotonic_time> times = attributed_times(it);
  if (count_separate(times) < limits_.crashes_to_hold) return false;
  const monotonic_time first = *std::min_element(times.begin(), times.end());
  std::vector<monotonic_time> others =
      unexplained_times(it, first - limits_.common_cause_window);
  std::erase_if(times,
                [&](monotonic_time at) { return is_near_any(at, others); });
  const std::size_t enough =
      is_tied(it) ? limits_.crashes_to_hold_tied : limits_.crashes_to_hold;
  const std::size_t crashes = count_separate(times);
  return crashes >= enough && crashes > count_isolated(std::move(others));
}

std::size_t crash_attribution::attributed_crashes(
    const std::string& fingerprint) const {
  const auto known = traits_.find(fingerprint);
  if (known == traits_.end()) return 0;
  return attributed_times(known->second).size();
}

bool crash_attribution::succeeded_recently(const std::string& fingerprint,
                                           monotonic_time now) const {
  const auto success = last_success_.find(fingerprint);
  return success != last_success_.end() &&
         now < success->second + limits_.recent_success_window;
}

hold_proposal crash_attribution::make_proposal(const trait_record& it) const {
  hold_proposal out;
  out.fingerprint = it.fingerprint;
  out.kind = it.kind;
  for (const crash_id id : it.crashes) {
    const crash& one = crashes_.at(id);
    out.service = one.service;
    out.endpoints.push_back(one.endpoint);
  }
  return out;
}

std::vector<hold_proposal> crash_attribution::take_hold_proposals(
    monotonic_time now) {
  std::vector<hold_proposal> out;
  std::vector<const trait_record*> held;
  for (auto it = candidates_.begin(); it != candidates_.end();) {
    trait_record& known = traits_.at(*it);
    const bool not_yet =
        now < known.evaluate_at || succeeded_recently(*it, now);
    if (not_yet) {
      ++it;
      continue;
    }
    // The next crash report for the trait adds it again.
    it = candidates_.erase(it);
    if (!is_to_be_held(known)) continue;
    known.proposal_returned = true;
    out.push_back(make_proposal(known));
    held.push_back(&known);
  }
  for (const trait_record* one : held) {
    for (const crash_id id : one->crashes) explain(id, *one);
  }
  return out;
}

bool crash_attribution::has_held_cause(crash_id id,
                                       const std::string& fingerprint) const {
  const std::string& cause = crashes_.at(id).cause;
  const auto known = traits_.find(cause);
  if (cause == fingerprint || known == traits_.end()) return false;
  const auto other = traits_.find(fingerprint);
  return other == traits_.end() ||
         other->second.crashes.size() < known->second.crashes.size();
}

void crash_attribution::explain(crash_id id, const trait_record& cause) {
  // A request with a lethal part is not the cause of all that the part did.
  if (cause.kind == trait_kind::request) return;
  crashes_.at(id).cause = cause.fingerprint;
  const std::vector<trait_record*> traits = crashes_.at(id).traits;
  for (trait_record* it : traits) {
    if (it == &cause || it->kind == trait_kind::service) continue;
    const bool explains_all =
        std::includes(it->crashes.begin(), it->crashes.end(),
                      cause.crashes.begin(), cause.crashes.end());
    if (explains_all || it->proposal_returned) continue;
    remove_trait(id, *it);
    if (it->crashes.empty()) erase_record(std::string(it->fingerprint));
  }
}

std::vector<std::string> crash_attribution::take_suspects() {
  std::vector<std::string> out;
  if (!std::exchange(changed_, false)) return out;
  for (const std::string& it : candidates_) {
    trait_record& known = traits_.at(it);
    if (known.suspect_returned || !is_suspect(known)) continue;
    known.suspect_returned = true;
    out.push_back(it);
  }
  return out;
}

void crash_attribution::forget(const std::string& fingerprint,
                               monotonic_time at) {
  record_success(fingerprint, at);
  const auto known = traits_.find(fingerprint);
  if (known == traits_.end()) return;
  const std::set<crash_id> crashes = known->second.crashes;
  for (const crash_id id : crashes) remove_trait(id, known->second);
  erase_record(fingerprint);
}

}  // namespace trestlepost::routing
