#include "trestlepost/usage/usage_messages.h"

#include <cmath>

namespace trestlepost::usage {
namespace {

// Values per organisation in a list: its name and two amounts.
constexpr Json::ArrayIndex values_per_row = 3;

/// Writes rows of a name and two amounts. Whole numbers are shorter than
/// fractions and exact enough.
template <typename T>
json rows_of(const std::map<std::string, T>& value) {
  json out(Json::arrayValue);
  for (const auto& [name, it] : value) {
    const auto& [first, second] = it;
    out.append(name);
    out.append(std::round(first));
    out.append(std::round(second));
  }
  return out;
}

/// Reads such rows and skips those with a value of a wrong type.
template <typename T>
std::map<std::string, T> rows_from(const json& value) {
  std::map<std::string, T> out;
  if (!value.isArray()) return out;
  for (Json::ArrayIndex i = 0; i + values_per_row <= value.size();
       i += values_per_row) {
    const bool valid = value[i].isString() && value[i + 1].isNumeric() &&
                       value[i + 2].isNumeric();
    if (!valid) continue;
    out[value[i].asString()] = {value[i + 1].asDouble(),
                                value[i + 2].asDouble()};
  }
  return out;
}

}  // namespace

json to_json(const usage_report& value) {
  json out;
  out["gateway"] = value.gateway;
  out["session"] = as_number(value.session);
  out["sequence"] = as_number(value.sequence);
  out["counts"] = rows_of(value.counts);
  if (!value.levels.empty()) out["levels"] = rows_of(value.levels);
  return out;
}

usage_report usage_report_from(const json& value) {
  usage_report out;
  out.gateway = text_of(value, "gateway");
  out.session = number_of(value, "session");
  out.sequence = number_of(value, "sequence");
  out.counts = rows_from<usage_count>(member_of(value, "counts"));
  out.levels = rows_from<usage_level>(member_of(value, "levels"));
  return out;
}

json to_json(const usage_reply& value) {
  json out;
  out["collector"] = value.collector;
  out["session"] = as_number(value.session);
  out["sequence"] = as_number(value.sequence);
  out["known"] = value.known;
  out["part"] = value.part;
  out["levels"] = rows_of(value.levels);
  out["starting"] = value.starting;
  return out;
}

usage_reply usage_reply_from(const json& value) {
  usage_reply out;
  out.collector = text_of(value, "collector");
  out.session = number_of(value, "session");
  out.sequence = number_of(value, "sequence");
  out.known = flag_of(value, "known");
  out.part = real_of(value, "part");
  out.levels = rows_from<usage_level>(member_of(value, "levels"));
  out.starting = flag_of(value, "starting");
  return out;
}

json to_json(const region_usage& value) {
  json out;
  out["region"] = value.region;
  out["collector"] = value.collector;
  out["counts"] = rows_of(value.counts);
  out["starting"] = value.starting;
  return out;
}

region_usage region_usage_from(const json& value) {
  region_usage out;
  out.region = text_of(value, "region");
  out.collector = text_of(value, "collector");
  out.counts = rows_from<usage_count>(member_of(value, "counts"));
  out.starting = flag_of(value, "starting");
  return out;
}

}  // namespace trestlepost::usage
