// The main job, shown: asks the directory, sends a plain and a streamed model
// call and a booking that may not be repeated, and checks each answer.
#pragma once

#include <string>

namespace trestlepost::bench {

struct demo_options {
  std::string node;  // any node's callers' address
  std::string token;
  std::string model;
  std::string plain_service;
  std::string plain_path;
};

/// 0 only if each answer was as it must be.
int run_demo(const demo_options& options);

}  // namespace trestlepost::bench
