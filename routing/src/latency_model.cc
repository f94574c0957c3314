// Weighted linear regression of latency over work.
#include "trestlepost/routing/latency_model.h"

#include <algorithm>

namespace trestlepost::routing {
namespace {

// Factor by which each new observation reduces the weight of earlier ones;
// about 50 observations are effective.
constexpr double decay_factor = 0.98;
// The slope stays within this factor of the prior, so that a series of outliers
// can't make work appear free or impossible.
constexpr double max_slope_factor = 10;

}  // namespace

latency_model::latency_model(latency_prior prior) : prior_(prior) {
  const double at = prior.spread_units;
  add(0, prior.base_ms, prior.weight);
  add(at, prior.base_ms + at * prior.ms_per_unit, prior.weight);
  fit();
}

void latency_model::add(double units, double ms, double weight) {
  weight_ += weight;
  sum_x_ += weight * units;
  sum_y_ += weight * ms;
  sum_xx_ += weight * units * units;
  sum_xy_ += weight * units * ms;
}

void latency_model::observe(double units, double ms) {
  for (double* it : {&weight_, &sum_x_, &sum_y_, &sum_xx_, &sum_xy_})
    *it *= decay_factor;
  add(units, ms, 1);
  fit();
}

void latency_model::fit() {
  const double variance = weight_ * sum_xx_ - sum_x_ * sum_x_;
  // Observations at a single amount of work do not determine the slope.
  const double min_variance = 1e-6 * weight_ * sum_xx_;
  if (variance > min_variance) {
    slope_ = std::clamp((weight_ * sum_xy_ - sum_x_ * sum_y_) / variance,
                        prior_.ms_per_unit / max_slope_factor,
                        prior_.ms_per_unit * max_slope_factor);
  }
  base_ = std::max(0.0, (sum_y_ - slope_ * sum_x_) / weight_);
}

double latency_model::predict_ms(double units) const {
  return base_ + slope_ * units;
}

}  // namespace trestlepost::routing
