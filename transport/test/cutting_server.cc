#include "cutting_server.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "loopback_ip.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::transport::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned short port = 7817;
constexpr std::size_t max_body_bytes = 100'000;

awaitable<void> exchange(http_client& client, http_request sent,
                         std::optional<answer>& out) {
  const std::shared_ptr<http_call> call =
      client.call(loopback_ip() + ":" + std::to_string(port));
  const monotonic_time deadline = boot_clock::now() + seconds(10);
  const tl::expected<void, call_failure> head =
      co_await call->send(std::move(sent), deadline);
  if (!head) co_return;
  const result<std::string> rest = co_await call->read_rest(max_body_bytes);
  if (rest) out = answer{call->status(), *rest};
}

}  // namespace

cutting_server::cutting_server()
    : acceptor_(io_, {asio::ip::make_address(loopback_ip()), port}),
      thread_([this] { run(); }) {}

cutting_server::~cutting_server() {
  stopping_ = true;
  boost::system::error_code ec;
  asio::io_context io;
  asio::ip::tcp::socket wake(io);
  wake.connect({asio::ip::make_address(loopback_ip()), port}, ec);
  thread_.join();
}

void cutting_server::set(std::string sent, const ending& how) {
  const std::scoped_lock guard(lock_);
  sent_ = std::move(sent);
  how_ = how;
}

void cutting_server::run() {
  while (true) {
    boost::system::error_code ec;
    asio::ip::tcp::socket socket = acceptor_.accept(ec);
    if (stopping_) return;
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ec);
    const std::scoped_lock guard(lock_);
    const std::size_t half = how_.two_packets ? sent_.size() / 2 : 0;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    asio::write(socket, asio::buffer(sent_.data(), half), ec);
    if (how_.two_packets) std::this_thread::sleep_for(milliseconds(2));
    asio::write(socket, asio::buffer(sent_.data() + half, sent_.size() - half),
                ec);
    std::this_thread::sleep_for(how_.pause);
    if (how_.reads_on) {
      socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
      std::array<char, 64UL * 1024> rest{};
      while (!ec) socket.read_some(asio::buffer(rest), ec);
    }
    if (how_.reset) socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
  }
}

std::optional<answer> request(const std::string& method,
                              std::size_t body_bytes) {
  asio::io_context io;
  http_client_options options;
  options.accept_close_delimited = true;
  http_client client(io, options);
  http_request sent;
  sent.method = method;
  sent.target = "/";
  sent.body = std::string(body_bytes, 'x');
  std::optional<answer> out;
  asio::co_spawn(io, exchange(client, std::move(sent), out), asio::detached);
  io.run();
  return out;
}

}  // namespace trestlepost::transport::test
