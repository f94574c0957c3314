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
#include <array>
#include <chrono>
#include <cstddef>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/random.h"
#include "trestlepost/routing/paid_sends.h"
#include "trestlepost/routing/retry_budget.h"

namespace trestlepost::routing {
namespace {

constexpr shared_retry_limits limits{0.2, 54};
constexpr int gateways = 12;

/// Records `requests` requests and takes all available retries after each.
int take_all(retry_budget& budget, int requests) {
  int out = 0;
  for (int n = 0; n < requests; ++n) {
    budget.request_seen();
    while (budget.take()) ++out;
  }
  return out;
}

TEST(retry_limits_test, gateways_that_restart_in_series_add_nothing) {
  constexpr int starts = 6;
  constexpr int requests = 5;  // per start, all within one window
  int retries = 0;
  for (int gateway = 0; gateway < gateways; ++gateway) {
    for (int life = 0; life < starts; ++life) {
      retry_budget budget(share_of(limits, gateways));
      retries += take_all(budget, requests);
    }
  }
  const int seen = gateways * starts * requests;
  EXPECT_LE(retries, limits.ratio * seen + limits.slack);
}

TEST(retry_limits_test, gateways_that_know_no_other_keep_within_the_limits) {
  constexpr int requests = 20;
  int retries = 0;
  for (int gateway = 0; gateway < gateways; ++gateway) {
    retry_budget budget(share_of(limits, 1));
    retries += take_all(budget, requests);
  }
  EXPECT_LE(retries, limits.ratio * gateways * requests + limits.slack);
}

TEST(paid_sends_test, the_first_send_is_free_and_each_further_one_is_taken) {
  retry_budget budget({1, 10});
  for (int n = 0; n < 2; ++n) budget.request_seen();
  paid_sends sends;
  EXPECT_TRUE(sends.cover_next(budget));
  sends.sent(1);
  EXPECT_TRUE(sends.cover_next(budget));
  // A charge that was not used covers the next send.
  sends.sent(0);
  EXPECT_TRUE(sends.cover_next(budget));
  sends.sent(1);
  EXPECT_TRUE(sends.cover_next(budget));
  sends.sent(1);
  EXPECT_FALSE(sends.cover_next(budget));
  EXPECT_EQ(sends.count(), 3U);
}

TEST(paid_sends_test, what_was_taken_and_not_sent_goes_back) {
  retry_budget budget({1, 10});
  budget.request_seen();
  paid_sends sends;
  sends.sent(1);
  EXPECT_TRUE(sends.cover_next(budget));
  sends.end(budget);
  EXPECT_TRUE(budget.take());
  EXPECT_FALSE(budget.take());
}

TEST(paid_sends_test, one_that_was_forwarded_is_paid_for_by_its_sender) {
  retry_budget own({1, 10});
  retry_budget others({1, 10});
  own.request_seen();
  paid_sends sends;
  sends.sent(1);
  EXPECT_TRUE(sends.cover_next(own));
  paid_sends there(sends.count());
  EXPECT_TRUE(there.cover_next(others));
  there.sent(1);
  EXPECT_FALSE(there.cover_next(others));
  sends.sent(there.count() - sends.count());
  EXPECT_EQ(sends.count(), 2U);
  EXPECT_FALSE(sends.cover_next(own));
}

/// Faults to inject into the simulated deployment.
enum class mistake { none, free_elsewhere, starts_full };

/// Gateways in three regions. At times all endpoints reject everything, regions
/// have no endpoint with a free slot, gateways restart without knowing any
/// other, or regions are partitioned and count only their own gateways. Each
/// request tries its own region first and then the others, as its route
/// permits.
class simulated_gateways {
 public:
  simulated_gateways(std::uint64_t seed, mistake wrong)
      : random_(seed), wrong_(wrong) {
    for (retry_budget& it : budgets_) it = fresh(all);
  }

