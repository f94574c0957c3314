// Tracks cold endpoints by list, response and ended zone evacuations.
#include "trestlepost/routing/endpoint_warmth.h"

#include <algorithm>

#include "trestlepost/base/log.h"

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

const char* name_of(warmth_source source) {
  switch (source) {
    case warmth_source::list:
      return "list";
    case warmth_source::answer:
      return "answer";
  }
  return "";
}

}  // namespace

void endpoint_warmth::record_cold(const std::string& endpoint,
                                  milliseconds left, warmth_source source,
                                  monotonic_time now) {
  if (left <= milliseconds(0)) return;
  const bool was_warm = !is_cold(endpoint, now);
  cold_until_[endpoint] = now + left;
  if (!was_warm) return;
  log_event(log_level::info, "endpoint-cold",
            {{"endpoint", endpoint},
             {"left_ms", std::to_string(left.count())},
             {"told_by", name_of(source)}});
}

bool endpoint_warmth::record_evacuation_end(const std::string& zone,
                                            config::revision_number revision,
                                            monotonic_time now) {
  evacuation_end& last = evacuation_ends_[zone];
  if (last.revision == revision) return false;
  last = {revision, now};
  return true;
}

void endpoint_warmth::set_list_revision(config::revision_number revision) {
  list_revision_ = std::max(list_revision_, revision);
}

bool endpoint_warmth::may_be_cold(const std::string& endpoint,
                                  const std::string& zone, milliseconds warmup,
                                  monotonic_time now) const {
  if (is_cold(endpoint, now)) return true;
  const auto it = evacuation_ends_.find(zone);
  if (it == evacuation_ends_.end()) return false;
  return it->second.revision > list_revision_ && now < it->second.at + warmup;
}

bool endpoint_warmth::is_cold(const std::string& endpoint,
                              monotonic_time now) const {
  const auto it = cold_until_.find(endpoint);
  return it != cold_until_.end() && now <= it->second;
}

void endpoint_warmth::retain(
    const std::function<bool(const std::string&)>& exists, monotonic_time now) {
  std::erase_if(cold_until_, [&exists, now](const auto& it) {
    return it.second < now || !exists(it.first);
  });
}

}  // namespace trestlepost::routing
