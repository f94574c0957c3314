#include "config_watchers.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// A watcher that hasn't polled for this time is removed.
constexpr milliseconds watcher_expiry{5000};
constexpr char update_method[] = "config.update";

}  // namespace

void config_watchers::handle_poll(const watcher_poll& poll) {
  const monotonic_time now = context_.clock.now();
  const auto [known, is_new] =
      watchers_.try_emplace(poll.name, watcher{watcher_paths(now)});
  watcher& it = known->second;
  it.polled_at = now;
  it.lost = false;
  if (poll.missed) it.delivery.discard_sent();
  // A forwarded poll can arrive after a newer one and report an older revision.
  const bool late = poll.sequence < it.sequence;
  const std::string address = late ? it.paths.address() : poll.address;
  if (address != it.paths.address()) it.delivery.discard_sent();
  it.paths.record_poll(address, poll.via, now);
  if (!late) apply_poll(it, poll);
  report_confirmed();
  send_pending(it);
}

void config_watchers::apply_poll(watcher& it, const watcher_poll& poll) {
  it.sequence = poll.sequence;
  it.delivery.acknowledge(poll.revision, it.polled_at);
}

bool config_watchers::may_be_running(const watcher& it) const {
  return !it.lost && it.polled_at + watcher_expiry >= context_.clock.now();
}

void config_watchers::visit_running(
    const std::function<void(const std::string&, config::revision_number)>&
        visit) const {
  for (const auto& [name, it] : watchers_) {
    if (may_be_running(it)) visit(name, it.delivery.acknowledged());
  }
  const monotonic_time now = context_.clock.now();
  if (now >= term_started_at_ + watcher_expiry) return;
  for (const membership::node_record* it : context_.nodes.all()) {
    const membership::node_info& node = it->last.node;
    const bool unheard_gateway =
        !node.forward_address.empty() && !watchers_.contains(node.name);
    const bool dead =
        context_.nodes.state_of(*it, now) == membership::peer_state::dead;
    if (unheard_gateway && !dead) visit(node.name, it->last.revision);
  }
}

config::revision_number config_watchers::lowest_revision() const {
  config::revision_number out = machine_.store().revision();
  visit_running([&out](const std::string&, config::revision_number held) {
    out = std::min(out, held);
  });
  return out;
}

std::vector<std::string> config_watchers::without(
    config::revision_number revision) const {
  std::vector<std::string> out;
  visit_running(
      [&out, revision](const std::string& name, config::revision_number held) {
        if (held < revision) out.push_back(name);
      });
  return out;
}

void config_watchers::report_confirmed() {
  if (confirmations_.empty()) return;
  for (const config::confirmed_revision& it :
       confirmations_.confirm(lowest_revision(), context_.clock.now())) {
    on_confirmed(it.latency);
    log_event(log_level::info, "configuration-confirmed",
              {{"revision", std::to_string(it.revision)},
               {"watchers", std::to_string(watchers_.size())},
               {"ms", std::to_string(it.latency.count())}});
  }
}

void config_watchers::handle_connection_lost(const std::string& address) {
  const monotonic_time now = context_.clock.now();
  for (auto& [name, it] : watchers_) {
    it.lost = it.lost || it.paths.address() == address;
    const std::vector<watcher_paths::path> paths =
        it.paths.after_loss(address, now);
    if (paths.empty()) continue;
    it.delivery.discard_sent();
    send_pending_over(it, paths);
  }
}

void config_watchers::start_term(consensus::term_number term) {
  if (term == term_) return;
  term_ = term;
  term_started_at_ = context_.clock.now();
  watchers_.clear();
  confirmations_.clear();
}

void config_watchers::push_updates() {
  const monotonic_time now = context_.clock.now();
  confirmations_.record_decision(machine_.store().revision(), now);
  std::erase_if(watchers_, [now](const auto& it) {
    return it.second.polled_at + watcher_expiry < now;
  });
  const std::uint64_t before = updates_sent_;
  for (auto& [name, it] : watchers_) send_pending(it);
  const milliseconds taken =
      std::chrono::duration_cast<milliseconds>(context_.clock.now() - now);
  log_event(log_level::info, "configuration-pushed",
            {{"revision", std::to_string(machine_.store().revision())},
             {"watchers", std::to_string(updates_sent_ - before)},
             {"ms", std::to_string(taken.count())}});
}

void config_watchers::send_pending(watcher& to) {
  const monotonic_time now = context_.clock.now();
  if (!to.paths.is_known(now)) return;
  const bool repeats = to.delivery.is_retransmission(now);
  send_pending_over(
      to, repeats ? to.paths.candidates(now)
                  : std::vector<watcher_paths::path>{to.paths.preferred(now)});
}

void config_watchers::send_pending_over(
    watcher& to, const std::vector<watcher_paths::path>& paths) {
  const monotonic_time now = context_.clock.now();
  const config::revision_number newest = machine_.store().revision();
  const std::optional<config::revision_number> from =
      to.delivery.pending_from(newest, now);
  if (!from) return;
  for (const watcher_paths::path it : paths) send(to, it, *from);
  to.delivery.record_sent(newest, now);
  updates_sent_ += paths.size();
}

void config_watchers::send(const watcher& to, watcher_paths::path by,
                           config::revision_number from) {
  if (by == watcher_paths::path::direct) {
    context_.links.send(to.paths.address(), encoded_update(from));
    return;
  }
  json message = make_message(from);
  message["for"] = to.paths.address();
  context_.links.send(to.paths.via(), update_method, message);
}

json config_watchers::make_message(config::revision_number from) const {
  json out;
  out["token"] = as_number(0);
  out["leader"] = context_.self.name;
  out["leader_address"] = context_.self.peer_address;
  out["update"] = config::to_json(machine_.update_since(from));
  out["update"]["group"] = group_id_();
  return out;
}

const transport::encoded_notification& config_watchers::encoded_update(
    config::revision_number from) {
  const config::revision_number newest = machine_.store().revision();
  if (encoded_revision_ != newest) encoded_updates_.clear();
  encoded_revision_ = newest;
  const auto known = encoded_updates_.find(from);
  if (known != encoded_updates_.end()) return known->second;
  transport::encoded_notification made =
      transport::encode_notification(update_method, make_message(from));
  return encoded_updates_.emplace(from, std::move(made)).first->second;
}

}  // namespace trestlepost::node
