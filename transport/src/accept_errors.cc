#include "accept_errors.h"

#include "trestlepost/base/log.h"

namespace trestlepost::transport {
namespace {

constexpr std::chrono::milliseconds retry_interval{50};

}  // namespace

awaitable<void> wait_after_accept_error(asio::io_context& context,
                                        boost::system::error_code ec) {
  log_event(log_level::warn, "accept-failed", {{"detail", ec.message()}});
  co_await sleep_for(context, retry_interval);
}

}  // namespace trestlepost::transport
