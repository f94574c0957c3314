// Types of the replicated log: replicas, entries, snapshots and messages, and
// their JSON encoding.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trestlepost/base/json.h"

namespace trestlepost::consensus {

using log_index = std::uint64_t;
using term_number = std::uint64_t;

/// Identifies a voter or learner. The incarnation is drawn when a data folder
/// is created, so a node that lost its disk returns as a different replica.
struct replica_id {
  std::string node;
  std::uint64_t incarnation = 0;

  auto operator<=>(const replica_id&) const = default;
};

/// A replica of a group, as a voter or as a learner, which only receives the
/// log.
struct member {
  replica_id id;
  bool voter = false;
  /// Address for peers. Set only in groups whose members are not listed in the
  /// settings.
  std::string address{};

  bool operator==(const member&) const = default;
};

using member_list = std::vector<member>;

/// `unknown` stands for a type of a newer version. It is never stored or
/// applied: a replica that skipped such an entry would diverge from the others.
enum class entry_type { noop, command, membership, unknown };

/// One entry of the log. `data` is a command, or a member list as JSON.
struct entry {
  log_index index = 0;
  term_number term = 0;
  entry_type type = entry_type::noop;
  std::string data;

  bool operator==(const entry&) const = default;
};

/// The state after all entries up to and including `index`.
struct snapshot {
  log_index index = 0;
  term_number term = 0;
  member_list members;
  std::string data;
};

/// State that a replica must keep across restarts in addition to its log.
struct hard_state {
  term_number term = 0;
  std::optional<replica_id> voted_for;
  std::string group_id;

  bool operator==(const hard_state&) const = default;
};

struct vote_request {
  bool pre_vote = false;
  log_index last_index = 0;
  term_number last_term = 0;
};

struct vote_reply {
  bool pre_vote = false;
  bool granted = false;
};

/// `round` is the leader's round number. The reply returns it, which confirms
/// that the sender still led when it sent the round.
struct append_request {
  log_index previous_index = 0;
  term_number previous_term = 0;
  log_index commit = 0;
  std::uint64_t round = 0;
  std::vector<entry> entries;
};

struct append_reply {
  bool accepted = false;
  log_index match = 0;  // if not accepted: the last index that may match
  std::uint64_t round = 0;
};

struct snapshot_request {
  std::uint64_t round = 0;
  snapshot state;
};

using message_body = std::variant<vote_request, vote_reply, append_request,
                                  append_reply, snapshot_request>;

/// A message between two replicas of one group.
struct message {
  std::string group_id;
  replica_id from;
  replica_id to;
  term_number term = 0;
  message_body body;
};

json to_json(const replica_id& id);
replica_id replica_id_from(const json& value);
json to_json(const member_list& members);
member_list member_list_from(const json& value);
json to_json(const entry& value);
entry entry_from(const json& value);
json to_json(const snapshot& value);
snapshot snapshot_from(const json& value);
json to_json(const hard_state& value);
hard_state hard_state_from(const json& value);
json to_json(const message& value);

/// Decodes a message of a peer; returns an error if it is invalid.
result<message> message_from(const json& value);

}  // namespace trestlepost::consensus
