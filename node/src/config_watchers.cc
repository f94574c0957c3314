#include "config_watchers.h"

#include <chrono>
#include <optional>
#include <utility>

#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds watcher_lifetime{5000};
// A watcher that has not polled this node itself for so long is taken to be cut
// off from it: two polls of a node that is content.
constexpr milliseconds direct_patience{1000};
// Its first poll may come sooner by way of a nearer node than directly: two
// polls of a node that has just started.
constexpr milliseconds first_patience{300};
constexpr char update_method[] = "config.update";

}  // namespace

void config_watchers::polled(const watcher_poll& poll) {
  const monotonic_time now = context_.clock.now();
  const auto [known, is_new] = all_.try_emplace(poll.name);
  watcher& it = known->second;
  if (is_new) it.first_at = now;
  it.seen_at = now;
  if (poll.via.empty()) {
    it.direct_at = now;
  } else {
    it.via = poll.via;
  }
  if (poll.missed) it.delivery.missed();
  // One that was passed on may come after a later one, and name less.
  const bool late = poll.sequence < it.sequence;
  if (!late) take_newest(it, poll);
  send_due(it);
}

void config_watchers::take_newest(watcher& it, const watcher_poll& poll) {
  if (it.address != poll.address) it.delivery.missed();
  it.sequence = poll.sequence;
  it.address = poll.address;
  it.delivery.holds(poll.held, it.seen_at);
}

bool config_watchers::is_direct(const watcher& it) const {
  return it.direct_at && context_.clock.now() < *it.direct_at + direct_patience;
}

bool config_watchers::has_way(const watcher& it) const {
  return is_direct(it) || context_.clock.now() >= it.first_at + first_patience;
}

void config_watchers::connection_lost(const std::string& address) {
  for (auto& [name, it] : all_) {
    const bool direct = is_direct(it) || it.via.empty();
    if ((direct ? it.address : it.via) != address) continue;
    it.delivery.missed();
    send_due(it);
  }
}

void config_watchers::lead_in(consensus::term_number term) {
  if (term == term_) return;
  term_ = term;
  all_.clear();
}

void config_watchers::push() {
  const monotonic_time now = context_.clock.now();
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
  if (!has_way(to)) return;
  const monotonic_time now = context_.clock.now();
  const config::revision_number newest = machine_.store().revision();
  const std::optional<config::revision_number> from =
      to.delivery.due(newest, now);
  if (!from) return;
  send(to, *from);
  to.delivery.sent(newest, now);
  ++contents_sent_;
}

void config_watchers::send(const watcher& to, config::revision_number from) {
  if (is_direct(to) || to.via.empty()) {
    context_.links.send(to.address, packed(from));
    return;
  }
  json message = make_message(from);
  message["for"] = to.address;
  context_.links.send(to.via, update_method, message);
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
