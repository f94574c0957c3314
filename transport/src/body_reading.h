// Reads the body of a message in steps: one read, then all that is complete.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include "framing_bound.h"
#include "trestlepost/transport/asio.h"

namespace trestlepost::transport {

/// Reads once from `stream` into `buffer`. Fails with `buffer_overflow` if it
/// is full.
awaitable<boost::system::error_code> receive(boost::beast::tcp_stream& stream,
                                             boost::beast::flat_buffer& buffer);

/// Parses all of `buffer`, so that many small chunks cost one step, and removes
/// what was parsed. Returns its size in bytes.
template <bool is_request>
std::size_t parse_buffered(boost::beast::http::basic_parser<is_request>& parser,
                           boost::beast::flat_buffer& buffer,
                           boost::system::error_code& ec) {
  parser.eager(true);
  const std::size_t n = parser.put(buffer.data(), ec);
  buffer.consume(n);
  if (ec == boost::beast::http::error::need_more) ec = {};
  return n;
}

/// Reads once and parses all that has arrived of a body into `out`, and sets
/// `n` to the size of that content, which may be zero. Fails with
/// `buffer_overflow` if too much of what has arrived only frames the body.
awaitable<boost::system::error_code> read_body_some(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    boost::beast::http::response_parser<boost::beast::http::buffer_body>&
        parser,
    framing_bound& framing, asio::mutable_buffer out, std::size_t& n);

}  // namespace trestlepost::transport
