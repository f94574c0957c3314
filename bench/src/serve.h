// Runs the HTTP server of a stand-in until a signal ends it.
#pragma once

#include <string>

#include "trestlepost/transport/http_server.h"

namespace trestlepost::bench {

/// Serves on `address` until SIGTERM or SIGINT; returns the exit status, 1 if
/// the address cannot be listened on.
int serve_until_signal(transport::asio::io_context& io,
                       transport::http_handler& handler,
                       const std::string& address);

}  // namespace trestlepost::bench
