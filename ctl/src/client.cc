#include "client.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
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

error unreachable(const std::string& address, const std::string& why) {
  return {error_kind::unavailable, "node " + address + ": " + why,
          "use --node IP:PORT with the operators' address of a running node"};
}

result<std::string> post(const std::string& address, const std::string& token,
                         const std::string& body) {
  const result<tcp::endpoint> at = transport::parse_address(address);
  if (!at) return tl::make_unexpected(at.error());
  boost::asio::io_context io;
  boost::beast::tcp_stream stream(io);
  boost::system::error_code ec;
  stream.connect(*at, ec);
  http::request<http::string_body> request(http::verb::post, "/rpc", 11);
  request.set(http::field::host, address);
  request.set(http::field::content_type, "application/json");
  request.set(http::field::authorization, "Bearer " + token);
  request.body() = body;
  request.prepare_payload();
  if (!ec) http::write(stream, request, ec);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(max_answer_bytes);
  if (!ec) http::read(stream, buffer, parser, ec);
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
           transport::make_rpc_request(method, params, next_id_++));
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
