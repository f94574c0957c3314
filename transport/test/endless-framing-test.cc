// Senders that spend bytes without end on what frames a body: the extension of
// a chunk's size line, trailers, chunks of one byte. Client and server must
// give them up after a bounded number of bytes, long before their deadlines.
#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <ostream>
#include <thread>

#include "loopback_ip.h"
#include "trestlepost/transport/http_client.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::transport {
namespace {

using error_code = boost::system::error_code;
using std::chrono::milliseconds;

constexpr unsigned short port = 7817;
/// Deadline of calls, and the time that the server grants to a body.
constexpr milliseconds deadline{6000};
/// What counts as long before that.
constexpr milliseconds max_time{3000};
/// What may be read, and buffers of the system on the way.
constexpr std::size_t max_bytes = 16UL * 1024 * 1024;
constexpr std::size_t body_limit = 1024UL * 1024;

std::string address() {
  return loopback_ip() + ":" + std::to_string(port);
}

/// How fast bytes are sent: so many, then a pause.
struct pace {
  const char* name;
  std::size_t bytes;
  milliseconds pause;
};

constexpr pace paces[] = {{"trickle", 1024, milliseconds(2)},
                          {"ten_megabytes_a_second", 100'000, milliseconds(10)},
                          {"as_fast_as_read", 64UL * 1024, milliseconds(0)}};

/// What frames a body, after what stands before it in the body.
struct framing {
  const char* name;
  std::string begin;
  std::string repeated;
};

const std::string hundred(100, 'x');
const framing framings[] = {
    {"extension", "2;x=", hundred},
    {"extension_after_data", "5\r\nwhole\r\n2;x=", hundred},
    {"extension_of_last_chunk", "5\r\nwhole\r\n0;x=", hundred},
    {"trailers", "5\r\nwhole\r\n0\r\n", "X-Line: " + hundred + "\r\n"},
    {"trailer_line", "5\r\nwhole\r\n0\r\nX-Line: ", hundred},
    {"tiny_chunks", "", "1\r\nx\r\n"},
    {"padded_sizes", "", "00000000000000000001\r\nx\r\n"}};

/// Writes `begin`, then `repeated` in pieces of the pace until the other side
/// closes the connection or `done`. Counts the bytes in `sent`.
void send_endless(asio::ip::tcp::socket& socket, const std::string& begin,
                  const std::string& repeated, const pace& at,
                  std::atomic<std::size_t>& sent,
                  const std::atomic<bool>& done) {
  std::string piece;
  while (piece.size() < at.bytes + repeated.size()) piece += repeated;
  error_code ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  asio::write(socket, asio::buffer(begin), ec);
  std::size_t offset = 0;
  while (!ec && !done) {
    sent +=
        asio::write(socket, asio::buffer(piece.data() + offset, at.bytes), ec);
    offset = (offset + at.bytes) % repeated.size();
    if (at.pause.count() > 0) std::this_thread::sleep_for(at.pause);
  }
}

/// Accepts one connection and answers without end.
class endless_server {
 public:
  endless_server(std::string begin, std::string repeated, const pace& at)
      : thread_([this, begin, repeated, at] {
          error_code ec;
          asio::ip::tcp::socket socket = acceptor_.accept(ec);
          send_endless(socket, begin, repeated, at, sent_, done_);
        }) {}
  ~endless_server() {
    done_ = true;
    thread_.join();
  }
  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;

  std::size_t sent() const { return sent_; }

 private:
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_{
      io_, {asio::ip::make_address(loopback_ip()), port}};
  std::atomic<std::size_t> sent_{0};
  std::atomic<bool> done_{false};
  std::thread thread_;
};

struct call_result {
  bool head = false;
  bool whole = false;
  std::string body;
  error cause{error_kind::internal, "", ""};
  milliseconds took{0};
};

/// Reads so many responses of one call, the last with its body.
awaitable<void> read_responses(http_client& client, int responses,
                               call_result& out) {
  const std::shared_ptr<http_call> call = client.call(address());
  http_request request;
  request.method = "GET";
  request.target = "/";
  tl::expected<void, call_failure> head =
      co_await call->send(std::move(request), boot_clock::now() + deadline);
  for (int n = 1; n < responses && head; ++n)
    head = co_await call->read_next_response();
  out.head = head.has_value();
  if (!head) {
    out.cause = head.error().cause;
    co_return;
  }
  result<std::string> body = co_await call->read_rest(body_limit);
  out.whole = body.has_value();
  if (body) {
    out.body = std::move(*body);
  } else {
    out.cause = body.error();
  }
}

call_result call_server(int responses) {
  asio::io_context io;
  http_client client(io, {});
  call_result out;
  const monotonic_time start = boot_clock::now();
  asio::co_spawn(io, read_responses(client, responses, out), asio::detached);
  io.run();
  out.took =
      std::chrono::duration_cast<milliseconds>(boot_clock::now() - start);
  return out;
}

struct endless_case {
  framing what;
  pace at;
};

void PrintTo(const endless_case& it, std::ostream* out) {
  *out << it.what.name << " " << it.at.name;
}

std::vector<endless_case> all_cases() {
  std::vector<endless_case> out;
  for (const framing& what : framings) {
    for (const pace& at : paces) out.push_back({what, at});
  }
  return out;
}

std::vector<endless_case> fast_cases() {
  std::vector<endless_case> out;
  for (const framing& what : framings) out.push_back({what, paces[2]});
  return out;
}

std::string name_of(const testing::TestParamInfo<endless_case>& it) {
  return std::string(it.param.what.name) + "_" + it.param.at.name;
}

constexpr char chunked_answer[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

class endless_framing_test : public testing::TestWithParam<endless_case> {};

void expect_given_up(const endless_server& server, const call_result& got) {
  std::cout << got.took.count() << " ms, " << server.sent() / 1024
            << " KB sent: " << got.cause.message << "\n";
  EXPECT_FALSE(got.whole);
  EXPECT_EQ(got.cause.kind, error_kind::endpoint_failed) << got.cause.message;
  EXPECT_FALSE(got.cause.remedy.empty());
  EXPECT_LT(got.took, max_time);
  EXPECT_LE(server.sent(), max_bytes);
}

// The client kept the whole line or all trailers and searched them again with
// each read, until its deadline: 1.6 GB at the pace at which it reads.
TEST_P(endless_framing_test, of_an_answer_is_given_up) {
  const endless_server server(chunked_answer + GetParam().what.begin,
                              GetParam().what.repeated, GetParam().at);
  const call_result got = call_server(1);
  EXPECT_TRUE(got.head);
  expect_given_up(server, got);
}

// The same in an answer that the client only discards.
TEST_P(endless_framing_test, of_a_discarded_answer_is_given_up) {
  const endless_server server(chunked_answer + GetParam().what.begin,
                              GetParam().what.repeated, GetParam().at);
  const call_result got = call_server(2);
  EXPECT_FALSE(got.head);
  expect_given_up(server, got);
}

/// Reads the body of a request first, or answers at once, and echoes it.
class echo_handler final : public http_handler {
 public:
  awaitable<void> handle(http_exchange& exchange) override {
    http_response response;
    if (exchange.target() != "/at-once") {
      const result<request_body> body = co_await exchange.read_body();
      if (body) {
        response.body = body->text;
      } else {
        const bool large = body.error().kind == error_kind::too_large;
        response = problem_response(large ? 413 : 400, body.error(), "no",
                                    std::chrono::seconds(0));
      }
    }
    co_await exchange.respond(response);
  }
};

/// A server that runs in a thread.
class running_server {
 public:
  running_server() : server_(io_, handler_, make_options()) {
    EXPECT_TRUE(server_.listen(address()));
    thread_ = std::thread([this] { io_.run(); });
  }
  ~running_server() {
    asio::post(io_, [this] { server_.drain(); });
    io_.stop();
    thread_.join();
  }
  running_server(const running_server&) = delete;
  running_server& operator=(const running_server&) = delete;

 private:
  http_server_options make_options() {
    http_server_options out;
    out.body_limit = body_limit;
    out.body_timeout = deadline;
    out.memory = memory_;
    return out;
  }

  std::shared_ptr<memory_budget> memory_ =
      std::make_shared<memory_budget>(64UL * 1024 * 1024);
  asio::io_context io_;
  echo_handler handler_;
  http_server server_;
  std::thread thread_;
};

std::string request_head(const std::string& target) {
  return "POST " + target +
         " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
}

struct endless_request_result {
  std::string answer;
  std::size_t sent = 0;
  milliseconds took{0};
};

/// Sends a request without end and reads what is answered until the server
/// closes the connection.
endless_request_result send_request(const std::string& target,
                                    const endless_case& it) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address(loopback_ip()), port});
  std::atomic<std::size_t> sent{0};
  std::atomic<bool> done{false};
  const monotonic_time start = boot_clock::now();
  endless_request_result out;
  std::thread reader([&] {
    error_code ec;
    asio::read(socket, asio::dynamic_buffer(out.answer), ec);
  });
  std::thread writer([&] {
    send_endless(socket, request_head(target) + it.what.begin, it.what.repeated,
                 it.at, sent, done);
  });
  writer.join();
  reader.join();
  out.sent = sent;
  out.took =
      std::chrono::duration_cast<milliseconds>(boot_clock::now() - start);
  std::cout << out.took.count() << " ms, " << out.sent / 1024
            << " KB sent: " << out.answer.substr(0, 32) << "\n";
  return out;
}

