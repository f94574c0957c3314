// A bounded queue with weighted fair sharing between callers. Requests of one
// caller are ordered by priority, then by deadline.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"

namespace trestlepost::routing {

/// A queued request.
struct queued_request {
  std::uint64_t id = 0;
  std::string caller;
  unsigned share = 1;
  int priority = 0;  // higher first
  monotonic_time deadline;
};

class fair_queue {
 public:
  explicit fair_queue(std::size_t capacity) : capacity_(capacity) {}

  /// Adds a request. If the queue is full, removes and returns the last request
  /// of the caller with the most requests relative to its share; this may be
  /// the new one.
  std::optional<std::uint64_t> push(const queued_request& added);

  /// Removes and returns the next request to run, or nothing if the queue is
  /// empty.
  std::optional<std::uint64_t> pop();

  /// Removes and returns the requests whose deadline has passed.
  std::vector<std::uint64_t> remove_expired(monotonic_time now);

  /// Removes a request, for example when its caller disconnected.
  void remove(std::uint64_t id);

  std::size_t size() const { return by_id_.size(); }
  std::size_t queued_count(const std::string& caller) const;

 private:
  struct queue_position {
    int priority = 0;
    monotonic_time deadline;
    std::uint64_t id = 0;
    bool operator<(const queue_position& other) const;
  };
  struct caller_queue {
    std::set<queue_position> waiting;
    unsigned share = 1;
    double virtual_time = 0;  // served requests divided by share
  };
  struct location {
    std::string caller;
    queue_position position;
  };

  std::string heaviest_caller() const;
  std::uint64_t remove_at(const std::string& caller,
                          const queue_position& position);

  std::size_t capacity_;
  std::map<std::string, caller_queue> callers_;
  std::map<std::uint64_t, location> by_id_;
  double virtual_now_ = 0;
};

}  // namespace trestlepost::routing
