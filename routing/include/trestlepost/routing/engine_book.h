// What this gateway knows of the work at each model endpoint: prompts that
// wait to be read, prompt parts that are probably cached, and how fast
// prompts are read. It predicts the time to a request's first token.
#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "trestlepost/base/clock.h"

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
  int priority = 0;  // 0 is the most urgent
};

/// Prompt tokens that wait to be read, by priority (0 first).
using pending_tokens = std::vector<std::uint32_t>;

class engine_book {
 public:
  /// What an engine reads, in prompt tokens a millisecond, until own requests
  /// have shown it. A guess on the fast side: too slow a guess would send the
  /// first requests away from their caches.
  static constexpr double first_tokens_per_ms = 100;

  struct endpoint {
    std::string id;
    std::uint64_t kv_capacity = 0;  // tokens
  };

  /// Identifies one request that was begun.
  using ticket = std::uint64_t;

  /// Makes the set of known endpoints exactly these. What is known of one
  /// that stays is kept.
  void declare(const std::vector<endpoint>& endpoints);

  /// Prompt tokens that `id` would have to read: those not cached there.
  std::uint32_t uncached_tokens(const std::string& id,
                                const engine_work& work) const;

  /// Time until the first token of a request sent now.
  std::chrono::milliseconds predict(const std::string& id,
                                    const engine_work& work) const;

  /// A request was sent to `id`.
  ticket begin(const std::string& id, const engine_work& work,
               monotonic_time now);
  /// Its first token came; the speed of the endpoint is learned from it.
  void first_token(ticket request, monotonic_time now);
  /// It ended, with or without a first token.
  void end(ticket request);

  /// What the other gateways of the region wait for.
  void set_others(std::map<std::string, pending_tokens> by_endpoint);
  /// What this gateway waits for, to tell the others.
  std::map<std::string, pending_tokens> own_pending() const;

  double tokens_per_ms(const std::string& id) const;

 private:
  struct cached_section {
    std::uint32_t tokens = 0;
    std::list<std::uint64_t>::iterator position;
  };
  struct record {
    std::uint64_t kv_capacity = 0;
    double tokens_per_ms = first_tokens_per_ms;
    pending_tokens own;
    pending_tokens others;
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
  };

  void note_cached(record& it, const engine_work& work);
  void evict(record& it);
  void forget_pending(const begun& it);

  std::map<std::string, record> endpoints_;
  std::map<ticket, begun> requests_;
  ticket next_ticket_ = 1;
};

}  // namespace trestlepost::routing
