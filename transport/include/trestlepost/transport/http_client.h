// HTTP/1.1 client with connection pooling, for calls to endpoints and other
// nodes. A connection is closed instead of reused if its call timed out, was
// cancelled or failed.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::transport {

/// Limits and timeouts of a client.
struct http_client_options {
  std::chrono::milliseconds connect_timeout{1000};
  /// A pooled connection that has been idle for longer is not reused.
  std::chrono::milliseconds idle_timeout{5000};
  /// TCP user timeout: a connection fails, also while it is idle or waits for a
  /// response, if the remote host acknowledges nothing for this long.
  std::chrono::milliseconds tcp_user_timeout{default_tcp_user_timeout};
  std::size_t max_idle_per_address = 64;  // connections per address
  std::size_t max_idle = 1024;            // connections in all
  std::string source_ip;                  // of outgoing connections; empty: any
  /// Accepts a response without length, which ends when the server closes the
  /// connection. A connection reset is still an error.
  bool accept_close_delimited = false;
};

/// Request with its complete body. `Host` and `Content-Length` are added.
struct http_request {
  std::string method = "POST";
  std::string target;
  header_list headers;
  std::string body;
  /// The rest of the body, which is sent without a copy.
  shared_text shared_body{};

  std::size_t body_size() const {
    return body.size() + view_of(shared_body).size();
  }
};

/// Reason why a call failed before the head of its response arrived.
struct call_failure {
  error cause;
  /// Whether any byte of the request may have reached the server.
  bool bytes_written = false;
  /// Whether the connection was refused, since no process listens there.
  bool refused = false;
  /// Whether the connection was open, but the deadline passed before the
  /// request was written.
  bool too_late = false;
};

/// Outcome of an attempt to connect.
enum class connect_outcome {
  opened,
  refused,     // the VM responds, but no process listens on the port
  unreachable  // any other failure, such as no response in time
};

class http_client;

/// One request and its response. `cancel` may be called at any time.
class http_call {
 public:
  virtual ~http_call() = default;

  /// Sends the request and reads the head of the response.
  virtual awaitable<tl::expected<void, call_failure>> send(
      http_request request, monotonic_time deadline) = 0;

  /// Replaces the deadline, for the remainder of the response.
  virtual void set_deadline(monotonic_time deadline) = 0;

  virtual unsigned status() const = 0;
  /// Returns whether the response states where its body ends, by a length or by
  /// chunks. Otherwise a truncated body looks like a complete one if the
  /// connection closes in order.
  virtual bool is_delimited() const = 0;
  /// Returns the header's value, or an empty string.
  virtual std::string_view header(std::string_view name) const = 0;
  /// Returns the values of all headers with this name, in the order of arrival.
  virtual std::vector<std::string_view> header_values(
      std::string_view name) const = 0;
  /// Returns all headers in the order of arrival.
  virtual header_list headers() const = 0;

  /// Discards this response, which belongs to another request, and reads the
  /// head of the next one on the same connection.
  virtual awaitable<tl::expected<void, call_failure>> read_next_response() = 0;

  /// Reads the next piece of the body. Returns an empty string at its end, and
  /// an error if the response is truncated.
  virtual awaitable<result<std::string>> read_piece() = 0;

  /// Reads the rest of the body. Cancels the call and returns `too_large` if it
  /// is longer than `limit` bytes.
  virtual awaitable<result<std::string>> read_rest(std::size_t limit) = 0;

  /// Closes the connection; pending operations fail.
  virtual void cancel() = 0;
  /// Returns whether `cancel` was called.
  virtual bool is_cancelled() const = 0;
};

/// Makes calls and owns the pool of idle connections.
class http_client {
 public:
  http_client(asio::io_context& context, http_client_options options);
  ~http_client();

  /// Creates a call to "IP:PORT".
  std::shared_ptr<http_call> call(const std::string& address);

  /// Opens a new connection to "IP:PORT", also if the pool has one, and adds it
  /// to the pool.
  awaitable<connect_outcome> try_connect(std::string address);

  /// Cancels the calls whose deadline has passed. Their timers do so as well,
  /// but after a suspension of the machine they are late by its length.
  void cancel_expired(monotonic_time now);

  /// Bounds the deadlines of all calls, also of those in progress.
  void limit_deadlines(monotonic_time latest);

  /// Closes the idle connections that can't be reused: those that the server
  /// has closed, and those that have been idle for too long.
  void close_unusable(monotonic_time now);
  /// The number of idle connections.
  std::size_t idle_connections() const;

  /// Closes all idle connections and disables pooling.
  void close();

  /// Implementation detail.
  struct state;

 private:
  friend class pooled_call;
  std::shared_ptr<state> state_;
};

}  // namespace trestlepost::transport
