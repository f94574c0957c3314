// Determines what crashes the endpoints that run it, a request or a part of
// prompts, from the crash reports of the gateways. Performs no I/O.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/routing/run_trait.h"

namespace trestlepost::routing {

/// A trait of a run that was in progress on an endpoint when the endpoint
/// crashed.
struct crash_report {
  std::string fingerprint;  // of the trait
  std::string endpoint;
  std::string service;
  monotonic_time at{};
  trait_kind kind = trait_kind::request;
};

/// A request or a part of prompts to hold, with the crashes attributed to it.
struct hold_proposal {
  std::string fingerprint;
  std::string service;
  // endpoints that crashed while running it
  std::vector<std::string> endpoints;
  trait_kind kind = trait_kind::request;
};

struct crash_attribution_limits {
  /// Attributed crashes after which a trait is held. Two are too few: an
  /// endpoint runs dozens of requests when one of them crashes it, and all of
  /// them are then retried on other endpoints together.
  std::size_t crashes_to_hold = 3;
  /// The same for parts that were present at exactly the same crashes, only one
  /// of which may be the cause.
  std::size_t crashes_to_hold_tied = 5;
  /// Attributed crashes after which gateways report successful runs with the
  /// trait.
  std::size_t crashes_to_suspect = 2;
  /// Time to wait for the reports of all gateways after a crash, since the
  /// report on the request that caused it may arrive last.
  std::chrono::milliseconds settle_time{150};
  /// The same for a part of prompts. Gateways that were told to report its
  /// successful runs have to see one, if there is any.
  std::chrono::milliseconds part_settle_time{400};
  /// Crashes within this time of each other count as one against a part, since
  /// endpoints that crash together have a common cause.
  std::chrono::milliseconds common_cause_window{120};
  /// A trait with a successful run within this time is not held.
  std::chrono::milliseconds recent_success_window{3000};
  /// Number of crashes kept, of traits kept per crash, and of traits in all
  /// crashes together. The oldest crashes are dropped first.
  std::size_t max_crashes = 4000;
  std::size_t max_traits_per_crash = 2048;
  std::size_t max_observations = 50'000;
};

/// Counts crashes by trait. An endpoint runs up to some dozens of requests when
/// one of them crashes it. A crash is therefore attributed only to those of
/// their traits that were present at the most crashes; of several, to the
/// narrowest: a request rather than a part of its prompt, a part within an
/// organisation rather than a part. A successful run clears all earlier crashes
/// of its traits, since what crashes endpoints does so on each run.
///
/// A part is excused where the crashes have another explanation: no run of the
/// service has succeeded since, or endpoints crash without the part as well, at
/// the same moment, or one by one and as often.
///
/// The result does not depend on the order of reports or on duplicates, so all
/// nodes that receive the same reports reach the same result.
class crash_attribution {
 public:
  explicit crash_attribution(const crash_attribution_limits& limits = {})
      : limits_(limits) {}

  void record_crash(const crash_report& report, monotonic_time now);
  /// Records a successful run with the trait, or of the service if
  /// `fingerprint` is its `service_fingerprint`, that was observed at `at`.
  /// Returns whether this has cleared all crashes of the trait.
  bool record_success(const std::string& fingerprint, monotonic_time at);

  /// Returns the number of crashes attributed to the trait.
  std::size_t attributed_crashes(const std::string& fingerprint) const;
  /// Returns whether any crash is recorded for the trait.
  bool has_crashes(const std::string& fingerprint) const {
    return traits_.contains(fingerprint);
  }
  /// Returns what is to be held from now on. Each trait is returned once, until
  /// `forget` is called for it.
  std::vector<hold_proposal> take_hold_proposals(monotonic_time now);
  /// Returns traits whose successful runs gateways should report. Each is
  /// returned once.
  std::vector<std::string> take_suspects();
  /// Clears all crashes of a trait that was released from its hold at `at`.
  /// Later reports of crashes before that are ignored.
  void forget(const std::string& fingerprint, monotonic_time at);

