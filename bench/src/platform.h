// A stand-in for the platform's list of VMs, which lags.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace trestlepost::bench {

struct platform_options {
  std::string address;
  std::vector<std::string> vms;  // IP numbers, live at first
  std::chrono::milliseconds lag{1000};
};

/// Serves GET /v1/vms, and POST /stand-in/leaving?IP, /stand-in/live?IP.
int run_platform(const platform_options& options);

}  // namespace trestlepost::bench
