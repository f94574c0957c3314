#include "trestlepost/gateway/startup_gate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace trestlepost::gateway {

transport::awaitable<void> startup_gate::wait(std::chrono::milliseconds time) {
  const std::shared_ptr<transport::timer> timer =
      std::make_shared<transport::timer>(io_);
  timer->expires_after(time);
  waiting_.push_back(timer);
  boost::system::error_code ec;
  co_await timer->async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  std::erase(waiting_, timer);
}

void startup_gate::wake_all() {
  const std::vector<std::shared_ptr<transport::timer>> woken =
      std::exchange(waiting_, {});
  for (const std::shared_ptr<transport::timer>& it : woken) it->cancel();
}

}  // namespace trestlepost::gateway
