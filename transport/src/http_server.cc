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
#include "trestlepost/base/log.h"

namespace trestlepost::transport {
namespace {

namespace beast = boost::beast;
using error_code = boost::system::error_code;
using asio::redirect_error;
using asio::use_awaitable;

constexpr std::chrono::milliseconds connection_check_interval{1000};
// Idle connections that are closed when the process has no descriptors left.
constexpr std::size_t connections_to_free = 64;
// A new connection is not closed for being idle for this time, since its first
// request is probably on its way.
constexpr std::chrono::milliseconds first_request_wait{150};

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

/// Closes the connections that wait for a request, but for new ones.
void close_all_idle(http_server::state& server) {
  const monotonic_time now = boot_clock::now();
  for (const auto& [connection, since] : server.idle) {
    const bool expects_request =
        connection->is_new() && now < since + first_request_wait;
    if (!expects_request) connection->close_if_idle();
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
      it->stop_overdue_read(now);
    }
    for (const auto& [connection, since] : server->idle)
      connection->stop_overdue_read(now);
    close_idle(*server, now - server->options.idle_timeout);
  }
}

void start_serving(const std::shared_ptr<http_server::state>& server,
                   tcp::socket socket) {
  if (server->connections >= server->options.max_connections) {
    log_event(log_level::warn, "connection-limit-reached",
              {{"connections", std::to_string(server->connections)}});
    return;
  }
  set_accepted_options(socket, server->options.write_timeout);
  ++server->connections;
  std::shared_ptr<server_connection> accepted =
      std::make_shared<server_connection>(std::move(socket), server->options,
                                          server->draining);
  asio::co_spawn(server->context, serve(server, accepted), asio::detached);
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
    start_serving(server, std::move(socket));
  }
}

/// Closes the acceptor. Connections that the system has accepted are served.
void close_acceptor(const std::shared_ptr<http_server::state>& server) {
  error_code ec;
  server->acceptor->non_blocking(true, ec);
  while (!ec) {
    tcp::socket socket(server->context);
    server->acceptor->accept(socket, ec);
    if (!ec) start_serving(server, std::move(socket));
  }
  server->acceptor->close(ec);
}

}  // namespace

http_server::http_server(asio::io_context& context, http_handler& handler,
                         http_server_options options)
    : state_(std::make_shared<state>(context, handler, std::move(options))) {}

http_server::~http_server() {
  // Serves no further connection, unlike `drain`.
  state_->draining = true;
  error_code ec;
  if (state_->acceptor) state_->acceptor->close(ec);
  close_idle(*state_, monotonic_time::max());
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
  const bool listening = state_->acceptor && state_->acceptor->is_open();
  if (listening) close_acceptor(state_);
  close_all_idle(*state_);
}

void http_server::log_requests_in_progress() const {
  for (const server_connection* it : state_->active) it->log_cut();
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
