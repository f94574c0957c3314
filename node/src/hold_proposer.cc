#include "hold_proposer.h"

#include <utility>

#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// A proposal not in force after this time is sent again: it may have been lost
// with its leader.
constexpr milliseconds proposal_interval{2000};
constexpr std::size_t max_proposed_holds = 1000;
constexpr char operator_name[] = "trestlepost";

std::string evidence_of(const routing::hold_proposal& it) {
  std::string out = "crashed while they ran it:";
  for (const std::string& endpoint : it.endpoints) out += " " + endpoint;
  return out;
}

}  // namespace

void hold_proposer::handle_report(const json& params) {
  const monotonic_time now = context_.clock.now();
  for (const json& it : member_of(params, "reports")) {
    routing::crash_report report;
    report.fingerprint = text_of(it, "fingerprint");
    report.endpoint = text_of(it, "endpoint");
    report.service = text_of(it, "service");
    report.at = now - milliseconds(number_of(it, "age_ms"));
    if (report.fingerprint.empty()) continue;
    if (report.endpoint.empty()) {
      attribution_.record_success(report.fingerprint, report.at);
      proposed_holds_.erase(report.fingerprint);
    } else {
      attribution_.record_crash(report, now);
    }
  }
}

void hold_proposer::apply_hold_changes() {
  const config::hold_changes changes = holds_.update(store_);
  for (const std::string& it : changes.held) proposed_holds_.erase(it);
  for (const std::string& it : changes.released) attribution_.forget(it);
}

void hold_proposer::notify_gateways(
    const std::string& method, const std::vector<std::string>& fingerprints) {
  if (fingerprints.empty()) return;
  json params;
  json& all = params["fingerprints"] = json(Json::arrayValue);
  for (const std::string& it : fingerprints) all.append(it);
  const transport::encoded_notification encoded =
      transport::encode_notification(method, params);
  const monotonic_time now = context_.clock.now();
  for (const membership::node_record* it : context_.nodes.all()) {
    const bool gateway = !it->last.node.forward_address.empty();
    const bool reachable =
        context_.nodes.state_of(*it, now) != membership::peer_state::dead;
    if (gateway && reachable) {
      context_.links.send(it->last.node.peer_address, encoded);
    }
  }
}

std::vector<std::string> hold_proposer::evaluate_reports() {
  std::vector<std::string> out;
  const monotonic_time now = context_.clock.now();
  for (routing::hold_proposal& it : attribution_.take_hold_proposals(now)) {
    if (store_.held_requests().contains(it.fingerprint)) continue;
    log_event(log_level::warn, "request-hold-proposed",
              {{"fingerprint", it.fingerprint},
               {"service", it.service},
               {"evidence", evidence_of(it)}});
    if (proposed_holds_.size() >= max_proposed_holds) {
      log_event(log_level::warn, "proposed-holds-dropped",
                {{"requests", std::to_string(proposed_holds_.size())}});
      proposed_holds_.clear();
    }
    const std::string fingerprint = it.fingerprint;
    proposed_holds_[fingerprint] = {std::move(it), now};
    out.push_back(fingerprint);
  }
  return out;
}

void hold_proposer::propose_holds() {
  const monotonic_time now = context_.clock.now();
  for (auto& [fingerprint, it] : proposed_holds_) {
    if (now < it.next_proposal) continue;
    it.next_proposal = now + proposal_interval;
    config::change requested;
    requested.id = make_request_id(context_.random);
    requested.operator_name = operator_name;
    requested.hold = config::request_hold{
        fingerprint, true, it.proposal.service, evidence_of(it.proposal)};
    propose_(std::move(requested));
  }
}

void hold_proposer::tick(bool leads) {
  apply_hold_changes();
  const std::vector<std::string> suspects = attribution_.take_suspects();
  const std::vector<std::string> proposed = evaluate_reports();
  if (!leads) return;
  notify_gateways("crash.suspects", suspects);
  // Sent without waiting for the log, which takes several round trips: more
  // endpoints could crash until then.
  notify_gateways("crash.condemned", proposed);
  propose_holds();
}

}  // namespace trestlepost::node
