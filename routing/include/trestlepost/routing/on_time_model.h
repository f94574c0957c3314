// Learns how often a first token that is predicted at some share of the latency
// objective meets the objective. Predictions do not contain what arrives later
// and precedes the request, so they are too early at busy engines.
#pragma once

#include <array>
#include <cstddef>

namespace trestlepost::routing {

class on_time_model {
 public:
  on_time_model();

  /// Returns the probability that a first token predicted at `ratio` times the
  /// latency objective is on time.
  double probability(double ratio) const;
  /// Records whether a first token predicted at `ratio` was on time.
  void record(double ratio, bool on_time);

  /// The probability without observations: 1 up to a ratio of 0.7, 0 from 1.2.
  static double prior(double ratio);

 private:
  struct bin {
    double on_time = 0;  // weight of the observations that were on time
    double weight = 0;   // of all observations
  };
  static constexpr std::size_t bin_count = 10;
  std::array<bin, bin_count> bins_;  // ratios from 0 to 2
};

}  // namespace trestlepost::routing
