// A relay for TCP links: delays them, and cuts them silently. The region of a
// connection's source is read from its IP number (127.REGION.x.y).
#pragma once

#include <string>
#include <vector>

namespace trestlepost::bench {

struct relay_link {
  std::string listen;
  std::string target;
};

struct relay_options {
  std::string control_address;
  std::vector<relay_link> links;
  unsigned delay_ms = 0;  // one way, between different regions
};

/// Runs until SIGTERM. POST /link?from=R&to=R&delay=MS or &cut=0|1 at the
/// control address changes one direction; from=*&to=* changes all.
int run_relay(const relay_options& options);

}  // namespace trestlepost::bench
