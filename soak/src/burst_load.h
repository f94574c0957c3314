// Bursts of large requests to the gateways of a soak, and the check that no
// process has used more memory than it may.
#pragma once

#include <atomic>
#include <cstdint>
#include <random>
#include <thread>

#include "deployment.h"
#include "plan_record.h"

namespace trestlepost::soak {

/// Sends bursts of bodies of random number and size, some of which stop before
/// their end, until it is stopped.
class burst_load {
 public:
  burst_load(platform::test::deployment& target, std::uint64_t seed);
  ~burst_load() { stop(); }
  burst_load(const burst_load&) = delete;
  burst_load& operator=(const burst_load&) = delete;

  void stop();

 private:
  void send_one();

  platform::test::deployment& target_;
  std::mt19937_64 random_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/// Returns the most memory in MB that a running process of the deployment has
/// used, and records processes that have exceeded the default limit.
int check_memory(platform::test::deployment& target,
                 violation_list& violations);

}  // namespace trestlepost::soak
