#include "commands.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>
#include <utility>

#include "config_file.h"
#include "print.h"
#include "trestlepost/base/clock.h"
#include "trestlepost/base/object_reader.h"
#include "trestlepost/base/random.h"

namespace trestlepost::ctl {
namespace {

constexpr std::chrono::milliseconds wait_interval{100};
constexpr std::chrono::milliseconds max_wait{20'000};

int exit_code_of(error_kind kind) {
  switch (kind) {
    case error_kind::bad_input:
    case error_kind::bad_settings:
    case error_kind::not_found:
      return exit_codes::bad_input;
    case error_kind::conflict:
    case error_kind::mismatch:
      return exit_codes::conflict;
    case error_kind::unavailable:
    case error_kind::in_progress:
    case error_kind::not_leader:
      return exit_codes::unavailable;
    case error_kind::unauthorized:
      return exit_codes::unauthorized;
    default:
      return exit_codes::refused;
  }
}

result<std::string> read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return fail(error_kind::bad_input, "cannot read " + path,
                "name a file that exists and may be read");
  }
  return std::string{std::istreambuf_iterator<char>(in),
                     std::istreambuf_iterator<char>()};
}

std::string make_change_id() {
  system_random random;
  return make_request_id(random);
}

json find_object(const json& objects, const json& edit) {
  for (const json& it : objects) {
    if (it["kind"] == edit["kind"] && it["name"] == edit["name"]) return it;
  }
  return {};
}

}  // namespace

int commands::report(const error& cause) const {
  if (output_.as_json) {
    json out;
    out["error"]["kind"] = std::string(to_string(cause.kind));
    out["error"]["message"] = cause.message;
    out["error"]["remedy"] = cause.remedy;
    std::cout << to_pretty_text(out) << "\n";
  } else {
    std::cerr << "trestlepost: " << cause.message << "\n"
              << "remedy: " << cause.remedy << "\n";
  }
  return exit_code_of(cause.kind);
}

int commands::print(const json& answer, const std::string& text) const {
  if (output_.as_json) {
    std::cout << to_pretty_text(answer) << "\n";
  } else {
    std::cout << text;
  }
  return exit_codes::ok;
}

int commands::init() {
  const result<json> answer = rpc_.call("init", json(Json::objectValue));
  if (!answer) return report(answer.error());
  return print(*answer, "founded group " + text_of(*answer, "group_id") + "\n");
}

int commands::apply(const apply_options& options) {
  const result<std::string> text = read_file(options.file);
  if (!text) return report(text.error());
  const result<std::vector<config::edit>> edits =
      read_config(*text, options.file, false);
  if (!edits) return report(edits.error());
  const result<json> now = rpc_.call("get", json(Json::objectValue));
  if (!now) return report(now.error());
  json params;
  params["change_id"] =
      options.change_id.empty() ? make_change_id() : options.change_id;
  if (options.if_revision) {
    params["if_revision"] = json(Json::UInt64(*options.if_revision));
  }
  json& list = params["edits"] = json(Json::arrayValue);
  for (const config::edit& it : *edits) {
    json one = config::to_json(it);
    const json known = find_object((*now)["objects"], one);
    // A change with an id is sent in full, so that a retry is identical.
    const bool unchanged = known.isObject() && known["spec"] == one["spec"];
    if (unchanged && options.change_id.empty()) continue;
    one["base"] = known.isObject() ? known["revision"] : json(Json::UInt64(0));
    list.append(std::move(one));
  }
  if (list.empty()) {
    return print(*now, "nothing to change, revision " +
                           std::to_string(number_of(*now, "revision")) + "\n");
  }
  return send_change(params, options.wait);
}

int commands::send_change(const json& params, bool wait) {
  const result<json> outcome = rpc_.call("apply", params);
  if (!outcome) return report(outcome.error());
  print(*outcome, print_change(*outcome));
  const std::string status = text_of(*outcome, "status");
  if (status == "conflict" || status == "mismatch") {
    return exit_codes::conflict;
  }
  if (status != "accepted") return exit_codes::refused;
  return wait ? wait_until_in_force(number_of(*outcome, "revision"))
              : exit_codes::ok;
}

int commands::wait_until_in_force(std::uint64_t revision) {
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + max_wait;
  std::string nodes_behind;
  while (std::chrono::steady_clock::now() < end) {
    const result<json> status = rpc_.call("status", json(Json::objectValue));
    if (!status) return report(status.error());
    nodes_behind.clear();
    for (const json& it : member_of(*status, "nodes")) {
      if (number_of(it, "revision") >= revision) continue;
      nodes_behind += (nodes_behind.empty() ? "" : ", ") + text_of(it, "node") +
                      " (" + text_of(it, "heard") + ")";
    }
    if (nodes_behind.empty()) return exit_codes::ok;
    std::this_thread::sleep_for(wait_interval);
  }
  return report({error_kind::unavailable,
                 "revision " + std::to_string(revision) +
                     " is not yet in force on " + nodes_behind,
                 "those nodes are partitioned and serve only their own region; "
                 "restore their network links"});
}

