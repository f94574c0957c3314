#include "control/directory_publisher.h"

#include <chrono>

namespace trestlepost::node {
namespace {

// Shortest time between two rounds, for each entry: the cost of encoding all
// entries grows with their number.
constexpr std::chrono::milliseconds interval_per_entry{1};

}  // namespace

void directory_publisher::publish_if_due(std::uint64_t term,
                                         monotonic_time now) {
  const std::chrono::milliseconds interval =
      interval_per_entry * static_cast<int>(directory_.size());
  const bool new_term = term != term_;
  if (!new_term && now < published_at_ + interval) return;
  const bool changed = new_term || published_version_ != directory_.version();
  if (!changed) return;
  term_ = term;
  published_version_ = directory_.version();
  published_at_ = now;
  encoded_.clear();
}

const directory_publisher::published* directory_publisher::changes_for(
    const directory_position& known, std::uint64_t term,
    const std::string& region, monotonic_time now) {
  publish_if_due(term, now);
  const std::uint64_t from = directory_.first_missing(known, term);
  if (from >= published_version_) return nullptr;
  const auto [it, is_new] = encoded_.try_emplace({region, from});
  if (is_new) {
    json message;
    directory_.add_changes(message, from, region);
    add_position(message, {term, published_version_});
    message["from"] = as_number(from);
    it->second.entries = member_of(message, "book").size();
    it->second.message =
        transport::encode_notification(directory_method, message);
  }
  return &it->second;
}

}  // namespace trestlepost::node
