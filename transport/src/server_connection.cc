#include "server_connection.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <vector>

#include "body_reading.h"
#include "framing_bound.h"
#include "message_head.h"
#include "trestlepost/base/json.h"
#include "trestlepost/base/log.h"

namespace trestlepost::transport {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using error_code = boost::system::error_code;
using asio::redirect_error;
using asio::use_awaitable;

// Input that is discarded after a response ends after a pause of this length.
constexpr std::chrono::milliseconds max_discard_pause{2000};
constexpr std::chrono::milliseconds max_discard_pause_of_draining{200};
// Input that is discarded after a response: of any request, and of one that was
// refused for what frames its body.
constexpr std::size_t max_discarded_bytes = 64UL * 1024 * 1024;
constexpr std::size_t max_discarded_framing_bytes = 256UL * 1024;
constexpr unsigned http_1_1 = 11;

/// Why a request that has not arrived completely is refused.
error stopping_error() {
  return {error_kind::draining, "this node is stopping", "use another node"};
}

}  // namespace

void server_connection::set_reset_on_close(bool reset) {
  error_code ec;
  stream_.socket().set_option(asio::socket_base::linger(reset, 0), ec);
}

void server_connection::reset_connection() {
  unusable_ = true;
  // A partial response must not be mistaken for a complete one.
  set_reset_on_close(true);
  error_code ec;
  stream_.socket().close(ec);
}

void server_connection::handle_disconnect() {
  if (disconnected_) return;
  disconnected_ = true;
  unusable_ = true;
  const std::function<void()> action = std::exchange(on_disconnect_, nullptr);
  if (action) action();
}

