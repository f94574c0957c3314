#include "client.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <thread>

#include "trestlepost/transport/asio.h"
#include "trestlepost/transport/rpc.h"

namespace trestlepost::ctl {
namespace {

namespace http = boost::beast::http;
using transport::tcp;

// Poll interval for the result of a ticket; doubles up to the maximum.
constexpr std::chrono::milliseconds first_ticket_interval{4};
constexpr std::chrono::milliseconds max_ticket_interval{100};
constexpr std::uint64_t max_answer_bytes = 256ULL * 1024 * 1024;
// Room for a head or what frames a chunk, and one read behind it.
constexpr std::size_t max_buffer_bytes = 128UL * 1024;

error unreachable(const std::string& address, const std::string& why) {
  return {error_kind::unavailable, "node " + address + ": " + why,
          "use --node IP:PORT with the operators' address of a running node"};
}

/// Connects to `node`, writes the request and reads the answer. Fails if the
/// node makes no progress for `timeout`.
transport::awaitable<boost::system::error_code> exchange(
    boost::beast::tcp_stream& stream, tcp::endpoint node,
    http::request<http::string_body>& request,
    http::response_parser<http::string_body>& answer,
    std::chrono::milliseconds timeout) {
  boost::system::error_code ec;
  stream.expires_after(timeout);
  co_await stream.async_connect(
      node, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  if (ec) co_return ec;
  co_await http::async_write(
      stream, request,
      boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  boost::beast::flat_buffer buffer(max_buffer_bytes);
  while (!ec && !answer.is_done()) {
    stream.expires_after(timeout);
    co_await http::async_read_some(
        stream, buffer, answer,
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }
  co_return ec;
}

result<std::string> post(const std::string& address, const std::string& token,
                         const std::string& body,
                         std::chrono::milliseconds timeout) {
  const result<tcp::endpoint> at = transport::parse_address(address);
  if (!at) return tl::make_unexpected(at.error());
  boost::asio::io_context io;
  boost::beast::tcp_stream stream(io);
  boost::system::error_code ec;
  http::request<http::string_body> request(http::verb::post, "/rpc", 11);
  request.set(http::field::host, address);
  request.set(http::field::content_type, "application/json");
  request.set(http::field::authorization, "Bearer " + token);
  request.body() = body;
  request.prepare_payload();
  http::response_parser<http::string_body> parser;
  parser.body_limit(max_answer_bytes);
  transport::awaitable<boost::system::error_code> task =
      exchange(stream, *at, request, parser, timeout);
  boost::asio::co_spawn(io, std::move(task),
                        [&ec](const std::exception_ptr&,
                              boost::system::error_code done) { ec = done; });
  io.run();
  if (ec) return tl::make_unexpected(unreachable(address, ec.message()));
  const http::response<http::string_body>& answer = parser.get();
  if (answer.result() == http::status::ok) return answer.body();
  const result<json> problem = parse_json(answer.body());
  if (!problem) {
    return tl::make_unexpected(
        unreachable(address, "the answer is not from an operators' interface"));
  }
  return fail(error_kind_from(text_of(*problem, "kind")),
              text_of(*problem, "detail"), text_of(*problem, "remedy"));
}

}  // namespace

result<json> client::call_at(const std::string& address,
                             const std::string& method, const json& params) {
  const result<std::string> text =
      post(address, options_.token,
           transport::make_rpc_request(method, params, next_id_++),
           options_.node_timeout);
  if (!text) return tl::make_unexpected(text.error());
  return transport::parse_rpc_response(*text);
}

result<json> client::call(const std::string& method, const json& params) {
  result<json> answer = fail(error_kind::unavailable, "no node is given",
                             "use --node IP:PORT or TRESTLEPOST_NODE");
  std::string address;
  for (const std::string& it : options_.nodes) {
    address = it;
    answer = call_at(it, method, params);
    if (answer || answer.error().kind != error_kind::unavailable) break;
  }
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + options_.timeout;
  std::chrono::milliseconds interval = first_ticket_interval;
  while (answer && answer->isObject() && answer->isMember("ticket")) {
    if (std::chrono::steady_clock::now() >= end) {
      return fail(error_kind::unavailable, "the call did not complete in time",
                  "run it again with the same --change-id");
    }
    std::this_thread::sleep_for(interval);
    interval = std::min(2 * interval, max_ticket_interval);
    const json ticket = *answer;
    answer = call_at(address, "ticket", ticket);
  }
  return answer;
}

}  // namespace trestlepost::ctl
