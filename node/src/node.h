// One node: builds its services from settings and runs them on one thread.
#pragma once

#include <memory>
#include <string>

#include "settings.h"

namespace trestlepost::node {

class node {
 public:
  /// `file` is watched for changes; empty: it is not.
  explicit node(settings options, std::string file = "");
  ~node();

  /// Opens all interfaces; an error names what is wrong and the remedy.
  result<void> start();

  /// Runs until a planned stop has ended.
  void run();

 private:
  struct foundation;
  struct implementation;

  settings options_;
  std::string file_;
  std::unique_ptr<foundation> base_;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace trestlepost::node
