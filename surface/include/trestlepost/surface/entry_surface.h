// How callers learn which nodes to use, and how the deployment checks a node.
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

/// What a node says of itself.
struct node_report {
  bool ready = false;  // takes requests
  std::string state{};
  std::uint64_t revision = 0;  // of its configuration
};

/// Reads the calls for entries and readiness, and writes their answers.
class entry_surface {
 public:
  virtual ~entry_surface() = default;

  /// Who asks for entries; nothing when the call is another one.
  virtual std::optional<membership::entry_query> read_query(
      std::string_view method, std::string_view target) const = 0;

  virtual transport::http_answer show_entries(
      const std::vector<membership::entry_view>& entries,
      std::chrono::milliseconds lifetime) const = 0;

  /// Whether the call asks if this node takes requests.
  virtual bool asks_readiness(std::string_view method,
                              std::string_view target) const = 0;
  virtual transport::http_answer show_readiness(
      const node_report& node) const = 0;
  virtual transport::http_answer refuse(const error& why) const = 0;
};

}  // namespace trestlepost::surface
