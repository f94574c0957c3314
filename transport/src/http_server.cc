#include "trestlepost/transport/http_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "accept_errors.h"
#include "server_connection.h"

namespace trestlepost::transport {
namespace {

namespace beast = boost::beast;
using error_code = boost::system::error_code;
using asio::redirect_error;
using asio::use_awaitable;

constexpr std::chrono::milliseconds connection_check_interval{1000};
// Idle connections that are closed when the process has no descriptors left.
constexpr std::size_t connections_to_free = 64;

}  // namespace

struct http_server::state {
  state(asio::io_context& c, http_handler& h, http_server_options o)
      : context(c), handler(h), options(std::move(o)) {}

  asio::io_context& context;
  http_handler& handler;
  http_server_options options;
  std::optional<tcp::acceptor> acceptor;
  /// Connections that wait for a request or read its head, and since when.
  std::map<server_connection*, monotonic_time> idle;
  std::set<server_connection*> active;  // with a request in progress
  std::size_t connections = 0;
  bool draining = false;
};

namespace {

awaitable<void> serve(std::shared_ptr<http_server::state> server,
                      std::shared_ptr<server_connection> self) {
  while (true) {
    server->idle.emplace(self.get(), boot_clock::now());
    const bool has_request = co_await self->read_head();
    server->idle.erase(self.get());
    if (!has_request) break;
    server->active.insert(self.get());
    co_await server->handler.handle(*self);
    server->active.erase(self.get());
    self->end_exchange();
    if (!self->keeps_alive()) break;
  }
  if (self->has_unread_input()) co_await self->discard_input();
  --server->connections;
  error_code ec;
  self->stream().socket().shutdown(tcp::socket::shutdown_send, ec);
}

/// Closes the connections that wait for a request since before `limit`.
void close_idle(http_server::state& server, monotonic_time limit) {
  for (const auto& [connection, since] : server.idle) {
    if (since < limit) connection->close_if_idle();
  }
}

/// Closes the `count` connections that have waited longest for a request.
void close_longest_idle(http_server::state& server, std::size_t count) {
  std::vector<monotonic_time> since;
  for (const auto& [connection, at] : server.idle) since.push_back(at);
  if (since.empty()) return;
  const auto last = since.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(count, since.size()) - 1);
  std::nth_element(since.begin(), last, since.end());
  close_idle(server, *last + std::chrono::nanoseconds(1));
}

/// Ends the exchanges of callers whose hosts have failed, so that no endpoint
/// goes on working for them, and closes connections that are idle for too long.
awaitable<void> connection_check_loop(
    std::shared_ptr<http_server::state> server) {
  while (server->acceptor->is_open() || !server->active.empty()) {
    co_await sleep_for(server->context, connection_check_interval);
    const monotonic_time now = boot_clock::now();
    for (server_connection* it : server->active) {
      it->disconnect_if_silent();
      it->stop_overdue_body(now);
    }
    close_idle(*server, now - server->options.idle_timeout);
  }
}

awaitable<void> accept_loop(std::shared_ptr<http_server::state> server) {
  while (server->acceptor && server->acceptor->is_open()) {
    error_code ec;
    tcp::socket socket(server->context);
    co_await server->acceptor->async_accept(socket,
                                            redirect_error(use_awaitable, ec));
    if (ec == asio::error::operation_aborted) co_return;
    if (ec == asio::error::no_descriptors) {
      close_longest_idle(*server, connections_to_free);
    }
    if (ec) {
      co_await wait_after_accept_error(server->context, ec);
      continue;
    }
    if (server->connections >= server->options.max_connections) continue;
    set_accepted_options(socket, server->options.write_timeout);
    ++server->connections;
    std::shared_ptr<server_connection> accepted =
        std::make_shared<server_connection>(std::move(socket), server->options,
                                            server->draining);
    asio::co_spawn(server->context, serve(server, accepted), asio::detached);
  }
}

}  // namespace

http_server::http_server(asio::io_context& context, http_handler& handler,
                         http_server_options options)
    : state_(std::make_shared<state>(context, handler, std::move(options))) {}

http_server::~http_server() {
  drain();
}

result<void> http_server::listen(const std::string& address) {
  result<tcp::acceptor> opened = listen_on(state_->context, address);
  if (!opened) return tl::make_unexpected(opened.error());
  state_->acceptor.emplace(std::move(*opened));
  asio::co_spawn(state_->context, accept_loop(state_), asio::detached);
  asio::co_spawn(state_->context, connection_check_loop(state_),
                 asio::detached);
  return {};
}

void http_server::set_options(const http_server_options& options) {
  state_->options = options;
}

const http_server_options& http_server::options() const {
  return state_->options;
}

void http_server::disable_keep_alive() {
  state_->draining = true;
}

void http_server::drain() {
  state_->draining = true;
  error_code ec;
  if (state_->acceptor) state_->acceptor->close(ec);
  close_idle(*state_, monotonic_time::max());
}

void http_server::stop_reading() {
  for (const auto& [connection, since] : state_->idle) {
    connection->stop_reading();
  }
  for (server_connection* it : state_->active) it->stop_reading();
}

std::size_t http_server::connections() const {
  return state_->connections;
}

std::size_t http_server::in_progress() const {
  return state_->active.size();
}

}  // namespace trestlepost::transport
