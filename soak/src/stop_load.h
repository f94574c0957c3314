// Callers of a soak who use their open connections until the entry closes them.
#pragma once

#include <atomic>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"
#include "stop_record.h"

namespace trestlepost::soak {

/// Sends requests back to back or with short pauses on kept connections, and
/// longer requests on connections of their own, until it is stopped.
class stop_load {
 public:
  /// The timeout of the requests.
  static constexpr std::chrono::milliseconds request_timeout{12'000};

  stop_load(platform::test::deployment& target, std::uint64_t seed);
  ~stop_load() { stop(); }
  stop_load(const stop_load&) = delete;
  stop_load& operator=(const stop_load&) = delete;

  /// Starts no new requests and waits for those in progress.
  void stop();
  const std::vector<planned_request>& requests() const { return requests_; }

 private:
  struct connection;

  std::chrono::milliseconds random_time(int min_ms, int max_ms);
  transport::awaitable<void> run_kept(std::string entry,
                                      std::chrono::milliseconds max_pause);
  transport::awaitable<void> run_longer(std::string entry,
                                        std::chrono::milliseconds interval);
  transport::awaitable<void> send_longer(std::string entry);
  /// Sends a request of a random kind that takes `work`.
  transport::awaitable<void> send(connection& on, std::string entry,
                                  std::chrono::milliseconds work);

  platform::test::deployment& target_;
  std::mt19937_64 engine_;
  std::atomic<bool> stopping_{false};
  transport::asio::io_context io_{1};
  std::vector<planned_request> requests_;
  int next_id_ = 0;
  std::thread thread_;
};

}  // namespace trestlepost::soak
