// A connection of an HTTP client, and the writing of requests on it.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "framing_bound.h"
#include "trestlepost/transport/asio.h"
#include "trestlepost/transport/request_body.h"

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
  /// The write has failed. It may have taken the error of a reset, so that a
  /// read finds an orderly end of the connection.
  bool write_failed = false;
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

/// Writes the outgoing request of `it`: what is possible without blocking now,
/// and the rest while the response is read.
void start_write(asio::io_context& context, const connection_ptr& it);

}  // namespace trestlepost::transport
