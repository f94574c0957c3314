// Waiting, and the conversion between clocks, that asio.h declares.
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "trestlepost/transport/asio.h"

namespace trestlepost::transport {

awaitable<void> sleep_for(asio::io_context& context,
                          std::chrono::milliseconds time) {
  timer waiting(context);
  waiting.expires_after(time);
  boost::system::error_code ec;
  co_await waiting.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

std::chrono::steady_clock::time_point to_steady_time(monotonic_time at) {
  using steady = std::chrono::steady_clock;
  if (at == monotonic_time::max()) return steady::time_point::max();
  return steady::now() + (at - boot_clock::now());
}

}  // namespace trestlepost::transport
