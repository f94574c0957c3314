// Checks that planned stops, reloads and changes of the plan end no request
// without a complete answer, and that stopped processes exit by themselves.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "plan_record.h"
#include "request_record.h"

namespace trestlepost::soak {

using steady_time = std::chrono::steady_clock::time_point;

/// A request as its caller saw it end.
struct planned_request {
  std::string entry;
  std::string route;
  request_outcome outcome{};
  bool written = false;   // whole, at `written_at`
  bool complete = false;  // a complete answer, of any status
  bool closed = false;    // by the entry; false if the caller gave up
  /// The connection had carried a complete answer just before.
  bool follows_answer = false;
  steady_time written_at{};
  steady_time ended_at{};
};

struct planned_stop {
  std::string node;
  steady_time begun{};  // the first SIGTERM
  steady_time exited{};
  int status = 0;  // 128 and more: ended by a signal
};

class stop_record {
 public:
  /// An entry has read a request if it closes the connection later than this
  /// after the request's last byte.
  static constexpr std::chrono::milliseconds crossing_time{100};

  /// `request_timeout`: the time that a request may take.
  stop_record(std::chrono::milliseconds drain_timeout,
              std::chrono::milliseconds request_timeout)
      : drain_timeout_(drain_timeout), timeout_(request_timeout) {}

  std::chrono::milliseconds drain_timeout() const { return drain_timeout_; }
  void add_stop(planned_stop it);
  void add_reload() { ++reloads_; }
  /// Checks one request; call it after all stops and runs have ended.
  void check(const planned_request& it, const endpoint_names& ran);

  const violation_list& violations() const { return violations_; }
  int stops() const { return static_cast<int>(stops_.size()); }
  int reloads() const { return reloads_; }
  /// Longest time from a SIGTERM to the exit.
  std::chrono::milliseconds longest_stop() const { return longest_stop_; }
  /// Returns requests without a complete answer by what became of them:
  /// "lost", or one of those that are no violation: "unsent", "crossed",
  /// "crossed-after-answer", "cut-NAME" and "expired-NAME" (streams of the
  /// route NAME that the end of a stop or their timeout cut).
  const std::map<std::string, int>& ends() const { return ends_; }

 private:
  std::string describe_end(const planned_request& it, bool ran) const;
  bool is_cut_by_stop(const planned_request& it) const;

  violation_list violations_;
  std::chrono::milliseconds drain_timeout_;
  std::chrono::milliseconds timeout_;
  std::vector<planned_stop> stops_;
  std::chrono::milliseconds longest_stop_{0};
  int reloads_ = 0;
  std::map<std::string, int> ends_;
};

}  // namespace trestlepost::soak
