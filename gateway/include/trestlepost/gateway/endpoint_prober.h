// Finds out when endpoints that this gateway could not reach are reachable
// again, since it sends no requests to them meanwhile.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "trestlepost/gateway/context.h"
#include "trestlepost/membership/endpoint_tracker.h"
#include "trestlepost/surface/endpoint_codec.h"

namespace trestlepost::gateway {

/// Opens a connection to one endpoint after the other of each service of which
/// no endpoint is reachable, and sends a request that only asks for an answer.
class endpoint_prober {
 public:
  endpoint_prober(gateway_context& context,
                  const surface::endpoint_codec& endpoints)
      : context_(context), codec_(endpoints) {}

  void tick();

 private:
  struct service_probes {
    monotonic_time next_at;
    std::size_t count = 0;
    bool in_progress = false;
  };

  void start_probe(const std::string& service, service_probes& probes);
  transport::awaitable<void> probe(std::string service,
                                   membership::endpoint_view endpoint);
  transport::awaitable<bool> answers(std::string address);

  gateway_context& context_;
  const surface::endpoint_codec& codec_;
  std::map<std::string, service_probes> probes_;  // by service
};

}  // namespace trestlepost::gateway
