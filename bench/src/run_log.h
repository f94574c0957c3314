// What the stand-in endpoints wrote down of each request that they ran, so
// that runs are counted from outside the gateway.
#pragma once

#include <string>
#include <vector>

namespace trestlepost::bench {

struct run_record {
  std::string endpoint;
  std::string region;
  std::string request_id;
  std::string attempt;
  std::string key;
  std::string phase;  // "start" or "end"
};

/// Appends one line; safe with several writers on one file.
void append_run(const std::string& file, const run_record& record);

/// All whole lines of a file.
std::vector<run_record> read_runs(const std::string& file);

}  // namespace trestlepost::bench
