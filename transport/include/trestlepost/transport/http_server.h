// HTTP/1.1 server based on Beast. Each connection serves one request at a time.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trestlepost/base/error.h"
#include "trestlepost/transport/asio.h"
#include "trestlepost/transport/request_body.h"

namespace trestlepost::transport {

/// Limits of a server.
struct http_server_options {
  std::size_t header_limit = 16UL * 1024;      // bytes
  std::size_t body_limit = 8UL * 1024 * 1024;  // bytes
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds body_timeout{30'000};
  std::chrono::milliseconds idle_timeout{60'000};
  std::chrono::milliseconds write_timeout{30'000};
  std::size_t max_connections = 20'000;  // further ones are closed
  /// Pays for connections and requests; null for no bound.
  std::shared_ptr<memory_budget> memory{};
  /// Memory that a request takes for each byte of its body, such as a document
  /// and what is parsed from it.
  std::size_t memory_per_body_byte = 1;
  memory_use request_use = memory_use::request;
};

/// Names and values of headers, in order.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Response with its complete body, or the head of a streamed one.
struct http_response {
  unsigned status = 200;
  std::string content_type = "application/json";
  header_list headers;
  std::string body;
  /// Sends the body without length: it ends where the connection closes. If the
  /// exchange is aborted or the process ends before that, the connection is
  /// reset.
  bool close_delimited = false;
  /// Memory that the body holds, or null.
  std::shared_ptr<const memory_share> share{};
};

/// One request and its response. Operations return false or an error after the
/// caller has disconnected.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  virtual std::string_view method() const = 0;
  virtual std::string_view target() const = 0;
  /// Returns the header's value, or an empty string.
  virtual std::string_view header(std::string_view name) const = 0;
  /// Returns all headers in the order of arrival.
  virtual header_list headers() const = 0;

  /// Returns the IP address of the caller's end of the connection, or an empty
  /// string once it is closed.
  virtual std::string peer_ip() const = 0;

  /// Reads the complete body. Returns an error if it is too large, too slow or
  /// malformed, and `overloaded` if there is no memory for the request now. The
  /// rest of a body that was not read is discarded after the response, and the
  /// connection is closed.
  virtual awaitable<result<request_body>> read_body() = 0;

  /// Sends a complete response. Returns false if a response has been started.
  virtual awaitable<bool> respond(http_response response) = 0;

  /// Starts a response whose body is sent in pieces: in chunked encoding, or
  /// without length if `head` is close-delimited or the request is of HTTP/1.0.
  /// Without `finish_stream` the caller receives an incomplete response.
  virtual awaitable<bool> start_stream(http_response head) = 0;
  /// Like `start_stream`, but with a Content-Length of `length` bytes, the
  /// total size of the pieces.
  virtual awaitable<bool> start_sized_stream(http_response head,
                                             std::size_t length) = 0;
  virtual awaitable<bool> write_piece(std::string piece) = 0;
  virtual awaitable<bool> finish_stream() = 0;

  /// Resets the connection, so that the caller detects an incomplete response.
  virtual void abort() = 0;

  /// Returns whether any part of a response was sent.
  virtual bool has_response_started() const = 0;
  /// Returns whether the response was started and states where its body ends.
  virtual bool is_response_delimited() const = 0;
  /// Returns whether the caller is known to have disconnected. Known at least
  /// after `read_body` if it happened before.
  virtual bool is_disconnected() const = 0;
  /// Checks whether the caller has closed its end of the connection, also if
  /// data that precedes the close has not been read.
  virtual bool has_caller_left() = 0;
  /// Returns the smoothed round-trip time of the connection; zero if unknown.
  virtual std::chrono::microseconds round_trip_time() = 0;
  /// Returns the time since data of the caller last arrived at this system,
  /// also if this process was not running then; nullopt if unknown.
  virtual std::optional<std::chrono::milliseconds> time_since_data() = 0;
  /// Sets the action to call if the caller disconnects before the response is
  /// complete; nullptr removes it.
  virtual void on_disconnect(std::function<void()> action) = 0;
};

/// Handles the requests of a server.
class http_handler {
 public:
  virtual ~http_handler() = default;
  virtual awaitable<void> handle(http_exchange& exchange) = 0;
};

/// Accepts connections and passes requests to the handler.
class http_server {
 public:
  http_server(asio::io_context& context, http_handler& handler,
              http_server_options options);
  ~http_server();

  /// Starts to accept connections at "IP:PORT".
  result<void> listen(const std::string& address);
  /// Sets the limits for subsequent requests.
  void set_options(const http_server_options& options);
  const http_server_options& options() const;
  /// Announces in each response from now on that its connection closes after
  /// it. Connections that were told otherwise stay open for another request,
  /// and new ones are still accepted.
  void disable_keep_alive();
  /// Stops accepting connections and closes idle ones, unless a request has
  /// begun to arrive or the connection is new. Each other one is closed as by
  /// `disable_keep_alive`. To be called again until no connection is left.
  void drain();
  /// Refuses the requests whose head or body has arrived in part.
  void stop_reading();
  /// Returns the number of requests in progress.
  std::size_t in_progress() const;
  /// Logs the requests in progress, before the process exits.
  void log_requests_in_progress() const;
  /// Returns the number of open connections.
  std::size_t connections() const;

  /// Implementation detail.
  struct state;

 private:
  std::shared_ptr<state> state_;
};

/// Makes the response to a request that cannot be served: problem+json
/// (RFC 9457) with `kind`, `ran`, `detail` and `remedy`, and a Retry-After
/// header if `retry_after` is positive.
http_response problem_response(unsigned status, const error& cause,
                               std::string_view ran,
                               std::chrono::seconds retry_after);

}  // namespace trestlepost::transport
