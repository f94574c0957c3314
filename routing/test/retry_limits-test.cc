// Gateways that do not coordinate must together stay within the shared retry
// limits, whatever each one knows about the others.
//
// Guards against a retry budget that starts full: a restarted process could use
// its whole share at once, and the share of a single gateway while it knew no
// others. Gateways that were killed, stopped or started in series while
// requests failed then exceeded the limits (144 retries where 126 are allowed,
// and 336 where 102 are).
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/random.h"
#include "trestlepost/routing/charged_sends.h"
#include "trestlepost/routing/retry_budget.h"

namespace trestlepost::routing {
namespace {

constexpr shared_retry_limits limits{0.2, 54};
constexpr int gateways = 12;

constexpr std::chrono::seconds window{10};
constexpr monotonic_time start{std::chrono::seconds(1000)};

/// Records `requests` requests and takes all available retries after each.
int take_available(shared_retry_budget& budget, int requests,
                   monotonic_time now) {
  int out = 0;
  for (int n = 0; n < requests; ++n) {
    budget.add_request(now);
    while (budget.at(now).try_take()) ++out;
  }
  return out;
}

TEST(retry_limits_test, restarts_in_series_earn_no_extra_retries) {
  constexpr int starts = 6;
  constexpr int requests = 5;  // per start, all within one window
  int retries = 0;
  for (int gateway = 0; gateway < gateways; ++gateway) {
    for (int n = 0; n < starts; ++n) {
      shared_retry_budget budget(limits);
      retries += take_available(budget, requests, start);
    }
  }
  const int request_count = gateways * starts * requests;
  EXPECT_LE(retries, limits.ratio * request_count + limits.slack);
}

TEST(retry_limits_test, gateways_that_know_no_others_stay_within_the_limits) {
  constexpr int requests = 20;
  int retries = 0;
  for (int gateway = 0; gateway < gateways; ++gateway) {
    shared_retry_budget budget(limits);
    retries += take_available(budget, requests, start);
  }
  EXPECT_LE(retries, limits.ratio * gateways * requests + limits.slack);
}

// Gateways that knew no others saved a third of the slack each, and used it
// when an outage began.
TEST(retry_limits_test, gateways_that_know_no_others_save_little) {
  for (const int requests : {10, 25, 60, 170, 500}) {
    int retries = 0;
    for (int gateway = 0; gateway < gateways; ++gateway) {
      shared_retry_budget budget(limits);
      for (int n = 0; n < requests; ++n) budget.add_request(start);
      retries += take_available(budget, requests, start + window);
    }
    EXPECT_LE(retries, limits.ratio * gateways * requests + limits.slack)
        << requests;
  }
}

// Callers that moved to other gateways would otherwise leave retries behind
// that add to those of the new gateways.
TEST(retry_limits_test, saved_retries_expire_with_their_requests) {
  shared_retry_budget budget(limits);
  for (int n = 0; n < 1000; ++n) budget.add_request(start);
  EXPECT_GT(budget.at(start).saved(), 10);
  EXPECT_LE(budget.at(start + window).saved(), 4);
}

TEST(charged_sends_test, the_first_send_is_free_and_later_ones_are_charged) {
  retry_budget budget({1, 10});
  for (int n = 0; n < 2; ++n) budget.add_request();
  charged_sends sends;
  EXPECT_TRUE(sends.charge_next(budget));
  sends.record_sent(1);
  EXPECT_TRUE(sends.charge_next(budget));
  // A charge that was not used covers the next send.
  sends.record_sent(0);
  EXPECT_TRUE(sends.charge_next(budget));
  sends.record_sent(1);
  EXPECT_TRUE(sends.charge_next(budget));
  sends.record_sent(1);
  EXPECT_FALSE(sends.charge_next(budget));
  EXPECT_EQ(sends.count(), 3U);
}

TEST(charged_sends_test, an_unused_charge_is_refunded) {
  retry_budget budget({1, 10});
  budget.add_request();
  charged_sends sends;
  sends.record_sent(1);
  EXPECT_TRUE(sends.charge_next(budget));
  sends.refund_unused(budget);
  EXPECT_TRUE(budget.try_take());
  EXPECT_FALSE(budget.try_take());
}

TEST(charged_sends_test, the_forwarding_gateway_pays_for_the_first_send) {
  retry_budget own({1, 10});
  retry_budget others({1, 10});
  own.add_request();
  charged_sends sends;
  sends.record_sent(1);
  EXPECT_TRUE(sends.charge_next(own));
  charged_sends receiver_sends(sends.count());
  EXPECT_TRUE(receiver_sends.charge_next(others));
  receiver_sends.record_sent(1);
  EXPECT_FALSE(receiver_sends.charge_next(others));
  sends.record_sent(receiver_sends.count() - sends.count());
  EXPECT_EQ(sends.count(), 2U);
  EXPECT_FALSE(sends.charge_next(own));
}

/// Faults to inject into the simulated deployment.
enum class injected_fault { none, free_after_forwarding, starts_full };

/// Gateways in three regions. At times all endpoints reject everything, regions
/// have no endpoint with a free slot, gateways restart without
/// knowing any other, callers move to another region, or regions are
/// partitioned and count only their own gateways. Each request tries its own
/// region first and then the others, as its route permits.
class simulated_gateways {
 public:
  simulated_gateways(std::uint64_t seed, injected_fault fault)
      : random_(seed), fault_(fault) {
    budgets_.assign(all, make_budget());
  }

