// Names from Asio that this project uses.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "trestlepost/base/error.h"

namespace trestlepost::transport {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

template <typename T>
using awaitable = asio::awaitable<T>;

/// Reads "IP:PORT".
result<tcp::endpoint> parse_address(const std::string& text);

/// Sets what every connection of this project uses: no delay for small
/// messages, and an end to connections whose peer is silently gone.
void set_socket_options(tcp::socket& socket);

/// Opens `socket` for a connection to `to` from the own address `source_ip`;
/// an empty one leaves the choice to the system.
void open_from(tcp::socket& socket, const tcp::endpoint& to,
               const std::string& source_ip);

/// Opens a listening socket, or tells that the address is taken.
result<tcp::acceptor> listen_on(asio::io_context& context,
                                const std::string& address);

}  // namespace trestlepost::transport