  void run() {
    for (int n = 0; n < requests; ++n) {
      now_ += std::chrono::milliseconds(random_.below(2 * mean_gap_ms + 1));
      if (random_.below(400) == 0) rejecting_ = !rejecting_;
      if (random_.below(600) == 0) set_cut(!cut_);
      if (random_.below(300) == 0) full_ = random_.below(regions + 1);
      if (random_.below(150) == 0) restart(random_.below(all));
      if (random_.below(40) == 0) hear_others();
      serve(random_.below(all));
    }
  }

  /// Returns by how much the repeats within any ten seconds exceed the limit.
  double worst_excess() const {
    constexpr std::chrono::seconds window{10};
    double out = -limits.slack;
    for (const monotonic_time end : repeats_) {
      const monotonic_time from = end - window;
      const std::size_t repeats = count(repeats_, from, end);
      const std::size_t seen =
          std::max({count(seen_, from, end), count(seen_, from - window, from),
                    count(seen_, from - window / 2, end - window / 2)});
      out = std::max(out, static_cast<double>(repeats) -
                              limits.ratio * static_cast<double>(seen) -
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

  retry_budget fresh(std::size_t known) const {
    retry_budget out(share_of(limits, known));
    if (wrong_ != mistake::starts_full) return out;
    for (int n = 0; n < 1000; ++n) out.request_seen();
    return out;
  }

  void restart(std::size_t gateway) { budgets_[gateway] = fresh(1); }

  void hear_others() {
    const std::size_t known = cut_ ? in_region : all;
    for (retry_budget& it : budgets_) it.set_options(share_of(limits, known));
  }

  void set_cut(bool cut) {
    cut_ = cut;
    hear_others();
  }

  void serve(std::size_t entry) {
    seen_.push_back(now_);
    budgets_[entry].request_seen();
    paid_sends sends;
    const std::size_t home = entry / in_region;
    for (std::size_t n = 0; n < regions; ++n) {
      const std::size_t region = (home + n) % regions;
      if (region != home && cut_) break;
      const bool is_free = wrong_ == mistake::free_elsewhere && n > 0;
      if (!is_free && !sends.cover_next(budgets_[entry])) break;
      const std::size_t gateway =
          n == 0 ? entry : region * in_region + random_.below(in_region);
      const unsigned before = sends.count();
      sends.sent(serve_in_region(gateway, before));
      const bool served = sends.count() > before && !rejecting_;
      if (served || sends.count() >= attempts) break;
    }
    sends.end(budgets_[entry]);
  }

  /// Returns how many endpoints the request reaches in the gateway's region.
  unsigned serve_in_region(std::size_t gateway, unsigned before) {
    retry_budget& budget = budgets_[gateway];
    // The first regions in order are full, so most requests pass through them.
    if (gateway / in_region < full_) return 0;
    paid_sends sends(before);
    while (sends.count() < attempts && sends.cover_next(budget)) {
      if (sends.count() > 0) repeats_.push_back(now_);
      sends.sent(1);
      if (!rejecting_) break;
    }
    return sends.count() - before;
  }

  seeded_random random_;
  mistake wrong_;
  monotonic_time now_{std::chrono::seconds(1000)};
  std::array<retry_budget, all> budgets_;
  bool rejecting_ = false;
  bool cut_ = false;
  std::size_t full_ = 0;  // number of regions
  std::vector<monotonic_time> seen_;
  std::vector<monotonic_time> repeats_;
};

/// Returns how many of `seeds` runs exceeded the limit.
int runs_beyond(mistake wrong, int seeds) {
  int out = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    simulated_gateways it(static_cast<std::uint64_t>(seed), wrong);
    it.run();
    if (it.worst_excess() > 0) ++out;
  }
  return out;
}

TEST(retry_limits_simulation, gateways_keep_within_the_limits_that_they_share) {
  EXPECT_EQ(runs_beyond(mistake::none, 100), 0);
}

TEST(retry_limits_simulation, a_retry_that_is_free_elsewhere_is_caught) {
  EXPECT_GT(runs_beyond(mistake::free_elsewhere, 20), 0);
}

TEST(retry_limits_simulation, a_start_with_all_saved_is_caught) {
  EXPECT_GT(runs_beyond(mistake::starts_full, 20), 0);
}

}  // namespace
}  // namespace trestlepost::routing
