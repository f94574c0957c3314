#include "endpoint_list_updates.h"

#include <algorithm>
#include <set>
#include <utility>

#include "trestlepost/base/hash.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using surface::listed_endpoint;
using surface::start_time;

// Each gateway is sent the full list at this interval, whatever version it has.
constexpr milliseconds full_list_interval{10'000};
// Receivers count durations down themselves. A duration is sent again when it
// differs from the count by more than this.
constexpr milliseconds duration_tolerance{500};
// How long removed endpoints are remembered; longer than the interval between
// two full lists to any gateway.
constexpr milliseconds removed_lifetime{60'000};

// A gateway without a list whose read failed retries after this delay plus a
// random delay of up to the same length. Without the random part, gateways that
// restart together would exceed the platform's rate limit together again.
constexpr milliseconds initial_retry_delay{150};

// By how much later each gateway takes over than the one ranked before it. The
// step leaves time to receive the update of the one that took over. The first
// ranks all fail only in a large outage, so later ranks use a short step: the
// last of a hundred gateways waits about 4 s more than the first.
constexpr std::size_t long_step_ranks = 8;
constexpr milliseconds long_takeover_step{300};
constexpr milliseconds short_takeover_step{20};

/// The part of `span` that is left after `by`.
milliseconds remaining(milliseconds span, milliseconds by) {
  return std::max(milliseconds(0), span - by);
}

bool nearly_equal(milliseconds a, milliseconds b) {
  return (a > b ? a - b : b - a) <= duration_tolerance;
}

/// By how much the second full list to this gateway is sent earlier.
milliseconds full_list_offset(const std::string& gateway) {
  const std::uint64_t score = rendezvous_score("whole-list", gateway);
  const std::uint64_t interval =
      static_cast<std::uint64_t>(full_list_interval.count());
  return milliseconds(static_cast<std::int64_t>(score % interval));
}

/// Whether a gateway that has `a` need not be sent `b`.
bool is_equivalent(const listed_endpoint& a, const listed_endpoint& b) {
  const bool ends = a.ends_in.has_value() == b.ends_in.has_value() &&
                    (!a.ends_in || nearly_equal(*a.ends_in, *b.ends_in));
  return a.service == b.service && a.address == b.address &&
         a.availability_zone == b.availability_zone && a.slots == b.slots &&
         a.leaving == b.leaving && ends &&
         nearly_equal(a.cold_left, b.cold_left);
}

json to_json(const listed_endpoint& value) {
  json out;
  out["id"] = value.identity.id;
  const start_time born = value.identity.born;
  if (born != start_time{}) out["born"] = as_number(born.time_since_epoch());
  out["service"] = value.service;
  out["address"] = value.address;
  out["zone"] = value.availability_zone;
  out["slots"] = value.slots;
  if (value.leaving) out["leaving"] = true;
  if (value.ends_in) out["ends_in_ms"] = as_number(*value.ends_in);
  if (value.cold_left.count() > 0) {
    out["cold_ms"] = as_number(value.cold_left);
  }
  return out;
}

listed_endpoint listed_endpoint_from(const json& value) {
  listed_endpoint out;
  out.identity.id = text_of(value, "id");
  out.identity.born = start_time(milliseconds(number_of(value, "born")));
  out.service = text_of(value, "service");
  out.address = text_of(value, "address");
  out.availability_zone = text_of(value, "zone");
  out.slots = static_cast<unsigned>(number_of(value, "slots"));
  out.leaving = flag_of(value, "leaving");
  if (!member_of(value, "ends_in_ms").isNull()) {
    out.ends_in = milliseconds(number_of(value, "ends_in_ms"));
  }
  out.cold_left = milliseconds(number_of(value, "cold_ms"));
  return out;
}

result<endpoint_list_update> refused(const std::string& why) {
  return fail(error_kind::bad_input, "an endpoint list update " + why,
              "check that all nodes run compatible versions");
}

}  // namespace

reader_ranking rank_readers(const std::string& region,
                            const std::set<std::string>& gateways,
                            const std::string& self) {
  reader_ranking out;
  std::uint64_t best = 0;
  const std::uint64_t own = rendezvous_score(region, self);
  for (const std::string& it : gateways) {
    const std::uint64_t score = rendezvous_score(region, it);
    if (score > own) ++out.own_rank;
    if (!out.first.empty() && score <= best) continue;
    out.first = it;
    best = score;
  }
  return out;
}

milliseconds reader_timeout(bool has_list, bool first_start,
                            milliseconds interval, std::size_t rank) {
  // On the first start of a deployment there are no requests yet, so waiting
  // for the reader is fine. After a restart there may be no reader to wait for,
  // and a gateway without a list serves no requests.
  const bool restarted = !has_list && !first_start;
  if (restarted) return milliseconds(0);
  const std::size_t long_steps = std::min(rank, long_step_ranks);
  return reader_timeout_intervals * interval + long_steps * long_takeover_step +
         (rank - long_steps) * short_takeover_step;
}

milliseconds reread_delay(bool has_list, milliseconds interval,
                          random_source& random) {
  if (has_list) return interval;
  const std::uint64_t spread =
      random.below(static_cast<std::uint64_t>(initial_retry_delay.count()) + 1);
  return initial_retry_delay + milliseconds(static_cast<std::int64_t>(spread));
}

listed_endpoint timestamped_endpoint::as_of(monotonic_time now) const {
  const milliseconds elapsed =
      std::chrono::duration_cast<milliseconds>(now - at);
  listed_endpoint out = endpoint;
  out.cold_left = remaining(out.cold_left, elapsed);
  if (out.ends_in) out.ends_in = remaining(*out.ends_in, elapsed);
  return out;
}

json to_json(const endpoint_list_update& value) {
  json out;
  out["reader"] = value.reader;
  out["life"] = as_number(value.incarnation);
  out["since"] = as_number(value.since);
  out["version"] = as_number(value.version);
  out["covers"] = as_number(value.covered_revision);
  json& endpoints = out["endpoints"] = json(Json::arrayValue);
  for (const listed_endpoint& it : value.endpoints) {
    endpoints.append(to_json(it));
  }
  for (const std::string& it : value.removed) out["gone"].append(it);
  return out;
}

result<endpoint_list_update> endpoint_list_update_from(const json& value) {
  endpoint_list_update out;
  out.reader = text_of(value, "reader");
  out.incarnation = number_of(value, "life");
  out.since = number_of(value, "since");
  out.version = number_of(value, "version");
  out.covered_revision = number_of(value, "covers");
  if (out.reader.empty() || out.incarnation == 0)
    return refused("names no reader");
  if (out.since > out.version) return refused("starts after its own version");
  for (const json& it : member_of(value, "endpoints")) {
    listed_endpoint one = listed_endpoint_from(it);
    if (one.identity.id.empty())
      return refused("has an endpoint without an id");
    out.endpoints.push_back(std::move(one));
  }
  for (const json& it : member_of(value, "gone")) {
    if (!it.isString()) return refused("has a removed id that is not a string");
    out.removed.push_back(it.asString());
  }
  return out;
}

void endpoint_list_publisher::update(const std::vector<listed_endpoint>& all,
                                     config::revision_number covered_revision,
                                     monotonic_time now) {
  if (version_ == 0) version_ = 1;
  covered_revision_ = covered_revision;
  std::set<std::string> named;
  for (const listed_endpoint& it : all) {
    const std::string name = it.identity.name();
    if (!named.insert(name).second) continue;
    const auto known = entries_.find(name);
    const bool unchanged =
        known != entries_.end() && !known->second.removed &&
        is_equivalent(known->second.timestamped.as_of(now), it);
    if (!unchanged) entries_[name] = {{it, now}, ++version_, false};
  }
  for (auto& [id, it] : entries_) {
    if (it.removed || named.contains(id)) continue;
    it.removed = true;
    it.version = ++version_;
    it.timestamped.at = now;
  }
  std::erase_if(entries_, [now](const auto& it) {
    return it.second.removed &&
           it.second.timestamped.at + removed_lifetime < now;
  });
}

std::uint64_t endpoint_list_publisher::start_update(const std::string& gateway,
                                                    monotonic_time now) {
  const auto [known, is_new] = sent_.try_emplace(gateway);
  sent_state& last = known->second;
  const bool full = is_new || now >= last.full_sent_at + full_list_interval;
  const std::uint64_t since = full ? 0 : last.version;
  last.version = version_;
  if (full) last.full_sent_at = now;
  // Gateways that start together would also get their next full list together;
  // for a hundred gateways that occupies a small VM and its link for seconds.
  if (is_new) last.full_sent_at -= full_list_offset(gateway);
  return since;
}

endpoint_list_update endpoint_list_publisher::update_since(
    std::uint64_t since, monotonic_time now) const {
  endpoint_list_update out;
  out.reader = reader_;
  out.incarnation = incarnation_;
  out.since = since;
  out.version = version_;
  out.covered_revision = covered_revision_;
  for (const auto& [id, it] : entries_) {
    if (it.version <= since) continue;
    if (!it.removed) out.endpoints.push_back(it.timestamped.as_of(now));
    if (it.removed && since > 0) out.removed.push_back(id);
  }
  return out;
}

bool endpoint_list_copy::apply(const endpoint_list_update& in,
                               monotonic_time now) {
  reader_list& it = lists_[in.reader];
  const bool restarted = it.incarnation != in.incarnation;
  if (in.since > 0 && (restarted || in.since > it.version)) return false;
  // A newer update of the same reader arrived first.
  if (!restarted && in.version < it.version) return true;
  if (in.since == 0) it.endpoints.clear();
  it.incarnation = in.incarnation;
  it.version = in.version;
  it.covered_revision = in.covered_revision;
  for (const std::string& id : in.removed) it.endpoints.erase(id);
  for (const listed_endpoint& one : in.endpoints) {
    it.endpoints[one.identity.name()] = {one, now};
  }
  last_reader_ = in.reader;
  return true;
}

std::vector<listed_endpoint> endpoint_list_copy::all(monotonic_time now) const {
  std::vector<listed_endpoint> out;
  const auto found = lists_.find(last_reader_);
  if (found == lists_.end()) return out;
  for (const auto& [id, it] : found->second.endpoints) {
    out.push_back(it.as_of(now));
  }
  return out;
}

config::revision_number endpoint_list_copy::covered_revision() const {
  const auto found = lists_.find(last_reader_);
  return found == lists_.end() ? 0 : found->second.covered_revision;
}

}  // namespace trestlepost::node
