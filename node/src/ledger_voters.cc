#include "ledger_voters.h"

#include <algorithm>
#include <cstddef>

namespace trestlepost::node {
namespace {

// Three voters tolerate the loss of one.
constexpr std::size_t voters_per_ledger = 3;

}  // namespace

std::vector<membership::node_info> choose_ledger_voters(
    std::vector<membership::node_info> gateways) {
  std::sort(gateways.begin(), gateways.end(),
            [](const membership::node_info& a, const membership::node_info& b) {
              if (a.durable != b.durable) return a.durable;
              return a.name < b.name;
            });
  if (gateways.size() >= voters_per_ledger) {
    gateways.resize(voters_per_ledger);
    return gateways;
  }
  std::erase_if(gateways,
                [](const membership::node_info& it) { return !it.durable; });
  return gateways;
}

}  // namespace trestlepost::node