  void run() {
    for (int n = 0; n < requests; ++n) {
      now_ += std::chrono::milliseconds(random_.below(2 * mean_gap_ms + 1));
      if (random_.below(400) == 0) rejecting_ = !rejecting_;
      if (random_.below(600) == 0) set_partitioned(!partitioned_);
      if (random_.below(300) == 0) full_regions_ = random_.below(regions + 1);
      if (random_.below(150) == 0) restart(random_.below(all));
      if (random_.below(40) == 0) update_known_gateways();
      if (random_.below(300) == 0) callers_at_ = random_.below(regions);
      serve(random_entry());
    }
  }

  /// Returns by how much the repeats within any ten seconds exceed the limit.
  double max_excess() const {
    double out = -limits.slack;
    for (const monotonic_time end : repeats_at_) {
      const monotonic_time from = end - window;
      const std::size_t repeats = count(repeats_at_, from, end);
      const std::size_t request_count =
          std::max({count(requests_at_, from, end),
                    count(requests_at_, from - window, from),
                    count(requests_at_, from - window / 2, end - window / 2)});
      out =
          std::max(out, static_cast<double>(repeats) -
                            limits.ratio * static_cast<double>(request_count) -
                            limits.slack);
    }
    return out;
  }

 private:
  static constexpr std::size_t regions = 3;
  static constexpr std::size_t in_region = 4;
  static constexpr std::size_t all = regions * in_region;
  static constexpr int requests = 6000;
  static constexpr std::uint64_t mean_gap_ms = 7;
  static constexpr unsigned attempts = 3;

  static std::size_t count(const std::vector<monotonic_time>& all_times,
                           monotonic_time after, monotonic_time until) {
    const auto first =
        std::upper_bound(all_times.begin(), all_times.end(), after);
    const auto last = std::upper_bound(first, all_times.end(), until);
    return static_cast<std::size_t>(last - first);
  }

  shared_retry_budget make_budget() const {
    shared_retry_budget out(limits);
    if (fault_ != injected_fault::starts_full) return out;
    for (int n = 0; n < 1000; ++n) out.add_request(now_);
    return out;
  }

  void restart(std::size_t gateway) { budgets_[gateway] = make_budget(); }

  void update_known_gateways() {
    const std::size_t known = partitioned_ ? in_region : all;
    for (shared_retry_budget& it : budgets_) it.set_limits(limits, known);
  }

  void set_partitioned(bool partitioned) {
    partitioned_ = partitioned;
    update_known_gateways();
  }

  /// Callers send mostly to one region, which changes.
  std::size_t random_entry() {
    const bool elsewhere = random_.below(4) == 0;
    const std::size_t region = elsewhere ? random_.below(regions) : callers_at_;
    return region * in_region + random_.below(in_region);
  }

  void serve(std::size_t entry) {
    requests_at_.push_back(now_);
    budgets_[entry].add_request(now_);
    charged_sends sends;
    const std::size_t home = entry / in_region;
    for (std::size_t n = 0; n < regions; ++n) {
      const std::size_t region = (home + n) % regions;
      if (region != home && partitioned_) break;
      const bool is_free =
          fault_ == injected_fault::free_after_forwarding && n > 0;
      if (!is_free && !sends.charge_next(budgets_[entry].at(now_))) break;
      const std::size_t gateway =
          n == 0 ? entry : region * in_region + random_.below(in_region);
      const unsigned before = sends.count();
      sends.record_sent(serve_in_region(gateway, before));
      const bool served = sends.count() > before && !rejecting_;
      if (served || sends.count() >= attempts) break;
    }
    sends.refund_unused(budgets_[entry].at(now_));
  }

  /// Returns how many endpoints the request reaches in the gateway's region.
  unsigned serve_in_region(std::size_t gateway, unsigned before) {
    retry_budget& budget = budgets_[gateway].at(now_);
    // The first regions in order are full, so most requests pass through them.
    if (gateway / in_region < full_regions_) return 0;
    charged_sends sends(before);
    while (sends.count() < attempts && sends.charge_next(budget)) {
      if (sends.count() > 0) repeats_at_.push_back(now_);
      sends.record_sent(1);
      if (!rejecting_) break;
    }
    return sends.count() - before;
  }

  seeded_random random_;
  injected_fault fault_;
  monotonic_time now_{std::chrono::seconds(1000)};
  std::vector<shared_retry_budget> budgets_;  // by gateway
  bool rejecting_ = false;
  bool partitioned_ = false;
  std::size_t full_regions_ = 0;  // number of regions
  std::size_t callers_at_ = 0;    // region
  std::vector<monotonic_time> requests_at_;
  std::vector<monotonic_time> repeats_at_;
};

/// Returns how many of `seeds` runs exceeded the limit.
int runs_over_limit(injected_fault fault, int seeds) {
  int out = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    simulated_gateways it(static_cast<std::uint64_t>(seed), fault);
    it.run();
    if (it.max_excess() > 0) ++out;
  }
  return out;
}

TEST(retry_limits_simulation, gateways_stay_within_the_shared_limits) {
  EXPECT_EQ(runs_over_limit(injected_fault::none, 100), 0);
}

TEST(retry_limits_simulation, free_retries_after_forwarding_are_detected) {
  EXPECT_GT(runs_over_limit(injected_fault::free_after_forwarding, 20), 0);
}

TEST(retry_limits_simulation, a_budget_that_starts_full_is_detected) {
  EXPECT_GT(runs_over_limit(injected_fault::starts_full, 20), 0);
}

}  // namespace
}  // namespace trestlepost::routing
