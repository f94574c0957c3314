// What the crash simulation knows of requests, endpoints and gateways.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"

namespace trestlepost::routing::test {

/// Time at which simulations start.
inline const monotonic_time start = monotonic_time(std::chrono::hours(1));

struct request {
  std::string fingerprint;
  std::vector<std::string> parts;
  bool began = false;
  bool lethal = false;
  int kind = 0;  // if lethal
  int gateway = 0;
  int sends = 0;
  int tries = 0;
};

struct endpoint {
  bool up = true;
  int incarnation = 0;
  std::map<std::uint64_t, request> running;
};

struct gateway {
  monotonic_time disconnected_until = start;
  monotonic_time suspended_until = start;
  std::set<std::string> held;
  std::set<std::string> watched;
  /// When runs with each part were last seen to succeed.
  std::map<std::string, monotonic_time> last_success;
};

}  // namespace trestlepost::routing::test
