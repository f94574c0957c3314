// Attributes endpoint crashes to requests and proposes requests to hold.
#include "trestlepost/routing/crash_attribution.h"

#include <algorithm>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

// Crashes of one endpoint that are reported within this time are the same
// crash: a restart takes longer, and reports are delayed by less.
constexpr milliseconds same_crash_window{1000};
// Maximum number of requests whose last success is kept.
constexpr std::size_t max_successes_kept = 10'000;

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
  crashes_[id] = {report.endpoint, report.service, report.at, {}};
  if (crashes_.size() > limits_.max_crashes) drop_oldest();
  return id;
}

void crash_attribution::drop_oldest() {
  const auto oldest = crashes_.begin();
  for (const std::string& it : oldest->second.fingerprints) {
    const auto found = requests_.find(it);
    if (found == requests_.end()) continue;
    found->second.crashes.erase(oldest->first);
    if (!found->second.crashes.empty()) continue;
    candidates_.erase(it);
    requests_.erase(found);
  }
  crashes_.erase(oldest);
}

void crash_attribution::record_crash(const crash_report& report,
                                     monotonic_time now) {
  const auto success = last_success_.find(report.fingerprint);
  if (success != last_success_.end() && report.at <= success->second) return;
  const crash_id id = find_or_add(report);
  std::set<std::string>& fingerprints = crashes_[id].fingerprints;
  if (fingerprints.size() >= limits_.max_requests_per_crash) return;
  if (!fingerprints.insert(report.fingerprint).second) return;
  request& it = requests_[report.fingerprint];
  it.crashes.insert(id);
  const bool enough =
      it.crashes.size() >= limits_.crashes_to_suspect && !it.proposal_returned;
  if (!enough) return;
  // Later reports do not postpone the evaluation; otherwise a request that
  // crashes endpoints continuously would never be evaluated.
  const bool first = candidates_.insert(report.fingerprint).second;
  if (first) it.evaluate_at = now + limits_.settle_time;
}

void crash_attribution::record_success(const std::string& fingerprint,
                                       monotonic_time at) {
  monotonic_time& latest = last_success_[fingerprint];
  latest = std::max(latest, at);
  if (last_success_.size() > max_successes_kept) {
    const auto oldest = std::min_element(
        last_success_.begin(), last_success_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    last_success_.erase(oldest);
  }
  const auto known = requests_.find(fingerprint);
  if (known == requests_.end()) return;
  std::erase_if(known->second.crashes, [&](crash_id id) {
    crash& it = crashes_.at(id);
    if (it.at > at) return false;
    it.fingerprints.erase(fingerprint);
    return true;
  });
  if (!known->second.crashes.empty()) return;
  requests_.erase(known);
  candidates_.erase(fingerprint);
}

std::size_t crash_attribution::attributed_crashes(
    const std::string& fingerprint) const {
  const auto known = requests_.find(fingerprint);
  if (known == requests_.end()) return 0;
  const std::set<crash_id>& own = known->second.crashes;
  const auto has_more_crashes = [&](const std::string& other) {
    return requests_.at(other).crashes.size() > own.size();
  };
  const auto counts = [&](crash_id id) {
    const std::set<std::string>& fingerprints = crashes_.at(id).fingerprints;
    return std::none_of(fingerprints.begin(), fingerprints.end(),
                        has_more_crashes);
  };
  return static_cast<std::size_t>(
      std::count_if(own.begin(), own.end(), counts));
}

bool crash_attribution::succeeded_recently(const std::string& fingerprint,
                                           monotonic_time now) const {
  const auto success = last_success_.find(fingerprint);
  return success != last_success_.end() &&
         now < success->second + limits_.recent_success_window;
}

hold_proposal crash_attribution::make_proposal(
    const std::string& fingerprint) const {
  hold_proposal out;
  out.fingerprint = fingerprint;
  for (const crash_id id : requests_.at(fingerprint).crashes) {
    const crash& it = crashes_.at(id);
    out.service = it.service;
    out.endpoints.push_back(it.endpoint);
  }
  return out;
}

std::vector<hold_proposal> crash_attribution::take_hold_proposals(
    monotonic_time now) {
  std::vector<hold_proposal> out;
  for (auto it = candidates_.begin(); it != candidates_.end();) {
    request& known = requests_.at(*it);
    const bool not_yet =
        now < known.evaluate_at || succeeded_recently(*it, now);
    if (not_yet) {
      ++it;
      continue;
    }
    if (attributed_crashes(*it) >= limits_.crashes_to_hold) {
      known.proposal_returned = true;
      out.push_back(make_proposal(*it));
    }
    // The next crash report for the request adds it again.
    it = candidates_.erase(it);
  }
  return out;
}

std::vector<std::string> crash_attribution::take_suspects() {
  std::vector<std::string> out;
  for (const std::string& it : candidates_) {
    request& known = requests_.at(it);
    if (known.suspect_returned) continue;
    if (attributed_crashes(it) < limits_.crashes_to_suspect) continue;
    known.suspect_returned = true;
    out.push_back(it);
  }
  return out;
}

void crash_attribution::forget(const std::string& fingerprint) {
  candidates_.erase(fingerprint);
  const auto known = requests_.find(fingerprint);
  if (known == requests_.end()) return;
  for (const crash_id id : known->second.crashes) {
    crashes_.at(id).fingerprints.erase(fingerprint);
  }
  requests_.erase(known);
}

}  // namespace trestlepost::routing
