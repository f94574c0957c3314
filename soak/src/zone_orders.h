// An operator of the soak who evacuates a zone and puts it back into service.
#pragma once

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "deployment.h"
#include "evacuation_record.h"
#include "raw_order.h"
#include "schedule.h"
#include "soak_run.h"

namespace trestlepost::soak {

/// Sends each order to control nodes in turn until one acknowledges it, and
/// gives an attempt up after a second. Some attempts are left on connections
/// that are never closed, as if their sender had been cut off.
class zone_orders {
 public:
  zone_orders(platform::test::deployment& target,
              std::vector<std::string> control_nodes, std::uint64_t seed,
              violation_list& violations)
      : deployment_(target),
        control_nodes_(std::move(control_nodes)),
        engine_(seed),
        violations_(violations),
        record_(violations) {}

  /// Sends orders one after the other until `finish` was called; the last one
  /// evacuates the zone.
  transport::awaitable<void> run(transport::asio::io_context& io,
                                 transport::http_client& client);
  void finish() { finishing_ = true; }
  bool finished() const { return finished_; }

  /// Checks the audit trail and the arrivals in the zone. `start`: when the
  /// schedule began.
  void check(const std::vector<fault>& schedule,
             std::chrono::system_clock::time_point start, soak_result& out);

 private:
  std::uint64_t random_below(std::uint64_t limit) {
    return std::uniform_int_distribution<std::uint64_t>(0, limit - 1)(engine_);
  }
  /// Returns the time until the next order.
  std::chrono::milliseconds next_pause();
  transport::awaitable<void> send(bool evacuated,
                                  transport::asio::io_context& io,
                                  transport::http_client& client);
  /// Sends the order on a connection that stays open, and reads no answer.
  void send_and_leave(const bench::caller_request& order);
  std::vector<zone_change> read_changes(soak_result& out) const;

  platform::test::deployment& deployment_;
  std::vector<std::string> control_nodes_;
  std::mt19937_64 engine_;
  violation_list& violations_;
  evacuation_record record_;
  std::vector<std::unique_ptr<platform::test::raw_order>> left_;
  std::atomic<bool> finishing_{false};
  std::atomic<bool> finished_{false};
};

}  // namespace trestlepost::soak
