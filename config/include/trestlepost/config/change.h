// Configuration changes as they are replicated through the log, the results of
// applying them, and the audit trail, with their JSON conversions.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/config/plan_edit.h"
#include "trestlepost/config/store.h"
#include "trestlepost/consensus/types.h"

namespace trestlepost::config {

/// The consensus group that stores a region's ledger (its record of run-once
/// requests), and the group's initial voters. Written once per region, by the
/// leader.
struct ledger_founding {
  std::string region;
  std::string group_id;
  consensus::member_list members;
};

/// Takes an availability zone out of service, or puts it back into service.
struct zone_evacuation {
  std::string availability_zone;
  bool evacuated = true;
  /// A revision that the order was certainly given after. It is a conflict if
  /// the zone has changed since. If unset, this is not checked.
  std::optional<revision_number> base{};
};

/// One change, as stored in the log. It is accepted or rejected when the log
/// entry is applied. It contains either `edits` or exactly one of `founding`,
/// `plan`, `edited_plan`, `evacuation`, `hold` and `epoch`.
struct change {
  std::string id;
  std::string operator_name;
  wall_time at;
  std::vector<edit> edits;
  /// If set, the change is rejected unless the configuration is at this
  /// revision.
  std::optional<revision_number> if_revision;
  std::optional<ledger_founding> founding;
  /// Replaces the traffic plan, unless the plan in force has the same or a
  /// higher number.
  plan_ptr plan;
  /// Replaces the traffic plan like `plan`, but is encoded as an edit of its
  /// base plan. A conflict if the base is no longer in force.
  std::shared_ptr<const plan_edit> edited_plan;
  std::optional<zone_evacuation> evacuation;
  std::optional<request_hold> hold;
  /// Continues the revisions in this epoch, unless it has been reached.
  std::optional<std::uint64_t> epoch;
};

enum class change_status { accepted, conflict, invalid, mismatch };

std::string_view to_string(change_status status);

struct change_result {
  change_status status = change_status::invalid;
  revision_number revision = 0;  // of the configuration after the change
  std::string message;
  std::string remedy;
  std::vector<std::string> warnings;
};

/// One entry of the audit trail.
struct audit_record {
  std::uint64_t sequence = 0;
  wall_time at;
  std::string operator_name;
  std::string change_id;
  change_result outcome;
  /// JSON text of [{"kind","name","before","after"}]. Kept as text because
  /// parsed values of whole configurations take too much memory.
  std::string objects_text;

  json objects() const;
};

json to_json(const ledger_founding& value);
ledger_founding ledger_founding_from(const json& value);
json to_json(const zone_evacuation& value);
zone_evacuation zone_evacuation_from(const json& value);
json to_json(const change& value);
result<change> change_from(const json& value);
/// Encodes a change for the log: JSON, compressed if it is large.
std::string encode_change(const change& value);
result<change> decode_change(std::string_view command);
json to_json(const change_result& value);
change_result change_result_from(const json& value);
json to_json(const audit_record& value);
audit_record audit_record_from(const json& value);

/// Returns a digest of the operator's input. It distinguishes a resent change
/// from another change with the same id. Base revisions of edits are not part
/// of it, because a node may have filled them in; a plan is identified by the
/// document that the operator sent, or by the edit of its document.
std::string change_digest(const change& value);

}  // namespace trestlepost::config
