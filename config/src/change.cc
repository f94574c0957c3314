#include "trestlepost/config/change.h"

#include <array>
#include <utility>

#include "trestlepost/base/compression.h"
#include "trestlepost/base/hash.h"

namespace trestlepost::config {
namespace {

struct status_name {
  change_status status;
  std::string_view name;
};

constexpr std::array<status_name, 4> status_names{{
    {change_status::accepted, "accepted"},
    {change_status::conflict, "conflict"},
    {change_status::invalid, "invalid"},
    {change_status::mismatch, "mismatch"},
}};

// Maximum size of a decompressed change in bytes; equals the maximum message
// size between control nodes.
constexpr std::size_t max_command_bytes = 64UL * 1024 * 1024;

json ms_of(wall_time at) {
  return json(Json::Int64(to_unix_ms(at)));
}

wall_time time_of(const json& value, const char* key) {
  return from_unix_ms(static_cast<std::int64_t>(number_of(value, key)));
}

}  // namespace

std::string_view to_string(change_status status) {
  for (const status_name& it : status_names) {
    if (it.status == status) return it.name;
  }
  return "";
}

json audit_record::objects() const {
  const result<json> parsed = parse_json(objects_text);
  return parsed ? *parsed : json(Json::arrayValue);
}

json to_json(const ledger_founding& value) {
  json out;
  out["region"] = value.region;
  out["group_id"] = value.group_id;
  out["members"] = consensus::to_json(value.members);
  return out;
}

ledger_founding ledger_founding_from(const json& value) {
  return {text_of(value, "region"), text_of(value, "group_id"),
          consensus::member_list_from(member_of(value, "members"))};
}

json to_json(const zone_evacuation& value) {
  json out;
  out["availability_zone"] = value.availability_zone;
  out["evacuated"] = value.evacuated;
  if (value.base) out["base"] = as_number(*value.base);
  return out;
}

zone_evacuation zone_evacuation_from(const json& value) {
  zone_evacuation out;
  out.availability_zone = text_of(value, "availability_zone");
  out.evacuated = flag_of(value, "evacuated");
  const json& base = member_of(value, "base");
  if (base.isUInt64()) out.base = base.asUInt64();
  return out;
}

json to_json(const change& value) {
  json out;
  out["id"] = value.id;
  out["operator"] = value.operator_name;
  out["at"] = ms_of(value.at);
  json edits(Json::arrayValue);
  for (const edit& it : value.edits) edits.append(to_json(it));
  out["edits"] = std::move(edits);
  if (value.if_revision) {
    out["if_revision"] = json(Json::UInt64(*value.if_revision));
  }
  if (value.founding) out["founding"] = to_json(*value.founding);
  if (value.plan) out["plan"] = to_json(*value.plan, plan_form::full);
  if (value.edited_plan) out["plan_edit"] = to_json(*value.edited_plan);
  if (value.evacuation) out["evacuation"] = to_json(*value.evacuation);
  if (value.hold) out["hold"] = to_json(*value.hold);
  if (value.epoch) out["epoch"] = as_number(*value.epoch);
  return out;
}

result<change> change_from(const json& value) {
  change out;
  out.id = text_of(value, "id");
  out.operator_name = text_of(value, "operator");
  out.at = time_of(value, "at");
  for (const json& it : member_of(value, "edits")) {
    result<edit> one = edit_from(it);
    if (!one) return tl::make_unexpected(one.error());
    out.edits.push_back(std::move(*one));
  }
  const json& if_revision = member_of(value, "if_revision");
  if (if_revision.isUInt64()) out.if_revision = if_revision.asUInt64();
  const json& founding = member_of(value, "founding");
  if (founding.isObject()) out.founding = ledger_founding_from(founding);
  const json& plan = member_of(value, "plan");
  if (plan.isObject()) {
    result<traffic_plan> read = traffic_plan_from(plan);
    if (!read) return tl::make_unexpected(read.error());
    out.plan = std::make_shared<const traffic_plan>(std::move(*read));
  }
  const json& edited = member_of(value, "plan_edit");
  if (edited.isObject()) {
    result<plan_edit> read = plan_edit_from(edited);
    if (!read) return tl::make_unexpected(read.error());
    out.edited_plan = std::make_shared<const plan_edit>(std::move(*read));
  }
  const json& evacuation = member_of(value, "evacuation");
  if (evacuation.isObject()) out.evacuation = zone_evacuation_from(evacuation);
  const json& hold = member_of(value, "hold");
  if (hold.isObject()) out.hold = request_hold_from(hold);
  const json& epoch = member_of(value, "epoch");
  if (epoch.isUInt64()) out.epoch = epoch.asUInt64();
  if (out.id.empty()) {
    return fail(error_kind::bad_input, "the change has no id",
                "give --change-id, or let `trestlepost apply` draw one");
  }
  return out;
}

std::string encode_change(const change& value) {
  return compress_printable(to_text(to_json(value)));
}

result<change> decode_change(std::string_view command) {
  const std::optional<std::string> text =
      decompress_printable(command, max_command_bytes);
  if (!text) {
    return fail(error_kind::corrupt, "a change of the log does not unpack",
                "run the version of trestlepostd that wrote it");
  }
  const result<json> parsed = parse_json(*text);
  if (!parsed) return tl::make_unexpected(parsed.error());
  return change_from(*parsed);
}

json to_json(const change_result& value) {
  json out;
  out["status"] = std::string(to_string(value.status));
  out["revision"] = json(Json::UInt64(value.revision));
  out["message"] = value.message;
  out["remedy"] = value.remedy;
  json warnings(Json::arrayValue);
  for (const std::string& it : value.warnings) warnings.append(it);
  out["warnings"] = std::move(warnings);
  return out;
}

change_result change_result_from(const json& value) {
  change_result out;
  const std::string status = text_of(value, "status");
  for (const status_name& it : status_names) {
    if (it.name == status) out.status = it.status;
  }
  out.revision = number_of(value, "revision");
  out.message = text_of(value, "message");
  out.remedy = text_of(value, "remedy");
  for (const json& it : member_of(value, "warnings")) {
    out.warnings.push_back(it.asString());
  }
  return out;
}

json to_json(const audit_record& value) {
  json out;
  out["sequence"] = json(Json::UInt64(value.sequence));
  out["at"] = format_utc(value.at);
  out["at_ms"] = ms_of(value.at);
  out["operator"] = value.operator_name;
  out["change_id"] = value.change_id;
  out["outcome"] = to_json(value.outcome);
  out["objects"] = value.objects();
  return out;
}

audit_record audit_record_from(const json& value) {
  audit_record out;
  out.sequence = number_of(value, "sequence");
  out.at = time_of(value, "at_ms");
  out.operator_name = text_of(value, "operator");
  out.change_id = text_of(value, "change_id");
  out.outcome = change_result_from(member_of(value, "outcome"));
  out.objects_text = to_text(member_of(value, "objects"));
  return out;
}

std::string change_digest(const change& value) {
  json content;
  json edits(Json::arrayValue);
  for (const edit& it : value.edits) {
    edits.append(to_json(edit{it.kind, it.name, it.spec, std::nullopt}));
  }
  content["edits"] = std::move(edits);
  if (value.founding) content["founding"] = to_json(*value.founding);
  if (value.plan) {
    // The document identifies the plan. Serializing the routes as well costs
    // 32 ms of CPU time for 4,000 routes.
    const bool has_document = !value.plan->document.empty();
    if (has_document) content["document"] = sha256_hex(value.plan->document);
    if (!has_document) content["plan"] = to_json(*value.plan, plan_form::full);
  }
  if (value.edited_plan) {
    content["base"] = as_number(value.edited_plan->base);
    content["number"] = as_number(value.edited_plan->delta.number);
    content["document"] = sha256_hex(value.edited_plan->document);
    if (!has_document(*value.edited_plan)) {
      content["delta"] = to_json(value.edited_plan->delta);
    }
  }
  if (value.evacuation) {
    zone_evacuation order = *value.evacuation;
    order.base.reset();
    content["evacuation"] = to_json(order);
  }
  if (value.hold) {
    request_hold hold = *value.hold;
    hold.base.reset();
    content["hold"] = to_json(hold);
  }
  if (value.epoch) content["epoch"] = as_number(*value.epoch);
  return sha256_hex(to_text(content));
}

}  // namespace trestlepost::config
