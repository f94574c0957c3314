// A traffic plan as an edit of the one before it, the form in which it stands
// in the log: its length grows with what changes, and with it the time that a
// leader's turn takes and the time that the entry keeps a link busy.
#pragma once

#include <string>

#include "trestlepost/config/plan_delta.h"

namespace trestlepost::config {

struct plan_edit {
  plan_number base = 0;  // of the plan that it was made from; 0: none
  plan_delta delta;
  /// Leads from one document to the other; compressed, and printable.
  std::string document;
};

/// `before` may be null.
plan_edit make_plan_edit(const traffic_plan* before, const traffic_plan& after);

/// The plan that `edit` leads to, not checked yet. `before` must be the plan
/// that the edit was made from.
result<traffic_plan> apply_plan_edit(const traffic_plan* before,
                                     const plan_edit& edit);

json to_json(const plan_edit& value);
result<plan_edit> plan_edit_from(const json& value);

}  // namespace trestlepost::config
