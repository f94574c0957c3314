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
constexpr milliseconds watcher_lifetime{5000};
// Three poll intervals of an up-to-date watcher. One that hasn't polled for
// longer has stopped or is partitioned, and confirmations don't wait for it.
constexpr milliseconds heard_lifetime{1500};
constexpr char update_method[] = "config.update";

}  // namespace

void config_watchers::polled(const watcher_poll& poll) {
  const monotonic_time now = context_.clock.now();
  const auto [known, is_new] =
      all_.try_emplace(poll.name, watcher{watcher_ways(now)});
  watcher& it = known->second;
  it.seen_at = now;
  if (poll.missed) it.delivery.missed();
  // A forwarded poll can arrive after a newer one and report an older revision.
  const bool late = poll.sequence < it.sequence;
  const std::string address = late ? it.ways.address() : poll.address;
  if (address != it.ways.address()) it.delivery.missed();
  it.ways.polled(address, poll.via, now);
  if (!late) take_newest(it, poll);
  note_confirmed();
  send_due(it);
}

void config_watchers::take_newest(watcher& it, const watcher_poll& poll) {
  it.sequence = poll.sequence;
  it.delivery.holds(poll.held, it.seen_at);
}

config::revision_number config_watchers::held_by_all() const {
  const monotonic_time oldest = context_.clock.now() - heard_lifetime;
  config::revision_number out = machine_.store().revision();
  for (const auto& [name, it] : all_) {
    if (it.seen_at >= oldest) out = std::min(out, it.delivery.held());
  }
  return out;
}

void config_watchers::note_confirmed() {
  for (const config::confirmed_revision& it :
       confirmations_.confirmed(held_by_all(), context_.clock.now())) {
    on_confirmed(it.taken);
    log_event(log_level::info, "configuration-confirmed",
              {{"revision", std::to_string(it.revision)},
               {"watchers", std::to_string(all_.size())},
               {"ms", std::to_string(it.taken.count())}});
  }
}

void config_watchers::connection_lost(const std::string& address) {
  const monotonic_time now = context_.clock.now();
  for (auto& [name, it] : all_) {
    const std::vector<watcher_ways::way> ways =
        it.ways.after_loss(address, now);
    if (ways.empty()) continue;
    it.delivery.missed();
    send_due_by(it, ways);
  }
}

void config_watchers::lead_in(consensus::term_number term) {
  if (term == term_) return;
  term_ = term;
  all_.clear();
  confirmations_.clear();
}

void config_watchers::push() {
  const monotonic_time now = context_.clock.now();
  confirmations_.decided(machine_.store().revision(), now);
  std::erase_if(all_, [now](const auto& it) {
    return it.second.seen_at + watcher_lifetime < now;
  });
  const std::uint64_t before = contents_sent_;
  for (auto& [name, it] : all_) send_due(it);
  const milliseconds taken =
      std::chrono::duration_cast<milliseconds>(context_.clock.now() - now);
  log_event(log_level::info, "configuration-pushed",
            {{"revision", std::to_string(machine_.store().revision())},
             {"watchers", std::to_string(contents_sent_ - before)},
             {"ms", std::to_string(taken.count())}});
}

void config_watchers::send_due(watcher& to) {
  const monotonic_time now = context_.clock.now();
  if (!to.ways.known(now)) return;
  const bool repeats = to.delivery.is_repeat(now);
  send_due_by(to, repeats ? to.ways.all(now)
                          : std::vector<watcher_ways::way>{to.ways.best(now)});
}

void config_watchers::send_due_by(watcher& to,
                                  const std::vector<watcher_ways::way>& ways) {
  const monotonic_time now = context_.clock.now();
  const config::revision_number newest = machine_.store().revision();
  const std::optional<config::revision_number> from =
      to.delivery.due(newest, now);
  if (!from) return;
  for (const watcher_ways::way it : ways) send(to, it, *from);
  to.delivery.sent(newest, now);
  contents_sent_ += ways.size();
}

void config_watchers::send(const watcher& to, watcher_ways::way by,
                           config::revision_number from) {
  if (by == watcher_ways::way::direct) {
    context_.links.send(to.ways.address(), packed(from));
    return;
  }
  json message = make_message(from);
  message["for"] = to.ways.address();
  context_.links.send(to.ways.via(), update_method, message);
}

json config_watchers::make_message(config::revision_number from) const {
  json out;
  out["token"] = as_number(0);
  out["leader"] = context_.self.name;
  out["leader_address"] = context_.self.peer_address;
  out["update"] = config::to_json(machine_.update_since(from));
  return out;
}

const transport::packed_notification& config_watchers::packed(
    config::revision_number from) {
  const config::revision_number newest = machine_.store().revision();
  if (packed_to_ != newest) packed_.clear();
  packed_to_ = newest;
  const auto known = packed_.find(from);
  if (known != packed_.end()) return known->second;
  transport::packed_notification made =
      transport::pack_notification(update_method, make_message(from));
  return packed_.emplace(from, std::move(made)).first->second;
}

}  // namespace trestlepost::node
