// An HTTP/1.1 server on Beast. One request on a connection at a time.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trestlepost/base/error.h"
#include "trestlepost/transport/asio.h"

namespace trestlepost::transport {

struct http_server_options {
  std::size_t header_limit = 16UL * 1024;
  std::size_t body_limit = 8UL * 1024 * 1024;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds body_timeout{30'000};
  std::chrono::milliseconds idle_timeout{60'000};
  std::chrono::milliseconds write_timeout{30'000};
  std::size_t most_connections = 20'000;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_answer {
  unsigned status = 200;
  std::string content_type = "application/json";
  header_list headers;
  std::string body;
};

/// One request and its answer. Every call returns false or an error once the
/// caller is gone.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  virtual std::string_view method() const = 0;
  virtual std::string_view target() const = 0;
  /// The header's value, or empty.
  virtual std::string_view header(std::string_view name) const = 0;
  /// All headers in the order in which they came.
  virtual header_list headers() const = 0;

  /// Reads the whole body.
  virtual awaitable<result<std::string>> read_body() = 0;

  /// Sends a whole answer.
  virtual awaitable<bool> respond(http_answer answer) = 0;

  /// Sends an answer in pieces; without `finish_stream` the caller sees a
  /// broken transfer.
  virtual awaitable<bool> start_stream(http_answer head) = 0;
  /// The same for a body of `length` bytes, which the pieces make up.
  virtual awaitable<bool> start_sized_stream(http_answer head,
                                             std::size_t length) = 0;
  virtual awaitable<bool> write_piece(std::string piece) = 0;
  virtual awaitable<bool> finish_stream() = 0;

  /// Breaks the connection: the answer is not whole.
  virtual void abort() = 0;

  /// Whether any part of an answer was sent.
  virtual bool answered() const = 0;
  virtual bool gone() const = 0;
  /// Calls `action` when the caller leaves before the answer is whole.
  virtual void on_gone(std::function<void()> action) = 0;
};

class http_handler {
 public:
  virtual ~http_handler() = default;
  virtual awaitable<void> handle(http_exchange& exchange) = 0;
};

class http_server {
 public:
  http_server(asio::io_context& context, http_handler& handler,
              http_server_options options);
  ~http_server();

  result<void> listen(const std::string& address);
  /// Limits for requests that come from now on.
  void set_options(const http_server_options& options);
  const http_server_options& options() const;
  /// Ends each connection after its answer, but goes on taking new ones.
  void close_after_answers();
  /// Takes no new connections, and ends each one after its answer.
  void drain();
  /// Requests in progress.
  std::size_t in_progress() const;

  /// Implementation detail.
  struct state;

 private:
  std::shared_ptr<state> state_;
};

/// The answer for a request that can't be served: problem+json with `kind`,
/// `ran`, `detail` and `remedy`, and Retry-After when `retry_after` is set.
http_answer problem_answer(unsigned status, const error& cause,
                           std::string_view ran,
                           std::chrono::seconds retry_after);

}  // namespace trestlepost::transport
