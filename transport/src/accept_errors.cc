#include "accept_errors.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "trestlepost/base/log.h"

namespace trestlepost::transport {
namespace {

constexpr std::chrono::milliseconds retry_interval{50};

}  // namespace

awaitable<void> wait_after_accept_error(asio::io_context& context,
                                        boost::system::error_code ec) {
  log_event(log_level::warn, "accept-failed", {{"detail", ec.message()}});
  asio::steady_timer retry(context, retry_interval);
  co_await retry.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

}  // namespace trestlepost::transport
