#include "trestlepost/consensus/types.h"

#include <algorithm>
#include <utility>

namespace trestlepost::consensus {
namespace {

struct body_encoder {
  json& out;

  void operator()(const vote_request& body) const {
    out["type"] = "vote_request";
    out["pre_vote"] = body.pre_vote;
    out["last_index"] = as_number(body.last_index);
    out["last_term"] = as_number(body.last_term);
  }
  void operator()(const vote_reply& body) const {
    out["type"] = "vote_reply";
    out["pre_vote"] = body.pre_vote;
    out["granted"] = body.granted;
  }
  void operator()(const append_request& body) const {
    out["type"] = "append_request";
    out["previous_index"] = as_number(body.previous_index);
    out["previous_term"] = as_number(body.previous_term);
    out["commit"] = as_number(body.commit);
    out["round"] = as_number(body.round);
    json entries(Json::arrayValue);
    for (const entry& it : body.entries) entries.append(to_json(it));
    out["entries"] = std::move(entries);
  }
  void operator()(const append_reply& body) const {
    out["type"] = "append_reply";
    out["accepted"] = body.accepted;
    out["match"] = as_number(body.match);
    out["round"] = as_number(body.round);
  }
  void operator()(const snapshot_request& body) const {
    out["type"] = "snapshot_request";
    out["round"] = as_number(body.round);
    out["state"] = to_json(body.state);
  }
};

append_request append_request_from(const json& value) {
  append_request body;
  body.previous_index = number_of(value, "previous_index");
  body.previous_term = number_of(value, "previous_term");
  body.commit = number_of(value, "commit");
  body.round = number_of(value, "round");
  for (const json& it : member_of(value, "entries")) {
    body.entries.push_back(entry_from(it));
  }
  return body;
}

/// Whether the entries follow `previous_index` without a gap.
bool consecutive(const append_request& body) {
  log_index expected = body.previous_index;
  for (const entry& it : body.entries) {
    if (it.index != ++expected || it.term == 0) return false;
  }
  return true;
}

}  // namespace

json to_json(const replica_id& id) {
  json out;
  out["node"] = id.node;
  out["incarnation"] = as_number(id.incarnation);
  return out;
}

replica_id replica_id_from(const json& value) {
  return {text_of(value, "node"), number_of(value, "incarnation")};
}

json to_json(const member_list& members) {
  json out(Json::arrayValue);
  for (const member& it : members) {
    json one = to_json(it.id);
    one["voter"] = it.voter;
    if (!it.address.empty()) one["address"] = it.address;
    out.append(std::move(one));
  }
  return out;
}

member_list member_list_from(const json& value) {
  member_list out;
  if (!value.isArray()) return out;
  for (const json& it : value) {
    out.push_back(
        {replica_id_from(it), flag_of(it, "voter"), text_of(it, "address")});
  }
  return out;
}

json to_json(const entry& value) {
  json out;
  out["index"] = as_number(value.index);
  out["term"] = as_number(value.term);
  out["type"] = static_cast<int>(value.type);
  out["data"] = value.data;
  return out;
}

entry entry_from(const json& value) {
  entry out;
  out.index = number_of(value, "index");
  out.term = number_of(value, "term");
  const std::uint64_t type = number_of(value, "type");
  const bool known = type < static_cast<std::uint64_t>(entry_type::unknown);
  out.type = known ? static_cast<entry_type>(type) : entry_type::unknown;
  out.data = text_of(value, "data");
  return out;
}

json to_json(const snapshot& value) {
  json out;
  out["index"] = as_number(value.index);
  out["term"] = as_number(value.term);
  out["members"] = to_json(value.members);
  out["data"] = value.data;
  return out;
}

snapshot snapshot_from(const json& value) {
  snapshot out;
  out.index = number_of(value, "index");
  out.term = number_of(value, "term");
  out.members = member_list_from(member_of(value, "members"));
  out.data = text_of(value, "data");
  return out;
}

json to_json(const hard_state& value) {
  json out;
  out["term"] = as_number(value.term);
  if (value.voted_for) out["voted_for"] = to_json(*value.voted_for);
  out["group_id"] = value.group_id;
  return out;
}

hard_state hard_state_from(const json& value) {
  hard_state out;
  out.term = number_of(value, "term");
  const json& voted_for = member_of(value, "voted_for");
  if (voted_for.isObject()) out.voted_for = replica_id_from(voted_for);
  out.group_id = text_of(value, "group_id");
  return out;
}

json to_json(const message& value) {
  json out;
  out["group_id"] = value.group_id;
  out["from"] = to_json(value.from);
  out["to"] = to_json(value.to);
  out["term"] = as_number(value.term);
  std::visit(body_encoder{out}, value.body);
  return out;
}

result<message> message_from(const json& value) {
  message out;
  out.group_id = text_of(value, "group_id");
  out.from = replica_id_from(member_of(value, "from"));
  out.to = replica_id_from(member_of(value, "to"));
  out.term = number_of(value, "term");
  const std::string type = text_of(value, "type");
  if (type == "vote_request") {
    out.body =
        vote_request{flag_of(value, "pre_vote"), number_of(value, "last_index"),
                     number_of(value, "last_term")};
  } else if (type == "vote_reply") {
    out.body =
        vote_reply{flag_of(value, "pre_vote"), flag_of(value, "granted")};
  } else if (type == "append_request") {
    append_request body = append_request_from(value);
    const bool readable = std::none_of(
        body.entries.begin(), body.entries.end(),
        [](const entry& it) { return it.type == entry_type::unknown; });
    if (!readable) {
      return fail(error_kind::bad_input,
                  "an append request has an entry of an unknown type",
                  "run one version of trestlepostd on all nodes");
    }
    if (!consecutive(body)) {
      return fail(error_kind::bad_input,
                  "the entries of an append request are not consecutive",
                  "run one version of trestlepostd on all nodes");
    }
    out.body = std::move(body);
  } else if (type == "append_reply") {
    out.body =
        append_reply{flag_of(value, "accepted"), number_of(value, "match"),
                     number_of(value, "round")};
  } else if (type == "snapshot_request") {
    out.body = snapshot_request{number_of(value, "round"),
                                snapshot_from(member_of(value, "state"))};
  } else {
    return fail(error_kind::bad_input, "unknown consensus message type " + type,
                "run one version of trestlepostd on all nodes");
  }
  if (out.from.node.empty() || out.to.node.empty() || out.group_id.empty()) {
    return fail(error_kind::bad_input,
                "the consensus message has no group, sender or receiver",
                "run one version of trestlepostd on all nodes");
  }
  return out;
}

}  // namespace trestlepost::consensus
