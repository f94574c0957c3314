// Value of a request by its estimated course.
#include "trestlepost/routing/completion_estimate.h"

#include <algorithm>
#include <cstdint>

namespace trestlepost::routing {
namespace {

// Predictions are inexact, so a limit is not a sharp threshold. The probability
// of meeting it falls linearly from 1 to 0 between these ratios of predicted
// time to limit.
constexpr double on_time_ratio = 0.7;
constexpr double late_ratio = 1.2;
constexpr double complete_ratio = 0.7;
constexpr double incomplete_ratio = 1.3;
// Value of a late response, as a share of the value of one on time.
constexpr double late_response_value = 0.3;

// Cost of each second until the response is complete, as a share of its value:
// some streams are interrupted or miss their deadline, and an engine that
// decodes many responses prefills the next prompts later.
constexpr double completion_cost_per_second = 0.04;

// Gain at which all requests are sent away, as a share of a request's value.
constexpr double full_spill_gain = 0.2;

double seconds(std::chrono::milliseconds span) {
  return std::chrono::duration<double>(span).count();
}

/// Returns 1 up to `good` times `limit` and 0 from `bad` times `limit` on, and
/// interpolates linearly between them.
double probability_within(std::chrono::milliseconds at,
                          std::chrono::milliseconds limit, double good,
                          double bad) {
  if (limit.count() <= 0) return 1;
  const double share =
      static_cast<double>(at.count()) / static_cast<double>(limit.count());
  return std::clamp((bad - share) / (bad - good), 0.0, 1.0);
}

}  // namespace

completion_estimate delayed(completion_estimate at,
                            std::chrono::milliseconds wait) {
  at.wait += wait;
  at.first_token += wait;
  at.finish += wait;
  return at;
}

std::chrono::milliseconds slot_wait(double load, unsigned slots,
                                    std::chrono::milliseconds slot_time) {
  const double slot_count = std::max(1U, slots);
  // Slots that must become free before this request gets one.
  const double ahead = load + 1 - slot_count;
  if (ahead <= 0) return std::chrono::milliseconds(0);
  const double ms = ahead / slot_count * static_cast<double>(slot_time.count());
  return std::chrono::milliseconds(static_cast<std::int64_t>(ms));
}

double expected_value(const completion_estimate& at,
                      const latency_requirements& wanted) {
  const double on_time = probability_within(
      at.first_token, wanted.latency_objective, on_time_ratio, late_ratio);
  const double complete = probability_within(at.finish, wanted.remaining,
                                             complete_ratio, incomplete_ratio);
  return (late_response_value + (1 - late_response_value) * on_time) * complete;
}

double net_value(const completion_estimate& at,
                 const latency_requirements& wanted) {
  const double remaining_share =
      std::max(0.0, 1 - completion_cost_per_second * seconds(at.finish));
  return expected_value(at, wanted) * remaining_share -
         completion_cost_per_second * seconds(at.delay_to_others);
}

double discounted_value(double value, double acceptance_probability) {
  return value > 0 ? value * acceptance_probability : value;
}

double spill_share(double home, double away) {
  return std::clamp((away - home) / full_spill_gain, 0.0, 1.0);
}

}  // namespace trestlepost::routing
