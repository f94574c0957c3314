// Weighted linear regression of latency over work.
#include "trestlepost/routing/latency_model.h"

#include <algorithm>

namespace trestlepost::routing {
namespace {

// Factor by which each new observation reduces the weight of earlier ones;
// about 50 observations are effective.
constexpr double fading = 0.98;
// The slope stays within this factor of the prior, so that a series of outliers
// can't make work appear free or impossible.
constexpr double most_off = 10;

}  // namespace

latency_model::latency_model(latency_prior prior) : prior_(prior) {
  const double at = prior.spread_units;
  add(0, prior.base_ms, prior.weight);
  add(at, prior.base_ms + at * prior.ms_per_unit, prior.weight);
  fit();
}

void latency_model::add(double units, double ms, double weight) {
  n_ += weight;
  x_ += weight * units;
  y_ += weight * ms;
  xx_ += weight * units * units;
  xy_ += weight * units * ms;
}

void latency_model::observe(double units, double ms) {
  for (double* it : {&n_, &x_, &y_, &xx_, &xy_}) *it *= fading;
  add(units, ms, 1);
  fit();
}

void latency_model::fit() {
  const double variance = n_ * xx_ - x_ * x_;
  // Observations at a single amount of work do not determine the slope.
  const double least = 1e-6 * n_ * xx_;
  if (variance > least) {
    slope_ = std::clamp((n_ * xy_ - x_ * y_) / variance,
                        prior_.ms_per_unit / most_off,
                        prior_.ms_per_unit * most_off);
  }
  base_ = std::max(0.0, (y_ - slope_ * x_) / n_);
}

double latency_model::predict_ms(double units) const {
  return base_ + slope_ * units;
}

}  // namespace trestlepost::routing
