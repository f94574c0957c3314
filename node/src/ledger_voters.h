// Which gateways of a region vote in its ledger.
#pragma once

#include <vector>

#include "trestlepost/membership/node_table.h"

namespace trestlepost::node {

/// The nodes that should vote in the ledger of a region: three, those with a
/// disk first; with fewer than three gateways only those with a disk, because
/// two voters without a disk could not survive a restart.
std::vector<membership::node_info> choose_ledger_voters(
    std::vector<membership::node_info> gateways);

}  // namespace trestlepost::node
