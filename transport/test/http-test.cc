// Tests the HTTP client against the HTTP server, and the server against
// malformed requests.
#include <gtest/gtest.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "loopback_ip.h"
#include "trestlepost/base/log.h"
#include "trestlepost/transport/http_client.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::transport {
namespace {

const std::string address = loopback_ip() + ":7802";

constexpr std::size_t large_body = 32UL * 1024 * 1024;  // exceeds all buffers
constexpr std::chrono::milliseconds event_interval{100};

/// Streams for /stream, aborts a stream for /cut, answers a large body for
/// /large, sends events until the caller leaves for /events, and echoes the
/// body otherwise. The response to a target that ends with "?close" has no
/// length.
class test_handler final : public http_handler {
 public:
  awaitable<void> handle(http_exchange& exchange) override {
    const result<transport::request_body> body = co_await exchange.read_body();
    ++handled;
    if (exchange.is_disconnected()) {
      ++abandoned;
      co_return;
    }
    if (!body) {
      const http_response refusal =
          problem_response(400, body.error(), "no", std::chrono::seconds(0));
      co_await exchange.respond(refusal);
      co_return;
    }
    const std::string_view target = exchange.target();
    const bool close_delimited = target.ends_with("?close");
    if (target.starts_with("/stream") || target.starts_with("/cut")) {
      http_response head;
      head.content_type = "text/event-stream";
      head.close_delimited = close_delimited;
      co_await exchange.start_stream(head);
      co_await exchange.write_piece("one ");
      co_await exchange.write_piece("two");
      if (target.starts_with("/cut")) {
        exchange.abort();
      } else {
        co_await exchange.finish_stream();
      }
      co_return;
    }
    if (target == "/events") {
      exchange.on_disconnect([this] { ++disconnected; });
      http_response head;
      bool open = co_await exchange.start_stream(std::move(head));
      while (open) {
        std::string event = "event\n";
        open = co_await exchange.write_piece(std::move(event));
        co_await sleep_for(*io, event_interval);
      }
      co_return;
    }
    http_response response;
    response.close_delimited = close_delimited;
    response.body = target == "/large" ? std::string(large_body, 'x')
                                       : "echo " + body->text;
    co_await exchange.respond(response);
  }

  asio::io_context* io = nullptr;
  int handled = 0;
  int abandoned = 0;
  int disconnected = 0;
};

class http_test : public testing::Test {
 protected:
  http_test()
      : server_(context_, handler_, make_options()),
        client_(context_, make_client_options()) {
    handler_.io = &context_;
    EXPECT_TRUE(server_.listen(address));
  }

  static http_server_options make_options() {
    http_server_options out;
    out.body_limit = 1000;
    out.header_limit = 2000;
    out.header_timeout = std::chrono::milliseconds(300);
    out.body_timeout = std::chrono::milliseconds(300);
    return out;
  }

  static http_client_options make_client_options() {
    http_client_options out;
    out.accept_close_delimited = true;
    return out;
  }

  template <typename Condition>
  bool run_until(Condition done, int rounds = 3000) {
    for (int i = 0; i < rounds && !done(); ++i) {
      context_.restart();
      context_.run_one_for(std::chrono::milliseconds(2));
    }
    return done();
  }

