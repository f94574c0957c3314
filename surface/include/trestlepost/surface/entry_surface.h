// Interface to the protocol by which callers discover nodes and the deployment
// checks the readiness of a node.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/membership/directory.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::surface {

/// The state that a node reports about itself.
struct node_report {
  bool ready = false;  // accepts requests
  std::string state{};
  std::uint64_t revision = 0;  // of the node's configuration
};

/// Parses queries for entries and readiness, and formats their responses.
class entry_surface {
 public:
  virtual ~entry_surface() = default;

  /// Parses a query for entries; returns nothing if the call is another one.
  virtual std::optional<membership::entry_query> read_query(
      std::string_view method, std::string_view target) const = 0;

  virtual transport::http_response show_entries(
      const std::vector<membership::entry_view>& entries,
      std::chrono::milliseconds lifetime) const = 0;

  /// Returns whether the call is a readiness check of this node.
  virtual bool is_readiness_query(std::string_view method,
                                  std::string_view target) const = 0;
  virtual transport::http_response show_readiness(
      const node_report& node) const = 0;
  virtual transport::http_response refuse(const error& why) const = 0;
};

}  // namespace trestlepost::surface
