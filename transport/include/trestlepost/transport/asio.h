// Aliases for Asio types, and helpers for addresses and TCP sockets.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/error.h"

namespace trestlepost::transport {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

template <typename T>
using awaitable = asio::awaitable<T>;

/// Timer on `boot_clock`, which includes time for which the machine is
/// suspended. After a suspension an expired timer fires together with the next
/// timer of `steady_clock`, such as a node's tick, instead of being delayed by
/// the length of the suspension.
using timer = asio::basic_waitable_timer<boot_clock>;

/// Waits for `time` on `boot_clock`.
awaitable<void> sleep_for(asio::io_context& context,
                          std::chrono::milliseconds time);

/// Converts a time for interfaces that only support `steady_clock`. If the
/// machine is suspended before that time, the result is late by the length of
/// the suspension.
std::chrono::steady_clock::time_point to_steady_time(monotonic_time at);

/// Parses "IP:PORT".
result<tcp::endpoint> parse_address(const std::string& text);

/// A caller's host that acknowledges nothing for this time has failed, or its
/// network.
inline constexpr std::chrono::milliseconds max_host_silence{5000};

/// Sets the options of an accepted connection: TCP_NODELAY and a TCP user
/// timeout. The system applies it also to a remote process that does not read.
void set_accepted_options(
    tcp::socket& socket,
    std::chrono::milliseconds tcp_user_timeout = max_host_silence);

/// Returns whether the remote host has acknowledged nothing for
/// `max_host_silence` although data was sent again. A process that does not
/// read is no silent host.
bool is_host_silent(tcp::socket& socket);

/// Returns whether the connection is open in both directions: the remote host
/// has neither closed nor reset it.
bool is_established(tcp::socket& socket);

/// Returns the smoothed round-trip time of a connection; zero if unknown.
std::chrono::microseconds smoothed_round_trip(tcp::socket& socket);
/// Returns the time since data last arrived; nullopt if unknown.
std::optional<std::chrono::milliseconds> time_since_data(tcp::socket& socket);

/// Sets the options of a connection that this node opened: TCP_NODELAY,
/// keep-alive probes every second, and a TCP user timeout. The connection fails
/// with a timeout if the remote host acknowledges neither data nor probes for
/// `tcp_user_timeout`. An idle connection may last up to 2 s longer, because
/// probes are sent at whole seconds.
void set_outgoing_options(tcp::socket& socket,
                          std::chrono::milliseconds tcp_user_timeout);

/// Default TCP user timeout of outgoing connections. Two round trips of 160 ms
/// with three lost packets take less.
inline constexpr std::chrono::milliseconds default_tcp_user_timeout{2000};

/// Opens `socket` and binds it to `source_ip` for a connection to `to`. Does
/// nothing if `source_ip` is empty, so that the system selects the address, and
/// leaves an error to the attempt to connect.
void open_and_bind(tcp::socket& socket, const tcp::endpoint& to,
                   const std::string& source_ip);

/// Opens a listening socket. Returns `bad_settings` if the address is in use or
/// not local.
result<tcp::acceptor> listen_on(asio::io_context& context,
                                const std::string& address);

}  // namespace trestlepost::transport
