#include "trestlepost/base/background_worker.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace trestlepost {

struct background_worker::shared_state
    : std::enable_shared_from_this<shared_state> {
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  job work;                             // not started yet
  std::optional<result<void>> outcome;  // of a job that has ended
  completion done;                      // used by the event loop only
};

background_worker::background_worker(executor post)
    : state_(std::make_shared<shared_state>()),
      thread_([state = state_, post = std::move(post)] { run(*state, post); }) {
}

background_worker::~background_worker() {
  {
    const std::lock_guard lock(state_->mutex);
    state_->stopping = true;
    state_->work = nullptr;
  }
  state_->changed.notify_all();
  thread_.join();
}

void background_worker::start(job work, completion done) {
  state_->done = std::move(done);
  {
    const std::lock_guard lock(state_->mutex);
    state_->work = std::move(work);
  }
  state_->changed.notify_all();
}

bool background_worker::is_busy() const {
  return state_->done != nullptr;
}

void background_worker::wait() {
  if (!is_busy()) return;
  {
    std::unique_lock lock(state_->mutex);
    state_->changed.wait(lock, [this] { return state_->outcome.has_value(); });
  }
  complete(*state_);
}

void background_worker::run(shared_state& state, const executor& post) {
  std::unique_lock lock(state.mutex);
  while (true) {
    state.changed.wait(lock, [&state] { return state.stopping || state.work; });
    if (state.stopping) return;
    const job work = std::exchange(state.work, nullptr);
    lock.unlock();
    result<void> outcome = work();
    lock.lock();
    state.outcome = std::move(outcome);
    state.changed.notify_all();
    // The worker may be destroyed before the event loop runs this.
    post([weak = state.weak_from_this()] {
      const std::shared_ptr<shared_state> alive = weak.lock();
      if (alive) complete(*alive);
    });
  }
}

void background_worker::complete(shared_state& state) {
  std::optional<result<void>> outcome;
  {
    const std::lock_guard lock(state.mutex);
    outcome = std::exchange(state.outcome, std::nullopt);
  }
  if (!outcome) return;  // `wait` has called the completion already
  const completion done = std::exchange(state.done, nullptr);
  done(*outcome);
}

}  // namespace trestlepost
