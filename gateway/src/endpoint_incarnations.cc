// Drops list entries of superseded endpoint incarnations.
#include "trestlepost/gateway/endpoint_incarnations.h"

#include "trestlepost/base/log.h"

namespace trestlepost::gateway {
namespace {

using surface::listed_endpoint;

// How long an incarnation is remembered after its last listing. No list is
// delayed by more than this.
constexpr std::chrono::seconds incarnation_retention{60};

}  // namespace

void endpoint_incarnations::record_newest(
    const std::vector<listed_endpoint>& listed, monotonic_time now) {
  std::erase_if(newest_, [now](const auto& it) {
    return it.second.last_listed + incarnation_retention < now;
  });
  for (const listed_endpoint& it : listed) {
    const auto [known, first] =
        newest_.try_emplace(it.identity.id, incarnation{it.identity.born, now});
    if (it.identity.born < known->second.born) continue;
    if (it.identity.born > known->second.born) {
      log_event(log_level::info, "endpoint-restarted",
                {{"endpoint", it.identity.name()}});
    }
    known->second = {it.identity.born, now};
  }
}

std::vector<listed_endpoint> endpoint_incarnations::select_newest(
    const std::vector<listed_endpoint>& listed, monotonic_time now) {
  record_newest(listed, now);
  std::vector<listed_endpoint> out;
  std::map<std::string, std::size_t> indices;  // index in `out`, by id
  for (const listed_endpoint& it : listed) {
    if (it.identity.born < newest_.at(it.identity.id).born) continue;
    const auto [index, first] = indices.try_emplace(it.identity.id, out.size());
    if (first) {
      out.push_back(it);
    } else {
      out[index->second].leaving |= it.leaving;
    }
  }
  return out;
}

}  // namespace trestlepost::gateway
