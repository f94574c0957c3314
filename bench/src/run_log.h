// Log file of the stand-in endpoints with a line for each start and end of a
// run, so that tests count runs independently of the gateway.
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

/// Appends one line; several processes may write to the same file. Does nothing
/// without a file name.
void append_run(const std::string& file, const run_record& record);

/// Returns all records of a file. Skips lines that are not valid JSON, such as
/// an incomplete last one.
std::vector<run_record> read_runs(const std::string& file);

}  // namespace trestlepost::bench
