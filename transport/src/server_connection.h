// Connection of a caller to an HTTP server.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "header_lists.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::transport {

/// How a response states where its body ends. `close`: it ends where the
/// connection closes.
enum class body_framing { sized, chunked, close };

/// Connection of a caller. It is owned by its coroutines.
class server_connection final
    : public http_exchange,
      private reclaimable_memory,
      public std::enable_shared_from_this<server_connection> {
 public:
  /// `options` and `draining` are those of the server, which outlives it.
  server_connection(tcp::socket socket, const http_server_options& options,
                    const bool& draining)
      : stream_(std::move(socket)),
        options_(options),
        draining_(draining),
        own_share_(options.memory) {
    own_share_.set(connection_bytes);
  }

  boost::beast::tcp_stream& stream() { return stream_; }

  /// Reads the head of the next request. Returns false at the end of the
  /// connection.
  awaitable<bool> read_head();
  /// Whether another request is read on the connection, as its last response
  /// has announced.
  bool keeps_alive() const {
    return !unusable_ && response_complete_ && parser_->is_done();
  }
  void end_exchange();
  /// Whether bytes of a request have arrived that was not read completely.
  bool has_input();
  /// Closes the connection if it waits for a request, unless one has begun to
  /// arrive.
  void close_if_idle();
  /// Ends the reading of an incomplete head or body. The request is refused.
  void stop_reading();
  /// Whether no request has been read on the connection yet.
  bool is_new() const { return is_new_; }
  /// Ends the reading of a head or a body whose time is over. The request is
  /// refused, if any byte of it has arrived.
  void stop_overdue_read(monotonic_time now);
  /// Logs a request that is in progress when the process exits.
  void log_cut() const;
  /// Whether the caller may still be sending a request that has been answered.
  bool has_unread_input() const;
  /// Discards what the caller still sends: closing a connection with unread
  /// bytes resets it, and the caller may lose the response.
  awaitable<void> discard_input();
  /// Ends the exchange if the caller's host no longer acknowledges anything.
  void disconnect_if_silent();

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
  std::string peer_ip() const override;
  awaitable<result<request_body>> read_body() override;
  awaitable<bool> respond(http_response response) override;
  awaitable<bool> start_stream(http_response head) override;
  awaitable<bool> start_sized_stream(http_response head,
                                     std::size_t length) override;
  awaitable<bool> write_piece(std::string piece) override;
  awaitable<bool> finish_stream() override;
  void abort() override { reset_connection(); }
  bool has_response_started() const override { return response_started_; }
  bool is_response_delimited() const override {
    return response_started_ && framing_ != body_framing::close;
  }
  bool is_disconnected() const override { return disconnected_; }
  bool has_caller_left() override;
  std::chrono::microseconds round_trip_time() override;
  std::optional<std::chrono::milliseconds> time_since_data() override;
  void on_disconnect(std::function<void()> action) override;

 private:
  /// What the connection is reading.
  enum class reading { nothing, head, body };

  /// Returns why `read_body` failed with `ec`.
  error body_error(boost::system::error_code ec) const;
  awaitable<boost::system::error_code> read_partial_head();
  /// Responds to a request whose head cannot be read. Always returns false.
  awaitable<bool> reject_head(boost::system::error_code ec);
  awaitable<bool> write_stream_head(
      boost::beast::http::response<boost::beast::http::empty_body> out);
  awaitable<bool> respond_until_close(http_response response);
  /// A piece with what frames it.
  using piece_buffers = std::array<asio::const_buffer, 3>;
  awaitable<bool> write(const piece_buffers& data);
  /// Reads the rest of the body. Returns false if there is no memory for it.
  awaitable<bool> read_body_pieces(boost::system::error_code& ec);
  /// Holds memory for the request with a body of this size, if there is room at
  /// the time of its last progress.
  bool hold_body(std::size_t body_bytes);
  monotonic_time last_progress() const override { return last_progress_; }
  void reclaim() override;
  /// Checks without waiting whether the caller has disconnected.
  void check_for_disconnect();
  /// Waits until the caller disconnects while the request is in progress.
  awaitable<void> watch_for_disconnect(std::uint64_t number);
  /// Sets whether the connection is reset when it is closed, also by the end of
  /// the process.
  void set_reset_on_close(bool reset);
  void reset_connection();
  void handle_disconnect();

  /// Memory of a connection, and of a request besides its body: heads, the
  /// states of coroutines, pieces of the answer and buffers of the endpoint's
  /// connection.
  static constexpr std::size_t connection_bytes = 8UL * 1024;
  static constexpr std::size_t request_bytes = 24UL * 1024;

  boost::beast::tcp_stream stream_;
  const http_server_options& options_;
  const bool& draining_;
  boost::beast::flat_buffer buffer_;
  memory_share own_share_;
  memory_share body_share_;  // of the body that is being read
  monotonic_time last_progress_;
  monotonic_time read_deadline_;   // of the head or the body that is being read
  std::size_t discard_limit_ = 0;  // bytes of input after the response
  reading reading_ = reading::nothing;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  std::function<void()> on_disconnect_;
  std::uint64_t request_number_ = 0;  // counts requests on this connection
  bool watching_for_disconnect_ = false;
  bool response_started_ = false;
  bool announces_keep_alive_ = false;  // in the head of the current response
  bool response_complete_ = false;     // sent, and the connection may stay open
  body_framing framing_ = body_framing::sized;  // of the current response
  bool unusable_ = false;                       // no further request is read
  bool disconnected_ = false;
  bool reclaimed_ = false;  // the memory of the body was taken back
  bool stopped_reading_ = false;
  bool is_new_ = true;  // no request has been read yet
};

}  // namespace trestlepost::transport