// The server kept the whole line or all trailers, beside the limit of bodies
// and the memory budget, until the body's timeout: callers without a key could
// make a gateway use gigabytes.
TEST_P(endless_framing_test, of_a_request_is_refused) {
  const running_server server;
  const endless_request_result got = send_request("/", GetParam());
  EXPECT_LT(got.took, max_time);
  EXPECT_LE(got.sent, max_bytes);
  EXPECT_TRUE(got.answer.starts_with("HTTP/1.1 413")) << got.answer;
  EXPECT_NE(got.answer.find("\"remedy\""), std::string::npos);
}

/// What may be discarded after an answer, and buffers of the system on the way.
constexpr std::size_t max_discarded = 96UL * 1024 * 1024;

class endless_input_test : public testing::TestWithParam<endless_case> {};

// What follows a request that has been answered was discarded until a time was
// over, however much it was. Slow input is still bounded by that time.
TEST_P(endless_input_test, after_an_answer_is_discarded_in_bounds) {
  const running_server server;
  const endless_request_result got = send_request("/at-once", GetParam());
  EXPECT_LT(got.took, max_time);
  EXPECT_LE(got.sent, max_discarded);
  EXPECT_TRUE(got.answer.starts_with("HTTP/1.1 200")) << got.answer;
}

INSTANTIATE_TEST_SUITE_P(framings, endless_framing_test,
                         testing::ValuesIn(all_cases()), name_of);
