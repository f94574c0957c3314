#include "trestlepost/transport/peer_links.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "peer_frame.h"
#include "trestlepost/base/compression.h"
#include "trestlepost/base/log.h"

namespace trestlepost::transport {
namespace {

using error_code = boost::system::error_code;
using asio::redirect_error;
using asio::use_awaitable;
using std::chrono::milliseconds;

constexpr milliseconds write_timeout{10'000};
// Delay between two attempts to connect. While a node starts, messages are sent
// about every 150 ms, and each failed attempt drops what is queued.
constexpr milliseconds reconnect_delay{100};

/// Connection to a peer and the queue of its messages.
struct link {
  link(asio::io_context& context, std::string to)
      : address(std::move(to)), stream(context), wake(context) {}

  std::string address;
  boost::beast::tcp_stream stream;
  timer wake;
  std::deque<encoded_notification> queue;
  std::size_t queued_bytes = 0;
  std::string challenge;
  std::uint64_t counter = 0;
  bool closed = false;
  bool lost_before = false;          // a connection to this peer was lost
  bool failed_before = false;        // the last attempt to connect failed
  bool reconnect_requested = false;  // the current connection is to be replaced
  bool ended = false;                // the peer closed the current connection
  monotonic_time opened_at{};
};

}  // namespace

struct peer_links::state {
  state(asio::io_context& c, std::string s, peer_options o)
      : context(c), secret(std::move(s)), options(std::move(o)) {}

