#include "trestlepost/base/background_worker.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <future>
#include <string>

namespace trestlepost {
namespace {

class background_worker_test : public testing::Test {
 protected:
  background_worker::executor executor() {
    return [this](std::function<void()> it) {
      boost::asio::post(io_, std::move(it));
    };
  }
  void run_until(const std::function<bool()>& condition) {
    while (!condition()) {
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(1));
    }
  }

  boost::asio::io_context io_;
};

TEST_F(background_worker_test, does_not_block_the_caller) {
  background_worker worker(executor());
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
  run_until([&done] { return done; });
  EXPECT_FALSE(worker.is_busy());
}

TEST_F(background_worker_test, passes_on_the_error) {
  background_worker worker(executor());
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
TEST_F(background_worker_test, calls_each_completion_once) {
  background_worker worker(executor());
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
  io_.poll();
  EXPECT_EQ(first, 1);
  EXPECT_EQ(second, 0);
  release.set_value();
  run_until([&second] { return second > 0; });
  EXPECT_EQ(second, 1);
}

TEST_F(background_worker_test, a_destroyed_worker_calls_no_completion) {
  bool called = false;
  {
    background_worker worker(executor());
    worker.start([]() -> result<void> { return {}; },
                 [&called](const result<void>& /*it*/) { called = true; });
  }
  io_.poll();
  EXPECT_FALSE(called);
}

}  // namespace
}  // namespace trestlepost