INSTANTIATE_TEST_SUITE_P(framings, endless_input_test,
                         testing::ValuesIn(fast_cases()), name_of);

/// A body of one-byte chunks, some with extensions, and trailers at its end.
std::string sound_chunks(const std::string& body) {
  std::string out;
  for (std::size_t n = 0; n < body.size(); ++n) {
    const std::string extension = n % 100 == 0 ? ";name=value" : "";
    out += "1" + extension + "\r\n" + body[n] + "\r\n";
  }
  return out + "0;last=yes\r\nX-Sum: abc\r\nX-Other: " + hundred + "\r\n\r\n";
}

/// Writes `all` in two parts, the first of `cut` bytes.
void write_cut(asio::ip::tcp::socket& socket, const std::string& all,
               std::size_t cut) {
  error_code ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  asio::write(socket, asio::buffer(all.data(), cut), ec);
  std::this_thread::sleep_for(milliseconds(1));
  asio::write(socket, asio::buffer(all.data() + cut, all.size() - cut), ec);
}

std::string text_of_bytes(std::size_t size) {
  std::string out;
  while (out.size() < size) out += static_cast<char>('a' + out.size() % 26);
  return out;
}

/// Sizes of bodies, and the bytes between two places where they are cut.
constexpr std::pair<std::size_t, std::size_t> sound_cases[] = {{3, 1},
                                                               {6000, 997}};

