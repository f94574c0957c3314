// Fair queueing by virtual time: the caller with the lowest virtual time is
// served next.
#include "trestlepost/routing/fair_queue.h"

#include <algorithm>
#include <tuple>

namespace trestlepost::routing {

bool fair_queue::queue_position::operator<(const queue_position& other) const {
  return std::make_tuple(-priority, deadline, id) <
         std::make_tuple(-other.priority, other.deadline, other.id);
}

std::optional<std::uint64_t> fair_queue::push(const queued_request& added) {
  caller_queue& queue = callers_[added.caller];
  // A caller that was idle starts at the current virtual time, so that it gains
  // no credit while idle.
  if (queue.waiting.empty()) {
    queue.virtual_time = std::max(queue.virtual_time, virtual_now_);
  }
  queue.share = std::max(1U, added.share);
  const queue_position position{added.priority, added.deadline, added.id};
  queue.waiting.insert(position);
  by_id_[added.id] = {added.caller, position};
  if (by_id_.size() <= capacity_) return std::nullopt;
  const std::string heaviest = heaviest_caller();
  return remove_at(heaviest, *callers_[heaviest].waiting.rbegin());
}

std::string fair_queue::heaviest_caller() const {
  std::string out;
  double most = -1;
  for (const auto& [name, it] : callers_) {
    const double weight = static_cast<double>(it.waiting.size()) / it.share;
    if (weight > most) {
      most = weight;
      out = name;
    }
  }
  return out;
}

std::uint64_t fair_queue::remove_at(const std::string& caller,
                                    const queue_position& position) {
  const std::uint64_t id = position.id;
  caller_queue& queue = callers_[caller];
  queue.waiting.erase(position);
  by_id_.erase(id);
  const bool idle = queue.waiting.empty();
  if (idle && queue.virtual_time <= virtual_now_) callers_.erase(caller);
  return id;
}

std::optional<std::uint64_t> fair_queue::pop() {
  const caller_queue* best = nullptr;
  std::string best_caller;
  for (const auto& [name, it] : callers_) {
    if (it.waiting.empty()) continue;
    if (best == nullptr || it.virtual_time < best->virtual_time) {
      best = &it;
      best_caller = name;
    }
  }
  if (best == nullptr) {
    // The queue is empty, so virtual times need not be kept.
    callers_.clear();
    return std::nullopt;
  }
  caller_queue& queue = callers_[best_caller];
  virtual_now_ = std::max(virtual_now_, queue.virtual_time);
  queue.virtual_time += 1.0 / queue.share;
  return remove_at(best_caller, *queue.waiting.begin());
}

std::vector<std::uint64_t> fair_queue::remove_expired(monotonic_time now) {
  std::vector<std::uint64_t> out;
  for (const auto& [id, it] : by_id_) {
    if (it.position.deadline <= now) out.push_back(id);
  }
  for (const std::uint64_t id : out) remove(id);
  return out;
}

void fair_queue::remove(std::uint64_t id) {
  const auto it = by_id_.find(id);
  if (it == by_id_.end()) return;
  const location place = it->second;
  remove_at(place.caller, place.position);
}

std::size_t fair_queue::queued_count(const std::string& caller) const {
  const auto it = callers_.find(caller);
  return it == callers_.end() ? 0 : it->second.waiting.size();
}

}  // namespace trestlepost::routing
