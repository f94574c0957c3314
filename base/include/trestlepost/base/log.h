// Structured logging with log4cxx: one line of JSON per event.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace trestlepost {

enum class log_level { debug, info, warn, error };

/// Field of an event. It must not contain the content of requests.
struct log_field {
  const char* name;
  std::string value;
};

/// Starts logging to `file`, or to standard output if `file` is empty. Every
/// line contains `node` and `region`. Events below `min_level` are not logged.
void start_log(const std::string& node, const std::string& region,
               log_level min_level, const std::string& file);

void set_log_level(log_level min_level);

/// Logs one event. `event` is a stable name in kebab case. Each name has a rate
/// limit; the next line that is written reports how many were dropped. Writing
/// to standard output never blocks.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

}  // namespace trestlepost
