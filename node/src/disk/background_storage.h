// Opens the disk of a replica on this node.
#pragma once

#include <memory>
#include <string>

#include "node_context.h"
#include "trestlepost/consensus/storage.h"

namespace trestlepost::node {

/// Storage in `folder` of the data folder. It writes in the background.
std::unique_ptr<consensus::storage> make_background_storage(
    node_context& context, const std::string& folder);

}  // namespace trestlepost::node
