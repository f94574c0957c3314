#include "trestlepost/transport/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <set>

#include "accept_errors.h"
#include "server_connection.h"

namespace trestlepost::transport {
namespace {

namespace beast = boost::beast;
using error_code = boost::system::error_code;
using asio::redirect_error;
using asio::use_awaitable;

constexpr std::chrono::milliseconds silence_check_interval{1000};

}  // namespace

struct http_server::state {
  state(asio::io_context& c, http_handler& h, http_server_options o)
      : context(c), handler(h), options(o) {}

  asio::io_context& context;
  http_handler& handler;
  http_server_options options;
  std::optional<tcp::acceptor> acceptor;
  std::set<beast::tcp_stream*> idle;
  std::set<server_connection*> active;  // with a request in progress
  std::size_t connections = 0;
  bool draining = false;
};

namespace {

awaitable<void> serve(std::shared_ptr<http_server::state> server,
                      std::shared_ptr<server_connection> self) {
  while (true) {
    server->idle.insert(&self->stream());
    const bool has_request = co_await self->read_head();
    server->idle.erase(&self->stream());
    if (!has_request) break;
    server->active.insert(self.get());
    self->set_draining(server->draining);
    co_await server->handler.handle(*self);
    server->active.erase(self.get());
    self->end_exchange();
    if (!self->keeps_alive(server->draining)) break;
  }
  --server->connections;
  error_code ec;
  self->stream().socket().shutdown(tcp::socket::shutdown_send, ec);
}

/// Ends the exchanges of callers whose hosts have failed, so that no endpoint
/// goes on working for them.
awaitable<void> silence_check_loop(std::shared_ptr<http_server::state> server) {
  while (server->acceptor->is_open() || !server->active.empty()) {
    co_await sleep_for(server->context, silence_check_interval);
    for (server_connection* it : server->active) it->disconnect_if_silent();
  }
}

awaitable<void> accept_loop(std::shared_ptr<http_server::state> server) {
  while (server->acceptor && server->acceptor->is_open()) {
    error_code ec;
    tcp::socket socket(server->context);
    co_await server->acceptor->async_accept(socket,
                                            redirect_error(use_awaitable, ec));
    if (ec == asio::error::operation_aborted) co_return;
    if (ec) {
      co_await wait_after_accept_error(server->context, ec);
      continue;
    }
    if (server->connections >= server->options.max_connections) continue;
    set_accepted_options(socket, server->options.write_timeout);
    ++server->connections;
    std::shared_ptr<server_connection> accepted =
        std::make_shared<server_connection>(std::move(socket), server->options);
    asio::co_spawn(server->context, serve(server, accepted), asio::detached);
  }
}

}  // namespace

http_server::http_server(asio::io_context& context, http_handler& handler,
                         http_server_options options)
    : state_(std::make_shared<state>(context, handler, options)) {}

http_server::~http_server() {
  drain();
}

result<void> http_server::listen(const std::string& address) {
  result<tcp::acceptor> opened = listen_on(state_->context, address);
  if (!opened) return tl::make_unexpected(opened.error());
  state_->acceptor.emplace(std::move(*opened));
  asio::co_spawn(state_->context, accept_loop(state_), asio::detached);
  asio::co_spawn(state_->context, silence_check_loop(state_), asio::detached);
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
  for (beast::tcp_stream* it : state_->idle) it->socket().cancel(ec);
}

std::size_t http_server::in_progress() const {
  return state_->active.size();
}

}  // namespace trestlepost::transport
