// The key by which endpoints are ranked for a prompt section.
#include "trestlepost/gateway/preferred_endpoint.h"

namespace trestlepost::gateway {

std::string section_key(const membership::prompt_section& section) {
  return std::to_string(section.id);
}

}  // namespace trestlepost::gateway
