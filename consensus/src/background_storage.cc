#include "trestlepost/consensus/background_storage.h"

#include <utility>

namespace trestlepost::consensus {

background_storage::background_storage(std::unique_ptr<storage> target,
                                       background_worker::executor post)
    : target_(std::move(target)), worker_(std::move(post)) {}

result<durable_state> background_storage::load() {
  return target_->load();
}

result<void> background_storage::save(const write_batch& batch) {
  return target_->save(batch);
}

result<void> background_storage::compact(const snapshot& base,
                                         const hard_state& hard,
                                         const std::vector<entry>& entries) {
  return target_->compact(base, hard, entries);
}

void background_storage::start_save(const write_batch& batch,
                                    const completion& done) {
  worker_.start([target = target_.get(), batch] { return target->save(batch); },
                done);
}

void background_storage::start_compact(const snapshot& base,
                                       const hard_state& hard,
                                       const std::vector<entry>& entries,
                                       const completion& done) {
  worker_.start([target = target_.get(), base, hard,
                 entries] { return target->compact(base, hard, entries); },
                done);
}

void background_storage::wait() {
  worker_.wait();
}

}  // namespace trestlepost::consensus
