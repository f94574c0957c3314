// Longest recent run times, in two windows of which the older one is dropped.
#include "trestlepost/routing/run_time_bounds.h"

#include <algorithm>

namespace trestlepost::routing {
namespace {

using std::chrono::nanoseconds;

constexpr std::chrono::seconds window_length{60};
// The next of n like requests takes longer than all of them with a probability
// of 1 / (n + 1).
constexpr std::size_t min_completed = 100;
constexpr int margin_numerator = 5;
constexpr int margin_denominator = 4;

}  // namespace

nanoseconds run_time_bounds::with_margin(nanoseconds expected) {
  return expected / margin_denominator * margin_numerator;
}

void run_time_bounds::rotate(monotonic_time now) {
  if (now < current_since_ + window_length) return;
  const bool adjacent = now < current_since_ + 2 * window_length;
  previous_ = adjacent ? std::move(current_) : window();
  current_.clear();
  current_since_ = now;
}

void run_time_bounds::begin(const std::string& kind, monotonic_time began) {
  in_progress_[kind].insert(began);
}

void run_time_bounds::end(const std::string& kind, monotonic_time began,
                          monotonic_time now, bool complete) {
  const auto open = in_progress_.find(kind);
  if (open == in_progress_.end()) return;
  const auto found = open->second.find(began);
  if (found == open->second.end()) return;
  open->second.erase(found);
  if (open->second.empty()) in_progress_.erase(open);
  rotate(now);
  observations& seen = current_[kind];
  seen.longest = std::max<nanoseconds>(seen.longest, now - began);
  if (complete) ++seen.completed;
}

run_time_bounds::observations run_time_bounds::recent(
    const std::string& kind, monotonic_time now) const {
  observations out;
  const auto add = [&out, &kind](const window& from) {
    const auto found = from.find(kind);
    if (found == from.end()) return;
    out.longest = std::max(out.longest, found->second.longest);
    out.completed += found->second.completed;
  };
  if (now < current_since_ + 2 * window_length) add(current_);
  if (now < current_since_ + window_length) add(previous_);
  return out;
}

std::optional<nanoseconds> run_time_bounds::bound(const std::string& kind,
                                                  monotonic_time now) const {
  const observations seen = recent(kind, now);
  if (seen.completed < min_completed) return std::nullopt;
  const auto open = in_progress_.find(kind);
  const bool outlasted =
      open != in_progress_.end() && now - *open->second.begin() > seen.longest;
  if (outlasted) return std::nullopt;
  return with_margin(seen.longest);
}

}  // namespace trestlepost::routing
