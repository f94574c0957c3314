#include "run_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <fstream>

#include "trestlepost/base/json.h"

namespace trestlepost::bench {

void append_run(const std::string& file, const run_record& record) {
  if (file.empty()) return;
  json line;
  line["endpoint"] = record.endpoint;
  line["region"] = record.region;
  line["request_id"] = record.request_id;
  line["attempt"] = record.attempt;
  line["key"] = record.key;
  line["phase"] = record.phase;
  const std::string text = to_text(line) + "\n";
  constexpr int mode = 0644;
  const int fd = ::open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT, mode);
  if (fd < 0) return;
  // A single write with O_APPEND is not interleaved with those of others.
  if (::write(fd, text.data(), text.size()) < 0) ::perror("run log");
  ::close(fd);
}

std::vector<run_record> read_runs(const std::string& file) {
  std::vector<run_record> out;
  std::ifstream in(file);
  std::string line;
  while (std::getline(in, line)) {
    const result<json> value = parse_json(line);
    if (!value) continue;
    out.push_back({text_of(*value, "endpoint"), text_of(*value, "region"),
                   text_of(*value, "request_id"), text_of(*value, "attempt"),
                   text_of(*value, "key"), text_of(*value, "phase")});
  }
  return out;
}

}  // namespace trestlepost::bench
