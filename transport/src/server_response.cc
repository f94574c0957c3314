// Responses of the connection of a caller.
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>

#include "server_connection.h"
#include "trestlepost/base/json.h"

namespace trestlepost::transport {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using error_code = boost::system::error_code;
using asio::redirect_error;
using asio::use_awaitable;

using string_response = http::response<http::string_body>;

constexpr char server_header[] = "trestlepost";
constexpr unsigned http_1_1 = 11;

http::status status_of(unsigned n) {
  return http::int_to_status(n);
}

string_response make_head(const http_response& response, unsigned version) {
  string_response out(status_of(response.status), version);
  out.result(response.status);
  out.set(http::field::server, server_header);
  if (!response.content_type.empty()) {
    out.set(http::field::content_type, response.content_type);
  }
  for (const auto& [name, value] : response.headers) out.set(name, value);
  return out;
}

}  // namespace

http_response problem_response(unsigned status, const error& cause,
                               std::string_view ran,
                               std::chrono::seconds retry_after) {
  json body;
  body["type"] = "about:blank";
  body["title"] = std::string(http::obsolete_reason(status_of(status)));
  body["status"] = status;
  body["kind"] = std::string(to_string(cause.kind));
  body["ran"] = std::string(ran);
  body["detail"] = cause.message;
  body["remedy"] = cause.remedy;
  http_response out;
  out.status = status;
  out.content_type = "application/problem+json";
  out.headers.emplace_back("Trestlepost-Ran", std::string(ran));
  if (retry_after.count() > 0) {
    out.headers.emplace_back("Retry-After",
                             std::to_string(retry_after.count()));
  }
  out.body = to_text(body);
  return out;
}

awaitable<bool> server_connection::respond(http_response response) {
  if (disconnected_ || response_started_) co_return false;
  if (response.close_delimited && method() != "HEAD") {
    co_return co_await respond_until_close(std::move(response));
  }
  response_started_ = true;
  string_response out = make_head(response, http_1_1);
  const bool keeps_open = parser_->is_done() && parser_->get().keep_alive() &&
                          !draining_ && !unusable_;
  out.keep_alive(keeps_open);
  if (method() == "HEAD") {
    out.content_length(response.body.size());
  } else {
    out.body() = std::move(response.body);
    out.prepare_payload();
  }
  error_code ec;
  stream_.expires_after(options_.write_timeout);
  co_await http::async_write(stream_, out, redirect_error(use_awaitable, ec));
  stream_.expires_never();
  if (ec) {
    unusable_ = true;
    co_return false;
  }
  response_complete_ = keeps_open;
  co_return true;
}

awaitable<bool> server_connection::respond_until_close(http_response response) {
  std::string body = std::move(response.body);
  bool open = co_await start_stream(std::move(response));
  if (open) open = co_await write_piece(std::move(body));
  if (open) open = co_await finish_stream();
  co_return open;
}

http::response<http::empty_body> make_stream_head(const http_response& head) {
  http::response<http::empty_body> out;
  static_cast<http::response_header<>&>(out) = make_head(head, http_1_1).base();
  return out;
}

awaitable<bool> server_connection::start_stream(http_response head) {
  http::response<http::empty_body> out = make_stream_head(head);
  const bool until_close =
      head.close_delimited || parser_->get().version() < http_1_1;
  framing_ = until_close ? body_framing::close : body_framing::chunked;
  if (until_close) {
    set_reset_on_close(true);
  } else {
    out.chunked(true);
  }
  co_return co_await write_stream_head(std::move(out));
}

awaitable<bool> server_connection::start_sized_stream(http_response head,
                                                      std::size_t length) {
  http::response<http::empty_body> out = make_stream_head(head);
  out.content_length(length);
  framing_ = body_framing::sized;
  co_return co_await write_stream_head(std::move(out));
}

awaitable<bool> server_connection::write_stream_head(
    http::response<http::empty_body> out) {
  if (disconnected_ || response_started_) co_return false;
  response_started_ = true;
  announces_keep_alive_ = parser_->get().keep_alive() && !draining_ &&
                          framing_ != body_framing::close;
  out.keep_alive(announces_keep_alive_);
  http::response_serializer<http::empty_body> serializer(out);
  error_code ec;
  stream_.expires_after(options_.write_timeout);
  co_await http::async_write_header(stream_, serializer,
                                    redirect_error(use_awaitable, ec));
  stream_.expires_never();
  if (ec) handle_disconnect();
  co_return !ec;
}

awaitable<bool> server_connection::write(const piece_buffers& data) {
  if (disconnected_ || unusable_) co_return false;
  error_code ec;
  stream_.expires_after(options_.write_timeout);
  co_await asio::async_write(stream_, data, redirect_error(use_awaitable, ec));
  stream_.expires_never();
  if (ec) handle_disconnect();
  co_return !ec;
}

awaitable<bool> server_connection::write_piece(std::string piece) {
  if (piece.empty()) co_return !disconnected_;
  const bool chunked = framing_ == body_framing::chunked;
  char size[32];
  const int n = std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
  static constexpr std::string_view end = "\r\n";
  const piece_buffers data{
      asio::buffer(size, chunked ? static_cast<std::size_t>(n) : 0),
      asio::buffer(piece), asio::buffer(end.data(), chunked ? end.size() : 0)};
  co_return co_await write(data);
}

awaitable<bool> server_connection::finish_stream() {
  static constexpr std::string_view final_chunk = "0\r\n\r\n";
  const piece_buffers data{asio::buffer(final_chunk)};
  const bool sent = framing_ == body_framing::chunked
                        ? co_await write(data)
                        : !disconnected_ && !unusable_;
  const bool closes = framing_ == body_framing::close;
  if (sent && closes) set_reset_on_close(false);
  response_complete_ = sent && announces_keep_alive_;
  co_return sent;
}

}  // namespace trestlepost::transport
