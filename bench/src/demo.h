// Demonstration of a caller: queries the directory, sends a plain and a
// streamed model call and a run-once booking, and checks each answer.
#pragma once

#include <string>

namespace trestlepost::bench {

struct demo_options {
  std::string node;  // callers' address of any node
  std::string token;
  std::string model;
  std::string plain_service;
  std::string plain_path;
};

/// Returns the exit status: 0 only if every answer is as expected.
int run_demo(const demo_options& options);

}  // namespace trestlepost::bench
