#include "caller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace trestlepost::bench {

using transport::awaitable;

awaitable<caller_answer> send(transport::http_client& client,
                              caller_request request) {
  caller_answer out;
  const monotonic_time started = boot_clock::now();
  const std::shared_ptr<transport::http_call> call =
      client.call(request.address);
  transport::http_request message;
  message.method = request.method;
  message.target = request.target;
  message.headers = request.headers;
  if (!request.token.empty()) {
    message.headers.emplace_back("Authorization", "Bearer " + request.token);
  }
  if (!request.body.empty()) {
    message.headers.emplace_back("Content-Type", "application/json");
  }
  message.body = request.body;
  const tl::expected<void, transport::call_failure> sent =
      co_await call->send(std::move(message), started + request.timeout);
  if (!sent) {
    out.sent = sent.error().bytes_written;
    out.body = sent.error().cause.message;
    out.total = boot_clock::now() - started;
    co_return out;
  }
  out.sent = true;
  out.status = call->status();
  out.delimited = call->is_delimited();
  out.headers = call->headers();
  out.region = std::string(call->header("Trestlepost-Region"));
  out.ran = std::string(call->header("Trestlepost-Ran"));
  out.retry_after = std::string(call->header("Retry-After"));
  out.replayed = std::string(call->header("Trestlepost-Replayed"));
  while (true) {
    const result<std::string> piece = co_await call->read_piece();
    if (!piece) break;
    if (out.first_piece_time.count() == 0) {
      out.first_piece_time = boot_clock::now() - started;
    }
    if (piece->empty()) {
      out.complete = true;
      break;
    }
    out.body += *piece;
  }
  out.total = boot_clock::now() - started;
  if (out.status >= 400) {
    const result<json> problem = parse_json(out.body);
    if (problem) out.kind = text_of(*problem, "kind");
  }
  co_return out;
}

caller_answer send_and_wait(const caller_request& request) {
  transport::asio::io_context io(1);
  transport::http_client_options options;
  options.accept_close_delimited = true;
  transport::http_client client(io, options);
  caller_answer out;
  const auto task = [&]() -> awaitable<void> {
    out = co_await send(client, request);
  };
  boost::asio::co_spawn(io, task(), boost::asio::detached);
  io.run();
  return out;
}

std::string query_directory(const std::string& address,
                            const std::string& query) {
  caller_request request;
  request.address = address;
  request.method = "GET";
  request.target = "/v1/entries" + query;
  const caller_answer answer = send_and_wait(request);
  const result<json> parsed = parse_json(answer.body);
  if (!parsed || answer.status != 200) return {};
  const json& entries = member_of(*parsed, "entries");
  if (!entries.isArray() || entries.empty()) return {};
  return text_of(entries[0], "address");
}

}  // namespace trestlepost::bench
