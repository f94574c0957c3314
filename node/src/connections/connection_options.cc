#include "connections/connection_options.h"

#include <utility>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// A VM without power does not answer, and TCP retransmits a lost SYN only after
// a second, so reconnecting finds a restarted VM sooner. Covers two round trips
// between the most distant regions, 160 ms each.
constexpr milliseconds peer_connect_timeout{350};
// Endpoints of the platform keep idle connections open until they announce the
// close.
constexpr milliseconds idle_connection_lifetime{60'000};
// Covers the longest round trip to an endpoint, about 110 ms between regions.
constexpr milliseconds endpoint_connect_timeout{400};
// Memory that an order takes for each byte of its body: the document, what is
// parsed from it, and the change.
constexpr std::size_t memory_per_order_byte = 8;
constexpr std::size_t max_query_body_bytes = 4UL * 1024;

}  // namespace

transport::http_server_options server_options(
    std::shared_ptr<memory_budget> memory) {
  transport::http_server_options out;
  out.memory = std::move(memory);
  return out;
}

transport::http_server_options document_server_options(
    std::shared_ptr<memory_budget> memory) {
  transport::http_server_options out = server_options(std::move(memory));
  out.memory_per_body_byte = memory_per_order_byte;
  return out;
}

transport::http_server_options query_server_options(
    std::shared_ptr<memory_budget> memory) {
  transport::http_server_options out = server_options(std::move(memory));
  out.body_limit = max_query_body_bytes;
  out.request_use = memory_use::essential;
  return out;
}

transport::http_server_options forward_server_options(
    std::shared_ptr<memory_budget> memory) {
  transport::http_server_options out = server_options(std::move(memory));
  out.idle_timeout = 2 * idle_connection_lifetime;
  return out;
}

transport::peer_options peer_options_of(const settings& options) {
  transport::peer_options out;
  out.tcp_user_timeout = options.timing.connection_silence;
  out.source_ip = options.outgoing_ip;
  out.own_address = options.advertised_peers;
  if (options.surface == surface_kind::platform) {
    out.connect_timeout = peer_connect_timeout;
  }
  return out;
}

transport::http_client_options client_options_of(const settings& options) {
  transport::http_client_options out;
  out.tcp_user_timeout = options.timing.connection_silence;
  out.source_ip = options.outgoing_ip;
  if (options.surface == surface_kind::platform) {
    out.accept_close_delimited = true;
    out.idle_timeout = idle_connection_lifetime;
    out.connect_timeout = endpoint_connect_timeout;
  }
  return out;
}

}  // namespace trestlepost::node