 private:
  using crash_id = std::uint64_t;

  struct trait_record {
    trait_kind kind = trait_kind::request;
    std::string fingerprint;
    std::set<crash_id> crashes;
    /// Time of the next evaluation, while the trait is a candidate.
    monotonic_time evaluate_at{};
    bool suspect_returned = false;
    bool proposal_returned = false;
  };

  struct crash {
    std::string endpoint;
    std::string service;
    monotonic_time at{};
    std::vector<trait_record*> traits;
    /// Fingerprint of the part that is held for it, or empty.
    std::string cause;
  };

  /// For each kind, the most crashes that any trait at a crash was present at.
  using crash_maxima = std::array<std::size_t, trait_kinds>;

  /// Returns the crash that `report` belongs to, and adds it if it is new.
  crash_id find_or_add(const crash_report& report);
  trait_record* add_trait(crash_id id, trait_kind kind,
                          const std::string& fingerprint);
  /// Removes the trait from its crash `id`.
  void remove_trait(crash_id id, trait_record& trait);
  /// Erases the record of a trait that has no crashes left.
  void erase_record(const std::string& fingerprint);
  void drop_oldest();
  void record_change();
  /// Drops the older half of the successes at once, since to search for the
  /// oldest one at each success takes too long.
  void drop_older_successes();
  bool is_cleared(const std::string& fingerprint, monotonic_time at) const;
  bool succeeded_recently(const std::string& fingerprint,
                          monotonic_time now) const;

  const crash_maxima& maxima_of(crash_id id) const;
  /// Returns whether another trait explains the crash at least as well.
  bool is_explained_by_others(const trait_record& it, crash_id id) const;
  /// Returns whether a trait of the same kind was present at the crash, and at
  /// as many others, but not the same. The next crash tells which one is the
  /// cause.
  bool has_rival(const trait_record& it, crash_id id) const;
  /// Returns the times of the crashes attributed to the trait.
  std::vector<monotonic_time> attributed_times(const trait_record& it) const;
  /// Returns the times of crashes of the service since `since` at which neither
  /// the trait nor any other with enough crashes was present.
  std::vector<monotonic_time> unexplained_times(const trait_record& it,
                                                monotonic_time since) const;
  /// Counts crashes; those with a common cause count as one.
  std::size_t count_separate(std::vector<monotonic_time> times) const;
  /// Counts crashes that have no common cause with another.
  std::size_t count_isolated(std::vector<monotonic_time> times) const;
  bool is_near_any(monotonic_time at,
                   const std::vector<monotonic_time>& others) const;
  /// Returns whether another part was present at the same crashes and no other.
  bool is_tied(const trait_record& it) const;
  bool is_suspect(const trait_record& it) const;
  bool is_to_be_held(const trait_record& it) const;
  bool is_part_to_be_held(const trait_record& it) const;
  hold_proposal make_proposal(const trait_record& it) const;
  /// Returns whether the crash is known to be caused by something else.
  bool has_held_cause(crash_id id, const std::string& fingerprint) const;
  /// Removes the crash from the traits that were present beside its cause,
  /// which is held, unless they explain all that the cause does.
  void explain(crash_id id, const trait_record& cause);

  crash_attribution_limits limits_;
  std::map<crash_id, crash> crashes_;                     // oldest first
  std::unordered_map<std::string, trait_record> traits_;  // by fingerprint
  std::unordered_map<std::string, monotonic_time> last_success_;
  /// Fingerprints of traits with crashes that have not been evaluated yet.
  std::set<std::string> candidates_;
  /// Whether reports have arrived since suspects were last taken.
  bool changed_ = false;
  std::size_t observations_ = 0;
  /// What `maxima_of` has computed since the last change.
  mutable std::unordered_map<crash_id, crash_maxima> maxima_;
  crash_id next_id_ = 1;
};

}  // namespace trestlepost::routing
