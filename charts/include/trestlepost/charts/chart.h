// State charts (state machines) that are read from files, validated completely
// and then interpreted.
#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/base/error.h"

namespace trestlepost::charts {

/// The states, events and guards that the code using a chart supports.
struct chart_interface {
  std::vector<std::string> states;  // states that the code refers to
  std::vector<std::string> events;
  std::vector<std::string> guards;
};

/// Returns whether the named guard holds now.
using guard_function = std::function<bool(const std::string&)>;

/// A validated chart. Every state handles or ignores every event, every state
/// is reachable, and the code provides every guard.
class chart {
 public:
  /// Reads a chart from JSON with comments. Reports all errors at once.
  static result<chart> parse(const std::string& text, const std::string& file,
                             const chart_interface& code);
  static result<chart> load(const std::filesystem::path& file,
                            const chart_interface& code);

  const std::string& initial() const { return initial_; }

  /// Returns the state after `event`, or `state` itself if the event is ignored
  /// or no guard holds.
  const std::string& next(const std::string& state, const std::string& event,
                          const guard_function& holds) const;

 private:
  struct transition {
    std::string target;
    std::string guard;  // empty: unconditional
  };
  using event_map = std::map<std::string, std::vector<transition>, std::less<>>;

  std::string initial_;
  std::map<std::string, event_map, std::less<>> states_;

  friend class chart_reader;
};

}  // namespace trestlepost::charts
