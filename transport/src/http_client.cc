#include "trestlepost/transport/http_client.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <set>

#include "body_reading.h"
#include "connection_pool.h"
#include "framing_bound.h"
#include "header_lists.h"
#include "message_head.h"

namespace trestlepost::transport {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using error_code = boost::system::error_code;
using asio::redirect_error;
using asio::use_awaitable;

// Maximum number of interim responses before the final one.
constexpr int max_interim_responses = 8;
// Maximum size in bytes of a response that is discarded to read the next one.
constexpr std::size_t max_discarded = 1024UL * 1024;
constexpr char endpoint_remedy[] =
    "check the endpoint; the request may be sent again if it is repeatable";

/// Parses the timeout of the header "Keep-Alive: timeout=N".
std::optional<std::chrono::seconds> keep_alive_seconds(std::string_view text) {
  constexpr std::string_view key = "timeout=";
  const std::size_t at = text.find(key);
  if (at == std::string_view::npos) return std::nullopt;
  unsigned n = 0;
  const char* begin = text.data() + at + key.size();
  const std::from_chars_result read =
      std::from_chars(begin, text.data() + text.size(), n);
  if (read.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(n);
}

}  // namespace

class pooled_call;

struct http_client::state {
  state(asio::io_context& c, http_client_options o)
      : context(c), options(std::move(o)), pool(options) {}

  asio::io_context& context;
  http_client_options options;
  connection_pool pool;
  std::set<pooled_call*> calls;
  monotonic_time latest_deadline = monotonic_time::max();  // of all calls
};

/// Call over a connection from the pool of its client.
class pooled_call final : public http_call {
 public:
  pooled_call(std::shared_ptr<http_client::state> client, std::string address)
      : client_(std::move(client)), address_(std::move(address)) {
    client_->calls.insert(this);
  }
  ~pooled_call() override { client_->calls.erase(this); }
  pooled_call(const pooled_call&) = delete;
  pooled_call& operator=(const pooled_call&) = delete;

  awaitable<tl::expected<void, call_failure>> send(
      http_request request, monotonic_time deadline) override;
  void set_deadline(monotonic_time deadline) override {
    deadline_ = std::min(deadline, client_->latest_deadline);
    if (connection_) connection_->stream.expires_at(to_steady_time(deadline_));
  }
  void limit_deadline(monotonic_time latest) {
    deadline_ = std::min(deadline_, latest);
  }
  /// Cancels the call if its deadline has passed, even if its timer has not
  /// expired.
  void cancel_if_expired(monotonic_time now);
  unsigned status() const override { return parser_->get().result_int(); }
  bool is_delimited() const override { return !parser_->need_eof(); }
  std::string_view header(std::string_view name) const override {
    const auto it = parser_->get().find({name.data(), name.size()});
    if (it == parser_->get().end()) return {};
    return {it->value().data(), it->value().size()};
  }
  std::vector<std::string_view> header_values(
      std::string_view name) const override {
    std::vector<std::string_view> out;
    const auto found = parser_->get().equal_range({name.data(), name.size()});
    for (auto it = found.first; it != found.second; ++it)
      out.emplace_back(it->value().data(), it->value().size());
    return out;
  }
  header_list headers() const override { return list_headers(parser_->get()); }
  awaitable<tl::expected<void, call_failure>> read_next_response() override;
  awaitable<result<std::string>> read_piece() override;
  awaitable<result<std::string>> read_rest(std::size_t limit) override;
  void cancel() override;
  bool is_cancelled() const override { return cancelled_; }

 private:
  awaitable<error_code> connect(monotonic_time deadline);
  std::string serialize_head(const http_request& request) const;
  /// Starts to write the request, whose body it takes.
  void start_write(http_request& request);
  /// Reads the head of the final response, after any interim ones.
  awaitable<tl::expected<void, call_failure>> read_head();
  awaitable<error_code> read_one_head();
  /// Maps the error of a failed operation to the error kind of the call.
  error_kind kind_of(error_code ec) const;
  /// Closes the connection and describes the failure.
  call_failure failure(const std::string& what, error_code ec, bool written);
  /// Reads some of the body into `out`, and sets `n` to its size in bytes.
  awaitable<error_code> read_body(asio::mutable_buffer out, std::size_t& n);
  /// Returns the connection to the pool after a complete response, if it can be
  /// reused.
  void release_connection();

