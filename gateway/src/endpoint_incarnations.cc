#include "trestlepost/gateway/endpoint_incarnations.h"

#include "trestlepost/base/log.h"

namespace trestlepost::gateway {
namespace {

using surface::listed_endpoint;

// How long an incarnation is remembered after its last listing. No list is
// delayed by more than this.
constexpr std::chrono::seconds life_memory{60};

}  // namespace

void endpoint_lives::note(const std::vector<listed_endpoint>& listed,
                          monotonic_time now) {
  std::erase_if(newest_, [now](const auto& it) {
    return it.second.listed_at + life_memory < now;
  });
  for (const listed_endpoint& it : listed) {
    const auto [known, first] =
        newest_.try_emplace(it.identity.id, life{it.identity.born, now});
    if (it.identity.born < known->second.born) continue;
    if (it.identity.born > known->second.born) {
      log_event(log_level::info, "endpoint-restarted",
                {{"endpoint", it.identity.name()}});
    }
    known->second = {it.identity.born, now};
  }
}

std::vector<listed_endpoint> endpoint_lives::newest(
    const std::vector<listed_endpoint>& listed, monotonic_time now) {
  note(listed, now);
  std::vector<listed_endpoint> out;
  std::map<std::string, std::size_t> places;  // index in `out`, by id
  for (const listed_endpoint& it : listed) {
    if (it.identity.born < newest_.at(it.identity.id).born) continue;
    const auto [place, first] = places.try_emplace(it.identity.id, out.size());
    if (first) {
      out.push_back(it);
    } else {
      out[place->second].leaving |= it.leaving;
    }
  }
  return out;
}

}  // namespace trestlepost::gateway
