// Notices that the settings file was written, with or without a signal.
#pragma once

#include <string>

#include "trestlepost/base/clock.h"

namespace trestlepost::node {

class settings_watch {
 public:
  explicit settings_watch(std::string file) : file_(std::move(file)) {}

  const std::string& file() const { return file_; }

  /// Remembers the file as it stands.
  void start();
  /// Whether the file's content differs from what was seen last; looks at
  /// most once a second unless `at_once`.
  bool changed(monotonic_time now, bool at_once);

 private:
  std::string read() const;

  std::string file_;
  std::string seen_;
  monotonic_time next_look_;
};

}  // namespace trestlepost::node
