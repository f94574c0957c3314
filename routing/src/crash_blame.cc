// Attributes endpoint crashes to requests and proposes requests to hold.
#include "trestlepost/routing/crash_blame.h"

#include <algorithm>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

// Crashes of one endpoint that are reported within this time are the same
// crash: a restart takes longer, and reports are delayed by less.
constexpr milliseconds same_crash{1000};
// Maximum number of requests whose last success is kept.
constexpr std::size_t most_alibis = 10'000;

}  // namespace

crash_blame::crash_id crash_blame::find_or_add(const crash_report& report) {
  for (auto it = crashes_.rbegin(); it != crashes_.rend(); ++it) {
    const crash& known = it->second;
    const auto apart =
        known.at > report.at ? known.at - report.at : report.at - known.at;
    if (known.endpoint == report.endpoint && apart < same_crash) {
      return it->first;
    }
  }
  const crash_id id = next_id_++;
  crashes_[id] = {report.endpoint, report.service, report.at, {}};
  if (crashes_.size() > limits_.most_crashes) drop_oldest();
  return id;
}

void crash_blame::drop_oldest() {
  const auto oldest = crashes_.begin();
  for (const std::string& it : oldest->second.fingerprints) {
    const auto blamed = requests_.find(it);
    if (blamed == requests_.end()) continue;
    blamed->second.crashes.erase(oldest->first);
    if (!blamed->second.crashes.empty()) continue;
    candidates_.erase(it);
    requests_.erase(blamed);
  }
  crashes_.erase(oldest);
}

void crash_blame::crashed(const crash_report& report, monotonic_time now) {
  const auto well = ended_well_.find(report.fingerprint);
  if (well != ended_well_.end() && report.at <= well->second) return;
  const crash_id id = find_or_add(report);
  std::set<std::string>& blamed = crashes_[id].fingerprints;
  if (blamed.size() >= limits_.most_requests_of_a_crash) return;
  if (!blamed.insert(report.fingerprint).second) return;
  request& it = requests_[report.fingerprint];
  it.crashes.insert(id);
  const bool enough =
      it.crashes.size() >= limits_.crashes_to_suspect && !it.told_verdict;
  if (!enough) return;
  // Later reports do not postpone the evaluation; otherwise a request that
  // crashes endpoints continuously would never be evaluated.
  const bool first = candidates_.insert(report.fingerprint).second;
  if (first) it.judged_at = now + limits_.settle_time;
}

void crash_blame::ended_well(const std::string& fingerprint,
                             monotonic_time at) {
  monotonic_time& latest = ended_well_[fingerprint];
  latest = std::max(latest, at);
  if (ended_well_.size() > most_alibis) {
    const auto oldest = std::min_element(
        ended_well_.begin(), ended_well_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    ended_well_.erase(oldest);
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

std::size_t crash_blame::counted(const std::string& fingerprint) const {
  const auto known = requests_.find(fingerprint);
  if (known == requests_.end()) return 0;
  const std::set<crash_id>& own = known->second.crashes;
  const auto has_met_more = [&](const std::string& other) {
    return requests_.at(other).crashes.size() > own.size();
  };
  const auto counts = [&](crash_id id) {
    const std::set<std::string>& beside = crashes_.at(id).fingerprints;
    return std::none_of(beside.begin(), beside.end(), has_met_more);
  };
  return static_cast<std::size_t>(
      std::count_if(own.begin(), own.end(), counts));
}

bool crash_blame::has_alibi(const std::string& fingerprint,
                            monotonic_time now) const {
  const auto well = ended_well_.find(fingerprint);
  return well != ended_well_.end() && now < well->second + limits_.alibi;
}

crash_verdict crash_blame::verdict_of(const std::string& fingerprint) const {
  crash_verdict out;
  out.fingerprint = fingerprint;
  for (const crash_id id : requests_.at(fingerprint).crashes) {
    const crash& it = crashes_.at(id);
    out.service = it.service;
    out.endpoints.push_back(it.endpoint);
  }
  return out;
}

std::vector<crash_verdict> crash_blame::take_verdicts(monotonic_time now) {
  std::vector<crash_verdict> out;
  for (auto it = candidates_.begin(); it != candidates_.end();) {
    request& known = requests_.at(*it);
    const bool waits = now < known.judged_at || has_alibi(*it, now);
    if (waits) {
      ++it;
      continue;
    }
    if (counted(*it) >= limits_.crashes_to_hold) {
      known.told_verdict = true;
      out.push_back(verdict_of(*it));
    }
    // The next crash report for the request adds it again.
    it = candidates_.erase(it);
  }
  return out;
}

std::vector<std::string> crash_blame::take_suspects() {
  std::vector<std::string> out;
  for (const std::string& it : candidates_) {
    request& known = requests_.at(it);
    if (known.told_suspect) continue;
    if (counted(it) < limits_.crashes_to_suspect) continue;
    known.told_suspect = true;
    out.push_back(it);
  }
  return out;
}

void crash_blame::forget(const std::string& fingerprint) {
  candidates_.erase(fingerprint);
  const auto known = requests_.find(fingerprint);
  if (known == requests_.end()) return;
  for (const crash_id id : known->second.crashes) {
    crashes_.at(id).fingerprints.erase(fingerprint);
  }
  requests_.erase(known);
}

}  // namespace trestlepost::routing
