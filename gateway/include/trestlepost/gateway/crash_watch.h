// Tells endpoints that crash from connections that break, and requests that
// crash them from those that ran beside.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/config/hold_tracker.h"
#include "trestlepost/gateway/attempt.h"
#include "trestlepost/gateway/context.h"
#include "trestlepost/routing/crash_blame.h"

namespace trestlepost::gateway {

/// Where a request ran.
struct run_place {
  std::string endpoint;
  std::string address;
  std::string service;
};

/// Where a run broke off with its connection, asks the endpoint's address for
/// a new one. A VM that refuses it has no endpoint there any more: it crashed.
/// One that takes it is well, and one that is silent was cut off or lost its
/// power; neither says anything of what ran there.
///
/// Requests are known here by their fingerprints. Those that crash endpoints
/// are held back: none is sent to an endpoint once the configuration says so,
/// or once enough endpoints have crashed at this gateway alone.
class crash_watch {
 public:
  explicit crash_watch(gateway_context& context) : context_(context) {}

  /// Called for each request that ran at an endpoint when it crashed.
  std::function<void(const routing::crash_report&)> on_crash;
  /// Called when a request that ran where endpoints crashed has ended well.
  std::function<void(const std::string& fingerprint)> on_ended_well;

  /// A run of the request with this fingerprint broke off with its connection.
  void run_broke(const std::string& fingerprint, const run_place& at);

  /// Whether it matters which requests end well now.
  bool watches_any() const { return !watched_.empty(); }
  void run_ended_well(const std::string& fingerprint);

  /// Whether any request is held back, so that fingerprints matter.
  bool holds_any() const;
  /// The refusal of a request that is held back.
  std::optional<attempt> refusal_of(const std::string& fingerprint) const;
  /// Whether so much speaks against the request that one try of its caller is
  /// worth one endpoint at most.
  bool is_suspect(const std::string& fingerprint) const;

  /// Others have seen endpoints crash under these.
  void take_suspects(const std::vector<std::string>& fingerprints);
  /// The leader has these held back; the configuration will say so in a moment.
  void take_condemned(const std::vector<std::string>& fingerprints);

  void tick();

 private:
  transport::awaitable<void> ask(run_place at);
  void crashed(const std::string& fingerprint, const run_place& at);
  /// Holds back what endpoints crashed under at this gateway alone.
  void judge_own();
  void hold_here(const std::string& fingerprint);
  /// Forgets what spoke against requests that were released.
  void note_released();
  void forget_old();

  gateway_context& context_;
  routing::crash_blame blame_;  // from this gateway's own runs
  /// Requests whose runs broke off at an endpoint, while it is asked.
  std::map<std::string, std::set<std::string>> broken_at_;
  /// Until when an end of these requests is news.
  std::map<std::string, monotonic_time> watched_;
  std::map<std::string, monotonic_time> suspects_;
  /// Until when this gateway holds requests back by itself.
  std::map<std::string, monotonic_time> held_here_;
  config::hold_tracker holds_;
  monotonic_time next_cleaning_{};
};

}  // namespace trestlepost::gateway
