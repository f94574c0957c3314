// Runs a stand-in's HTTP server until it is told to end.
#pragma once

#include <string>

#include "trestlepost/transport/http_server.h"

namespace trestlepost::bench {

/// Serves on `address` until SIGTERM or SIGINT; the exit status.
int serve_until_signal(transport::asio::io_context& io,
                       transport::http_handler& handler,
                       const std::string& address);

}  // namespace trestlepost::bench
