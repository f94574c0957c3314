// A relayed TCP connection, over links with delays, cuts and losses.
#pragma once

#include <chrono>
#include <memory>

#include "trestlepost/base/random.h"
#include "trestlepost/transport/asio.h"

namespace trestlepost::bench {

/// State of one direction of a link.
struct link_state {
  std::chrono::milliseconds delay{0};
  /// Data waits until the link is restored, and no connection is closed.
  bool cut = false;
  /// Probability that a piece of data is lost together with its connection.
  double loss = 0;
};

/// Sockets of a relayed connection.
struct connection_pair {
  explicit connection_pair(transport::asio::io_context& io)
      : source(io), target(io) {}
  transport::tcp::socket source;
  transport::tcp::socket target;

  void close();
};

/// Relays data in both directions until one end closes: from the source over
/// `forward`, from the target over `back`. The links may change meanwhile, on
/// the event loop of `io`. They and `random` must outlive the connection.
void relay_data(transport::asio::io_context& io,
                const std::shared_ptr<connection_pair>& pair,
                const link_state& forward, const link_state& back,
                random_source& random);

}  // namespace trestlepost::bench
