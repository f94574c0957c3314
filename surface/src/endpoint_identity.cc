// Names of endpoint incarnations.
#include "trestlepost/surface/endpoint_identity.h"

namespace trestlepost::surface {
namespace {

constexpr char start_separator = '@';

}  // namespace

std::string endpoint_identity::name() const {
  const bool plain =
      born == start_time{} && id.find(start_separator) == std::string::npos;
  if (plain) return id;
  return id + start_separator + std::to_string(born.time_since_epoch().count());
}

std::string_view id_in_name(std::string_view name) {
  return name.substr(0, name.rfind(start_separator));
}

}  // namespace trestlepost::surface
