// Connections of an HTTP client, and the pool of those that can be reused.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "framing_bound.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::transport {

/// Bytes that the head of a response may take.
constexpr std::uint32_t max_head_bytes = 8UL * 1024;

/// Connection that is used by a call or idle in the pool.
struct client_connection {
  explicit client_connection(asio::io_context& context) : stream(context) {}
  boost::beast::tcp_stream stream;
  /// Room for a head or what frames a body, and one read behind it.
  static constexpr std::size_t max_buffer_bytes = max_head_bytes + read_bytes;
  boost::beast::flat_buffer buffer{max_buffer_bytes};
  /// Request that is being written, and the rest of its body. The response is
  /// read concurrently, since an endpoint may respond before it has read a long
  /// body.
  std::string outgoing;
  shared_text outgoing_body;
  std::size_t written = 0;
  monotonic_time reusable_until;

  bool write_done() const {
    return written == outgoing.size() + view_of(outgoing_body).size();
  }
  /// What has not been written yet.
  std::array<asio::const_buffer, 2> unwritten() const {
    const std::string_view body = view_of(outgoing_body);
    const std::size_t of_head = std::min(written, outgoing.size());
    const std::size_t of_body = written - of_head;
    return {asio::buffer(outgoing.data() + of_head, outgoing.size() - of_head),
            asio::buffer(body.data() + of_body, body.size() - of_body)};
  }
  /// Frees the request after it has been written.
  void free_written() {
    if (!write_done()) return;
    outgoing = std::string();
    outgoing_body = nullptr;
    written = 0;
  }
};

using connection_ptr = std::shared_ptr<client_connection>;

/// Idle connections by address.
class connection_pool {
 public:
  /// `options` outlives the pool.
  explicit connection_pool(const http_client_options& options)
      : options_(options) {}

  /// Removes a reusable connection to `address` from the pool. Returns nullptr
  /// if there is none.
  connection_ptr acquire(const std::string& address);
  /// Adds a connection to the pool for `lifetime`, unless the pool is full.
  void release(const std::string& address, connection_ptr it,
               std::chrono::milliseconds lifetime);
  /// Closes the pooled connections that can't be reused at `now`.
  void close_unusable(monotonic_time now);
  /// Closes all connections, and those that are released later.
  void close();
  std::size_t idle_count() const { return idle_count_; }

 private:
  const http_client_options& options_;
  std::map<std::string, std::deque<connection_ptr>> idle_;
  std::size_t idle_count_ = 0;  // of all addresses
  bool closed_ = false;
};

}  // namespace trestlepost::transport