  /// Returns the body of the response, or "error".
  std::string get(const std::string& target, const std::string& body = "") {
    std::optional<std::string> out;
    const auto task = [&]() -> awaitable<void> {
      const std::shared_ptr<http_call> call = client_.call(address);
      http_request request;
      request.target = target;
      request.body = body;
      const tl::expected<void, call_failure> sent = co_await call->send(
          request, boot_clock::now() + std::chrono::seconds(5));
      if (!sent) {
        out = "error";
        co_return;
      }
      const result<std::string> rest = co_await call->read_rest(100'000);
      out = rest ? *rest : "error";
    };
    asio::co_spawn(context_, task(), asio::detached);
    EXPECT_TRUE(run_until([&out] { return out.has_value(); }));
    return out.value_or("none");
  }

  /// Sends raw bytes and returns the response, with "(open)" if the server does
  /// not close the connection before the timeout.
  std::string send_raw(const std::string& bytes) {
    tcp::socket socket = open_raw(bytes);
    return read_all(socket);
  }

  tcp::socket open_raw(const std::string& bytes) {
    tcp::socket out(context_);
    out.connect(*parse_address(address));
    asio::write(out, asio::buffer(bytes));
    return out;
  }

  std::string read_all(tcp::socket& socket) {
    std::string out;
    bool closed = false;
    std::array<char, 4096> buf{};
    std::function<void()> read_more = [&] {
      socket.async_read_some(
          asio::buffer(buf),
          [&](const boost::system::error_code& ec, std::size_t n) {
            out.append(buf.data(), n);
            closed = static_cast<bool>(ec);
            if (!closed) read_more();
          });
    };
    read_more();
    run_until([&] { return closed; });
    return closed ? out : out + "(open)";
  }

  asio::io_context context_;
  test_handler handler_;
  http_server server_;
  http_client client_;
};

// The pattern: an overloaded server reads requests later than their callers
// wait. Work for them would keep it overloaded.
TEST_F(http_test, a_caller_that_left_before_the_request_was_read_is_detected) {
  tcp::socket socket(context_);
  socket.connect(*parse_address(address));
  asio::write(
      socket,
      asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")));
  socket.close();
  EXPECT_TRUE(run_until([this] { return handler_.handled == 1; }));
  EXPECT_EQ(handler_.abandoned, 1);
  EXPECT_EQ(get("/"), "echo ");
  EXPECT_EQ(handler_.abandoned, 1);
}

TEST_F(http_test, responds_and_reuses_connections) {
  EXPECT_EQ(get("/", "a"), "echo a");
  EXPECT_EQ(get("/", "b"), "echo b");
  EXPECT_EQ(get("/stream"), "one two");
  EXPECT_EQ(get("/", "c"), "echo c");
}

TEST_F(http_test, an_aborted_response_is_an_error) {
  EXPECT_EQ(get("/cut"), "error");
  EXPECT_EQ(get("/", "next"), "echo next");
}

struct bad_request {
  const char* name;
  std::string bytes;
  const char* expected;
};

TEST_F(http_test, a_response_without_length_ends_with_its_connection) {
  for (const char* target : {"/?close", "/stream?close"}) {
    const std::string request =
        std::string("GET ") + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
    const std::string response = send_raw(request);
    EXPECT_EQ(response.find("Content-Length"), std::string::npos) << response;
    EXPECT_EQ(response.find("Transfer-Encoding"), std::string::npos)
        << response;
    EXPECT_NE(response.find("Connection: close"), std::string::npos)
        << response;
    EXPECT_FALSE(response.ends_with("(open)")) << response;
  }
  EXPECT_EQ(get("/?close", "a"), "echo a");
  EXPECT_EQ(get("/stream?close"), "one two");
}

/// Leaves the process without free file descriptors during its lifetime.
class no_descriptors {
 public:
  no_descriptors() {
    ::getrlimit(RLIMIT_NOFILE, &before_);
    const int next = ::dup(0);
    ::close(next);
    const rlimit none{static_cast<rlim_t>(next), before_.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &none);
  }
  ~no_descriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  no_descriptors(const no_descriptors&) = delete;
  no_descriptors& operator=(const no_descriptors&) = delete;

 private:
  rlimit before_{};
};

// Without free descriptors, accepting failed again and again without a pause:
// the event loop did nothing else.
TEST_F(http_test, a_server_without_descriptors_does_not_spin) {
  tcp::socket socket(context_);
  socket.open(tcp::v4());
  // UBSan opens a pipe when it first checks a type, which would fail below.
  log_event(log_level::warn, "before-descriptors-are-used-up");
  asio::co_spawn(context_, sleep_for(context_, std::chrono::milliseconds(1)),
                 asio::detached);
  run_until([] { return false; }, 10);
  int handlers = 0;
  {
    const no_descriptors none;
    socket.connect(*parse_address(address));
    context_.restart();
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
    while (std::chrono::steady_clock::now() < until) {
      handlers +=
          static_cast<int>(context_.run_one_for(std::chrono::milliseconds(10)));
      context_.restart();
    }
  }
  EXPECT_LT(handlers, 50);
  asio::write(
      socket,
      asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")));
  EXPECT_TRUE(run_until([this] { return handler_.handled == 1; }));
}

// Callers' connections that were used once and then left at rest were never
// closed and used up all descriptors.
TEST_F(http_test, connections_are_closed_after_the_idle_timeout) {
  http_server_options options = make_options();
  options.idle_timeout = std::chrono::milliseconds(200);
  server_.set_options(options);
  const std::string answer = send_raw("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_NE(answer.find("200 OK"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("(open)"), std::string::npos) << answer;
}

// A server whose descriptors are held by idle connections took no new one.
TEST_F(http_test, idle_connections_give_way_when_descriptors_run_out) {
  EXPECT_EQ(get("/", "a"), "echo a");
  tcp::socket socket(context_);
  socket.open(tcp::v4());
  // UBSan opens a pipe when it first checks a type, which would fail below.
  log_event(log_level::warn, "before-descriptors-are-used-up");
  const no_descriptors none;
  socket.connect(*parse_address(address));
  const int before = handler_.handled;
  asio::write(
      socket,
      asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")));
  EXPECT_TRUE(run_until([this, before] { return handler_.handled > before; }));
}

// Connections that servers had closed stayed open in the pool of the client and
// used up all descriptors.
TEST_F(http_test, connections_closed_by_the_server_leave_the_pool) {
  EXPECT_EQ(get("/", "a"), "echo a");
  EXPECT_EQ(client_.idle_connections(), 1U);
  client_.close_unusable(boot_clock::now());
  EXPECT_EQ(client_.idle_connections(), 1U);
  server_.drain();
  EXPECT_TRUE(run_until([this] {
    client_.close_unusable(boot_clock::now());
    return client_.idle_connections() == 0;
  }));
}

// HTTP/1.0 has no chunks: their sizes became part of the body.
TEST_F(http_test, a_stream_for_http_1_0_is_not_chunked) {
  const std::string response =
      send_raw("GET /stream HTTP/1.0\r\nHost: a.example\r\n\r\n");
  EXPECT_EQ(response.find("Transfer-Encoding"), std::string::npos) << response;
  EXPECT_TRUE(response.ends_with("\r\n\r\none two")) << response;
}

TEST_F(http_test, an_aborted_response_without_length_is_an_error) {
  EXPECT_EQ(get("/cut?close"), "error");
}

TEST_F(http_test, malformed_requests_get_a_typed_error_and_the_next_is_served) {
  const bad_request cases[] = {
      {"garbage", "\x01\x02garbage\r\n\r\n", "HTTP/1.1 400"},
      {"big head",
       "GET / HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n",
       "HTTP/1.1 431"},
      {"big body",
       "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" +
           std::string(5000, 'x'),
       "HTTP/1.1 413"},
      {"both lengths",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked"
       "\r\n\r\n0\r\n\r\n",
       "HTTP/1.1 400"},
      {"bad length", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
       "HTTP/1.1 400"},
      {"two lengths",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       "HTTP/1.1 400"},
  };
  for (const bad_request& it : cases) {
    const std::string response = send_raw(it.bytes);
    EXPECT_EQ(response.rfind(it.expected, 0), 0U)
        << it.name << ": " << response;
    EXPECT_NE(response.find("remedy"), std::string::npos) << it.name;
    EXPECT_EQ(get("/", "next"), "echo next") << it.name;
  }
}

// Guards against a request that is smuggled in the body of another one: with a
// transfer coding that the server doesn't know, the body was read as the next
// request.
TEST_F(http_test, request_with_another_transfer_coding_is_refused) {
  const std::string smuggled = "POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
  const std::string chunks = "3\r\nabc\r\n0\r\n\r\n";
  struct coded_request {
    const char* version;
    const char* coding;
  };
  for (const coded_request& it :
       std::vector<coded_request>{{"1.1", "gzip"},
                                  {"1.1", "identity"},
                                  {"1.1", "chunked, gzip"},
                                  {"1.1", "gzip, chunked"},
                                  {"1.1", "chunked, chunked"},
                                  {"1.1", "chunked\r\nTransfer-Encoding: gzip"},
                                  {"1.1", "x"},
                                  {"1.0", "chunked"},
                                  {"1.0", "gzip"}}) {
    for (const std::string& body : {smuggled, chunks + smuggled}) {
      const int before = handler_.handled;
      const std::string response =
          send_raw(std::string("POST / HTTP/") + it.version +
                   "\r\nTransfer-Encoding: " + it.coding + "\r\n\r\n" + body);
      EXPECT_TRUE(response.starts_with("HTTP/1.1 400"))
          << it.coding << response;
      EXPECT_EQ(response.find("HTTP/1.1 2"), std::string::npos) << response;
      EXPECT_NE(response.find("Connection: close"), std::string::npos);
      EXPECT_EQ(handler_.handled, before) << it.coding;
    }
  }
}

// Guards against connections that wait for a slow sender for ever, and against
// a request that ends without an answer because it came too slowly.
TEST_F(http_test, a_slow_sender_is_disconnected_and_the_next_is_served) {
  const std::string late_head = send_raw("GET / HT");
  EXPECT_TRUE(late_head.starts_with("HTTP/1.1 408 ")) << late_head;
  EXPECT_NE(late_head.find("Connection: close"), std::string::npos);
  const std::string late =
      send_raw("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
  EXPECT_TRUE(late.starts_with("HTTP/1.1 400 ")) << late;
  EXPECT_NE(late.find("Connection: close"), std::string::npos) << late;
  EXPECT_NE(late.find("the body was not received in time"), std::string::npos);
  EXPECT_EQ(get("/", "next"), "echo next");
}

// Guards against a stop that ends such a request without an answer: the part of
// the body that had been taken from the socket was not counted as input.
TEST_F(http_test, a_body_that_has_arrived_in_part_is_refused_at_a_stop) {
  tcp::socket socket =
      open_raw("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
  ASSERT_TRUE(run_until([this] { return server_.in_progress() > 0; }));
  constexpr int rounds_to_read = 10;
  run_until([] { return false; }, rounds_to_read);
  server_.drain();
  server_.stop_reading();
  const std::string refused = read_all(socket);
  EXPECT_TRUE(refused.starts_with("HTTP/1.1 400 ")) << refused;
  EXPECT_NE(refused.find("Connection: close"), std::string::npos) << refused;
  EXPECT_NE(refused.find("this node is stopping"), std::string::npos);
}

// Guards against callers that lose a request since they have connected to a
// server just before it drains: their connections were taken for idle ones, or
// were reset while the system held them for the server.
TEST_F(http_test, new_connections_are_served_when_the_server_drains) {
  for (const bool accepted : {true, false}) {
    tcp::socket socket(context_);
    socket.connect(*parse_address(address));
    if (accepted) {
      ASSERT_TRUE(run_until([this] { return server_.connections() > 0; }));
    }
    server_.drain();
    asio::write(
        socket,
        asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    const std::string answer = read_all(socket);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << accepted << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    ASSERT_TRUE(server_.listen(address));
  }
}

// Guards against a connection that is closed although its last answer said that
// it stays open, since the server began to drain in between.
TEST_F(http_test, a_connection_that_was_kept_open_serves_one_more_request) {
  constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  tcp::socket socket = open_raw(std::string(request));
  ASSERT_TRUE(run_until([this, &socket] {
    return socket.available() > 0 && server_.in_progress() == 0;
  }));
  server_.disable_keep_alive();
  asio::write(socket, asio::buffer(request));
  const std::string answers = read_all(socket);
  const std::size_t second = answers.find("HTTP/1.1 200 ", 1);
  ASSERT_NE(second, std::string::npos) << answers;
  EXPECT_GT(answers.find("Connection: close"), second) << answers;
}

TEST_F(http_test, try_connect_pools_the_connection_or_reports_a_refusal) {
  std::vector<connect_outcome> found;
  const auto task = [&]() -> awaitable<void> {
    found.push_back(co_await client_.try_connect(address));
    found.push_back(co_await client_.try_connect(loopback_ip() + ":7803"));
  };
  asio::co_spawn(context_, task(), asio::detached);
  EXPECT_TRUE(run_until([&found] { return found.size() == 2; }));
  const std::vector<connect_outcome> expected{connect_outcome::opened,
                                              connect_outcome::refused};
  EXPECT_EQ(found, expected);
  EXPECT_EQ(get("/"), "echo ");
}

TEST_F(http_test, a_refused_connection_is_reported) {
  std::optional<call_failure> failed;
  const auto task = [&]() -> awaitable<void> {
    const std::shared_ptr<http_call> call =
        client_.call(loopback_ip() + ":7803");
    const http_request request;
    const tl::expected<void, call_failure> sent = co_await call->send(
        request, boot_clock::now() + std::chrono::seconds(5));
    if (!sent) failed = sent.error();
  };
  asio::co_spawn(context_, task(), asio::detached);
  ASSERT_TRUE(run_until([&failed] { return failed.has_value(); }));
  EXPECT_TRUE(failed->refused);
  EXPECT_FALSE(failed->bytes_written);
}

/// Returns the value of a TCP option.
int tcp_option(tcp::socket& socket, int option) {
  int value = 0;
  socklen_t size = sizeof value;
  ::getsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, &size);
  return value;
}

/// Drops everything that arrives at `socket`, as a failed host does.
void attach_drop_filter(tcp::socket& socket) {
  sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{1, &drop_all};
  ASSERT_EQ(::setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER,
                         &program, sizeof program),
            0);
}

/// Connects to the server and requests `target`.
tcp::socket request_on_socket(asio::io_context& io, const std::string& target) {
  tcp::socket out(io);
  out.connect(*parse_address(address));
  const std::string head = "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
  asio::write(out, asio::buffer(head));
  return out;
}

// A caller that paused reading for longer than five seconds was disconnected,
// and lost the rest of its answer.
TEST_F(http_test, caller_may_pause_reading) {
  constexpr std::chrono::milliseconds pause{7000};
  tcp::socket caller = request_on_socket(context_, "/large");
  const monotonic_time resumes_at = boot_clock::now() + pause;
  run_until([&] { return boot_clock::now() >= resumes_at; }, 10'000);
  std::vector<char> buf(1 << 20);
  std::size_t n = 0;
  boost::system::error_code ec;
  caller.non_blocking(true);
  const monotonic_time until = boot_clock::now() + pause;
  while (n < large_body && boot_clock::now() < until) {
    n += caller.read_some(asio::buffer(buf), ec);
    if (ec && ec != asio::error::would_block) break;
    context_.restart();
    context_.run_one_for(std::chrono::milliseconds(2));
  }
  EXPECT_GE(n, large_body) << ec.message();
}

// An endpoint went on working for a caller whose host had failed.
TEST_F(http_test, failed_host_of_caller_is_a_disconnect) {
  tcp::socket caller = request_on_socket(context_, "/events");
  run_until([&] { return caller.available() > 0; });
  attach_drop_filter(caller);
  const monotonic_time until = boot_clock::now() + std::chrono::seconds(10);
  run_until(
      [&] { return handler_.disconnected > 0 || boot_clock::now() >= until; },
      20'000);
  EXPECT_EQ(handler_.disconnected, 1);
}

// Checks only the options. That the system closes the connection cannot be
// tested on loopback, which always acknowledges.
TEST(socket_options_test, outgoing_connections_have_probes_and_a_user_timeout) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.open(tcp::v4());
  set_outgoing_options(socket, std::chrono::milliseconds(1700));
  asio::socket_base::keep_alive probed;
  socket.get_option(probed);
  EXPECT_TRUE(probed.value());
  EXPECT_EQ(tcp_option(socket, TCP_KEEPIDLE), 1);
  EXPECT_EQ(tcp_option(socket, TCP_KEEPINTVL), 1);
  EXPECT_EQ(tcp_option(socket, TCP_USER_TIMEOUT), 1700);
}

}  // namespace
}  // namespace trestlepost::transport
