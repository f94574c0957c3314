// Runs writes of this node in the background.
#pragma once

#include <memory>
#include <string>

#include "node_context.h"
#include "trestlepost/base/background_worker.h"
#include "trestlepost/consensus/storage.h"

namespace trestlepost::node {

/// Runs functions in the event loop of the node.
background_worker::executor event_loop_executor(node_context& context);

/// Storage in `folder` of the data folder. It writes in the background.
std::unique_ptr<consensus::storage> make_background_storage(
    node_context& context, const std::string& folder);

}  // namespace trestlepost::node
