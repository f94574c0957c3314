// What this gateway knows of the work at each model endpoint: prompts that
// wait to be read, prompt parts that are probably cached, and how fast
// prompts are read and answers written. It predicts a request's course.
#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/routing/latency_model.h"
#include "trestlepost/routing/outlook.h"

namespace trestlepost::routing {

/// A run of prompt tokens; prompts that begin alike share their first parts.
struct prompt_section {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// The part of a request that decides what it costs an engine.
struct engine_work {
  std::vector<prompt_section> sections;
  std::uint32_t prompt_tokens = 0;
  /// Expected output; half of the most when the caller gives no guess.
  std::uint32_t output_tokens = 0;
  int priority = 0;  // 0 is the most urgent
};

/// What a gateway may take for cached at an endpoint.
enum class cache_belief {
  /// The sections that this gateway sent there itself.
  own_sends,
  /// All shared sections, almost surely: every gateway of the region prefers
  /// this endpoint for them.
  preferred_by_all,
  /// All shared sections, once they are copied from another endpoint.
  after_copy,
};

/// How much of a prompt an endpoint can be expected to read.
struct expected_reading {
  std::uint32_t tokens = 0;
  /// Those of them that other requests share: somebody read them already.
  std::uint32_t shared_tokens = 0;
  /// Tokens that are copied from another endpoint instead.
  std::uint32_t copied_tokens = 0;
};

/// Prompt tokens that wait to be read, by priority (0 first).
using pending_tokens = std::vector<std::uint32_t>;

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

  /// Prompt tokens that `id` would have to read: those not cached there.
  std::uint32_t uncached_tokens(const std::string& id,
                                const engine_work& work) const;

  expected_reading reading_at(const std::string& id, const engine_work& work,
                              cache_belief belief) const;

  /// The course of a request that is sent to `id` now.
  outlook predict(const std::string& id, const engine_work& work,
                  cache_belief belief = cache_belief::own_sends) const;

  /// A request was sent to `id`.
  ticket begin(const std::string& id, const engine_work& work,
               monotonic_time now,
               cache_belief belief = cache_belief::own_sends);
  /// An event of its answer came; speeds are learned from it.
  void event(ticket request, monotonic_time now);
  /// It ended, whole or not.
  void end(ticket request);

  /// What the other gateways of the region wait for.
  void set_others(std::map<std::string, pending_tokens> by_endpoint);
  /// What this gateway waits for, to tell the others.
  std::map<std::string, pending_tokens> own_pending() const;

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

  const record* find(const std::string& id) const;
  const latency_model& model_of(const record& it) const;
  void first_event(begun& it, record* at, monotonic_time now);
  void note_cached(record& it, const engine_work& work);
  void evict(record& it);
  void forget_pending(const begun& it);

  std::map<std::string, record> endpoints_;
  std::map<std::string, latency_model> models_;  // by service
  std::map<ticket, begun> requests_;
  ticket next_ticket_ = 1;
};

}  // namespace trestlepost::routing
