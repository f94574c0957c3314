// Changes of the configuration, their results, and the audit trail.
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

/// Where the record of run-once requests of a region lives: the group and its
/// first voters. Written once a region, by the leader.
struct ledger_founding {
  std::string region;
  std::string group_id;
  consensus::member_list members;
};

/// An order to take an availability zone out of service, or back into it.
struct zone_evacuation {
  std::string availability_zone;
  bool evacuated = true;
};

/// One change, as it stands in the log. It is decided when it is applied.
/// It holds edits, or one of the optional parts below them.
struct change {
  std::string id;
  std::string operator_name;
  wall_time at;
  std::vector<edit> edits;
  /// Refuse unless the whole configuration is at this revision.
  std::optional<revision_number> if_revision;
  std::optional<ledger_founding> founding;
  /// Replaces the traffic plan, unless a plan of this number or above holds.
  plan_ptr plan;
  /// The same, told as an edit of the plan that it was made from. A conflict
  /// when that one does not hold any more.
  std::shared_ptr<const plan_edit> edited_plan;
  std::optional<zone_evacuation> evacuation;
  std::optional<request_hold> hold;
};

enum class change_status { accepted, conflict, invalid, mismatch };

std::string_view to_string(change_status status);

struct change_result {
  change_status status = change_status::invalid;
  revision_number revision = 0;  // of the configuration after the decision
  std::string message;
  std::string remedy;
  std::vector<std::string> warnings;
};

/// One line of the audit trail.
struct audit_record {
  std::uint64_t sequence = 0;
  wall_time at;
  std::string operator_name;
  std::string change_id;
  change_result outcome;
  /// JSON text of [{"kind","name","before","after"}]; as text, because parsed
  /// values of whole configurations would fill the memory.
  std::string objects_text;

  json objects() const;
};

json to_json(const ledger_founding& value);
ledger_founding ledger_founding_from(const json& value);
json to_json(const zone_evacuation& value);
zone_evacuation zone_evacuation_from(const json& value);
json to_json(const change& value);
result<change> change_from(const json& value);
/// A change as it stands in the log: JSON, compressed when it is large.
std::string encode_change(const change& value);
result<change> decode_change(std::string_view command);
json to_json(const change_result& value);
change_result change_result_from(const json& value);
json to_json(const audit_record& value);
audit_record audit_record_from(const json& value);

/// Digest of what an operator asked, to tell a resent change from another one
/// under the same id. Bases that a node filled in do not count; a plan counts
/// by the document that the operator sent.
std::string request_digest(const change& value);

}  // namespace trestlepost::config
