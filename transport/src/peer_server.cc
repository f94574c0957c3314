// Server side of the connections between nodes, which peer_links.h declares.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <optional>
#include <set>

#include "accept_errors.h"
#include "peer_frame.h"
#include "trestlepost/base/compression.h"
#include "trestlepost/base/log.h"
#include "trestlepost/transport/peer_links.h"

namespace trestlepost::transport {
namespace {

using error_code = boost::system::error_code;
using asio::redirect_error;
using asio::use_awaitable;

// Limit for the first frame, which authenticates the peer.
constexpr std::chrono::milliseconds first_frame_timeout{5000};

}  // namespace

struct peer_server::state {
  state(asio::io_context& c, std::string s, rpc_dispatcher& d, random_source& r,
        peer_options o)
      : context(c),
        secret(std::move(s)),
        dispatcher(d),
        random(r),
        options(std::move(o)) {}

  asio::io_context& context;
  std::string secret;
  rpc_dispatcher& dispatcher;
  random_source& random;
  peer_options options;
  std::optional<tcp::acceptor> acceptor;
  std::set<boost::beast::tcp_stream*> open;
  peer_traffic traffic;
  std::function<void(const std::string&)> on_peer_reconnected =
      [](const std::string&) {};
};

namespace {

using server_state = std::shared_ptr<peer_server::state>;

std::string make_challenge(random_source& random) {
  std::string out;
  while (out.size() < detail::challenge_size) {
    std::uint64_t n = random.next();
    out.append(reinterpret_cast<const char*>(&n), sizeof n);
  }
  return out;
}

/// Records a frame that is too large. Only the first, with the number 0, is
/// from a peer that is not yet authenticated.
void refuse_oversized(peer_server::state& server, std::uint64_t number,
                      std::size_t size, std::size_t limit) {
  std::uint64_t& refused = number == 0 ? server.traffic.unauthenticated_refused
                                       : server.traffic.oversized_refused;
  ++refused;
  log_event(log_level::warn, "peer-frame-too-large",
            {{"authenticated", number == 0 ? "no" : "yes"},
             {"bytes", std::to_string(size)},
             {"allowed", std::to_string(limit)}});
}

/// Reads one frame and returns its payload. Returns nullopt if the connection
/// ends, or if the frame is too large, has an invalid digest or cannot be
/// decompressed.
awaitable<std::optional<std::string>> read_frame(
    server_state server, boost::beast::tcp_stream& stream,
    const std::string& challenge, std::uint64_t counter) {
  std::array<char, detail::frame_head_size> head{};
  error_code ec;
  co_await asio::async_read(stream, asio::buffer(head),
                            redirect_error(use_awaitable, ec));
  if (ec) co_return std::nullopt;
  const std::size_t size = detail::decode_length(head.data());
  const std::size_t limit = counter == 0 ? server->options.first_frame_limit
                                         : server->options.frame_limit;
  if (size > limit) {
    refuse_oversized(*server, counter, size, limit);
    co_return std::nullopt;
  }
  std::string payload(size, '\0');
  co_await asio::async_read(stream, asio::buffer(payload),
                            redirect_error(use_awaitable, ec));
  if (ec) co_return std::nullopt;
  sha256_digest given{};
  std::copy_n(
      reinterpret_cast<const unsigned char*>(head.data()) + detail::length_size,
      given.size(), given.begin());
  const sha256_digest expected =
      detail::frame_digest(server->secret, challenge, counter, payload);
  if (!equal_digests(given, expected)) {
    ++server->traffic.unauthenticated_refused;
    log_event(log_level::warn, "peer-refused",
              {{"detail", "a frame has an invalid digest"}});
    co_return std::nullopt;
  }
  server->traffic.bytes_received += head.size() + size;
  ++server->traffic.messages_received;
  std::optional<std::string> text =
      decompress_text(std::move(payload), server->options.frame_limit);
  if (!text) log_event(log_level::warn, "peer-frame-damaged");
  co_return text;
}

/// Sends the challenge, then receives frames until the connection ends.
awaitable<void> serve(server_state server, tcp::socket socket) {
  boost::beast::tcp_stream stream(std::move(socket));
  server->open.insert(&stream);
  const std::string challenge = make_challenge(server->random);
  error_code ec;
  stream.expires_after(first_frame_timeout);
  co_await asio::async_write(stream, asio::buffer(challenge),
                             redirect_error(use_awaitable, ec));
  const rpc_context caller{"", "peer"};
  for (std::uint64_t counter = 0; !ec; ++counter) {
    const std::optional<std::string> payload =
        co_await read_frame(server, stream, challenge, counter);
    if (!payload) break;
    stream.expires_never();
    server->dispatcher.dispatch(*payload, caller);
  }
  server->open.erase(&stream);
}

awaitable<void> accept_loop(server_state server) {
  while (server->acceptor && server->acceptor->is_open()) {
    tcp::socket socket(server->context);
    error_code ec;
    co_await server->acceptor->async_accept(socket,
                                            redirect_error(use_awaitable, ec));
    if (ec == asio::error::operation_aborted) co_return;
    if (ec) {
      co_await wait_after_accept_error(server->context, ec);
      continue;
    }
    set_accepted_options(socket);
    asio::co_spawn(server->context, serve(server, std::move(socket)),
                   asio::detached);
  }
}

}  // namespace

peer_server::peer_server(asio::io_context& context, std::string secret,
                         rpc_dispatcher& dispatcher, random_source& random,
                         peer_options options)
    : state_(std::make_shared<state>(context, std::move(secret), dispatcher,
                                     random, std::move(options))) {
  dispatcher.add_notification(
      detail::hello_method, [all = state_](const json& in, const rpc_context&) {
        const std::string by = text_of(in, "reopened_by");
        if (!by.empty()) all->on_peer_reconnected(by);
      });
}

void peer_server::set_on_peer_reconnected(
    std::function<void(const std::string& address)> on_peer_reconnected) {
  state_->on_peer_reconnected = std::move(on_peer_reconnected);
}

peer_server::~peer_server() {
  close();
}

result<void> peer_server::listen(const std::string& address) {
  result<tcp::acceptor> opened = listen_on(state_->context, address);
  if (!opened) return tl::make_unexpected(opened.error());
  state_->acceptor.emplace(std::move(*opened));
  asio::co_spawn(state_->context, accept_loop(state_), asio::detached);
  return {};
}

const peer_traffic& peer_server::traffic() const {
  return state_->traffic;
}

void peer_server::close() {
  error_code ec;
  if (state_->acceptor) state_->acceptor->close(ec);
  for (boost::beast::tcp_stream* it : state_->open) it->socket().close(ec);
}

}  // namespace trestlepost::transport
