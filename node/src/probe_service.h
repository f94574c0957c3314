// Reads what endpoints report of their load, and the platform's list.
#pragma once

#include <map>
#include <string>

#include "node_context.h"
#include "trestlepost/own/codecs.h"

namespace trestlepost::node {

class probe_service {
 public:
  explicit probe_service(node_context& context) : context_(context) {}

  void tick();
  /// The reports that this node read itself, to be shared.
  const std::map<std::string, membership::reported_load>& reports() const {
    return reports_;
  }

 private:
  transport::awaitable<void> read_load(std::string endpoint,
                                       std::string address);
  transport::awaitable<void> read_platform_list();
  bool is_prober_of(const std::string& endpoint) const;

  node_context& context_;
  own::directory_codec directory_;
  std::map<std::string, membership::reported_load> reports_;
  monotonic_time next_load_;
  monotonic_time next_platform_;
};

}  // namespace trestlepost::node
