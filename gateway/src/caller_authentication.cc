#include "trestlepost/gateway/caller_authentication.h"

namespace trestlepost::gateway {
namespace {

using config::organisation_ptr;
using surface::credential_state;

error rejection_of(credential_state state) {
  constexpr char remedy[] = "send Authorization: Bearer KEY with a valid key";
  const error_kind kind = error_kind::unauthorized;
  if (state == credential_state::missing) {
    return {kind, "the request has no key", remedy};
  }
  if (state == credential_state::malformed) {
    return {kind, "the request's key is malformed or sent twice", remedy};
  }
  return {kind, "the key is not known", remedy};
}

}  // namespace

void caller_authentication::update(const config::traffic_plan& plan) {
  requires_key_ = plan.requires_key;
  organisations_.update(plan.organisations);
}

result<organisation_ptr> caller_authentication::identify(
    const surface::call_head& head, const config::route& route,
    bool confirmed) const {
  if (!requires_key_) return nullptr;
  organisation_ptr found;
  if (head.credential == credential_state::present) {
    found = organisations_.find_by_key(head.key_digest);
  }
  if (found || route.open_to_all) return found;
  if (confirmed) return tl::make_unexpected(rejection_of(head.credential));
  return fail(error_kind::configuration_behind,
              "this node may not have received the key yet",
              "send it again after Retry-After");
}

result<organisation_ptr> caller_authentication::confirm(
    const surface::call_head& head, const config::route& route) const {
  if (!requires_key_) return nullptr;
  if (head.organisation.empty() && route.open_to_all) return nullptr;
  const organisation_ptr found = organisations_.find_by_key(head.key_digest);
  if (found && found->name == head.organisation) return found;
  return fail(error_kind::configuration_behind,
              "the key does not belong to the organisation " +
                  head.organisation + " in a newer plan",
              "send it again after Retry-After");
}

void caller_authentication::record(surface::call_head& head,
                                   const organisation_ptr& organisation) const {
  head.organisation = organisation ? organisation->name : "";
  if (requires_key_) head.remove_passthrough_header("Authorization");
}

}  // namespace trestlepost::gateway
