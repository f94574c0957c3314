#include "body_reading.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>

namespace trestlepost::transport {
namespace {

namespace http = boost::beast::http;
using error_code = boost::system::error_code;
using body_parser = http::response_parser<http::buffer_body>;

error_code parse_body(body_parser& parser, boost::beast::flat_buffer& buffer,
                      framing_bound& framing, asio::mutable_buffer out,
                      std::size_t& n) {
  http::buffer_body::value_type& body = parser.get().body();
  body.data = out.data();
  body.size = out.size();
  error_code ec;
  const std::size_t bytes = parse_buffered(parser, buffer, ec);
  n = out.size() - body.size;
  if (!framing.add(bytes, n)) return http::error::buffer_overflow;
  // An error after content is found again by the next call.
  return n > 0 || ec == http::error::need_buffer ? error_code() : ec;
}

}  // namespace

awaitable<error_code> receive(boost::beast::tcp_stream& stream,
                              boost::beast::flat_buffer& buffer) {
  const std::size_t room = boost::beast::read_size(buffer, read_bytes);
  if (room == 0) co_return http::error::buffer_overflow;
  const asio::mutable_buffer space = buffer.prepare(room);
  error_code ec;
  const std::size_t n = co_await stream.async_read_some(
      space, asio::redirect_error(asio::use_awaitable, ec));
  buffer.commit(n);
  co_return ec;
}

awaitable<error_code> read_body_some(boost::beast::tcp_stream& stream,
                                     boost::beast::flat_buffer& buffer,
                                     body_parser& parser,
                                     framing_bound& framing,
                                     asio::mutable_buffer out, std::size_t& n) {
  error_code ec;
  // What has arrived is parsed first.
  if (buffer.size() > 0) ec = parse_body(parser, buffer, framing, out, n);
  if (ec || n > 0 || parser.is_done()) co_return ec;
  buffer.reserve(read_bytes);
  ec = co_await receive(stream, buffer);
  if (ec == asio::error::eof) {
    ec = {};
    parser.put_eof(ec);
    co_return ec;
  }
  co_return ec ? ec : parse_body(parser, buffer, framing, out, n);
}

}  // namespace trestlepost::transport
