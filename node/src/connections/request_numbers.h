// Numbers of requests to peers, by which answers are matched to requests.
#pragma once

#include <cstdint>

#include "trestlepost/base/random.h"

namespace trestlepost::node {

/// Numbers the requests of one process, ascending and never 0. The first number
/// is random: a peer sends its answer to an address, where another process may
/// have replaced the one that sent the request, and that process must not take
/// the answer for one to a request of its own.
class request_numbers {
 public:
  explicit request_numbers(random_source& random)
      : next_(random.identifier()) {}

  std::uint64_t next() { return next_++; }

 private:
  std::uint64_t next_;
};

}  // namespace trestlepost::node
