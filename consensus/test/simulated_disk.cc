#include "simulated_disk.h"

#include <algorithm>
#include <utility>

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
void truncate_after_gap(durable_state& state) {
  log_index next = state.base.index + 1;
  const auto gap =
      std::find_if(state.entries.begin(), state.entries.end(),
                   [&next](const entry& it) { return it.index != next++; });
  state.entries.erase(gap, state.entries.end());
}

}  // namespace

result<durable_state> simulated_storage::load() {
  truncate_after_gap(disk_.state);
  buffered_ = disk_.state;
  return buffered_;
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
  apply_batch(batch, buffered_);
  if (!disk_.skip_sync || batch.base) disk_.state = buffered_;
  if (disk_.crash_after_sync >= 0 && disk_.crash_after_sync-- == 0) {
    throw crash_signal();
  }
  return {};
}

result<void> simulated_storage::compact(const snapshot& base,
                                        const hard_state& hard,
                                        const std::vector<entry>& entries) {
  buffered_ = durable_state{hard, base, entries};
  disk_.state = buffered_;
  return {};
}

void simulated_storage::start(std::function<void()> write) {
  if (disk_.slow) {
    disk_.pending_write = std::move(write);
  } else {
    write();
  }
}

void simulated_storage::start_save(const write_batch& batch,
                                   const completion& done) {
  start([this, batch, done] { done(save(batch)); });
}

void simulated_storage::start_compact(const snapshot& base,
                                      const hard_state& hard,
                                      const std::vector<entry>& entries,
                                      const completion& done) {
  start([this, base, hard, entries, done] {
    done(compact(base, hard, entries));
  });
}

void simulated_storage::wait() {
  const std::function<void()> write =
      std::exchange(disk_.pending_write, nullptr);
  if (write) write();
}

}  // namespace trestlepost::consensus::test
