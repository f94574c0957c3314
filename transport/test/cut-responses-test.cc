// Servers that stop inside a response and close the connection. No part of a
// response may be taken for a whole one.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <thread>

#include "loopback_ip.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned short port = 7817;
constexpr char body[] = "hello";

/// How a server ends its connection, and what comes before.
struct ending {
  const char* what;
  bool reset = false;
  bool two_packets = false;
  milliseconds pause{0};  // before the end
};

const std::vector<ending> endings{
    {"closed"},
    {"reset", true},
    {"in two packets", false, true},
    {"closed later", false, false, milliseconds(3)}};

/// Answers one request with the bytes `sent`, and ends the connection.
class cutting_server {
 public:
  cutting_server() : thread_([this] { run(); }) {}
  ~cutting_server() {
    stopping_ = true;
    boost::system::error_code ec;
    asio::io_context io;
    asio::ip::tcp::socket wake(io);
    wake.connect({asio::ip::make_address(loopback_ip()), port}, ec);
    thread_.join();
  }
  cutting_server(const cutting_server&) = delete;
  cutting_server& operator=(const cutting_server&) = delete;

  /// Sets the answer to the next requests.
  void set(std::string sent, const ending& how) {
    const std::scoped_lock guard(lock_);
    sent_ = std::move(sent);
    how_ = how;
  }

 private:
  void run() {
    while (true) {
      boost::system::error_code ec;
      asio::ip::tcp::socket socket = acceptor_.accept(ec);
      if (stopping_) return;
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ec);
      const std::scoped_lock guard(lock_);
      const std::size_t half = how_.two_packets ? sent_.size() / 2 : 0;
      socket.set_option(asio::ip::tcp::no_delay(true), ec);
      asio::write(socket, asio::buffer(sent_.data(), half), ec);
      if (how_.two_packets) std::this_thread::sleep_for(milliseconds(2));
      asio::write(socket,
                  asio::buffer(sent_.data() + half, sent_.size() - half), ec);
      std::this_thread::sleep_for(how_.pause);
      if (how_.reset) socket.set_option(asio::socket_base::linger(true, 0), ec);
      socket.close(ec);
    }
  }

  std::mutex lock_;
  std::string sent_;
  ending how_{""};
  std::atomic<bool> stopping_{false};
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_{
      io_, {asio::ip::make_address(loopback_ip()), port}};
  std::thread thread_;
};

struct answer {
  unsigned status = 0;
  std::string body;
};

awaitable<void> request(http_client& client, std::optional<answer>& out) {
  const std::shared_ptr<http_call> call =
      client.call(loopback_ip() + ":" + std::to_string(port));
  http_request sent;
  sent.method = "GET";
  sent.target = "/";
  const monotonic_time deadline = boot_clock::now() + seconds(10);
  const tl::expected<void, call_failure> head =
      co_await call->send(std::move(sent), deadline);
  if (!head) co_return;
  const result<std::string> rest = co_await call->read_rest(1000);
  if (rest) out = answer{call->status(), *rest};
}

/// Returns the answer, if the client takes it for a whole one.
std::optional<answer> get() {
  asio::io_context io;
  http_client_options options;
  options.accept_close_delimited = true;
  http_client client(io, options);
  std::optional<answer> out;
  asio::co_spawn(io, request(client, out), asio::detached);
  io.run();
  return out;
}

std::string head_with(const std::string& header) {
  return "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n" + header + "\r\n";
}

struct response_example {
  const char* what;
  std::string bytes;
  std::size_t cuttable;  // the number of bytes that don't make it whole
};

std::vector<response_example> examples() {
  const std::string sized = head_with("Content-Length: 5\r\n") + body;
  const std::string chunked = head_with("Transfer-Encoding: chunked\r\n") +
                              "5\r\n" + body + "\r\n0\r\n\r\n";
  const std::string until_close = head_with("");
  return {{"with a length", sized, sized.size() - 1},
          {"in chunks", chunked, chunked.size() - 1},
          {"until close", until_close + body, until_close.size() - 1}};
}

const std::vector<std::string> interim_responses{
    "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"};

// A server stopped inside the head of its response and closed; callers got a
// 200 with an empty body, framed as whole. An interim response before the cut
// was taken for the final one.
TEST(cut_responses_test, no_part_of_a_response_is_whole) {
  cutting_server server;
  for (const response_example& example : examples()) {
    for (const std::string& interim : interim_responses) {
      for (const ending& how : endings) {
        for (std::size_t n = 0; n <= example.cuttable; ++n) {
          server.set(interim + example.bytes.substr(0, n), how);
          const std::optional<answer> got = get();
          EXPECT_FALSE(got)
              << example.what << " after \"" << interim << "\", " << how.what
              << " at byte " << n << ": " << got->status << " " << got->body;
        }
      }
    }
  }
}

TEST(cut_responses_test, responses_after_interim_ones_are_whole) {
  cutting_server server;
  for (const response_example& example : examples()) {
    for (const std::string& interim : interim_responses) {
      for (const ending& how : endings) {
        if (how.reset) continue;
        server.set(interim + example.bytes, how);
        const std::optional<answer> got = get();
        ASSERT_TRUE(got) << example.what << " after \"" << interim << "\", "
                         << how.what;
        EXPECT_EQ(got->status, 200U);
        EXPECT_EQ(got->body, body);
      }
    }
  }
}

TEST(cut_responses_test, interim_responses_without_end_are_given_up) {
  cutting_server server;
  std::string many;
  for (int n = 0; n < 1000; ++n) many += interim_responses[1];
  server.set(many + examples()[0].bytes, endings[0]);
  EXPECT_FALSE(get());
}

}  // namespace
}  // namespace trestlepost::transport
