// Messages between nodes: JSON-RPC notifications in frames over persistent TCP
// connections. Each frame has an HMAC keyed with the peers' shared secret, over
// a challenge from the receiver, a counter and the payload, which protects
// against forgery and replay. Delivery is not guaranteed.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "trestlepost/base/json.h"
#include "trestlepost/base/random.h"
#include "trestlepost/transport/asio.h"
#include "trestlepost/transport/rpc.h"

namespace trestlepost::transport {

/// Limits and timeouts of connections between nodes.
struct peer_options {
  std::size_t frame_limit = 64UL * 1024 * 1024;  // bytes
  /// Bytes of the first frame, which is read from a peer that is not yet
  /// authenticated.
  std::size_t first_frame_limit = 4UL * 1024;
  std::size_t queue_limit = 64UL * 1024 * 1024;  // bytes per peer
  std::string source_ip;  // of outgoing connections; empty: any
  /// Limit for establishing the connection, which the peer's system does.
  std::chrono::milliseconds connect_timeout{2000};
  /// Limit for receiving the peer's challenge, which a busy process sends late.
  std::chrono::milliseconds challenge_timeout{5000};
  /// TCP user timeout: a connection is replaced if the peer's host acknowledges
  /// nothing for this long.
  std::chrono::milliseconds tcp_user_timeout{default_tcp_user_timeout};
  /// Address at which this node accepts peers. It is sent to a peer after a
  /// connection to it was lost, unless it is empty.
  std::string own_address;
};

/// Counters of peer traffic, for metrics.
struct peer_traffic {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t messages_dropped = 0;
  std::uint64_t unauthenticated_refused = 0;
  /// Frames of authenticated peers that were larger than the limit.
  std::uint64_t oversized_refused = 0;
};

/// Notification that is serialized and compressed once, then sent to any number
/// of peers.
struct encoded_notification {
  std::shared_ptr<const std::string> payload;
};

encoded_notification encode_notification(const std::string& method,
                                         const json& params);

/// Sends notifications to peers. Connects to a peer on its first notification.
class peer_links {
 public:
  peer_links(asio::io_context& context, std::string secret,
             peer_options options);
  ~peer_links();

  /// Queues a notification for the node at `address`. Drops it if the queue is
  /// full.
  void send(const std::string& address, const std::string& method,
            const json& params);
  void send(const std::string& address, const encoded_notification& encoded);

  /// Replaces the set of peers to which connections are opened and restored
  /// even if nothing is queued. The first message to another peer is delayed by
  /// two round trips, which is 0.32 s between regions.
  void keep_open(std::set<std::string> addresses);

  /// Sets the action to call after an established connection is lost. Messages
  /// that were queued or recently sent may be lost; later ones are sent over
  /// the next connection.
  void set_on_connection_lost(
      std::function<void(const std::string& address)> on_connection_lost);

  /// Replaces the connection to `address`, after that peer reported that it had
  /// to reopen its own connection to this node. Without it, this node may
  /// detect the failure up to 2 s later, since the gaps between TCP
  /// retransmissions double. Does nothing if the connection is newer than the
  /// TCP user timeout.
  void reconnect(const std::string& address);

  const peer_traffic& traffic() const;
  /// The bytes that wait to be sent, over all peers.
  std::size_t queued_bytes() const;
  /// Closes all connections and drops what is queued.
  void close();

  /// Implementation detail.
  struct state;

 private:
  std::shared_ptr<state> state_;
};

/// Accepts connections of peers and passes notifications to the dispatcher.
class peer_server {
 public:
  peer_server(asio::io_context& context, std::string secret,
              rpc_dispatcher& dispatcher, random_source& random,
              peer_options options);
  ~peer_server();

  /// Starts to accept connections at "IP:PORT".
  result<void> listen(const std::string& address);

  /// Sets the action to call when the peer that accepts connections at
  /// `address` has reconnected after it lost a connection to this node.
  void set_on_peer_reconnected(
      std::function<void(const std::string& address)> on_peer_reconnected);

  const peer_traffic& traffic() const;
  void close();

  /// Implementation detail.
  struct state;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace trestlepost::transport
