#include "relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <set>

#include "relay_connection.h"
#include "serve.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::bench {
namespace {

using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using std::chrono::milliseconds;
using transport::awaitable;
using transport::tcp;
using error_code = boost::system::error_code;

constexpr milliseconds cut_poll_interval{20};

/// The second octet of an IPv4 address, which identifies the region.
std::string region_of(const tcp::endpoint& at) {
  const std::string ip = at.address().to_string();
  const std::size_t first = ip.find('.');
  return ip.substr(first + 1, ip.find('.', first + 1) - first - 1);
}

struct network {
  std::map<std::pair<std::string, std::string>, link_state> links;
  milliseconds between_regions{0};
  system_random random;

  link_state& between(const std::string& from, const std::string& to) {
    const auto [it, added] = links.try_emplace({from, to});
    if (added && from != to) it->second.delay = between_regions;
    return it->second;
  }
};

awaitable<void> connect_and_relay(transport::asio::io_context& io, network& net,
                                  tcp::socket source,
                                  std::string target_address) {
  const std::shared_ptr<connection_pair> pair =
      std::make_shared<connection_pair>(io);
  pair->source = std::move(source);
  error_code ec;
  const std::string from = region_of(pair->source.remote_endpoint(ec));
  const tcp::endpoint at = *transport::parse_address(target_address);
  const std::string to = region_of(at);
  link_state& forward = net.between(from, to);
  link_state& back = net.between(to, from);
  while (forward.cut || back.cut)
    co_await transport::sleep_for(io, cut_poll_interval);
  co_await transport::sleep_for(io, forward.delay + back.delay);
  co_await pair->target.async_connect(at, redirect_error(use_awaitable, ec));
  if (ec) {
    pair->close();
    co_return;
  }
  transport::set_accepted_options(pair->source);
  transport::set_accepted_options(pair->target);
  relay_data(io, pair, forward, back, net.random);
}

awaitable<void> accept_loop(transport::asio::io_context& io, network& net,
                            tcp::acceptor acceptor, std::string target) {
  while (true) {
    tcp::socket socket(io);
    error_code ec;
    co_await acceptor.async_accept(socket, redirect_error(use_awaitable, ec));
    if (ec) co_return;
    boost::asio::co_spawn(io,
                          connect_and_relay(io, net, std::move(socket), target),
                          boost::asio::detached);
  }
}

class control_handler final : public transport::http_handler {
 public:
  explicit control_handler(network& net) : net_(net) {}

  awaitable<void> handle(transport::http_exchange& exchange) override {
    std::map<std::string, std::string> query;
    std::string rest(exchange.target());
    rest.erase(0, rest.find('?') + 1);
    while (!rest.empty()) {
      const std::size_t end = rest.find('&');
      const std::string parameter = rest.substr(0, end);
      rest = end == std::string::npos ? "" : rest.substr(end + 1);
      const std::size_t equals = parameter.find('=');
      if (equals != std::string::npos) {
        query[parameter.substr(0, equals)] = parameter.substr(equals + 1);
      }
    }
    change(query);
    transport::http_response answer;
    co_await exchange.respond(std::move(answer));
  }

 private:
  void change(const std::map<std::string, std::string>& query) {
    const auto value = [&query](const char* key) {
      const auto it = query.find(key);
      return it == query.end() ? std::string() : it->second;
    };
    const std::string from = value("from");
    const std::string to = value("to");
    if (from != "*" && to != "*") net_.between(from, to);
    for (auto& [ends, it] : net_.links) {
      const bool matches = (from == "*" || from == ends.first) &&
                           (to == "*" || to == ends.second);
      // "*" excludes links within a region.
      if (!matches || (ends.first == ends.second && from == "*")) continue;
      if (query.contains("cut")) it.cut = value("cut") == "1";
      if (query.contains("delay")) {
        it.delay = milliseconds(std::atoi(value("delay").c_str()));
      }
    }
  }

  network& net_;
};

}  // namespace

int run_relay(const relay_options& options) {
  transport::asio::io_context io(1);
  network net;
  net.between_regions = milliseconds(options.delay_ms);
  for (const relay_link& it : options.links) {
    result<tcp::acceptor> acceptor = transport::listen_on(io, it.listen);
    if (!acceptor) {
      std::cerr << acceptor.error().message << "\n";
      return 1;
    }
    boost::asio::co_spawn(io,
                          accept_loop(io, net, std::move(*acceptor), it.target),
                          boost::asio::detached);
  }
  control_handler handler(net);
  return serve_until_signal(io, handler, options.control_address);
}

}  // namespace trestlepost::bench
