#include "hold_proposer.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// A proposal not in force after this time is sent again: it may have been lost
// with its leader.
constexpr milliseconds proposal_interval{2000};
constexpr std::size_t max_proposed_holds = 1000;
// Time in which a proposed hold comes into force, if it does.
constexpr std::chrono::seconds release_wait{30};
constexpr char operator_name[] = "trestlepost";

// Endpoints that the evidence of a hold names.
constexpr std::size_t max_endpoints_named = 8;

std::string evidence_of(const routing::hold_proposal& it) {
  std::string out;
  if (it.kind == routing::trait_kind::part) out = "a part of prompts; ";
  if (it.kind == routing::trait_kind::organisation_part)
    out = "a part of prompts of one organisation; ";
  out += "crashed while they ran it:";
  const std::size_t named = std::min(it.endpoints.size(), max_endpoints_named);
  for (std::size_t n = 0; n < named; ++n) out += " " + it.endpoints[n];
  if (named < it.endpoints.size()) {
    out += " and " + std::to_string(it.endpoints.size() - named) + " more";
  }
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
      handle_success(report);
    } else {
      attribution_.record_crash(report, now);
    }
  }
  for (const json& it : member_of(params, "parts"))
    handle_part_reports(it, now);
}

void hold_proposer::handle_part_reports(const json& crash, monotonic_time now) {
  routing::crash_report report;
  report.endpoint = text_of(crash, "endpoint");
  report.service = text_of(crash, "service");
  report.at = now - milliseconds(number_of(crash, "age_ms"));
  if (report.endpoint.empty()) return;
  const auto record_all = [&](routing::trait_kind kind, const char* list) {
    report.kind = kind;
    for (const std::string& it : texts_of(crash, list)) {
      report.fingerprint = it;
      attribution_.record_crash(report, now);
    }
  };
  record_all(routing::trait_kind::organisation_part, "organisation_parts");
  record_all(routing::trait_kind::part, "parts");
}

void hold_proposer::handle_success(const routing::crash_report& report) {
  const bool cleared =
      attribution_.record_success(report.fingerprint, report.at);
  const bool proposed = proposed_holds_.erase(report.fingerprint) > 0;
  const bool held = store_.held_requests().contains(report.fingerprint);
  if (cleared && (proposed || held))
    releases_[report.fingerprint].since = context_.clock.now();
  if (cleared && proposed) withdrawn_.push_back(report.fingerprint);
}

void hold_proposer::apply_hold_changes() {
  const config::hold_changes changes = holds_.update(store_);
  for (const std::string& it : changes.held) proposed_holds_.erase(it);
  for (const std::string& it : changes.released) {
    attribution_.forget(it, context_.clock.now());
    releases_.erase(it);
    withdrawn_.push_back(it);
  }
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

void hold_proposer::propose(config::request_hold hold) {
  config::change requested;
  requested.id = make_request_id(context_.random);
  requested.operator_name = operator_name;
  requested.hold = std::move(hold);
  propose_(std::move(requested));
}

void hold_proposer::propose_holds() {
  const monotonic_time now = context_.clock.now();
  for (auto& [fingerprint, it] : proposed_holds_) {
    if (now < it.next_proposal) continue;
    it.next_proposal = now + proposal_interval;
    propose({fingerprint, true, it.proposal.service, evidence_of(it.proposal)});
  }
}

void hold_proposer::propose_releases() {
  const monotonic_time now = context_.clock.now();
  for (auto& [fingerprint, it] : releases_) {
    const bool held = store_.held_requests().contains(fingerprint);
    if (!held || now < it.next_proposal) continue;
    it.next_proposal = now + proposal_interval;
    log_event(
        log_level::warn, "hold-release-proposed",
        {{"fingerprint", fingerprint}, {"cause", "a run has succeeded since"}});
    propose({fingerprint, false, "", ""});
  }
  // A hold that was proposed may still come into force.
  std::erase_if(releases_, [this, now](const auto& it) {
    return !store_.held_requests().contains(it.first) &&
           now >= it.second.since + release_wait;
  });
}

void hold_proposer::tick(bool leads) {
  apply_hold_changes();
  const std::vector<std::string> suspects = attribution_.take_suspects();
  const std::vector<std::string> proposed = evaluate_reports();
  const std::vector<std::string> withdrawn = std::exchange(withdrawn_, {});
  if (!leads) return;
  notify_gateways("crash.suspects", suspects);
  // Sent without waiting for the log, which takes several round trips: more
  // endpoints could crash until then.
  notify_gateways("crash.condemned", proposed);
  // A gateway that reads a hold and its release at once sees neither in its
  // configuration.
  notify_gateways("crash.withdrawn", withdrawn);
  propose_holds();
  propose_releases();
}

}  // namespace trestlepost::node
