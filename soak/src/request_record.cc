#include "request_record.h"

#include <algorithm>

namespace trestlepost::soak {
namespace {

/// Returns whether the status guarantees that the request has not run and will
/// not run.
bool promises_not_run(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void request_record::check_stream(const request_outcome& it,
                                  const std::string& subject) {
  if (!it.stream || *it.stream == full_stream_) return;
  // Without a declared end, the caller can only see that no event was cut.
  const bool between_events =
      full_stream_.starts_with(*it.stream) && it.stream->ends_with("\n\n");
  if (!it.delimited && between_events) return;
  violations_.push_back(subject + " got a truncated stream as complete");
}

void request_record::check(const request_outcome& it,
                           const endpoint_names& ran) {
  const std::string subject =
      "request " + it.id + " (status " + std::to_string(it.status) + ")";
  if (it.status == 200) {
    ++answered_;
    if (ran.empty())
      violations_.push_back(subject + " was answered but did not run");
    check_stream(it, subject);
  } else if (promises_not_run(it.status)) {
    ++refused_;
    if (!ran.empty()) violations_.push_back(subject + " ran at " + ran.front());
  } else {
    ++failed_;
  }
  if (it.kind == request_kind::run_once && ran.size() > 1) {
    violations_.push_back(subject + " ran twice: at " + ran[0] + " and at " +
                          ran[1]);
  }
  if (it.kind != request_kind::home_bound) return;
  for (const std::string& endpoint : ran) {
    const bool home =
        std::find(home_.begin(), home_.end(), endpoint) != home_.end();
    if (!home)
      violations_.push_back(subject + " ran outside its home at " + endpoint);
  }
}

}  // namespace trestlepost::soak
