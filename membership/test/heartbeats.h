// Helper for tests: a heartbeat of a node that accepts callers.
#pragma once

#include <cstdint>
#include <string>

#include "trestlepost/membership/node_table.h"

namespace trestlepost::membership::test {

inline heartbeat beat(const std::string& name, const std::string& region,
                      std::uint64_t sequence,
                      const std::string& state = "ready") {
  heartbeat out;
  out.node.name = name;
  out.node.incarnation = 1;
  out.node.region = region;
  out.node.caller_address = "127.0.0.1:1";
  out.sequence = sequence;
  out.state = state;
  return out;
}

}  // namespace trestlepost::membership::test
