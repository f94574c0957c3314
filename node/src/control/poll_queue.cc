#include "control/poll_queue.h"

namespace trestlepost::node {
namespace {

// Time for polls in each tick. Ticks follow each other after 25 ms at the
// earliest.
constexpr std::chrono::milliseconds time_per_tick{10};

}  // namespace

void poll_queue::push(const std::string& address, const std::string& via,
                      json poll) {
  const sender from{address, via};
  const auto [it, is_new] = polls_.try_emplace(from);
  if (is_new) order_.push_back(from);
  if (flag_of(it->second, "missed")) poll["missed"] = true;
  it->second = std::move(poll);
}

std::optional<json> poll_queue::pop() {
  if (order_.empty() || used_ >= time_per_tick) return std::nullopt;
  const auto it = polls_.find(order_.front());
  order_.pop_front();
  json out = std::move(it->second);
  polls_.erase(it);
  return out;
}

}  // namespace trestlepost::node
