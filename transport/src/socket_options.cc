// Address parsing and socket options that asio.h declares.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <optional>

#include "trestlepost/transport/asio.h"

namespace trestlepost::transport {
namespace {

// So many retransmissions without an answer take three seconds or more. They
// tell a silent host from a connection that has only been idle.
constexpr std::uint8_t min_retransmissions = 4;
// Idle time in seconds before the first keep-alive probe, and between probes.
constexpr int probe_interval_s = 1;

void set_no_delay(tcp::socket& socket) {
  boost::system::error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
}

void set_tcp_option(tcp::socket& socket, int option, int value) {
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value,
               sizeof value);
}

/// Returns what the system knows of the connection, if it is open.
std::optional<tcp_info> connection_info(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  const int failed =
      ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return failed == 0 ? std::optional<tcp_info>(info) : std::nullopt;
}

}  // namespace

result<tcp::endpoint> parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  boost::system::error_code ec;
  std::uint16_t port = 0;
  if (colon != std::string::npos) {
    const char* end = text.data() + text.size();
    const std::from_chars_result parsed =
        std::from_chars(text.data() + colon + 1, end, port);
    const asio::ip::address ip =
        asio::ip::make_address(text.substr(0, colon), ec);
    const bool ok = !ec && parsed.ec == std::errc() && parsed.ptr == end;
    if (ok) return tcp::endpoint(ip, port);
  }
  return fail(error_kind::bad_input, "\"" + text + "\" is not an address",
              "write IP:PORT, for example \"127.0.1.1:8000\"");
}

void set_accepted_options(tcp::socket& socket,
                          std::chrono::milliseconds tcp_user_timeout) {
  set_no_delay(socket);
  set_tcp_option(socket, TCP_USER_TIMEOUT,
                 static_cast<int>(tcp_user_timeout.count()));
}

bool is_host_silent(tcp::socket& socket) {
  const std::optional<tcp_info> info = connection_info(socket);
  if (!info || info->tcpi_retransmits < min_retransmissions) return false;
  const std::chrono::milliseconds silence(info->tcpi_last_ack_recv);
  return silence >= max_host_silence;
}

bool is_established(tcp::socket& socket) {
  const std::optional<tcp_info> info = connection_info(socket);
  return info && info->tcpi_state == TCP_ESTABLISHED;
}

std::chrono::microseconds smoothed_round_trip(tcp::socket& socket) {
  const std::optional<tcp_info> info = connection_info(socket);
  return std::chrono::microseconds(info ? info->tcpi_rtt : 0);
}

std::optional<std::chrono::milliseconds> time_since_data(tcp::socket& socket) {
  const std::optional<tcp_info> info = connection_info(socket);
  if (!info) return std::nullopt;
  return std::chrono::milliseconds(info->tcpi_last_data_recv);
}

void set_outgoing_options(tcp::socket& socket,
                          std::chrono::milliseconds tcp_user_timeout) {
  set_no_delay(socket);
  boost::system::error_code ec;
  socket.set_option(asio::socket_base::keep_alive(true), ec);
  set_tcp_option(socket, TCP_KEEPIDLE, probe_interval_s);
  set_tcp_option(socket, TCP_KEEPINTVL, probe_interval_s);
  set_tcp_option(socket, TCP_USER_TIMEOUT,
                 static_cast<int>(tcp_user_timeout.count()));
}

void open_and_bind(tcp::socket& socket, const tcp::endpoint& to,
                   const std::string& source_ip) {
  if (source_ip.empty()) return;
  boost::system::error_code ec;
  const asio::ip::address ip = asio::ip::make_address(source_ip, ec);
  if (!ec) socket.open(to.protocol(), ec);
  if (ec) return;
  // The system selects the port on connect instead of bind, so that connections
  // to different peers can share a port.
  const int on = 1;
  ::setsockopt(socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on,
               sizeof on);
  socket.bind(tcp::endpoint(ip, 0), ec);
}

result<tcp::acceptor> listen_on(asio::io_context& context,
                                const std::string& address) {
  const result<tcp::endpoint> at = parse_address(address);
  if (!at) return tl::make_unexpected(at.error());
  tcp::acceptor out(context);
  boost::system::error_code ec;
  out.open(at->protocol(), ec);
  if (!ec) out.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) out.bind(*at, ec);
  if (!ec) out.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return fail(
        error_kind::bad_settings,
        "cannot listen on " + address + ": " + ec.message(),
        "stop the process that uses the address, or set another address");
  }
  return out;
}

}  // namespace trestlepost::transport
