// Selects the gateways of a region that vote in its run-once ledger.
#pragma once

#include <vector>

#include "trestlepost/membership/node_table.h"

namespace trestlepost::node {

/// Selects three voters, gateways with a disk first. With fewer than three
/// gateways only those with a disk vote, because two voters without a disk
/// would lose the ledger when one restarts.
std::vector<membership::node_info> choose_ledger_voters(
    std::vector<membership::node_info> gateways);

}  // namespace trestlepost::node
