#include "trestlepost/routing/on_time_model.h"

#include <algorithm>
#include <cmath>

namespace trestlepost::routing {
namespace {

constexpr double bin_width = 0.2;
// Weight of the prior in each bin, in observations.
constexpr double prior_weight = 8;
// Factor by which an observation reduces the weight of the earlier ones in its
// bin; about 30 observations are effective.
constexpr double decay_factor = 0.97;
constexpr double on_time_ratio = 0.7;
constexpr double late_ratio = 1.2;

double centre_of(std::size_t bin) {
  return (static_cast<double>(bin) + 0.5) * bin_width;
}

}  // namespace

double on_time_model::prior(double ratio) {
  return std::clamp((late_ratio - ratio) / (late_ratio - on_time_ratio), 0.0,
                    1.0);
}

on_time_model::on_time_model() {
  for (std::size_t i = 0; i < bin_count; ++i) {
    bins_[i] = {prior(centre_of(i)) * prior_weight, prior_weight};
  }
}

void on_time_model::record(double ratio, bool on_time) {
  const double place = std::max(ratio, 0.0) / bin_width;
  const auto last = static_cast<double>(bin_count - 1);
  bin& it = bins_[static_cast<std::size_t>(std::min(place, last))];
  it.on_time = it.on_time * decay_factor + (on_time ? 1 : 0);
  it.weight = it.weight * decay_factor + 1;
}

double on_time_model::probability(double ratio) const {
  const auto value = [this](std::size_t i) {
    return bins_[i].on_time / bins_[i].weight;
  };
  // Interpolates between the centres of the bins.
  const double place = ratio / bin_width - 0.5;
  if (place <= 0) return value(0);
  const auto low = static_cast<std::size_t>(place);
  if (low + 1 >= bin_count) return value(bin_count - 1);
  const double part = place - std::floor(place);
  return value(low) * (1 - part) + value(low + 1) * part;
}

}  // namespace trestlepost::routing