void server_connection::on_disconnect(std::function<void()> action) {
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

awaitable<void> server_connection::watch_for_disconnect(std::uint64_t number) {
  error_code ec;
  co_await stream_.socket().async_wait(tcp::socket::wait_read,
                                       redirect_error(use_awaitable, ec));
  if (ec || number != request_number_ || !stream_.socket().is_open()) co_return;
  check_for_disconnect();
}

void server_connection::check_for_disconnect() {
  char byte = 0;
  const ssize_t n = ::recv(stream_.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  // Data is the next request, which is read after the current one.
  const bool is_open = n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
  if (!is_open) handle_disconnect();
}

void server_connection::disconnect_if_silent() {
  const bool open = !disconnected_ && stream_.socket().is_open();
  if (!open || !is_host_silent(stream_.socket())) return;
  log_event(log_level::info, "caller-host-silent", {});
  reset_connection();
  handle_disconnect();
}

void server_connection::end_exchange() {
  ++request_number_;
  // An idle connection holds no more than what it has received.
  buffer_.shrink_to_fit();
  on_disconnect_ = nullptr;
  if (watching_for_disconnect_ && stream_.socket().is_open()) {
    error_code ec;
    stream_.socket().cancel(ec);
  }
  watching_for_disconnect_ = false;
}

bool server_connection::has_input() {
  error_code ec;
  const bool open = !disconnected_ && stream_.socket().is_open();
  return open && (buffer_.size() > 0 || stream_.socket().available(ec) > 0);
}

void server_connection::close_if_idle() {
  error_code ec;
  if (!has_input()) stream_.socket().cancel(ec);
}

void server_connection::stop_reading() {
  if (reading_ == reading::nothing) return;
  if (reading_ == reading::head && !has_input()) return;
  stopped_reading_ = true;
  stream_.cancel();
}

void server_connection::stop_overdue_read(monotonic_time now) {
  if (reading_ != reading::nothing && now >= read_deadline_) stream_.cancel();
}

void server_connection::log_cut() const {
  const std::string_view path = target().substr(0, target().find('?'));
  log_event(log_level::warn, "request-cut",
            {{"method", std::string(method())},
             {"path", std::string(path)},
             {"caller", peer_ip()},
             {"answer_begun", response_started_ ? "yes" : "no"}});
}

std::string server_connection::peer_ip() const {
  error_code ec;
  const tcp::endpoint peer = stream_.socket().remote_endpoint(ec);
  return ec ? "" : peer.address().to_string();
}

bool server_connection::has_caller_left() {
  const bool open = !disconnected_ && stream_.socket().is_open();
  if (open && is_established(stream_.socket())) return false;
  handle_disconnect();
  return true;
}

std::chrono::microseconds server_connection::round_trip_time() {
  return smoothed_round_trip(stream_.socket());
}

std::optional<std::chrono::milliseconds> server_connection::time_since_data() {
  return transport::time_since_data(stream_.socket());
}

awaitable<bool> server_connection::read_head() {
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(options_.header_limit));
  parser_->body_limit(options_.body_limit);
  // A plan may lower the limit while a longer request is buffered.
  buffer_.max_size(
      std::max(options_.header_limit + read_bytes, buffer_.size()));
  discard_limit_ = max_discarded_bytes;
  framing_ = body_framing::sized;
  response_started_ = false;
  response_complete_ = false;
  error_code ec;
  if (buffer_.size() == 0 && !is_new_) {
    // The server closes connections that are idle for too long.
    co_await stream_.socket().async_wait(tcp::socket::wait_read,
                                         redirect_error(use_awaitable, ec));
    if (ec && !has_input()) co_return false;
  }
  // The server checks the deadline, as that of a body.
  read_deadline_ = boot_clock::now() + options_.header_timeout;
  do {
    ec = co_await read_partial_head();
    // A request has begun to arrive while the connection was being closed for
    // being idle.
  } while (ec == asio::error::operation_aborted && has_input() &&
           !stopped_reading_ && boot_clock::now() < read_deadline_);
  if (ec) co_return co_await reject_head(ec);
  is_new_ = false;
  ec = check_framing(parser_->get(), parser_->get().version());
  if (ec) co_return co_await reject_head(ec);
  co_return true;
}

awaitable<error_code> server_connection::read_partial_head() {
  error_code ec;
  reading_ = reading::head;
  co_await http::async_read_header(stream_, buffer_, *parser_,
                                   redirect_error(use_awaitable, ec));
  reading_ = reading::nothing;
  co_return ec;
}

awaitable<bool> server_connection::reject_head(error_code ec) {
  unusable_ = true;
  const bool aborted = ec == asio::error::operation_aborted;
  const bool closed_idle = aborted && !has_input();
  const bool no_response =
      closed_idle || ec == http::error::end_of_stream ||
      ec == asio::error::connection_reset || ec == asio::error::eof ||
      ec == asio::error::bad_descriptor ||
      // After a timeout the stream has already closed its socket.
      ec == beast::error::timeout;
  if (no_response) co_return false;
  unsigned status = 400;
  error cause{error_kind::bad_input,
              "cannot read the request's head: " + ec.message(),
              "send a well-formed HTTP/1.1 request"};
  std::chrono::seconds retry_after{0};
  if (stopped_reading_) {
    status = 503;
    cause = stopping_error();
    retry_after = std::chrono::seconds(1);
  } else if (aborted) {
    status = 408;
    cause = {error_kind::deadline,
             "the request's head was not received in time",
             "send the head faster, without pauses"};
  } else if (ec == http::error::header_limit ||
             ec == http::error::buffer_overflow) {
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
      problem_response(status, cause, "no", retry_after);
  co_await respond(response);
  co_return false;
}

bool server_connection::hold_body(std::size_t body_bytes) {
  const std::size_t buffered =
      std::max(buffer_.capacity(), read_bytes) - read_bytes;
  return body_share_.grow_to(
      request_bytes + buffered + options_.memory_per_body_byte * body_bytes,
      options_.request_use, last_progress_);
}

void server_connection::reclaim() {
  reclaimed_ = true;
  std::string().swap(parser_->get().body());
  body_share_.clear();
  stream_.cancel();
}

awaitable<bool> server_connection::read_body_pieces(error_code& ec) {
  const std::size_t declared =
      parser_->content_length().value_or(parser_->get().body().size());
  last_progress_ = boot_clock::now();
  if (!hold_body(declared)) co_return false;
  if (beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> interim(http::status::continue_, http_1_1);
    co_await http::async_write(stream_, interim,
                               redirect_error(use_awaitable, ec));
  }
  // A read fills the room that the buffer has, which after a short head is half
  // a kilobyte.
  if (!parser_->is_done()) buffer_.reserve(read_bytes);
  if (options_.memory) options_.memory->add_reclaimable(*this);
  // The server checks the deadline. A timeout of the stream would close the
  // socket, so that no response could be sent.
  read_deadline_ = last_progress_ + options_.body_timeout;
  reading_ = reading::body;
  bool fits = true;
  bool unparsed = buffer_.size() > 0;
  framing_bound framing;
  while (!ec && fits && !parser_->is_done()) {
    const std::size_t content = parser_->get().body().size();
    // What arrived with the head is parsed first.
    if (!std::exchange(unparsed, false))
      ec = co_await receive(stream_, buffer_);
    last_progress_ = boot_clock::now();
    if (ec == asio::error::eof) ec = http::error::partial_message;
    if (!ec && !reclaimed_) {
      const std::size_t n = parse_buffered(*parser_, buffer_, ec);
      const std::size_t added = parser_->get().body().size() - content;
      if (!framing.add(n, added) && !ec) ec = http::error::buffer_overflow;
    }
    fits = !reclaimed_ && hold_body(parser_->get().body().capacity());
  }
  reading_ = reading::nothing;
  if (options_.memory) options_.memory->remove_reclaimable(*this);
  co_return fits;
}

awaitable<result<request_body>> server_connection::read_body() {
  error_code ec;
  body_share_ = memory_share(options_.memory);
  reclaimed_ = false;
  const bool fits = co_await read_body_pieces(ec);
  if (!fits) {
    std::string().swap(parser_->get().body());
    body_share_.clear();
    co_return fail(error_kind::overloaded,
                   "there is no memory for this request now",
                   "send it again after Retry-After");
  }
  if (!ec) {
    check_for_disconnect();
    request_body out{std::move(parser_->get().body()), std::move(body_share_)};
    co_return out;
  }
  body_share_.clear();
  if (ec == http::error::buffer_overflow)
    discard_limit_ = max_discarded_framing_bytes;
  co_return tl::make_unexpected(body_error(ec));
}

error server_connection::body_error(error_code ec) const {
  if (stopped_reading_) return stopping_error();
  if (ec == http::error::body_limit) {
    return {error_kind::too_large,
            "the body is larger than " + std::to_string(options_.body_limit) +
                " bytes",
            "send a smaller request"};
  }
  if (ec == http::error::buffer_overflow) {
    return {error_kind::too_large,
            "the chunk extensions, trailers and sizes of the body's chunks are "
            "too long",
            "send fewer and larger chunks, with short extensions and trailers"};
  }
  if (ec == asio::error::operation_aborted) {
    return {error_kind::deadline, "the body was not received in time",
            "send the body faster, without pauses"};
  }
  return {error_kind::bad_input, "cannot read the body: " + ec.message(),
          "send as many bytes as Content-Length states, or well-formed chunks"};
}

bool server_connection::has_unread_input() const {
  return response_started_ && !disconnected_ && !parser_->is_done() &&
         stream_.socket().is_open();
}

awaitable<void> server_connection::discard_input() {
  error_code ec;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
  stream_.socket().non_blocking(true, ec);
  const monotonic_time end = boot_clock::now() + options_.body_timeout;
  // One for all connections, since nobody reads what is in it.
  static thread_local std::vector<char> discarded(64UL * 1024);
  std::size_t n = 0;
  while (!ec && n < discard_limit_ && boot_clock::now() < end) {
    stream_.expires_after(draining_ ? max_discard_pause_of_draining
                                    : max_discard_pause);
    n += co_await stream_.async_read_some(asio::buffer(discarded),
                                          redirect_error(use_awaitable, ec));
  }
}

}  // namespace trestlepost::transport
