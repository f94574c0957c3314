#include "test_node.h"

#include <stdexcept>
#include <utility>

namespace trestlepost::node::test {
namespace {

constexpr char secret[] = "a secret of the peers in this test";

charts::chart load_chart(const std::string& name,
                         const charts::chart_interface& known) {
  return charts::chart::load(
             std::string(TRESTLEPOST_SOURCE) + "/share/charts/" + name, known)
      .value();
}

transport::peer_options options_of(const std::string& address) {
  transport::peer_options out;
  out.own_address = address;
  return out;
}

membership::node_info info_of(const std::string& address) {
  membership::node_info out;
  out.name = address;
  out.incarnation = 1;
  out.region = "north";
  out.peer_address = address;
  return out;
}

}  // namespace

test_node::test_node(transport::asio::io_context& io,
                     const std::string& address, settings options)
    : settings_(std::move(options)),
      state_(load_chart("node.jsonc", membership::node_chart_interface()), {},
             clock_.now()),
      endpoints_(
          load_chart("endpoint.jsonc", membership::endpoint_chart_interface()),
          {}),
      links_(io, secret, options_of(address)),
      server_(io, secret, dispatcher_, random_, {}),
      client_(io, {}),
      context_{io,          settings_, clock_, random_,    info_of(address),
               store_,      state_,    nodes_, endpoints_, links_,
               dispatcher_, client_,   {},     {},         {}} {
  const result<void> opened = server_.listen(address);
  if (!opened) throw std::runtime_error(opened.error().message);
}

}  // namespace trestlepost::node::test
