#include "stop_load.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace trestlepost::soak {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using transport::awaitable;

constexpr std::size_t kept_connections = 24;
constexpr milliseconds longer_interval{100};  // of all entries together
constexpr milliseconds rare_interval{500};
constexpr milliseconds max_pause{300};
constexpr milliseconds retry_pause{20};
// Callers wait for an answer so much longer than the timeout.
constexpr milliseconds extra_patience{2000};
// A request within it after an answer does not meet an idle connection.
constexpr milliseconds idle_time{20};
constexpr std::size_t body_bytes = 4000;  // of each of two parts

std::string write_head(const bench::caller_request& request,
                       std::size_t all_body_bytes) {
  std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers)
    out += name + ": " + value + "\r\n";
  if (request.method == "POST")
    out += "Content-Length: " + std::to_string(all_body_bytes) + "\r\n";
  return out + "\r\n";
}

}  // namespace

struct stop_load::connection {
  std::optional<boost::beast::tcp_stream> stream{};
  boost::beast::flat_buffer buffer{};
  steady_time answered_at{};
};

stop_load::stop_load(platform::test::deployment& target, std::uint64_t seed)
    : target_(target), engine_(seed) {
  const std::vector<std::string> entries = target.gateways();
  const std::size_t kept =
      std::max<std::size_t>(1, kept_connections / entries.size());
  // In half of the seeds, longer requests leave more slots to others.
  const milliseconds interval =
      (seed % 2 == 0 ? longer_interval : rare_interval) * entries.size();
  const auto spawn = [this](awaitable<void> task) {
    asio::co_spawn(io_, std::move(task), asio::detached);
  };
  for (const std::string& entry : entries) {
    for (std::size_t n = 0; n < kept; ++n)
      spawn(run_kept(entry, n % 3 == 2 ? max_pause : milliseconds(0)));
    spawn(run_longer(entry, interval));
  }
  thread_ = std::thread([this] { io_.run(); });
}

void stop_load::stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

milliseconds stop_load::random_time(int min_ms, int max_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(min_ms, max_ms)(engine_));
}

awaitable<void> stop_load::run_kept(std::string entry, milliseconds pause) {
  connection kept;
  while (!stopping_) {
    co_await send(kept, entry, random_time(0, 40));
    if (!kept.stream) {
      co_await transport::sleep_for(io_, retry_pause);
    } else if (pause.count() > 0) {
      co_await transport::sleep_for(
          io_, random_time(0, static_cast<int>(pause.count())));
    }
  }
}

awaitable<void> stop_load::run_longer(std::string entry,
                                      milliseconds interval) {
  while (!stopping_) {
    asio::co_spawn(io_, send_longer(entry), asio::detached);
    co_await transport::sleep_for(io_, interval);
  }
}

awaitable<void> stop_load::send_longer(std::string entry) {
  connection own;
  co_await send(own, entry, random_time(100, 6000));
}

awaitable<void> stop_load::send(connection& on, std::string entry,
                                milliseconds work) {
  const bool fresh = !on.stream;
  error_code ec;
  if (fresh) {
    on.buffer.clear();
    on.stream.emplace(io_);
    on.stream->expires_after(extra_patience);
    co_await on.stream->async_connect(
        *transport::parse_address(target_.callers_address(entry)),
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      on.stream.reset();
      co_return;
    }
  }
  constexpr const char* routes[] = {"get", "book", "live", "once"};
  planned_request it{entry, routes[engine_() % std::size(routes)], {}};
  it.outcome.id = "soak-" + std::to_string(next_id_++);
  const bool once = it.route == "book" || it.route == "once";
  if (once) it.outcome.kind = request_kind::run_once;
  const bool in_parts = engine_() % 4 == 0;
  const std::string path =
      "/" + it.route + "/for-" + std::to_string(work.count());
  const bench::caller_request request = target_.caller_request(
      entry, it.route == "book" || in_parts ? "POST" : "GET", path,
      it.outcome.id, request_timeout);
  std::string head = write_head(request, in_parts ? 2 * body_bytes : 0);
  std::string rest(in_parts ? body_bytes : 0, 'x');
  head += rest;
  target_.record_request(path);
  it.follows_answer =
      !fresh && steady_clock::now() - on.answered_at < idle_time;
  on.stream->expires_after(request_timeout + extra_patience);
  if (in_parts) {
    co_await asio::async_write(*on.stream, asio::buffer(head),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_await transport::sleep_for(io_, random_time(0, 400));
  } else {
    rest = head;
  }
  if (!ec) {
    co_await asio::async_write(*on.stream, asio::buffer(rest),
                               asio::redirect_error(asio::use_awaitable, ec));
  }
  it.written = !ec;
  it.written_at = steady_clock::now();
  // A refusal may come before the request has been written: its answer counts.
  http::response_parser<http::string_body> answer;
  answer.body_limit(boost::none);
  co_await http::async_read(*on.stream, on.buffer, answer,
                            asio::redirect_error(asio::use_awaitable, ec));
  it.ended_at = on.answered_at = steady_clock::now();
  it.complete = answer.is_done();
  it.closed = ec != boost::beast::error::timeout;
  if (it.complete) {
    it.outcome.status = answer.get().result_int();
    it.outcome.delimited = !answer.need_eof();
    const bool streamed = it.route == "live" || it.route == "once";
    if (streamed && it.outcome.status == 200)
      it.outcome.stream = answer.get().body();
  }
  if (!it.complete || !it.written || !answer.keep_alive()) on.stream.reset();
  requests_.push_back(std::move(it));
}

}  // namespace trestlepost::soak
