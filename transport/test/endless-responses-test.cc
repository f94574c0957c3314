// Servers that send bytes without end in place of a response. The client must
// give up after a bounded number of them, long before its deadline.
#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "loopback_ip.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::transport {
namespace {

using std::chrono::seconds;

constexpr unsigned short port = 7816;
constexpr std::size_t piece_bytes = 64UL * 1024;
/// What the client may read, and buffers of the system on the way.
constexpr std::size_t max_bytes = 16UL * 1024 * 1024;

/// Accepts one connection and sends `begin`, then `line` again and again until
/// the client closes it.
class endless_server {
 public:
  endless_server(std::string begin, const std::string& line)
      : begin_(std::move(begin)) {
    while (piece_.size() < piece_bytes) piece_ += line;
    thread_ = std::thread([this] { run(); });
  }
  ~endless_server() { thread_.join(); }
  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;

  std::size_t sent() const { return sent_; }

 private:
  void run() {
    boost::system::error_code ec;
    asio::ip::tcp::socket socket = acceptor_.accept(ec);
    asio::write(socket, asio::buffer(begin_), ec);
    while (!ec) {
      sent_ += asio::write(socket, asio::buffer(piece_), ec);
    }
  }

  std::string begin_;
  std::string piece_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_{
      io_, {asio::ip::make_address(loopback_ip()), port}};
  std::atomic<std::size_t> sent_{0};
  std::thread thread_;
};

using send_result = tl::expected<void, call_failure>;

/// Sends a request and reads the head of so many responses.
awaitable<void> read_heads(http_client& client, int responses,
                           send_result& out) {
  const std::shared_ptr<http_call> call =
      client.call(loopback_ip() + ":" + std::to_string(port));
  http_request request;
  request.method = "GET";
  request.target = "/";
  const monotonic_time deadline = boot_clock::now() + seconds(20);
  out = co_await call->send(std::move(request), deadline);
  for (int n = 1; n < responses && out; ++n)
    out = co_await call->read_next_response();
}

/// Runs `read_heads` to its end; returns how long it took.
std::chrono::milliseconds run(int responses, send_result& out) {
  asio::io_context io;
  http_client client(io, {});
  const monotonic_time start = boot_clock::now();
  asio::co_spawn(io, read_heads(client, responses, out), asio::detached);
  io.run();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      boot_clock::now() - start);
}

void expect_given_up(const endless_server& server, const send_result& got,
                     std::chrono::milliseconds took) {
  ASSERT_FALSE(got);
  EXPECT_EQ(got.error().cause.kind, error_kind::endpoint_failed);
  EXPECT_TRUE(got.error().bytes_written) << "the request may have run";
  EXPECT_LT(took, seconds(5));
  EXPECT_LE(server.sent(), max_bytes);
}

TEST(endless_responses_test, bytes_in_place_of_a_head_are_given_up) {
  const endless_server server("", std::string(100, 'x') + "\n");
  send_result got;
  const std::chrono::milliseconds took = run(1, got);
  expect_given_up(server, got, took);
}

TEST(endless_responses_test, header_lines_without_end_are_given_up) {
  const endless_server server("HTTP/1.1 200 OK\r\n",
                              "X-Line: " + std::string(100, 'x') + "\r\n");
  send_result got;
  const std::chrono::milliseconds took = run(1, got);
  expect_given_up(server, got, took);
}

// The response before the awaited one was discarded until the deadline.
TEST(endless_responses_test, a_discarded_response_without_end_is_given_up) {
  const endless_server server(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "64\r\n" + std::string(100, 'x') + "\r\n");
  send_result got;
  const std::chrono::milliseconds took = run(2, got);
  expect_given_up(server, got, took);
}

}  // namespace
}  // namespace trestlepost::transport
