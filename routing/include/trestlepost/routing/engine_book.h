// What this gateway knows of the work at each model endpoint: prompts that
// wait to be read, prompt parts that are probably cached, and how fast
// prompts are read and answers written. It predicts a request's course.
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
#include "trestlepost/routing/latency_model.h"
#include "trestlepost/routing/outlook.h"

namespace trestlepost::routing {

using membership::cached_prefix;
using membership::prompt_section;

/// The part of a request that decides what it costs an engine.
struct engine_work {
  std::vector<prompt_section> sections;
  std::uint32_t prompt_tokens = 0;
  /// Expected output; half of the most when the caller gives no guess.
  std::uint32_t output_tokens = 0;
  int priority = 0;  // 0 is the most urgent
};

/// What an endpoint lacks of a prompt, in tokens.
struct uncached_prompt {
  /// Of the sections that other requests share: somebody read them already.
  std::uint32_t shared = 0;
  /// Of the request's own last section.
  std::uint32_t own = 0;

  std::uint32_t total() const { return shared + own; }
};

/// Prompt tokens that wait to be read, by priority (0 first).
using pending_tokens = std::vector<std::uint32_t>;

/// One record for each endpoint of this region; times come from the caller.
class engine_book {
 public:
  struct endpoint {
    std::string id;
    std::string service;
    std::uint64_t kv_capacity = 0;  // tokens
    unsigned tokens_per_event = 1;
  };

  /// Identifies one request that was begun.
  using ticket = std::uint64_t;

  /// Makes the set of known endpoints exactly these. What is known of one
  /// that stays is kept.
  void declare(const std::vector<endpoint>& endpoints);

  /// What `id` lacks of the prompt, as far as this gateway knows.
  uncached_prompt uncached(const std::string& id,
                           const engine_work& work) const;

  /// The course of a request that is sent to `id` now and reads `tokens`,
  /// while `running` answers are written there.
  outlook predict(const std::string& id, const engine_work& work,
                  std::uint32_t tokens, double running = 0) const;

  /// A request was sent to `id`, which has to read `tokens` for it.
  ticket begin(const std::string& id, const engine_work& work,
               std::uint32_t tokens, monotonic_time now);
  /// An event of its answer came; speeds are learned from it.
  void event(ticket request, monotonic_time now);
  /// It ended, whole or not.
  void end(ticket request, monotonic_time now);

  /// How long an engine of `service` reads `tokens`, as learned here.
  std::chrono::milliseconds reading_time(const std::string& service,
                                         std::uint32_t tokens) const;

  /// Mean time for which a request of `service` holds a slot.
  std::chrono::milliseconds mean_hold(const std::string& service) const;

  /// What the other gateways of the region wait for.
  void set_others(std::map<std::string, pending_tokens> by_endpoint);
  /// What this gateway waits for, to tell the others.
  std::map<std::string, pending_tokens> own_pending() const;

  /// Prompt beginnings that were sent to endpoints anew a moment ago, to tell
  /// the other gateways of the region.
  std::vector<cached_prefix> recent_prefixes(monotonic_time now) const;
  /// What another gateway told.
  void note_prefix(const cached_prefix& told);

  /// Mean time between two events of answers at `id`.
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
    /// How much slower than its service's mean it is.
    double slowness = 1;
    double event_ms = 0;  // 0: not observed
    std::unordered_map<std::uint64_t, cached_section> cached;
    std::list<std::uint64_t> recent;  // the last used first
    std::uint64_t cached_tokens = 0;
  };
  struct begun {
    std::string endpoint;
    std::uint32_t tokens = 0;  // that it has to read
    std::uint32_t ahead = 0;   // that were to be read before it
    int priority = 0;
    monotonic_time at;
    bool waiting = true;
    monotonic_time last_event;
  };

  /// What is learned of all endpoints of a service together.
  struct service_record {
    latency_model latency;
    double hold_ms = 0;  // 0: not observed
  };

  struct announcement {
    cached_prefix prefix;
    monotonic_time at;
  };

  const record* find(const std::string& id) const;
  const latency_model& model_of(const record& it) const;
  void first_event(begun& it, record* at, monotonic_time now);
  /// Tokens of `sections` that were not cached until now.
  std::uint32_t note_cached(record& it,
                            const std::vector<prompt_section>& sections);
  void announce(cached_prefix prefix, monotonic_time now);
  void evict(record& it);
  void forget_pending(const begun& it);
  void observe_hold(const begun& it, monotonic_time now);

  std::map<std::string, record> endpoints_;
  std::map<std::string, service_record> services_;
  std::map<ticket, begun> requests_;
  std::deque<announcement> announced_;  // the newest last
  ticket next_ticket_ = 1;
};

}  // namespace trestlepost::routing
