// One node of a deployment: builds its services from the settings and runs them
// on one thread.
#pragma once

#include <memory>
#include <string>

#include "settings.h"

namespace trestlepost::node {

struct node_resources;

class node {
 public:
  /// `file` is the settings file to watch for changes; empty for none.
  explicit node(settings options, std::string file = "");
  ~node();

  /// Starts all services and listens on all interfaces.
  result<void> start();

  /// Runs until a planned stop has completed.
  void run();

 private:
  struct implementation;

  settings options_;
  std::string file_;
  std::unique_ptr<node_resources> resources_;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace trestlepost::node