// Guards against bounds that refuse sound bodies.
TEST(sound_framing_test, of_a_request_is_read_in_any_cut) {
  const running_server server;
  for (const auto& [bytes, step] : sound_cases) {
    const std::string body = text_of_bytes(bytes);
    const std::string all = request_head("/") + sound_chunks(body);
    for (std::size_t cut = 0; cut <= all.size(); cut += step) {
      asio::io_context io;
      asio::ip::tcp::socket socket(io);
      socket.connect({asio::ip::make_address(loopback_ip()), port});
      write_cut(socket, all, cut);
      std::string answer;
      error_code ec;
      while (!ec && !answer.ends_with("\r\n\r\n" + body)) {
        char piece[1024];
        const std::size_t n = socket.read_some(asio::buffer(piece), ec);
        answer.append(piece, n);
      }
      EXPECT_FALSE(ec) << "cut at " << cut << ": " << answer.substr(0, 300);
    }
  }
}

TEST(sound_framing_test, of_an_answer_is_read_in_any_cut) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor{
      io, {asio::ip::make_address(loopback_ip()), port}};
  for (const auto& [bytes, step] : sound_cases) {
    const std::string body = text_of_bytes(bytes);
    const std::string all = chunked_answer + sound_chunks(body);
    for (std::size_t cut = 0; cut <= all.size(); cut += step) {
      std::thread server([&] {
        error_code ec;
        asio::ip::tcp::socket socket = acceptor.accept(ec);
        write_cut(socket, all, cut);
        char byte = 0;
        socket.read_some(asio::buffer(&byte, 1), ec);
      });
      const call_result got = call_server(1);
      server.join();
      EXPECT_TRUE(got.whole) << "cut at " << cut << ": " << got.cause.message;
      EXPECT_EQ(got.body, body) << "cut at " << cut;
    }
  }
}

// A request head that is as long as it may be, before a body of chunks and with
// another request behind it, must fit the buffer.
TEST(sound_framing_test, long_heads_and_pipelined_requests_are_read) {
  const running_server server;
  const std::string filler(http_server_options().header_limit - 200, 'x');
  const std::string body = text_of_bytes(2000);
  const std::string one = "POST / HTTP/1.1\r\nX-Filler: " + filler +
                          "\r\nTransfer-Encoding: chunked\r\n\r\n" +
                          sound_chunks(body);
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address(loopback_ip()), port});
  constexpr std::size_t requests = 5;
  std::string all;
  for (std::size_t n = 0; n < requests; ++n) all += one;
  asio::write(socket, asio::buffer(all));
  std::string answers;
  std::size_t found = 0;
  error_code ec;
  while (!ec && found < requests) {
    char piece[4096];
    const std::size_t n = socket.read_some(asio::buffer(piece), ec);
    answers.append(piece, n);
    found = 0;
    for (std::size_t at = answers.find(body); at != std::string::npos;
         at = answers.find(body, at + body.size()))
      ++found;
  }
  EXPECT_EQ(found, requests) << answers.substr(0, 300);
}

}  // namespace
}  // namespace trestlepost::transport
