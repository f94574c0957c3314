// A server that sends given bytes in place of a response, and a client for it.
#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "trestlepost/transport/asio.h"

namespace trestlepost::transport::test {

/// How a server ends its connection, and what comes before.
struct ending {
  const char* what;
  bool reset = false;
  bool two_packets = false;
  std::chrono::milliseconds pause{0};  // before the end
  /// Ends its side in order, and reads until the client ends the connection.
  bool reads_on = false;
};

/// Answers the head of one request on each connection with the bytes that are
/// set, and ends the connection.
class cutting_server {
 public:
  cutting_server();
  ~cutting_server();
  cutting_server(const cutting_server&) = delete;
  cutting_server& operator=(const cutting_server&) = delete;

  /// Sets the answer to the next requests.
  void set(std::string sent, const ending& how);

 private:
  void run();

  std::mutex lock_;
  std::string sent_;
  ending how_{""};
  std::atomic<bool> stopping_{false};
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

struct answer {
  unsigned status = 0;
  std::string body;
};

/// Sends a request with a body of so many bytes to the server. Returns the
/// answer, if the client takes it for a whole one.
std::optional<answer> request(const std::string& method,
                              std::size_t body_bytes = 0);

}  // namespace trestlepost::transport::test
