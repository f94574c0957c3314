#include "serve.h"

#include <boost/asio/signal_set.hpp>
#include <iostream>

namespace trestlepost::bench {

int serve_until_signal(transport::asio::io_context& io,
                       transport::http_handler& handler,
                       const std::string& address) {
  transport::http_server server(io, handler, {});
  const result<void> opened = server.listen(address);
  if (!opened) {
    std::cerr << opened.error().message << "\n";
    return 1;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait(
      [&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace trestlepost::bench
