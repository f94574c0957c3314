#include "print.h"

#include <algorithm>
#include <vector>

namespace trestlepost::ctl {
namespace {

using table_row = std::vector<std::string>;

std::string print_table(const std::vector<table_row>& rows) {
  std::vector<std::size_t> widths;
  for (const table_row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string out;
  for (const table_row& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) line.append(widths[i] - row[i].size() + 2, ' ');
    }
    out += line + "\n";
  }
  return out;
}

std::string number_text(const json& object, const char* key) {
  return std::to_string(number_of(object, key));
}

std::string one_decimal(const json& object, const char* key) {
  const std::string text = std::to_string(real_of(object, key));
  return text.substr(0, text.find('.') + 2);
}

std::string member_names(const json& members) {
  std::string out;
  for (const json& it : members) {
    out += (out.empty() ? "" : ", ") + text_of(it, "node") +
           (flag_of(it, "voter") ? "" : " (learner)");
  }
  return out;
}

std::string join(const json& list) {
  std::string out;
  for (const json& it : list) out += (out.empty() ? "" : ", ") + it.asString();
  return out;
}

}  // namespace

std::string print_status(const json& status) {
  std::string out =
      "node " + text_of(status, "node") + " in " + text_of(status, "region") +
      ": " + text_of(status, "state") + ", revision " +
      number_text(status, "revision") +
      (flag_of(status, "confirmed") ? ", confirmed" : ", not confirmed") +
      "\nconfiguration leader: " + text_of(status, "leader") + "\n";
  const json& control = member_of(status, "control");
  if (control.isObject()) {
    out += "configuration group: term " + number_text(control, "term") +
           ", members " + member_names(member_of(control, "members")) + "\n";
    const std::string failure = text_of(control, "failure");
    if (!failure.empty()) out += "storage failed: " + failure + "\n";
  }
  const json& ledger = member_of(status, "ledger");
  if (ledger.isObject()) {
    out += "ledger: leader " + text_of(ledger, "leader") + ", members " +
           member_names(member_of(ledger, "members")) + ", records " +
           number_text(ledger, "records") + "\n";
  }
  std::vector<table_row> nodes{
      {"NODE", "REGION", "ZONE", "STATE", "HEARD", "REVISION", "IN FORCE"}};
  for (const json& it : member_of(status, "nodes")) {
    nodes.push_back({text_of(it, "node"), text_of(it, "region"),
                     text_of(it, "availability_zone"), text_of(it, "state"),
                     text_of(it, "heard"), number_text(it, "revision"),
                     flag_of(it, "in_force") ? "yes" : "no"});
  }
  out += print_table(nodes);
  std::vector<table_row> endpoints{
      {"ENDPOINT", "SERVICE", "STATE", "LIMIT", "IN FLIGHT", "LOAD"}};
  for (const json& it : member_of(status, "endpoints")) {
    endpoints.push_back({text_of(it, "endpoint"), text_of(it, "service"),
                         text_of(it, "state"), one_decimal(it, "limit"),
                         number_text(it, "in_flight"),
                         one_decimal(it, "load")});
  }
  return out + print_table(endpoints);
}

std::string print_objects(const json& answer) {
  std::vector<table_row> rows{{"KIND", "NAME", "REVISION", "SPEC"}};
  for (const json& it : member_of(answer, "objects")) {
    rows.push_back({text_of(it, "kind"), text_of(it, "name"),
                    number_text(it, "revision"),
                    to_text(member_of(it, "spec"))});
  }
  return print_table(rows);
}

std::string print_audit(const json& answer) {
  std::vector<table_row> rows{
      {"AT", "OPERATOR", "CHANGE", "RESULT", "REVISION", "OBJECTS"}};
  for (const json& it : member_of(answer, "records")) {
    std::string objects;
    for (const json& object : member_of(it, "objects")) {
      objects += (objects.empty() ? "" : ", ") + text_of(object, "kind") + " " +
                 text_of(object, "name");
    }
    const json& outcome = member_of(it, "outcome");
    rows.push_back({text_of(it, "at"), text_of(it, "operator"),
                    text_of(it, "change_id"), text_of(outcome, "status"),
                    number_text(outcome, "revision"), objects});
  }
  return print_table(rows);
}

std::string print_held(const json& answer) {
  std::vector<table_row> rows{{"FINGERPRINT", "SERVICE", "SINCE", "EVIDENCE"}};
  for (const json& it : member_of(answer, "held")) {
    rows.push_back({text_of(it, "fingerprint"), text_of(it, "service"),
                    text_of(it, "since"), text_of(it, "evidence")});
  }
  return print_table(rows);
}

std::string print_explanation(const json& answer) {
  std::string out = "caller " + text_of(answer, "caller") + ", service " +
                    text_of(answer, "service") + ", entry in " +
                    text_of(answer, "entry_region") + ": " +
                    text_of(answer, "verdict") + "\n";
  const json& refusal = member_of(answer, "refusal");
  if (refusal.isObject()) {
    return out + text_of(refusal, "message") +
           "\nremedy: " + text_of(refusal, "remedy") + "\n";
  }
  const json& placement = member_of(answer, "placement");
  std::vector<table_row> rules{{"RULE", "REASON", "PERMITS"}};
  for (const json& it : member_of(placement, "rules")) {
    rules.push_back({text_of(it, "rule"), text_of(it, "reason"),
                     join(member_of(it, "permits"))});
  }
  out += print_table(rules);
  out += "permitted: " + join(member_of(placement, "permitted")) +
         "; home: " + text_of(placement, "home") +
         "; away_penalty: " + text_of(placement, "away_penalty") + "\n";
  std::vector<table_row> regions{{"REGION", "ELIGIBLE", "COST", "REASON"}};
  for (const json& it : member_of(answer, "regions")) {
    regions.push_back({text_of(it, "region"),
                       flag_of(it, "eligible") ? "yes" : "no",
                       text_of(it, "cost"), text_of(it, "reason")});
  }
  return out + print_table(regions);
}

std::string print_change(const json& outcome) {
  std::string out = text_of(outcome, "status") + ", revision " +
                    number_text(outcome, "revision") + "\n";
  if (text_of(outcome, "status") != "accepted") {
    out += text_of(outcome, "message") +
           "\nremedy: " + text_of(outcome, "remedy") + "\n";
  }
  for (const json& it : member_of(outcome, "warnings")) {
    out += "warning: " + it.asString() + "\n";
  }
  return out;
}

}  // namespace trestlepost::ctl
