// Base of the tests of crash attribution.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "trestlepost/routing/crash_attribution.h"

namespace trestlepost::routing::test {

/// Returns a time `ms` milliseconds after the start of a test.
inline monotonic_time after(int ms) {
  return monotonic_time(std::chrono::hours(1)) + std::chrono::milliseconds(ms);
}

class attribution_fixture : public testing::Test {
 protected:
  /// Returns the fingerprints of what is proposed to be held at `ms`.
  std::vector<std::string> proposals(int ms) {
    std::vector<std::string> out;
    for (const hold_proposal& it :
         attribution_.take_hold_proposals(after(ms))) {
      out.push_back(it.fingerprint);
    }
    return out;
  }

  crash_attribution attribution_;
};

}  // namespace trestlepost::routing::test
