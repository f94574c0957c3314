// Scores model endpoints by value, repeated prefill, cache copies and wait.
#include "trestlepost/routing/engine_choice.h"

namespace trestlepost::routing {
namespace {

// Cost of copying a whole prompt's cache from another endpoint, about a fifth
// of the cost of prefilling it.
constexpr double copy_cost = 0.09;
// Cost of a wait as long as the latency objective. Prefers the earlier one of
// otherwise equal candidates.
constexpr double wait_cost = 0.15;

double score_of(const engine_candidate& it,
                const latency_requirements& wanted) {
  const double objective =
      wanted.latency_objective.count() > 0
          ? static_cast<double>(wanted.latency_objective.count())
          : static_cast<double>(wanted.remaining.count() + 1);
  const double wait =
      static_cast<double>(it.expected.first_token.count()) / objective;
  return discounted_value(net_value(it.expected, wanted),
                          it.acceptance_probability) -
         duplicate_prefill_cost * it.duplicate_prefill -
         copy_cost * it.copied_share - wait_cost * wait;
}

}  // namespace

std::optional<std::size_t> choose_engine(
    const std::vector<engine_candidate>& all,
    const latency_requirements& wanted) {
  std::optional<std::size_t> best;
  double best_score = 0;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const double score = score_of(all[i], wanted);
    if (best && score <= best_score) continue;
    best = i;
    best_score = score;
  }
  return best;
}

}  // namespace trestlepost::routing
