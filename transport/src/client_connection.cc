#include "client_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace trestlepost::transport {
namespace {

using error_code = boost::system::error_code;

/// Writes as much of the request as possible without blocking.
void write_some(client_connection& it) {
  error_code ec;
  it.stream.socket().non_blocking(true, ec);
  while (!ec && !it.write_done()) {
    it.written += it.stream.socket().write_some(it.unwritten(), ec);
  }
  it.free_written();
  it.write_failed = ec && ec != asio::error::would_block;
}

/// Writes the rest of the request. After an error the response is still read:
/// it may have arrived whole before.
awaitable<void> write_rest(connection_ptr it) {
  error_code ec;
  while (!ec && !it->write_done()) {
    const std::array<asio::const_buffer, 2> rest = it->unwritten();
    it->written += co_await it->stream.async_write_some(
        rest, asio::redirect_error(asio::use_awaitable, ec));
  }
  it->write_failed = ec.failed();
  it->free_written();
}

}  // namespace

void start_write(asio::io_context& context, const connection_ptr& it) {
  write_some(*it);
  if (it->write_failed || it->write_done()) return;
  asio::co_spawn(context, write_rest(it), asio::detached);
}

}  // namespace trestlepost::transport
