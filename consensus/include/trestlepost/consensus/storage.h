// Interface of a replica's durable storage.
#pragma once

#include <functional>
#include <vector>

#include "trestlepost/consensus/replica.h"

namespace trestlepost::consensus {

/// Durable storage of one replica. After a failure all later calls fail too,
/// because a failed sync leaves it unknown which data reached the disk.
class storage {
 public:
  virtual ~storage() = default;

  /// Reads the stored state. Must be called once, before any other function.
  virtual result<durable_state> load() = 0;

  /// Makes the batch durable before it returns.
  virtual result<void> save(const write_batch& batch) = 0;

  /// Replaces all stored data by a snapshot and the entries after it.
  virtual result<void> compact(const snapshot& base, const hard_state& hard,
                               const std::vector<entry>& entries) = 0;

  /// Called when a write has ended.
  using completion = std::function<void(const result<void>&)>;

  /// Like `save`, but may return first. The next write, of either kind, must
  /// not begin before `done` has been called.
  virtual void start_save(const write_batch& batch, const completion& done) {
    done(save(batch));
  }
  /// Like `compact`, but may return first; see `start_save`.
  virtual void start_compact(const snapshot& base, const hard_state& hard,
                             const std::vector<entry>& entries,
                             const completion& done) {
    done(compact(base, hard, entries));
  }
  /// Blocks until the write that has begun has ended, and calls its completion.
  virtual void wait() {}
};

/// Storage for nodes without a disk. Nothing survives a restart, so each start
/// must use a new incarnation.
class memory_storage final : public storage {
 public:
  result<durable_state> load() override { return durable_state{}; }
  result<void> save(const write_batch& /*batch*/) override { return {}; }
  result<void> compact(const snapshot& /*base*/, const hard_state& /*hard*/,
                       const std::vector<entry>& /*entries*/) override {
    return {};
  }
};

}  // namespace trestlepost::consensus
