#include "trestlepost/base/background_worker.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <mutex>
#include <vector>

namespace trestlepost {
namespace {

/// An event loop whose functions run when the test says so.
class manual_loop {
 public:
  background_worker::executor executor() {
    return [this](std::function<void()> it) {
      const std::lock_guard lock(mutex_);
      queued_.push_back(std::move(it));
    };
  }
  void run_until(const std::function<bool()>& condition) {
    while (!condition()) {
      std::vector<std::function<void()>> due;
      {
        const std::lock_guard lock(mutex_);
        due.swap(queued_);
      }
      for (const std::function<void()>& it : due) it();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  std::size_t size() {
    const std::lock_guard lock(mutex_);
    return queued_.size();
  }

 private:
  std::mutex mutex_;
  std::vector<std::function<void()>> queued_;
};

TEST(background_worker_test, does_not_block_the_caller) {
  manual_loop loop;
  background_worker worker(loop.executor());
  std::promise<void> release;
  bool done = false;
  worker.start(
      [&release]() -> result<void> {
        release.get_future().wait();
        return {};
      },
      [&done](const result<void>& outcome) { done = outcome.has_value(); });
  EXPECT_TRUE(worker.is_busy());
  EXPECT_FALSE(done);
  release.set_value();
  loop.run_until([&done] { return done; });
  EXPECT_FALSE(worker.is_busy());
}

TEST(background_worker_test, passes_on_the_error) {
  manual_loop loop;
  background_worker worker(loop.executor());
  std::string seen;
  worker.start(
      []() -> result<void> {
        return fail(error_kind::storage_failed, "no space left", "free some");
      },
      [&seen](const result<void>& it) { seen = it.error().message; });
  worker.wait();
  EXPECT_EQ(seen, "no space left");
}

// The function that a job has queued in the event loop must not call the
// completion a second time, or that of the next job.
TEST(background_worker_test, calls_each_completion_once) {
  manual_loop loop;
  background_worker worker(loop.executor());
  int first = 0;
  int second = 0;
  std::promise<void> release;
  worker.start([]() -> result<void> { return {}; },
               [&first](const result<void>& /*it*/) { ++first; });
  worker.wait();
  worker.start(
      [&release]() -> result<void> {
        release.get_future().wait();
        return {};
      },
      [&second](const result<void>& /*it*/) { ++second; });
  loop.run_until([&loop] { return loop.size() == 0; });
  EXPECT_EQ(first, 1);
  EXPECT_EQ(second, 0);
  release.set_value();
  loop.run_until([&second] { return second > 0; });
  EXPECT_EQ(second, 1);
}

TEST(background_worker_test, a_destroyed_worker_calls_no_completion) {
  manual_loop loop;
  bool called = false;
  {
    background_worker worker(loop.executor());
    worker.start([]() -> result<void> { return {}; },
                 [&called](const result<void>& /*it*/) { called = true; });
  }
  loop.run_until([&loop] { return loop.size() == 0; });
  EXPECT_FALSE(called);
}

}  // namespace
}  // namespace trestlepost