  asio::io_context& context;
  std::string secret;
  peer_options options;
  std::map<std::string, std::shared_ptr<link>> links;
  std::set<std::string> persistent;
  peer_traffic traffic;
  std::function<void(const std::string&)> on_connection_lost =
      [](const std::string&) {};
};

namespace {

using links_state = std::shared_ptr<peer_links::state>;

/// Logs the first of several failures in a row.
void record_connect_failure(link& to, const char* step, error_code cause) {
  if (std::exchange(to.failed_before, true)) return;
  log_event(
      log_level::info, "peer-connect-failed",
      {{"peer", to.address}, {"step", step}, {"detail", cause.message()}});
}

/// Connects and reads the peer's challenge.
awaitable<bool> connect(const peer_links::state& all, link& to) {
  const result<tcp::endpoint> at = parse_address(to.address);
  if (!at) co_return false;
  error_code ec;
  to.stream.socket().close(ec);
  open_and_bind(to.stream.socket(), *at, all.options.source_ip);
  to.stream.expires_after(all.options.connect_timeout);
  co_await to.stream.async_connect(*at, redirect_error(use_awaitable, ec));
  if (ec) {
    record_connect_failure(to, "connect", ec);
    co_return false;
  }
  set_outgoing_options(to.stream.socket(), all.options.tcp_user_timeout);
  to.stream.expires_after(all.options.challenge_timeout);
  to.challenge.assign(detail::challenge_size, '\0');
  co_await asio::async_read(to.stream, asio::buffer(to.challenge),
                            redirect_error(use_awaitable, ec));
  to.counter = 0;
  if (ec) {
    record_connect_failure(to, "challenge", ec);
    co_return false;
  }
  to.failed_before = false;
  co_return true;
}

/// Sends one frame. Returns false if the connection failed.
awaitable<bool> write(peer_links::state& all, link& to, std::string_view text) {
  const std::string frame =
      detail::encode_frame(all.secret, to.challenge, to.counter++, text);
  error_code ec;
  to.stream.expires_after(write_timeout);
  co_await asio::async_write(to.stream, asio::buffer(frame),
                             redirect_error(use_awaitable, ec));
  if (ec) co_return false;
  all.traffic.bytes_sent += frame.size();
  ++all.traffic.messages_sent;
  co_return true;
}

std::string make_hello(const peer_links::state& all, const link& to) {
  json params(Json::objectValue);
  if (to.lost_before) params["reopened_by"] = all.options.own_address;
  return make_rpc_notification(detail::hello_method, params);
}

/// Waits for the end of the connection: the peer sends nothing after its
/// challenge. Ends when this node closes the connection.
awaitable<void> detect_end(std::shared_ptr<link> to) {
  error_code ec;
  co_await to->stream.socket().async_wait(tcp::socket::wait_read,
                                          redirect_error(use_awaitable, ec));
  if (ec) co_return;
  to->ended = true;
  to->wake.cancel();
}

/// Sends queued messages until the connection ends, fails or is to be replaced.
awaitable<void> send_queue(peer_links::state& all, link& to) {
  to.reconnect_requested = false;
  to.opened_at = boot_clock::now();
  const std::string hello = make_hello(all, to);
  bool connected = co_await write(all, to, hello);
  while (connected && !to.closed && !to.ended && !to.reconnect_requested) {
    if (to.queue.empty()) {
      error_code ec;
      to.wake.expires_at(monotonic_time::max());
      co_await to.wake.async_wait(redirect_error(use_awaitable, ec));
      continue;
    }
    const encoded_notification next = std::move(to.queue.front());
    to.queue.pop_front();
    to.queued_bytes -= next.payload->size();
    connected = co_await write(all, to, *next.payload);
  }
}

/// Connects, sends and reconnects until the link is closed.
awaitable<void> run_link(links_state all, std::shared_ptr<link> to) {
  while (!to->closed) {
    const bool connected = co_await connect(*all, *to);
    if (connected) {
      to->ended = false;
      asio::co_spawn(all->context, detect_end(to), asio::detached);
      co_await send_queue(*all, *to);
    }
    if (to->closed) co_return;
    // Ends the wait for the peer's close.
    error_code ec;
    to->stream.socket().close(ec);
    // Queued messages would be outdated when the next connection is open.
    all->traffic.messages_dropped += to->queue.size();
    to->queue.clear();
    to->queued_bytes = 0;
    if (connected) {
      to->lost_before = true;
      all->on_connection_lost(to->address);
    }
    to->wake.expires_after(reconnect_delay);
    co_await to->wake.async_wait(redirect_error(use_awaitable, ec));
    while (to->queue.empty() && !to->closed &&
           !all->persistent.contains(to->address)) {
      to->wake.expires_at(monotonic_time::max());
      co_await to->wake.async_wait(redirect_error(use_awaitable, ec));
    }
  }
}

}  // namespace

peer_links::peer_links(asio::io_context& context, std::string secret,
                       peer_options options)
    : state_(std::make_shared<state>(context, std::move(secret),
                                     std::move(options))) {}

peer_links::~peer_links() {
  close();
}

namespace {

/// Returns the link to `address`. Creates and starts it if necessary.
std::shared_ptr<link> link_to(const links_state& all,
                              const std::string& address) {
  std::shared_ptr<link>& to = all->links[address];
  if (!to) {
    to = std::make_shared<link>(all->context, address);
    asio::co_spawn(all->context, run_link(all, to), asio::detached);
  }
  return to;
}

}  // namespace

encoded_notification encode_notification(const std::string& method,
                                         const json& params) {
  return {std::make_shared<const std::string>(
      compress_text(make_rpc_notification(method, params)))};
}

void peer_links::send(const std::string& address, const std::string& method,
                      const json& params) {
  if (address.empty()) return;
  send(address, encode_notification(method, params));
}

void peer_links::send(const std::string& address,
                      const encoded_notification& encoded) {
  if (address.empty()) return;
  const std::shared_ptr<link> to = link_to(state_, address);
  const std::size_t size = encoded.payload->size();
  if (to->queued_bytes + size > state_->options.queue_limit) {
    ++state_->traffic.messages_dropped;
    return;
  }
  to->queued_bytes += size;
  to->queue.push_back(encoded);
  to->wake.cancel();
}

void peer_links::keep_open(std::set<std::string> addresses) {
  addresses.erase("");
  if (addresses == state_->persistent) return;
  state_->persistent = std::move(addresses);
  for (const std::string& it : state_->persistent) {
    link_to(state_, it)->wake.cancel();
  }
}

void peer_links::reconnect(const std::string& address) {
  const auto found = state_->links.find(address);
  if (found == state_->links.end()) return;
  link& it = *found->second;
  const std::chrono::nanoseconds age = boot_clock::now() - it.opened_at;
  if (age < state_->options.tcp_user_timeout) return;
  it.reconnect_requested = true;
  it.wake.cancel();
}

void peer_links::set_on_connection_lost(
    std::function<void(const std::string& address)> on_connection_lost) {
  state_->on_connection_lost = std::move(on_connection_lost);
}

const peer_traffic& peer_links::traffic() const {
  return state_->traffic;
}

std::size_t peer_links::queued_bytes() const {
  std::size_t out = 0;
  for (const auto& [address, it] : state_->links) out += it->queued_bytes;
  return out;
}

void peer_links::close() {
  for (const auto& [address, it] : state_->links) {
    it->closed = true;
    it->wake.cancel();
    error_code ec;
    it->stream.socket().close(ec);
  }
  state_->links.clear();
}

}  // namespace trestlepost::transport
