#include "relay_connection.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <string>
#include <utility>

#include "trestlepost/base/clock.h"

namespace trestlepost::bench {
namespace {

using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using transport::awaitable;
using transport::tcp;
using error_code = boost::system::error_code;

constexpr std::size_t read_buffer_bytes = 64UL * 1024;
// The reader stops when this much waits for the link, so that TCP flow control
// reaches the sender.
constexpr std::size_t max_queued_bytes = 4UL * 1024 * 1024;
constexpr std::chrono::milliseconds cut_poll_interval{20};

struct delayed_chunk {
  monotonic_time due;
  std::string data;
};

/// One direction of a connection: data that waits for the delay of the link.
/// `wake` is cancelled when the queue changes.
struct flow_state {
  explicit flow_state(transport::asio::io_context& io) : wake(io) {}
  std::deque<delayed_chunk> queue;
  std::size_t bytes = 0;
  bool ended = false;
  transport::timer wake;
};

awaitable<void> read_loop(transport::asio::io_context& io,
                          std::shared_ptr<connection_pair> pair,
                          tcp::socket& from, std::shared_ptr<flow_state> flow,
                          const link_state& link) {
  std::array<char, read_buffer_bytes> buf{};
  while (true) {
    error_code ec;
    const std::size_t n = co_await from.async_read_some(
        boost::asio::buffer(buf), redirect_error(use_awaitable, ec));
    if (ec || !pair->target.is_open()) break;
    flow->queue.push_back(
        {boot_clock::now() + link.delay, std::string(buf.data(), n)});
    flow->bytes += n;
    flow->wake.cancel();
    while (flow->bytes > max_queued_bytes)
      co_await transport::sleep_for(io, cut_poll_interval);
  }
  flow->ended = true;
  flow->wake.cancel();
}

awaitable<void> write_loop(transport::asio::io_context& io,
                           std::shared_ptr<connection_pair> pair,
                           tcp::socket& to, std::shared_ptr<flow_state> flow,
                           const link_state& link, random_source& random) {
  while (true) {
    if (flow->queue.empty()) {
      if (flow->ended) break;
      flow->wake.expires_at(monotonic_time::max());
      error_code ec;
      co_await flow->wake.async_wait(redirect_error(use_awaitable, ec));
      continue;
    }
    // As in a network partition: nothing is sent and no connection is closed.
    while (link.cut && to.is_open())
      co_await transport::sleep_for(io, cut_poll_interval);
    const monotonic_time now = boot_clock::now();
    if (flow->queue.front().due > now) {
      flow->wake.expires_at(flow->queue.front().due);
      error_code ec;
      co_await flow->wake.async_wait(redirect_error(use_awaitable, ec));
      continue;
    }
    const std::string data = std::move(flow->queue.front().data);
    flow->queue.pop_front();
    flow->bytes -= data.size();
    if (random.fraction() < link.loss) break;
    error_code ec;
    co_await boost::asio::async_write(to, boost::asio::buffer(data),
                                      redirect_error(use_awaitable, ec));
    if (ec) break;
  }
  pair->close();
}

}  // namespace

void connection_pair::close() {
  error_code ec;
  source.close(ec);
  target.close(ec);
}

void relay_data(transport::asio::io_context& io,
                const std::shared_ptr<connection_pair>& pair,
                const link_state& forward, const link_state& back,
                random_source& random) {
  const std::shared_ptr<flow_state> out = std::make_shared<flow_state>(io);
  const std::shared_ptr<flow_state> in = std::make_shared<flow_state>(io);
  using boost::asio::co_spawn;
  using boost::asio::detached;
  co_spawn(io, read_loop(io, pair, pair->source, out, forward), detached);
  co_spawn(io, write_loop(io, pair, pair->target, out, forward, random),
           detached);
  co_spawn(io, read_loop(io, pair, pair->target, in, back), detached);
  co_spawn(io, write_loop(io, pair, pair->source, in, back, random), detached);
}

}  // namespace trestlepost::bench
