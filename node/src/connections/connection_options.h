// Limits and timeouts of a node's servers and of the connections that it opens.
#pragma once

#include <memory>

#include "settings.h"
#include "trestlepost/base/memory_budget.h"
#include "trestlepost/transport/http_client.h"
#include "trestlepost/transport/http_server.h"
#include "trestlepost/transport/peer_links.h"

namespace trestlepost::node {

/// Options of a server whose requests are paid for out of `memory`.
transport::http_server_options server_options(
    std::shared_ptr<memory_budget> memory);
/// The same for a server whose bodies are documents that are parsed.
transport::http_server_options document_server_options(
    std::shared_ptr<memory_budget> memory);
/// The same for a server whose calls are short and must be answered.
transport::http_server_options query_server_options(
    std::shared_ptr<memory_budget> memory);
/// The same for the server of forwarded requests. Its idle connections outlive
/// their reuse by other gateways, so that no forward crosses the close.
transport::http_server_options forward_server_options(
    std::shared_ptr<memory_budget> memory);

transport::peer_options peer_options_of(const settings& options);
transport::http_client_options client_options_of(const settings& options);

}  // namespace trestlepost::node
