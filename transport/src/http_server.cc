#include "trestlepost/transport/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <set>

#include "header_lists.h"
#include "trestlepost/base/json.h"

namespace trestlepost::transport {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using error_code = boost::system::error_code;
using asio::redirect_error;
using asio::use_awaitable;

using request_parser = http::request_parser<http::string_body>;
using string_response = http::response<http::string_body>;

constexpr char server_header[] = "trestlepost";

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

struct http_server::state {
  state(asio::io_context& c, http_handler& h, http_server_options o)
      : context(c), handler(h), options(o) {}

  asio::io_context& context;
  http_handler& handler;
  http_server_options options;
  std::optional<tcp::acceptor> acceptor;
  std::set<beast::tcp_stream*> idle;
  std::size_t connections = 0;
  std::size_t in_progress = 0;
  bool draining = false;
};

namespace {

/// Connection of a caller. It is owned by its coroutines.
class connection final : public http_exchange,
                         public std::enable_shared_from_this<connection> {
 public:
  connection(tcp::socket socket, const http_server_options& options)
      : stream_(std::move(socket)), options_(options) {}

  beast::tcp_stream& stream() { return stream_; }

  /// Reads the head of the next request. Returns false at the end of the
  /// connection.
  awaitable<bool> read_head();
  bool keeps_alive(bool draining) const {
    return !unusable_ && response_complete_ && parser_->is_done() &&
           parser_->get().keep_alive() && !draining;
  }
  void set_draining(bool draining) { draining_ = draining; }
  void end_exchange();

  std::string_view method() const override {
    return {parser_->get().method_string().data(),
            parser_->get().method_string().size()};
  }
  std::string_view target() const override {
    return {parser_->get().target().data(), parser_->get().target().size()};
  }
  std::string_view header(std::string_view name) const override {
    const auto it = parser_->get().find({name.data(), name.size()});
    if (it == parser_->get().end()) return {};
    return {it->value().data(), it->value().size()};
  }
  header_list headers() const override { return list_headers(parser_->get()); }
  awaitable<result<std::string>> read_body() override;
  awaitable<bool> respond(http_response response) override;
  awaitable<bool> start_stream(http_response head) override;
  awaitable<bool> start_sized_stream(http_response head,
                                     std::size_t length) override;
  awaitable<bool> write_piece(std::string piece) override;
  awaitable<bool> finish_stream() override;
  void abort() override { reset_connection(); }
  bool has_response_started() const override { return response_started_; }
  bool is_disconnected() const override { return disconnected_; }
  void on_disconnect(std::function<void()> action) override;

 private:
  /// Responds to a request whose head cannot be read. Always returns false.
  awaitable<bool> reject_head(error_code ec);
  awaitable<bool> write_stream_head(http::response<http::empty_body> out);
  awaitable<bool> write(asio::const_buffer data);
  /// Checks without waiting whether the caller has disconnected.
  void check_for_disconnect();
  /// Waits until the caller disconnects while the request is in progress.
  awaitable<void> watch_for_disconnect(std::uint64_t number);
  void reset_connection();
  void handle_disconnect();

  beast::tcp_stream stream_;
  const http_server_options& options_;
  beast::flat_buffer buffer_;
  std::optional<request_parser> parser_;
  std::function<void()> on_disconnect_;
  std::uint64_t request_number_ = 0;  // counts requests on this connection
  bool watching_for_disconnect_ = false;
  bool response_started_ = false;
  bool response_complete_ = false;  // sent, and the connection may stay open
  bool chunked_response_ = false;
  bool unusable_ = false;  // no further request is read
  bool disconnected_ = false;
  bool draining_ = false;
  bool first_request_ = true;  // no request has been read yet
};

void connection::reset_connection() {
  unusable_ = true;
  error_code ec;
  // Sends a TCP reset, so that a partial response cannot be mistaken for a
  // complete one.
  stream_.socket().set_option(asio::socket_base::linger(true, 0), ec);
  stream_.socket().close(ec);
}

void connection::handle_disconnect() {
  if (disconnected_) return;
  disconnected_ = true;
  unusable_ = true;
  const std::function<void()> action = std::exchange(on_disconnect_, nullptr);
  if (action) action();
}

void connection::on_disconnect(std::function<void()> action) {
  if (disconnected_) {
    if (action) action();
    return;
  }
  on_disconnect_ = std::move(action);
  if (watching_for_disconnect_ || !on_disconnect_) return;
  watching_for_disconnect_ = true;
  asio::co_spawn(
      stream_.get_executor(),
      [self = shared_from_this(), n = request_number_]() -> awaitable<void> {
        co_await self->watch_for_disconnect(n);
      },
      asio::detached);
}

awaitable<void> connection::watch_for_disconnect(std::uint64_t number) {
  error_code ec;
  co_await stream_.socket().async_wait(tcp::socket::wait_read,
                                       redirect_error(use_awaitable, ec));
  if (ec || number != request_number_ || !stream_.socket().is_open()) co_return;
  check_for_disconnect();
}

void connection::check_for_disconnect() {
  char byte = 0;
  const ssize_t n = ::recv(stream_.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  // Data is the next request, which is read after the current one.
  const bool is_open = n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
  if (!is_open) handle_disconnect();
}

void connection::end_exchange() {
  ++request_number_;
  on_disconnect_ = nullptr;
  if (watching_for_disconnect_ && stream_.socket().is_open()) {
    error_code ec;
    stream_.socket().cancel(ec);
  }
  watching_for_disconnect_ = false;
}

awaitable<bool> connection::read_head() {
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(options_.header_limit));
  parser_->body_limit(options_.body_limit);
  response_started_ = false;
  response_complete_ = false;
  error_code ec;
  if (buffer_.size() == 0 && !first_request_) {
    stream_.expires_after(options_.idle_timeout);
    co_await stream_.socket().async_wait(tcp::socket::wait_read,
                                         redirect_error(use_awaitable, ec));
    if (ec) co_return false;
  }
  first_request_ = false;
  stream_.expires_after(options_.header_timeout);
  co_await http::async_read_header(stream_, buffer_, *parser_,
                                   redirect_error(use_awaitable, ec));
  if (ec) co_return co_await reject_head(ec);
  const bool both_lengths =
      parser_->get().count(http::field::content_length) > 0 &&
      parser_->get().count(http::field::transfer_encoding) > 0;
  if (both_lengths) {
    ec = http::error::bad_transfer_encoding;
    co_return co_await reject_head(ec);
  }
  stream_.expires_never();
  co_return true;
}

awaitable<bool> connection::reject_head(error_code ec) {
  unusable_ = true;
  const bool no_response =
      ec == http::error::end_of_stream || ec == asio::error::connection_reset ||
      ec == asio::error::eof || ec == asio::error::bad_descriptor ||
      // After a timeout the stream has already closed its socket.
      ec == beast::error::timeout;
  if (no_response) co_return false;
  unsigned status = 400;
  error cause{error_kind::bad_input,
              "cannot read the request's head: " + ec.message(),
              "send a well-formed HTTP/1.1 request"};
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    status = 431;
    cause = {error_kind::too_large, "the request's head is too large",
             "send fewer or shorter headers"};
  } else if (ec == http::error::body_limit) {
    status = 413;
    cause = {error_kind::too_large, "the body is too large",
             "send a smaller request"};
  }
  parser_.emplace();
  response_complete_ = false;
  const http_response response =
      problem_response(status, cause, "no", std::chrono::seconds(0));
  co_await respond(response);
  co_return false;
}

awaitable<result<std::string>> connection::read_body() {
  error_code ec;
  if (beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> interim(http::status::continue_, 11);
    co_await http::async_write(stream_, interim,
                               redirect_error(use_awaitable, ec));
  }
  if (!parser_->is_done()) {
    stream_.expires_after(options_.body_timeout);
    co_await http::async_read(stream_, buffer_, *parser_,
                              redirect_error(use_awaitable, ec));
    stream_.expires_never();
  }
  if (!ec) {
    check_for_disconnect();
    co_return std::move(parser_->get().body());
  }
  if (ec == http::error::body_limit) {
    co_return fail(error_kind::too_large,
                   "the body is larger than " +
                       std::to_string(options_.body_limit) + " bytes",
                   "send a smaller request");
  }
  if (ec == beast::error::timeout) {
    // On a timeout the stream closes its socket, so no response can be sent.
    unusable_ = true;
    co_return fail(error_kind::deadline, "the body was not received in time",
                   "send the body faster, without pauses");
  }
  co_return fail(error_kind::bad_input, "cannot read the body: " + ec.message(),
                 "send as many bytes as Content-Length states, or well-formed "
                 "chunks");
}

awaitable<bool> connection::respond(http_response response) {
  if (disconnected_ || response_started_) co_return false;
  response_started_ = true;
  string_response out = make_head(response, 11);
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

http::response<http::empty_body> make_stream_head(const http_response& head) {
  http::response<http::empty_body> out;
  static_cast<http::response_header<>&>(out) = make_head(head, 11).base();
  return out;
}

awaitable<bool> connection::start_stream(http_response head) {
  http::response<http::empty_body> out = make_stream_head(head);
  out.chunked(true);
  chunked_response_ = true;
  co_return co_await write_stream_head(std::move(out));
}

awaitable<bool> connection::start_sized_stream(http_response head,
                                               std::size_t length) {
  http::response<http::empty_body> out = make_stream_head(head);
  out.content_length(length);
  chunked_response_ = false;
  co_return co_await write_stream_head(std::move(out));
}

awaitable<bool> connection::write_stream_head(
    http::response<http::empty_body> out) {
  if (disconnected_ || response_started_) co_return false;
  response_started_ = true;
  out.keep_alive(parser_->get().keep_alive() && !draining_);
  http::response_serializer<http::empty_body> serializer(out);
  error_code ec;
  stream_.expires_after(options_.write_timeout);
  co_await http::async_write_header(stream_, serializer,
                                    redirect_error(use_awaitable, ec));
  stream_.expires_never();
  if (ec) handle_disconnect();
  co_return !ec;
}

awaitable<bool> connection::write(asio::const_buffer data) {
  if (disconnected_ || unusable_) co_return false;
  error_code ec;
  stream_.expires_after(options_.write_timeout);
  co_await asio::async_write(stream_, data, redirect_error(use_awaitable, ec));
  stream_.expires_never();
  if (ec) handle_disconnect();
  co_return !ec;
}

awaitable<bool> connection::write_piece(std::string piece) {
  if (piece.empty()) co_return !disconnected_;
  if (!chunked_response_) co_return co_await write(asio::buffer(piece));
  char size[32];
  const int n = std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
  std::string framed(size, static_cast<std::size_t>(n));
  framed += piece;
  framed += "\r\n";
  co_return co_await write(asio::buffer(framed));
}

awaitable<bool> connection::finish_stream() {
  static constexpr std::string_view final_chunk = "0\r\n\r\n";
  const bool sent = chunked_response_
                        ? co_await write(asio::buffer(final_chunk))
                        : !disconnected_ && !unusable_;
  response_complete_ = sent && !draining_;
  co_return sent;
}

awaitable<void> serve(std::shared_ptr<http_server::state> server,
                      std::shared_ptr<connection> self) {
  while (true) {
    server->idle.insert(&self->stream());
    const bool has_request = co_await self->read_head();
    server->idle.erase(&self->stream());
    if (!has_request) break;
    ++server->in_progress;
    self->set_draining(server->draining);
    co_await server->handler.handle(*self);
    --server->in_progress;
    self->end_exchange();
    if (!self->keeps_alive(server->draining)) break;
  }
  --server->connections;
  error_code ec;
  self->stream().socket().shutdown(tcp::socket::shutdown_send, ec);
}

awaitable<void> accept_loop(std::shared_ptr<http_server::state> server) {
  while (server->acceptor && server->acceptor->is_open()) {
    error_code ec;
    tcp::socket socket(server->context);
    co_await server->acceptor->async_accept(socket,
                                            redirect_error(use_awaitable, ec));
    if (ec == asio::error::operation_aborted) co_return;
    if (ec || server->connections >= server->options.max_connections) {
      continue;
    }
    set_accepted_options(socket);
    ++server->connections;
    std::shared_ptr<connection> accepted =
        std::make_shared<connection>(std::move(socket), server->options);
    asio::co_spawn(server->context, serve(server, accepted), asio::detached);
  }
}

}  // namespace

http_server::http_server(asio::io_context& context, http_handler& handler,
                         http_server_options options)
    : state_(std::make_shared<state>(context, handler, options)) {}

http_server::~http_server() {
  drain();
}

result<void> http_server::listen(const std::string& address) {
  result<tcp::acceptor> opened = listen_on(state_->context, address);
  if (!opened) return tl::make_unexpected(opened.error());
  state_->acceptor.emplace(std::move(*opened));
  asio::co_spawn(state_->context, accept_loop(state_), asio::detached);
  return {};
}

void http_server::set_options(const http_server_options& options) {
  state_->options = options;
}

const http_server_options& http_server::options() const {
  return state_->options;
}

void http_server::disable_keep_alive() {
  state_->draining = true;
}

void http_server::drain() {
  state_->draining = true;
  error_code ec;
  if (state_->acceptor) state_->acceptor->close(ec);
  for (beast::tcp_stream* it : state_->idle) it->socket().cancel(ec);
}

std::size_t http_server::in_progress() const {
  return state_->in_progress;
}

}  // namespace trestlepost::transport
