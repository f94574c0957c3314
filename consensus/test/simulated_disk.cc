#include "simulated_disk.h"

#include <algorithm>

namespace trestlepost::consensus::test {
namespace {

void apply_batch(const write_batch& batch, durable_state& state) {
  if (batch.hard) state.hard = *batch.hard;
  if (batch.base) {
    state.base = *batch.base;
    state.entries.clear();
  }
  if (batch.truncate_from) {
    while (!state.entries.empty() &&
           state.entries.back().index >= *batch.truncate_from) {
      state.entries.pop_back();
    }
  }
  for (const entry& it : batch.entries) state.entries.push_back(it);
}

/// Truncates entries after a save that never reached the disk, as
/// `file_storage` does.
void cut_after_hole(durable_state& state) {
  log_index next = state.base.index + 1;
  const auto hole =
      std::find_if(state.entries.begin(), state.entries.end(),
                   [&next](const entry& it) { return it.index != next++; });
  state.entries.erase(hole, state.entries.end());
}

}  // namespace

result<durable_state> simulated_storage::load() {
  cut_after_hole(disk_.state);
  live_ = disk_.state;
  return live_;
}

result<void> simulated_storage::save(const write_batch& batch) {
  if (batch.empty()) return {};
  if (disk_.crash_before_sync >= 0 && disk_.crash_before_sync-- == 0) {
    // Simulates a torn write: some entries reach the disk but are not
    // acknowledged.
    write_batch torn = batch;
    torn.entries.resize(torn.entries.size() / 2);
    if (!torn.base) apply_batch(torn, disk_.state);
    throw crash_signal();
  }
  apply_batch(batch, live_);
  if (!disk_.skip_sync || batch.base) disk_.state = live_;
  if (disk_.crash_after_sync >= 0 && disk_.crash_after_sync-- == 0) {
    throw crash_signal();
  }
  return {};
}

result<void> simulated_storage::compact(const snapshot& base,
                                        const hard_state& hard,
                                        const std::vector<entry>& entries) {
  live_ = durable_state{hard, base, entries};
  disk_.state = live_;
  return {};
}

}  // namespace trestlepost::consensus::test
