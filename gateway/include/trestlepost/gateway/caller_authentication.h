// Decides which organisation a routed request belongs to. The entry gateway
// decides by the caller's key; the gateway of another region checks that its
// configuration, which may be newer, agrees.
#pragma once

#include "trestlepost/config/traffic_plan.h"
#include "trestlepost/routing/organisation_table.h"
#include "trestlepost/surface/call_head.h"

namespace trestlepost::gateway {

class caller_authentication {
 public:
  /// Applies the organisations of a plan.
  void update(const config::traffic_plan& plan);

  /// Returns the organisation of the caller, or null if the request needs none.
  /// Fails with `unauthorized` for an unusable key. If this node can't confirm
  /// that its configuration is current (`confirmed`), it may lack the key, and
  /// the error is `configuration_behind` instead.
  result<config::organisation_ptr> identify(const surface::call_head& head,
                                            const config::route& route,
                                            bool confirmed) const;

  /// Confirms the organisation that the entry gateway found.
  result<config::organisation_ptr> confirm(const surface::call_head& head,
                                           const config::route& route) const;

  /// Stores the organisation in `head` for the endpoint, and removes the key
  /// from the headers that the endpoint receives.
  void record(surface::call_head& head,
              const config::organisation_ptr& organisation) const;

  const routing::organisation_table& organisations() const {
    return organisations_;
  }

 private:
  bool requires_key_ = false;
  routing::organisation_table organisations_;
};

}  // namespace trestlepost::gateway
