// The gateways of a region and an endpoint that limits requests: gateways
// learn of the limit at different times, restart, are suspended, and do not
// always know each other.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "trestlepost/base/random.h"
#include "trestlepost/routing/request_limiter.h"

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Faults to inject into the simulated gateways.
enum class injected_fault {
  none,
  each_counts_alone  // each gateway takes the whole limit
};

struct simulated_region {
  std::size_t gateways = 3;
  double limit = 1;
  /// Requests per second and gateway.
  double load = 20;
  injected_fault fault = injected_fault::none;
  bool restarts = false;
  bool quiet_times = false;
  bool partial_views = false;
};

/// Each step is a tick of 50 ms. All gateways together send so many requests to
/// the endpoint as their limiters permit.
class simulated_gateways {
 public:
  simulated_gateways(std::uint64_t seed, const simulated_region& what)
      : what_(what), random_(seed), all_(what.gateways) {}

  /// Returns the largest number of requests within any four seconds, of
  /// gateways that have known the limit for half a second.
  std::size_t max_requests() {
    constexpr seconds duration{60};
    for (now_ = start; now_ < start + duration; now_ += tick) step();
    std::size_t out = 0;
    for (std::size_t i = 0, first = 0; i < sent_at_.size(); ++i) {
      while (sent_at_[first] <= sent_at_[i] - seconds(4)) ++first;
      out = std::max(out, i - first + 1);
    }
    return out;
  }

 private:
  static constexpr monotonic_time start{seconds(1000)};
  static constexpr milliseconds tick{50};
  static constexpr milliseconds settling_time{500};

  struct gateway {
    request_limiter limiter;
    monotonic_time suspended_until{};
    std::optional<monotonic_time> known_since;
  };

  void step() {
    if (what_.restarts) strike();
    const bool quiet =
        what_.quiet_times && (now_ - start) % seconds(14) < seconds(9);
    update_views();
    for (std::size_t i = 0; i < all_.size(); ++i) {
      gateway& it = all_[i];
      if (now_ < it.suspended_until) continue;
      set_position(it, i);
      const double expected = quiet ? 0.02 : what_.load * 0.05;
      int requests = static_cast<int>(expected);
      if (random_.fraction() < expected - requests) ++requests;
      for (int n = 0; n < requests; ++n) send(it);
    }
    share_statements();
  }

  void send(gateway& it) {
    if (!it.limiter.may_send("e", now_)) return;
    it.limiter.record_sent("e", now_);
    const bool counts =
        it.known_since && now_ >= *it.known_since + settling_time;
    if (counts) sent_at_.push_back(now_);
    if (!it.known_since) it.known_since = now_;
    it.limiter.record_answer("e", what_.limit, now_);
  }

  /// Gateways restart, which makes them forget the limit, or are suspended.
  void strike() {
    gateway& it = all_[random_.below(all_.size())];
    if (random_.below(60) == 0) it = gateway{};
    if (random_.below(60) == 0) it.suspended_until = now_ + seconds(3);
  }

  /// From time to time one gateway is unknown to all others.
  void update_views() {
    if (!what_.partial_views || random_.below(40) != 0) return;
    unknown_ = random_.below(2 * all_.size());
  }

  void set_position(gateway& it, std::size_t index) {
    if (what_.fault == injected_fault::each_counts_alone) return;
    sender_position position{index, all_.size()};
    if (unknown_ < all_.size() && unknown_ != index) {
      --position.gateways;
      if (unknown_ < index) --position.rank;
    }
    it.limiter.set_position("e", position, now_);
  }

  /// Gateways report to each other every 300 ms.
  void share_statements() {
    if ((now_ - start) % milliseconds(300) != milliseconds(0)) return;
    std::optional<monotonic_time> latest;
    for (gateway& it : all_) {
      for (const auto& [endpoint, own] : it.limiter.own_statements(now_)) {
        latest = std::max(latest.value_or(now_ - own.age), now_ - own.age);
      }
    }
    if (!latest) return;
    for (gateway& it : all_) {
      if (now_ < it.suspended_until) continue;
      it.limiter.record_report("e", what_.limit, *latest, now_);
      if (!it.known_since) it.known_since = now_;
    }
  }

  simulated_region what_;
  seeded_random random_;
  monotonic_time now_{};
  std::vector<gateway> all_;
  std::size_t unknown_ = all_.size();
  std::vector<monotonic_time> sent_at_;
};

/// The stated bound: in four seconds one and a half times the limit, and five
/// requests.
double allowed(double limit) {
  return 1.5 * 4 * limit + 5;
}

constexpr double limits[] = {0.4, 1, 2.5, 4, 12, 30.5, 500};
constexpr std::size_t sizes[] = {1, 3, 7, 34, 61, 300};

TEST(request_limit_simulation, gateways_together_stay_within_a_stated_limit) {
  for (const std::size_t gateways : sizes) {
    for (const double limit : limits) {
      for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        simulated_region region{gateways, limit};
        region.restarts = seed % 2 == 0;
        region.quiet_times = seed > 2;
        region.partial_views = true;
        simulated_gateways all(seed, region);
        EXPECT_LE(all.max_requests(), allowed(limit))
            << gateways << " gateways, limit " << limit << ", seed " << seed;
      }
    }
  }
}

// A limit is of use to callers only if it is used.
TEST(request_limit_simulation, gateways_use_most_of_a_limit) {
  for (const std::size_t gateways : {3U, 34U}) {
    for (const double limit : {1.0, 4.0, 12.0}) {
      simulated_gateways all(1, {gateways, limit});
      EXPECT_GE(all.max_requests(), 4 * limit / 2) << gateways << " " << limit;
    }
  }
}

TEST(request_limit_simulation, gateways_that_count_alone_are_detected) {
  simulated_region region{7, 1};
  region.fault = injected_fault::each_counts_alone;
  simulated_gateways all(1, region);
  EXPECT_GT(all.max_requests(), allowed(region.limit));
}

}  // namespace
}  // namespace trestlepost::routing