  std::shared_ptr<http_client::state> client_;
  std::string address_;
  connection_ptr connection_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  framing_bound framing_;  // of the current response's body
  bool cancelled_ = false;
  bool deadline_passed_ = false;
  monotonic_time deadline_ = monotonic_time::max();
  bool is_head_request_ = false;  // the request's method is HEAD
};

void pooled_call::cancel() {
  cancelled_ = true;
  if (!connection_) return;
  error_code ec;
  connection_->stream.socket().close(ec);
}

void pooled_call::cancel_if_expired(monotonic_time now) {
  if (now < deadline_ || deadline_passed_ || !connection_) return;
  deadline_passed_ = true;
  error_code ec;
  connection_->stream.socket().close(ec);
}

error_kind pooled_call::kind_of(error_code ec) const {
  const bool timed_out = deadline_passed_ || ec == beast::error::timeout;
  return timed_out ? error_kind::deadline : error_kind::endpoint_failed;
}

call_failure pooled_call::failure(const std::string& what, error_code ec,
                                  bool written) {
  call_failure out;
  if (deadline_passed_) ec = beast::error::timeout;
  const error_kind kind = kind_of(ec);
  out.cause = {kind, what + " " + address_ + ": " + ec.message(),
               endpoint_remedy};
  out.bytes_written = written;
  out.refused = ec == asio::error::connection_refused;
  connection_.reset();
  return out;
}

/// Connects `it`, which must be closed, to `address`.
awaitable<error_code> open(http_client::state& client, client_connection& it,
                           const std::string& address,
                           monotonic_time deadline) {
  const result<tcp::endpoint> at = parse_address(address);
  if (!at) co_return asio::error::invalid_argument;
  const monotonic_time connect_deadline =
      boot_clock::now() + client.options.connect_timeout;
  it.stream.expires_at(to_steady_time(std::min(connect_deadline, deadline)));
  open_and_bind(it.stream.socket(), *at, client.options.source_ip);
  error_code ec;
  co_await it.stream.async_connect(*at, redirect_error(use_awaitable, ec));
  if (!ec)
    set_outgoing_options(it.stream.socket(), client.options.tcp_user_timeout);
  co_return ec;
}

awaitable<error_code> pooled_call::connect(monotonic_time deadline) {
  connection_ = client_->pool.acquire(address_);
  if (connection_) co_return error_code();
  connection_ = std::make_shared<client_connection>(client_->context);
  const connection_ptr opened = connection_;
  co_return co_await open(*client_, *opened, address_, deadline);
}

std::string pooled_call::serialize_head(const http_request& request) const {
  std::string out = request.method + ' ' + request.target + " HTTP/1.1\r\n";
  const auto add = [&out](std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
  };
  bool has_host = false;
  for (const auto& [name, value] : request.headers) {
    has_host = has_host || beast::iequals(name, "Host");
    add(name, value);
  }
  if (!has_host) add("Host", address_);
  const bool bodiless = request.body_size() == 0 && request.method == "GET";
  if (!bodiless) add("Content-Length", std::to_string(request.body_size()));
  return out + "\r\n";
}

void pooled_call::start_write(http_request& request) {
  connection_->outgoing = serialize_head(request);
  connection_->outgoing += request.body;
  request.body = std::string();
  connection_->outgoing_body = std::move(request.shared_body);
  connection_->written = 0;
  transport::start_write(client_->context, connection_);
}

awaitable<tl::expected<void, call_failure>> pooled_call::send(
    http_request request, monotonic_time deadline) {
  deadline_ = std::min(deadline, client_->latest_deadline);
  error_code ec = co_await connect(deadline_);
  if (cancelled_ && !ec) ec = asio::error::operation_aborted;
  if (ec) {
    co_return tl::make_unexpected(failure("cannot connect to", ec, false));
  }
  // In a slow event loop iteration the timer may expire after the connection
  // has opened.
  if (boot_clock::now() >= deadline_) {
    deadline_passed_ = true;
    call_failure late = failure("no time is left for", ec, false);
    late.too_late = true;
    co_return tl::make_unexpected(std::move(late));
  }
  is_head_request_ = request.method == "HEAD";
  set_deadline(deadline_);
  start_write(request);
  co_return co_await read_head();
}

awaitable<error_code> pooled_call::read_one_head() {
  parser_.emplace();
  parser_->header_limit(max_head_bytes);
  parser_->body_limit(boost::none);
  framing_ = framing_bound();
  if (is_head_request_) parser_->skip(true);
  error_code ec;
  co_await http::async_read_header(connection_->stream, connection_->buffer,
                                   *parser_, redirect_error(use_awaitable, ec));
  co_return ec ? ec : check_response_head(parser_->get());
}

awaitable<tl::expected<void, call_failure>> pooled_call::read_head() {
  error_code ec = co_await read_one_head();
  int interim = 0;
  while (!ec && !cancelled_ && is_interim(status())) {
    const bool too_many = ++interim > max_interim_responses;
    ec = too_many ? http::error::bad_status : co_await read_one_head();
  }
  if (cancelled_ && !ec) ec = asio::error::operation_aborted;
  if (ec) co_return tl::make_unexpected(failure("no response from", ec, true));
  if (!is_delimited() && !client_->options.accept_close_delimited) {
    // The end of the response would look the same as a lost connection.
    co_return tl::make_unexpected(
        failure("cannot accept a response without length from",
                asio::error::no_protocol_option, true));
  }
  co_return tl::expected<void, call_failure>();
}

awaitable<error_code> pooled_call::read_body(asio::mutable_buffer out,
                                             std::size_t& n) {
  const error_code ec = co_await read_body_some(
      connection_->stream, connection_->buffer, *parser_, framing_, out, n);
  const bool ended = !ec && parser_->is_done() && !is_delimited();
  // The end of the connection is the end of the body only if it is in order.
  if (ended && connection_->write_failed)
    co_return asio::error::connection_reset;
  co_return ec;
}

awaitable<tl::expected<void, call_failure>> pooled_call::read_next_response() {
  // Does not use `read_piece`, which would return the connection to the pool at
  // the end of the discarded response.
  std::size_t discarded_bytes = 0;
  while (connection_ && !cancelled_ && !parser_->is_done()) {
    std::array<char, read_bytes> discarded{};
    std::size_t n = 0;
    const asio::mutable_buffer out = asio::buffer(discarded);
    error_code ec = co_await read_body(out, n);
    discarded_bytes += n;
    if (discarded_bytes > max_discarded) ec = http::error::body_limit;
    if (ec)
      co_return tl::make_unexpected(failure("no response from", ec, true));
  }
  if (!connection_ || cancelled_ || !parser_->get().keep_alive()) {
    co_return tl::make_unexpected(
        failure("no response to this request from", asio::error::eof, true));
  }
  co_return co_await read_head();
}

awaitable<result<std::string>> pooled_call::read_piece() {
  if (!connection_ || cancelled_) {
    if (parser_ && parser_->is_done() && !cancelled_) co_return std::string();
    co_return fail(error_kind::endpoint_failed, "the call was cancelled",
                   endpoint_remedy);
  }
  std::string piece;
  while (piece.empty() && !parser_->is_done()) {
    piece.resize(read_bytes);
    std::size_t n = 0;
    const asio::mutable_buffer out = asio::buffer(piece);
    const error_code ec = co_await read_body(out, n);
    if (ec == http::error::buffer_overflow && !cancelled_) {
      // Given up by this side: the endpoint has not closed the connection.
      cancel();
      co_return fail(error_kind::endpoint_failed,
                     "the response from " + address_ +
                         " has too long chunk extensions, trailers or sizes",
                     endpoint_remedy);
    }
    if (ec || cancelled_) {
      connection_.reset();
      co_return fail(
          kind_of(ec),
          "the response from " + address_ + " was truncated: " + ec.message(),
          endpoint_remedy);
    }
    piece.resize(n);
  }
  if (parser_->is_done()) release_connection();
  co_return piece;
}

void pooled_call::release_connection() {
  if (!connection_ || cancelled_) return;
  // A connection is not reusable while the request is still being written.
  if (parser_->get().keep_alive() && connection_->write_done()) {
    std::chrono::milliseconds lifetime = client_->options.idle_timeout;
    const std::optional<std::chrono::seconds> server_timeout =
        keep_alive_seconds(header("Keep-Alive"));
    // Half of the timeout, so that no request is sent while the server closes
    // the connection.
    if (server_timeout) {
      lifetime =
          std::min(lifetime, std::chrono::milliseconds(*server_timeout) / 2);
    }
    client_->pool.release(address_, std::move(connection_), lifetime);
  }
  connection_.reset();
}

awaitable<result<std::string>> pooled_call::read_rest(std::size_t limit) {
  std::string out;
  while (true) {
    result<std::string> piece = co_await read_piece();
    if (!piece) co_return piece;
    if (piece->empty()) co_return out;
    out += *piece;
    if (out.size() > limit) {
      cancel();
      co_return fail(error_kind::too_large,
                     "the response from " + address_ + " is too large",
                     "request a smaller response");
    }
  }
}

http_client::http_client(asio::io_context& context, http_client_options options)
    : state_(std::make_shared<state>(context, std::move(options))) {}

http_client::~http_client() {
  close();
}

std::shared_ptr<http_call> http_client::call(const std::string& address) {
  return std::make_shared<pooled_call>(state_, address);
}

awaitable<connect_outcome> http_client::try_connect(std::string address) {
  const std::shared_ptr<state> client = state_;
  const connection_ptr it =
      std::make_shared<client_connection>(client->context);
  const error_code ec =
      co_await open(*client, *it, address, monotonic_time::max());
  if (ec == asio::error::connection_refused) {
    co_return connect_outcome::refused;
  }
  if (ec) co_return connect_outcome::unreachable;
  client->pool.release(address, it, client->options.idle_timeout);
  co_return connect_outcome::opened;
}

void http_client::cancel_expired(monotonic_time now) {
  for (pooled_call* it : state_->calls) it->cancel_if_expired(now);
}

void http_client::limit_deadlines(monotonic_time latest) {
  state_->latest_deadline = latest;
  for (pooled_call* it : state_->calls) it->limit_deadline(latest);
}

void http_client::close_unusable(monotonic_time now) {
  state_->pool.close_unusable(now);
}

std::size_t http_client::idle_connections() const {
  return state_->pool.idle_count();
}

void http_client::close() {
  state_->pool.close();
}

}  // namespace trestlepost::transport
