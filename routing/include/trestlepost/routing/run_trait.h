// What runs at endpoints may have in common.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace trestlepost::routing {

/// The kinds of traits, the narrower ones first.
enum class trait_kind {
  request,            // the request itself, whenever it is sent
  organisation_part,  // a part of prompts within one organisation
  part,               // a part of prompts of any caller
  service             // all requests of a service; never held
};

constexpr std::size_t trait_kinds = 4;

/// Something that several runs may have in common, so that it may be the cause
/// if their endpoints crash. Known by a keyed fingerprint.
struct run_trait {
  trait_kind kind = trait_kind::request;
  std::string fingerprint;

  bool operator==(const run_trait&) const = default;
};

/// Returns the fingerprint of the trait that all runs of a service share.
inline std::string service_fingerprint(std::string_view service) {
  return "service " + std::string(service);
}

}  // namespace trestlepost::routing
