// Runs blocking work, such as writes to a disk, outside the event loop.
#pragma once

#include <functional>
#include <memory>
#include <thread>

#include "trestlepost/base/error.h"

namespace trestlepost {

/// Runs one job at a time on a thread of its own, and the job's completion in
/// the event loop.
class background_worker {
 public:
  /// Queues a function to run in the event loop. Called from any thread.
  using executor = std::function<void(std::function<void()>)>;
  using job = std::function<result<void>()>;
  using completion = std::function<void(const result<void>&)>;

  explicit background_worker(executor post);
  /// Waits for the job that is running. Its completion is not called.
  ~background_worker();
  background_worker(const background_worker&) = delete;
  background_worker& operator=(const background_worker&) = delete;

  /// Starts a job. The completion of the job before it must have been called.
  void start(job work, completion done);
  /// Whether a job is running or its completion has not been called yet.
  bool is_busy() const;
  /// Blocks until the job that is running has ended, and calls its completion.
  void wait();

 private:
  struct shared_state;

  static void run(shared_state& state, const executor& post);
  /// Calls the completion of a job that has ended.
  static void complete(shared_state& state);

  std::shared_ptr<shared_state> state_;
  std::thread thread_;
};

}  // namespace trestlepost
