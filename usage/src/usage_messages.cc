#include "trestlepost/usage/usage_messages.h"

#include <cmath>

namespace trestlepost::usage {
namespace {

// Values per organisation in a list: its name and two amounts.
constexpr Json::ArrayIndex values_per_row = 3;

/// Whole numbers are shorter than fractions and exact enough.
double rounded(double amount) {
  return std::round(amount);
}

void append_row(json& rows, const std::string& name, double first,
                double second) {
  rows.append(name);
  rows.append(rounded(first));
  rows.append(rounded(second));
}

bool is_row(const json& rows, Json::ArrayIndex at) {
  return rows[at].isString() && rows[at + 1].isNumeric() &&
         rows[at + 2].isNumeric();
}

json to_json(const usage_counts& value) {
  json out(Json::arrayValue);
  for (const auto& [name, it] : value) append_row(out, name, it.asked, it.used);
  return out;
}

usage_counts counts_from(const json& value) {
  usage_counts out;
  if (!value.isArray()) return out;
  for (Json::ArrayIndex i = 0; i + values_per_row <= value.size();
       i += values_per_row) {
    if (!is_row(value, i)) continue;
    out[value[i].asString()] = {value[i + 1].asDouble(),
                                value[i + 2].asDouble()};
  }
  return out;
}

json to_json(const usage_levels& value) {
  json out(Json::arrayValue);
  for (const auto& [name, it] : value) {
    append_row(out, name, it.level, it.demand);
  }
  return out;
}

usage_levels levels_from(const json& value) {
  usage_levels out;
  for (const auto& [name, it] : counts_from(value)) {
    out[name] = {it.asked, it.used};
  }
  return out;
}

}  // namespace

json to_json(const usage_report& value) {
  json out;
  out["gateway"] = value.gateway;
  out["session"] = as_number(value.session);
  out["sequence"] = as_number(value.sequence);
  out["counts"] = to_json(value.counts);
  if (!value.levels.empty()) out["levels"] = to_json(value.levels);
  return out;
}

usage_report usage_report_from(const json& value) {
  usage_report out;
  out.gateway = text_of(value, "gateway");
  out.session = number_of(value, "session");
  out.sequence = number_of(value, "sequence");
  out.counts = counts_from(member_of(value, "counts"));
  out.levels = levels_from(member_of(value, "levels"));
  return out;
}

json to_json(const usage_reply& value) {
  json out;
  out["collector"] = value.collector;
  out["session"] = as_number(value.session);
  out["sequence"] = as_number(value.sequence);
  out["known"] = value.known;
  out["part"] = value.part;
  out["levels"] = to_json(value.levels);
  return out;
}

usage_reply usage_reply_from(const json& value) {
  usage_reply out;
  out.collector = text_of(value, "collector");
  out.session = number_of(value, "session");
  out.sequence = number_of(value, "sequence");
  out.known = flag_of(value, "known");
  out.part = real_of(value, "part");
  out.levels = levels_from(member_of(value, "levels"));
  return out;
}

json to_json(const region_usage& value) {
  json out;
  out["region"] = value.region;
  out["collector"] = value.collector;
  out["counts"] = to_json(value.counts);
  return out;
}

region_usage region_usage_from(const json& value) {
  region_usage out;
  out.region = text_of(value, "region");
  out.collector = text_of(value, "collector");
  out.counts = counts_from(member_of(value, "counts"));
  return out;
}

}  // namespace trestlepost::usage
