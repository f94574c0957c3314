// The pool of an HTTP client's connections that can be reused.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "client_connection.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::transport {

/// Idle connections by address.
class connection_pool {
 public:
  /// `options` outlives the pool.
  explicit connection_pool(const http_client_options& options)
      : options_(options) {}

  /// Removes a reusable connection to `address` from the pool. Returns nullptr
  /// if there is none.
  connection_ptr acquire(const std::string& address);
  /// Adds a connection to the pool for `lifetime`, unless the pool is full.
  void release(const std::string& address, connection_ptr it,
               std::chrono::milliseconds lifetime);
  /// Closes the pooled connections that can't be reused at `now`.
  void close_unusable(monotonic_time now);
  /// Closes all connections, and those that are released later.
  void close();
  std::size_t idle_count() const { return idle_count_; }

 private:
  const http_client_options& options_;
  std::map<std::string, std::deque<connection_ptr>> idle_;
  std::size_t idle_count_ = 0;  // of all addresses
  bool closed_ = false;
};

}  // namespace trestlepost::transport
