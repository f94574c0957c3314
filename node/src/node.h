// One node: builds its services from settings and runs them on one thread.
#pragma once

#include <memory>

#include "settings.h"

namespace trestlepost::node {

class node {
 public:
  explicit node(settings options);
  ~node();

  /// Opens all interfaces; an error names what is wrong and the remedy.
  result<void> start();

  /// Runs until a planned stop has ended.
  void run();

 private:
  struct foundation;
  struct implementation;

  settings options_;
  std::unique_ptr<foundation> base_;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace trestlepost::node
