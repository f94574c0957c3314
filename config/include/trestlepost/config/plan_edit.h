// A traffic plan encoded as an edit of the previous plan, as stored in the log.
// The size of the log entry, and with it the leader's processing time and the
// transfer time, then depends on the size of the change and not of the plan.
#pragma once

#include <string>

#include "trestlepost/config/plan_delta.h"

namespace trestlepost::config {

/// The edit that turns a base plan, with its document, into a new one.
struct plan_edit {
  plan_number base = 0;  // number of the base plan; 0: none
  plan_delta delta;
  /// Text delta from the base document to the new one, compressed and encoded
  /// in printable characters.
  std::string document;
};

/// The edit from `before`, which may be null, to `after`.
plan_edit make_plan_edit(const traffic_plan* before, const traffic_plan& after);

/// Applies `edit` to `before`, which must be the plan (or null) that the edit
/// was made from. Fails with `corrupt` if the document delta doesn't apply. The
/// resulting plan is not validated.
result<traffic_plan> apply_plan_edit(const traffic_plan* before,
                                     const plan_edit& edit);

/// Returns whether the new plan has a document, which then identifies it.
bool has_document(const plan_edit& edit);

json to_json(const plan_edit& value);
result<plan_edit> plan_edit_from(const json& value);

}  // namespace trestlepost::config
