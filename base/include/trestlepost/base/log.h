// Structured logs: one JSON line an event, on log4cxx.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace trestlepost {

enum class log_level { debug, info, warn, error };

/// One field of an event. Never put content of requests into a field.
struct log_field {
  const char* name;
  std::string value;
};

/// Starts logging to standard output (or to `file` when not empty); `node` and
/// `region` go into every line.
void start_log(const std::string& node, const std::string& region,
               log_level lowest, const std::string& file);

void set_log_level(log_level lowest);

/// Writes one event. `event` is a stable name in kebab case. Lines of one kind
/// are bounded a second; the next one says how many were left out. Never waits
/// for the reader of the output.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

}  // namespace trestlepost
