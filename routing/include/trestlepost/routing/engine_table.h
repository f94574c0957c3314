// Tracks the work of each model endpoint as known to this gateway: prompts
// waiting for prefill, prompt sections that are probably cached, and prefill
// and decode speeds. Predicts the course of a request from them.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/membership/cached_prefix.h"
#include "trestlepost/routing/completion_estimate.h"
#include "trestlepost/routing/latency_model.h"

namespace trestlepost::routing {

using membership::cached_prefix;
using membership::prompt_section;

/// The properties of a request that determine its cost on an engine.
struct engine_work {
  std::vector<prompt_section> sections;
  std::uint32_t prompt_tokens = 0;
  /// Expected output; half of the maximum if the caller gives no estimate.
  std::uint32_t output_tokens = 0;
  int priority = 0;  // 0 is the most urgent
};

/// Tokens of a prompt that an endpoint has not cached.
struct uncached_prompt {
  /// In sections shared with other requests, which another endpoint may have
  /// cached.
  std::uint32_t shared = 0;
  /// In the request's own last section.
  std::uint32_t own = 0;

  std::uint32_t total() const { return shared + own; }
};

/// Prompt tokens waiting for prefill, indexed by priority (0 first).
using pending_tokens = std::vector<std::uint32_t>;

/// State of all model endpoints of this region. Callers pass the current time.
class engine_table {
 public:
  struct endpoint {
    std::string id;
    std::string service;
    std::uint64_t kv_capacity = 0;  // in tokens
    unsigned tokens_per_event = 1;
  };

  /// Identifies a request between `begin_request` and `end_request`.
  using ticket = std::uint64_t;

  /// Replaces the set of endpoints. The state of endpoints that stay is kept.
  void set_endpoints(const std::vector<endpoint>& endpoints);

  /// Returns the tokens of the prompt that `id` has not cached, as far as this
  /// gateway knows.
  uncached_prompt uncached(const std::string& id,
                           const engine_work& work) const;

  /// Predicts the course of a request sent to `id` now, if the endpoint
  /// prefills `tokens` for it and decodes `running` other responses at the same
  /// time.
  completion_estimate predict(const std::string& id, const engine_work& work,
                              std::uint32_t tokens, double running = 0) const;

  /// Records that a request was sent to `id`, which prefills `tokens` for it.
  ticket begin_request(const std::string& id, const engine_work& work,
                       std::uint32_t tokens, monotonic_time now);
  /// Records an event of the response stream and updates the observed speeds.
  void record_event(ticket request, monotonic_time now);
  /// Records that the request ended, successfully or not.
  void end_request(ticket request, monotonic_time now);

  /// Returns the time an engine of `service` needs to prefill `tokens`, by the
  /// observed speed.
  std::chrono::milliseconds prefill_time(const std::string& service,
                                         std::uint32_t tokens) const;

  /// Returns the mean time that a request of `service` occupies a slot.
  std::chrono::milliseconds mean_slot_time(const std::string& service) const;

  /// Sets the pending prompt tokens of the region's other gateways.
  void set_peer_pending(std::map<std::string, pending_tokens> by_endpoint);
  /// Returns this gateway's pending prompt tokens, for the other gateways.
  std::map<std::string, pending_tokens> own_pending() const;

  /// Returns the prompt prefixes that were recently sent to an endpoint for the
  /// first time, for the other gateways of the region.
  std::vector<cached_prefix> recent_prefixes(monotonic_time now) const;
  /// Records a cached prefix reported by another gateway.
  void add_cached_prefix(const cached_prefix& reported);

  /// Returns the mean time between two response events at `id`.
  std::chrono::milliseconds event_interval(const std::string& id) const;

 private:
  struct cached_section {
    std::uint32_t tokens = 0;
    std::list<std::uint64_t>::iterator position;
  };
  struct record {
    endpoint declared;
    pending_tokens own;
    pending_tokens others;
    /// Prefill time relative to the mean of its service; above 1 is slower.
    double slowdown = 1;
    double event_ms = 0;  // 0: not observed
    std::unordered_map<std::uint64_t, cached_section> cached;
    std::list<std::uint64_t> recent;  // most recently used first
    std::uint64_t cached_tokens = 0;
  };
  struct active_request {
    std::string endpoint;
    std::uint32_t tokens = 0;  // to prefill for this request
    std::uint32_t ahead = 0;   // to prefill before this request
    int priority = 0;
    monotonic_time at;
    bool waiting = true;
    monotonic_time last_event;
  };

  /// Observations of all endpoints of a service together.
  struct service_record {
    latency_model latency;
    double slot_time_ms = 0;  // 0: not observed
  };

  struct announcement {
    cached_prefix prefix;
    monotonic_time at;
  };

  const record* find(const std::string& id) const;
  const latency_model& model_of(const record& it) const;
  void first_event(active_request& it, record* at, monotonic_time now);
  /// Adds `sections` to the cache model and returns the tokens that were not
  /// cached before.
  std::uint32_t add_cached(record& it,
                           const std::vector<prompt_section>& sections);
  void announce(cached_prefix prefix, monotonic_time now);
  void evict(record& it);
  void remove_pending(const active_request& it);
  void observe_slot_time(const active_request& it, monotonic_time now);

  std::map<std::string, record> endpoints_;
  std::map<std::string, service_record> services_;
  std::map<ticket, active_request> requests_;
  std::deque<announcement> announced_;  // newest last
  ticket next_ticket_ = 1;
};

}  // namespace trestlepost::routing
