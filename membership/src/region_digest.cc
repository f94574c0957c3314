#include "trestlepost/membership/region_digest.h"

#include <utility>

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;

// Larger ages are invalid: such a node has been removed long before.
constexpr milliseconds max_contact_age{3'600'000};

json to_json(const digest_row& value) {
  json out;
  if (value.has_info) {
    out["i"] = membership::to_json(value.node);
  } else {
    out["n"] = value.node.name;
  }
  if (value.dead) out["g"] = true;
  out["s"] = value.state;
  out["q"] = as_number(value.sequence);
  out["c"] = as_number(value.revision);
  if (value.load > 0) out["l"] = value.load;
  if (!value.unreachable_services.empty())
    out["u"] = trestlepost::to_json(value.unreachable_services);
  return out;
}

digest_row digest_row_from(const json& value) {
  digest_row out;
  out.has_info = member_of(value, "i").isObject();
  if (out.has_info) {
    out.node = node_info_from(member_of(value, "i"));
  } else {
    out.node.name = text_of(value, "n");
  }
  out.dead = flag_of(value, "g");
  out.state = text_of(value, "s");
  out.sequence = number_of(value, "q");
  out.revision = number_of(value, "c");
  out.load = static_cast<std::uint32_t>(number_of(value, "l"));
  out.unreachable_services = text_set_of(value, "u");
  return out;
}

result<region_digest> invalid_digest(const std::string& why) {
  return fail(error_kind::bad_input, "a digest of a relay " + why,
              "run compatible versions of trestlepostd on all nodes");
}

bool is_valid_age(const json& value) {
  return value.isUInt64() && value.asUInt64() <= static_cast<std::uint64_t>(
                                                     max_contact_age.count());
}

json ages_to_json(const std::map<std::string, milliseconds>& late) {
  json out(Json::objectValue);
  for (const auto& [name, age] : late) out[name] = as_number(age);
  return out;
}

/// Decodes the rows. Returns a description of the first error, or an empty
/// string.
std::string read_rows(const json& value, std::vector<digest_row>& out) {
  for (const json& it : value) {
    digest_row row = digest_row_from(it);
    if (row.node.name.empty()) return "has a row without a node name";
    out.push_back(std::move(row));
  }
  return "";
}

/// Decodes the times since the relay's last contact with nodes. Returns an
/// error as `read_rows` does.
std::string read_ages(const json& value, region_digest& out) {
  if (!is_valid_age(member_of(value, "f"))) return "has no valid age";
  out.max_age = milliseconds(number_of(value, "f"));
  const json& late = member_of(value, "late");
  if (!late.isObject()) return "";
  for (const std::string& it : late.getMemberNames()) {
    if (!is_valid_age(late[it])) return "has an invalid age of " + it;
    out.late[it] = milliseconds(number_of(late, it.c_str()));
  }
  return "";
}

/// Decodes the loads reported by endpoints. Returns an error as `read_rows`
/// does.
std::string read_reports(const json& value,
                         std::map<std::string, reported_load>& out) {
  if (!value.isObject()) return "";
  for (const std::string& it : value.getMemberNames()) {
    const json& one = value[it];
    const bool pair =
        one.isArray() && one.size() == 2 && one[0].isUInt() && one[1].isUInt();
    if (!pair) return "has an invalid load report of " + it;
    out[it] = {one[0].asUInt(), one[1].asUInt()};
  }
  return "";
}

std::map<std::string, service_loads> services_from(const json& value) {
  std::map<std::string, service_loads> out;
  if (!value.isObject()) return out;
  for (const std::string& it : value.getMemberNames()) {
    out[it] = service_loads_from(value[it]);
  }
  return out;
}

}  // namespace

json to_json(const digest_request& value) {
  json out;
  out["i"] = as_number(value.incarnation);
  out["v"] = as_number(value.version);
  if (value.excludes_own) out["x"] = true;
  return out;
}

digest_request digest_request_from(const json& value) {
  return {number_of(value, "i"), number_of(value, "v"), flag_of(value, "x")};
}

json to_json(const region_digest& value) {
  json out;
  out["r"] = value.relay;
  out["z"] = value.region;
  out["i"] = as_number(value.incarnation);
  out["n"] = as_number(value.sequence);
  out["b"] = as_number(value.base_version);
  out["v"] = as_number(value.version);
  json& rows = out["rows"] = json(Json::arrayValue);
  for (const digest_row& it : value.rows) rows.append(to_json(it));
  out["f"] = as_number(value.max_age);
  out["late"] = ages_to_json(value.late);
  for (const auto& [region, loads] : value.services) {
    out["sv"][region] = membership::to_json(loads);
  }
  if (value.sums.nodes > 0) out["ep"] = membership::to_json(value.sums);
  if (value.includes_receiver) out["x"] = true;
  for (const auto& [name, it] : value.reports) {
    out["rp"][name].append(it.running);
    out["rp"][name].append(it.waiting);
  }
  return out;
}

result<region_digest> region_digest_from(const json& value) {
  region_digest out;
  out.relay = text_of(value, "r");
  out.region = text_of(value, "z");
  out.incarnation = number_of(value, "i");
  out.sequence = number_of(value, "n");
  out.base_version = number_of(value, "b");
  out.version = number_of(value, "v");
  const bool named = !out.relay.empty() && !out.region.empty();
  if (!named || out.incarnation == 0)
    return invalid_digest("has no relay, region or incarnation");
  if (out.base_version > out.version)
    return invalid_digest("has a version below its base version");
  std::string failure = read_rows(member_of(value, "rows"), out.rows);
  if (!failure.empty()) return invalid_digest(failure);
  failure = read_ages(value, out);
  if (!failure.empty()) return invalid_digest(failure);
  out.services = services_from(member_of(value, "sv"));
  out.sums = endpoint_sums_from(member_of(value, "ep"));
  out.includes_receiver = flag_of(value, "x");
  failure = read_reports(member_of(value, "rp"), out.reports);
  if (!failure.empty()) return invalid_digest(failure);
  return out;
}

}  // namespace trestlepost::membership