int commands::get(const std::string& kind, const std::string& name) {
  json params(Json::objectValue);
  params["kind"] = kind;
  params["name"] = name;
  const result<json> answer = rpc_.call("get", params);
  if (!answer) return report(answer.error());
  return print(*answer, print_objects(*answer));
}

int commands::remove(const std::string& kind, const std::string& name,
                     const std::string& change_id) {
  const result<config::object_kind> known = config::object_kind_from(kind);
  if (!known) return report(known.error());
  json query;
  query["kind"] = kind;
  query["name"] = name;
  const result<json> found = rpc_.call("get", query);
  if (!found) return report(found.error());
  json params;
  params["change_id"] = change_id.empty() ? make_change_id() : change_id;
  const std::uint64_t revision = number_of((*found)["objects"][0], "revision");
  json one = config::to_json(config::edit{*known, name, json(), revision});
  params["edits"].append(std::move(one));
  return send_change(params, false);
}

int commands::status() {
  const result<json> answer = rpc_.call("status", json(Json::objectValue));
  if (!answer) return report(answer.error());
  return print(*answer, print_status(*answer));
}

int commands::audit(const audit_options& options) {
  json params;
  params["operator"] = options.operator_name;
  params["kind"] = options.kind;
  params["name"] = options.name;
  params["limit"] = json(Json::UInt64(options.limit));
  if (!options.since.empty()) {
    const std::optional<std::chrono::milliseconds> max_age =
        parse_duration(options.since);
    if (!max_age) {
      return report({error_kind::bad_input, "--since is not a duration",
                     "use for example --since \"2 h\""});
    }
    const std::int64_t from =
        to_unix_ms(std::chrono::system_clock::now() - *max_age);
    params["since_ms"] = json(Json::UInt64(static_cast<std::uint64_t>(from)));
  }
  const result<json> answer = rpc_.call("audit", params);
  if (!answer) return report(answer.error());
  return print(*answer, print_audit(*answer));
}

int commands::explain(const explain_options& options) {
  json params;
  params["caller"] = options.caller;
  params["service"] = options.service;
  params["labels"] = options.labels;
  params["run_once"] = options.run_once;
  const result<json> answer = rpc_.call("explain", params);
  if (!answer) return report(answer.error());
  print(*answer, print_explanation(*answer));
  const bool served = text_of(*answer, "verdict").starts_with("served");
  return served ? exit_codes::ok : exit_codes::refused;
}

int commands::drain_endpoint(const std::string& name, bool undo) {
  json params;
  params["kind"] = "endpoint";
  params["name"] = name;
  const result<json> answer = rpc_.call("get", params);
  if (!answer) return report(answer.error());
  const json& found = (*answer)["objects"][0];
  json edit;
  edit["kind"] = "endpoint";
  edit["name"] = name;
  edit["base"] = found["revision"];
  edit["spec"] = found["spec"];
  edit["spec"]["drained"] = !undo;
  json change;
  change["change_id"] = make_change_id();
  change["edits"].append(std::move(edit));
  return send_change(change, false);
}

int commands::drain_node() {
  const result<json> answer = rpc_.call("drain", json(Json::objectValue));
  if (!answer) return report(answer.error());
  return print(*answer, "the node is " + text_of(*answer, "state") + "\n");
}

int commands::held() {
  const result<json> answer = rpc_.call("held", json(Json::objectValue));
  if (!answer) return report(answer.error());
  return print(*answer, print_held(*answer));
}

int commands::release(const std::string& fingerprint,
                      const std::string& change_id) {
  json params;
  params["fingerprint"] = fingerprint;
  params["change_id"] = change_id.empty() ? make_change_id() : change_id;
  const result<json> outcome = rpc_.call("release", params);
  if (!outcome) return report(outcome.error());
  return print(*outcome, print_change(*outcome));
}

int commands::recover(bool loss_accepted) {
  if (!loss_accepted) {
    return report({error_kind::bad_input,
                   "changes that only the lost nodes stored would be lost",
                   "bring one of them back, or repeat with --accept-loss"});
  }
  const result<json> answer = rpc_.call("recover", json(Json::objectValue));
  if (!answer) return report(answer.error());
  return print(*answer, "recovered as group " + text_of(*answer, "group_id") +
                            "; empty the data folders of the other control "
                            "nodes that were not lost\n");
}

int commands::check(const std::string& file) {
  const result<std::string> text = read_file(file);
  if (!text) return report(text.error());
  const result<std::vector<config::edit>> edits =
      read_config(*text, file, true);
  if (!edits) return report(edits.error());
  json out;
  out["objects"] = json(Json::UInt64(edits->size()));
  return print(
      out, file + ": valid, " + std::to_string(edits->size()) + " objects\n");
}

}  // namespace trestlepost::ctl
