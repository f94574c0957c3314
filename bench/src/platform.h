// Stand-in for the platform's list of VMs: changes appear after a delay.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace trestlepost::bench {

struct platform_options {
  std::string address;
  std::vector<std::string> vms;  // IP addresses, initially live
  std::chrono::milliseconds lag{1000};
};

/// Serves GET /v1/vms until SIGTERM. POST /stand-in/leaving?IP and
/// /stand-in/live?IP change the state of a VM.
int run_platform(const platform_options& options);

}  // namespace trestlepost::bench
