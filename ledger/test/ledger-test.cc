// Tests the ledger's decisions, its snapshots, and claims over a lossy log.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "trestlepost/ledger/claim_table.h"
#include "trestlepost/ledger/state_machine.h"

namespace trestlepost::ledger {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr hours window{24};
const wall_time start = from_unix_ms(1'700'000'000'000);

/// Applies commands in order and keeps the last decision.
class ledger_harness {
 public:
  explicit ledger_harness(ledger_limits limits = {}) : machine(limits) {
    machine.on_decided = [this](const claim_decision& it, const std::string&) {
      last = it;
    };
  }

  void apply(const json& command) {
    consensus::entry entry;
    entry.data = to_text(command);
    machine.apply(entry);
  }

  claim_verdict claim(const std::string& attempt, wall_time at = start,
                      const std::string& digest = "d",
                      const std::string& key = "k") {
    apply(to_json(claim_command{key, digest, attempt, at,
                                at + milliseconds(5000), window}));
    return last.verdict;
  }

  void finish(const std::string& attempt, run_outcome outcome) {
    apply(to_json(finish_command{
        "k", attempt, outcome, {200, "text/plain", "booked \x01\xff", true}}));
  }

  ledger_state_machine machine;
  claim_decision last;
};

TEST(ledger_test, a_key_is_granted_once) {
  ledger_harness it;
  EXPECT_EQ(it.claim("a1"), claim_verdict::granted);
  EXPECT_EQ(it.claim("a2"), claim_verdict::in_progress);
  EXPECT_GT(it.last.retry_after, milliseconds(0));
  it.finish("a1", run_outcome::done);
  EXPECT_EQ(it.claim("a3"), claim_verdict::replay);
  EXPECT_EQ(it.last.answer->body, "booked \x01\xff");
}

TEST(ledger_test, another_body_under_the_same_key_is_a_mismatch) {
  ledger_harness it;
  it.claim("a1");
  EXPECT_EQ(it.claim("a2", start, "other"), claim_verdict::mismatch);
  ledger_limits disabled;
  disabled.skip_digest_check = true;
  ledger_harness unchecked(disabled);
  unchecked.claim("a1");
  EXPECT_NE(unchecked.claim("a2", start, "other"), claim_verdict::mismatch);
}

TEST(ledger_test, a_claim_without_outcome_stays_unknown) {
  ledger_harness it;
  it.claim("a1");
  const wall_time later = start + milliseconds(5001);
  EXPECT_EQ(it.claim("a2", later), claim_verdict::unknown);
  EXPECT_EQ(it.claim("a3", later + hours(1)), claim_verdict::unknown);
  ledger_limits disabled;
  disabled.grant_after_unknown = true;
  ledger_harness unchecked(disabled);
  unchecked.claim("a1");
  EXPECT_EQ(unchecked.claim("a2", later), claim_verdict::granted)
      << "with grant_after_unknown the request runs twice";
}

TEST(ledger_test, a_late_outcome_is_recorded) {
  ledger_harness it;
  it.claim("a1");
  it.claim("a2", start + milliseconds(5001));
  it.finish("a1", run_outcome::done);
  EXPECT_EQ(it.claim("a3", start + milliseconds(6000)), claim_verdict::replay);
}

TEST(ledger_test, a_request_that_was_not_run_frees_the_key) {
  ledger_harness it;
  it.claim("a1");
  it.finish("a1", run_outcome::not_run);
  EXPECT_EQ(it.claim("a2"), claim_verdict::granted);
  it.finish("a1", run_outcome::not_run);  // late outcome of an earlier attempt
  EXPECT_EQ(it.claim("a3"), claim_verdict::in_progress);
}

TEST(ledger_test, an_expired_key_is_refused) {
  ledger_harness it;
  it.claim("a1");
  it.finish("a1", run_outcome::done);
  EXPECT_EQ(it.claim("a2", start + hours(25)), claim_verdict::expired);
  EXPECT_EQ(it.claim("a3", start + hours(24 * 6)), claim_verdict::expired);
}

TEST(ledger_test, a_fence_closes_a_key_or_returns_its_state) {
  ledger_harness it;
  it.apply(to_json(fence_command{"k", "d", "f1", start, window}));
  EXPECT_EQ(it.last.verdict, claim_verdict::moved);
  EXPECT_EQ(it.claim("a1"), claim_verdict::moved);
  it.claim("b1", start, "d", "other");
  it.apply(to_json(fence_command{"other", "d", "f2", start, window}));
  EXPECT_EQ(it.last.verdict, claim_verdict::in_progress);
  it.apply(to_json(fence_command{"other", "x", "f3", start, window}));
  EXPECT_EQ(it.last.verdict, claim_verdict::mismatch);
}

// Fences are records too: without a limit, keys that move home fill the memory
// of the region that they leave.
TEST(ledger_test, a_fence_is_refused_when_the_ledger_is_full) {
  ledger_limits limits;
  limits.records = 1;
  ledger_harness it(limits);
  it.claim("a1");
  it.apply(to_json(fence_command{"other", "d", "f1", start, window}));
  EXPECT_EQ(it.last.verdict, claim_verdict::in_progress);
  EXPECT_GT(it.last.retry_after, milliseconds(0));
  EXPECT_EQ(it.machine.size(), 1U);
  // The key that has a record is still decided by it.
  it.apply(to_json(fence_command{"k", "x", "f2", start, window}));
  EXPECT_EQ(it.last.verdict, claim_verdict::mismatch);
}

// An empty ledger would grant keys again that have run.
TEST(ledger_test, an_unreadable_snapshot_is_an_error_and_keeps_the_records) {
  ledger_harness it;
  EXPECT_EQ(it.claim("a1"), claim_verdict::granted);
  const std::string saved = it.machine.save();
  for (const std::string& damaged :
       {saved.substr(0, saved.size() / 2), std::string("[]"),
        std::string("text"), std::string(1, '\0')}) {
    const result<void> loaded = it.machine.load(damaged);
    ASSERT_FALSE(loaded);
    EXPECT_EQ(loaded.error().kind, error_kind::corrupt);
    EXPECT_FALSE(loaded.error().remedy.empty());
    EXPECT_EQ(it.claim("a2"), claim_verdict::in_progress);
  }
}

TEST(ledger_test, an_unknown_command_is_not_taken_for_a_claim) {
  ledger_harness it;
  json unknown =
      to_json(claim_command{"k", "d", "a1", start, start + window, window});
  unknown["command"] = "from-a-newer-version";
  it.apply(unknown);
  EXPECT_EQ(it.machine.find("k"), nullptr);
}

TEST(ledger_test, a_snapshot_restores_every_record) {
  ledger_harness it;
  it.claim("a1");
  it.finish("a1", run_outcome::done);
  it.claim("b1", start, "d", "other");
  ledger_harness restored;
  restored.machine.load(it.machine.save());
  EXPECT_EQ(restored.machine.save(), it.machine.save());
  EXPECT_EQ(restored.claim("a2"), claim_verdict::replay);
  EXPECT_EQ(restored.claim("b2", start, "d", "other"),
            claim_verdict::in_progress);
}

/// Drops, delays, reorders and duplicates proposals before they reach the log.
class lossy_proposer final : public command_proposer {
 public:
  explicit lossy_proposer(std::uint64_t seed) : random(seed) {}
  void propose(const json& command) override {
    const std::uint64_t n = random.below(10);
    if (n < 3) return;
    waiting.push_back(command);
    if (n > 7) waiting.push_back(command);
  }
  seeded_random random;
  std::vector<json> waiting;
};

/// Two gateways compete for a few keys; some claims are abandoned, and some
/// gateways crash before they report an outcome.
RC_GTEST_PROP(ledger_property, no_key_runs_twice, (std::uint64_t seed)) {
  ledger_state_machine machine;
  lossy_proposer proposer(seed);
  claim_table first(proposer);
  claim_table second(proposer);
  first.set_own_prefix("p0-");
  second.set_own_prefix("p1-");
  claim_table* tables[] = {&first, &second};
  monotonic_time now;
  wall_time wall = start;
  std::map<std::string, int> runs;
  std::set<std::string> not_run;
  machine.on_decided = [&](const claim_decision& it, const std::string& key) {
    for (claim_table* table : tables) table->on_decided(it, key, now);
  };
  machine.on_finished = [&](const std::string& attempt) {
    for (claim_table* table : tables) table->on_finished(attempt);
  };
  for (int step = 0; step < 300; ++step) {
    now += milliseconds(100);
    wall += milliseconds(100);
    const std::uint64_t which = proposer.random.below(2);
    claim_table& table = *tables[which];
    if (proposer.random.below(4) == 0) {
      const std::string key = "k" + std::to_string(proposer.random.below(3));
      const std::string attempt =
          "p" + std::to_string(which) + "-" + std::to_string(step);
      const std::uint64_t course = proposer.random.below(4);
      table.claim(
          {key, "d", attempt, wall, wall + milliseconds(2000), window}, now,
          [&, key, attempt, course](const claim_decision& it) {
            if (it.verdict != claim_verdict::granted) return;
            if (course == 0) {  // refused before the first byte
              table.finish({key, attempt, run_outcome::not_run, {}}, now);
              return;
            }
            ++runs[key];
            if (course == 1) return;  // crashed without an outcome
            table.finish({key, attempt, run_outcome::done, {}}, now);
          });
      if (course == 3) table.abandon(attempt);
    }
    first.tick(now);
    second.tick(now);
    for (int i = 0; i < 3 && !proposer.waiting.empty(); ++i) {
      const std::size_t at = proposer.random.below(proposer.waiting.size());
      consensus::entry entry;
      entry.data = to_text(proposer.waiting[at]);
      proposer.waiting.erase(proposer.waiting.begin() +
                             static_cast<std::ptrdiff_t>(at));
      machine.apply(entry);
    }
  }
  for (const auto& [key, n] : runs) RC_ASSERT(n <= 1);
}

}  // namespace
}  // namespace trestlepost::ledger
