// Where a replica keeps what must survive a restart.
#pragma once

#include <vector>

#include "trestlepost/consensus/replica.h"

namespace trestlepost::consensus {

/// Durable storage of one replica. After any failure every later call fails
/// too: a failed sync says nothing about what reached the disk.
class storage {
 public:
  virtual ~storage() = default;

  /// Reads what earlier runs left; called once, first.
  virtual result<durable_state> load() = 0;

  /// Makes the batch durable before it returns.
  virtual result<void> save(const write_batch& batch) = 0;

  /// Replaces all that is stored by a snapshot and the entries after it.
  virtual result<void> compact(const snapshot& base, const hard_state& hard,
                               const std::vector<entry>& entries) = 0;
};

/// For nodes without a disk: nothing survives a restart, so each start must
/// use a new incarnation.
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
