// TCP relay that simulates network delay and partitions between regions. The
// regions of a connection are read from the IP addresses of its ends
// (127.REGION.x.y).
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

/// Runs until SIGTERM. POST /link?from=R&to=R with &delay=MS or &cut=0|1 at the
/// control address changes one direction; from=*&to=* changes all links between
/// regions. A cut link drops no data and closes no connection: bytes wait until
/// the link is restored.
int run_relay(const relay_options& options);

}  // namespace trestlepost::bench
