#include "control/poll_queue.h"

namespace trestlepost::node {
namespace {

// Time for polls in each tick. Ticks follow each other after 25 ms at the
// earliest.
constexpr std::chrono::milliseconds time_per_tick{10};

}  // namespace

void poll_queue::push(queued_poll poll) {
  const sender from{std::move(poll.address), std::move(poll.via)};
  const auto [it, is_new] = polls_.try_emplace(from);
  if (is_new) order_.push_back(from);
  if (flag_of(it->second, "missed")) poll.message["missed"] = true;
  it->second = std::move(poll.message);
}

std::optional<queued_poll> poll_queue::pop() {
  if (order_.empty() || used_ >= time_per_tick) return std::nullopt;
  auto taken = polls_.extract(order_.front());
  order_.pop_front();
  auto& [address, via] = taken.key();
  return queued_poll{std::move(address), std::move(via),
                     std::move(taken.mapped())};
}

}  // namespace trestlepost::node
