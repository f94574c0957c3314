// Storage that writes on a thread of its own, so that a slow disk doesn't stop
// the event loop: a leader that can't send heartbeats loses its lease, and a
// follower that can't answer them deposes its leader.
#pragma once

#include <memory>

#include "trestlepost/base/background_worker.h"
#include "trestlepost/consensus/storage.h"

namespace trestlepost::consensus {

/// Runs the started writes of another storage in the background. `load`, `save`
/// and `compact` block, and may be called only while no write is in progress.
class background_storage final : public storage {
 public:
  background_storage(std::unique_ptr<storage> target,
                     background_worker::executor post);

  result<durable_state> load() override;
  result<void> save(const write_batch& batch) override;
  result<void> compact(const snapshot& base, const hard_state& hard,
                       const std::vector<entry>& entries) override;
  void start_save(const write_batch& batch, const completion& done) override;
  void start_compact(const snapshot& base, const hard_state& hard,
                     const std::vector<entry>& entries,
                     const completion& done) override;
  void wait() override;

 private:
  std::unique_ptr<storage> target_;
  background_worker worker_;
};

}  // namespace trestlepost::consensus
