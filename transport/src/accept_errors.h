// What a server does when it cannot accept a connection.
#pragma once

#include "trestlepost/transport/asio.h"

namespace trestlepost::transport {

/// Logs `ec` and waits before the next attempt. Errors such as a lack of file
/// descriptors persist, and the pending connection stays in the queue.
awaitable<void> wait_after_accept_error(asio::io_context& context,
                                        boost::system::error_code ec);

}  // namespace trestlepost::transport
