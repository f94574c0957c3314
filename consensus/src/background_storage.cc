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

void background_storage::start_save(write_batch batch, completion done) {
  worker_.start([target = target_.get(),
                 batch = std::move(batch)] { return target->save(batch); },
                std::move(done));
}

void background_storage::start_compact(snapshot base, hard_state hard,
                                       std::vector<entry> entries,
                                       completion done) {
  worker_.start(
      [target = target_.get(), base = std::move(base), hard = std::move(hard),
       entries = std::move(entries)] {
        return target->compact(base, hard, entries);
      },
      std::move(done));
}

void background_storage::wait() {
  worker_.wait();
}

}  // namespace trestlepost::consensus
