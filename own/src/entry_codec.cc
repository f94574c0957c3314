// Parses callers' look-ups of entries and queries for a node's readiness or
// health, and encodes the answers.
#include "trestlepost/own/codecs.h"
#include "trestlepost/own/request_options.h"
#include "trestlepost/transport/query.h"

namespace trestlepost::own {
namespace {

using transport::query_value;

constexpr std::string_view entries_path = "/v1/entries";
constexpr std::string_view readiness_path = "/readyz";
constexpr std::string_view health_path = "/healthz";

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

json to_json(const membership::entry_view& value) {
  json out;
  out["node"] = value.node;
  out["address"] = value.address;
  out["region"] = value.region;
  out["availability_zone"] = value.availability_zone;
  out["state"] = value.state;
  return out;
}

}  // namespace

std::optional<membership::entry_query> entry_codec::read_query(
    std::string_view, std::string_view target) const {
  if (path_of(target) != entries_path) return std::nullopt;
  membership::entry_query out;
  out.near_region = query_value(target, "region");
  out.near_zone = query_value(target, "availability_zone");
  return out;
}

result<config::label_map> entry_codec::read_labels(
    std::string_view target) const {
  return parse_labels(transport::decode_percent(query_value(target, "labels")));
}

transport::http_response entry_codec::show_entries(
    const std::vector<membership::entry_view>& entries,
    std::chrono::milliseconds lifetime) const {
  json body;
  json& list = body["entries"] = json(Json::arrayValue);
  for (const membership::entry_view& it : entries) list.append(to_json(it));
  body["valid_for_ms"] = as_number(lifetime);
  transport::http_response out;
  out.body = to_text(body);
  return out;
}

bool entry_codec::is_readiness_query(std::string_view,
                                     std::string_view target) const {
  return path_of(target) == readiness_path;
}

bool entry_codec::is_health_query(std::string_view target) const {
  return path_of(target) == health_path;
}

transport::http_response entry_codec::show_readiness(
    const surface::node_report& node) const {
  json body;
  body["state"] = node.state;
  body["revision"] = as_number(node.revision);
  transport::http_response out;
  out.status = node.ready ? 200 : 503;
  out.body = to_text(body);
  return out;
}

transport::http_response entry_codec::refuse(const error& why) const {
  return transport::problem_response(status_of(why.kind), why, "no",
                                     std::chrono::seconds(0));
}

}  // namespace trestlepost::own
