// Detects changes of the settings file by its content.
#pragma once

#include <string>

#include "trestlepost/base/clock.h"

namespace trestlepost::node {

/// Compares the settings file with the content read before.
class settings_watch {
 public:
  explicit settings_watch(std::string file) : file_(std::move(file)) {}

  const std::string& file() const { return file_; }

  /// Reads the current content as the base for later comparisons.
  void start();
  /// Whether the content has changed since the last call. Reads the file at
  /// most once a second unless `at_once`.
  bool changed(monotonic_time now, bool at_once);

 private:
  std::string read() const;

  std::string file_;
  std::string last_content_;
  monotonic_time next_check_;
};

}  // namespace trestlepost::node
