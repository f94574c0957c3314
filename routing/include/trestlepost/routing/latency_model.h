// Predicts a latency as a linear function of the amount of work, fitted to
// recent observations whose weight decays.
#pragma once

namespace trestlepost::routing {

/// Assumptions that apply until there are observations.
struct latency_prior {
  double base_ms = 40;        // latency without work
  double ms_per_unit = 0.01;  // slope
  // amount of work up to which the slope is assumed to hold
  double spread_units = 10'000;
  double weight = 5;  // as a number of observations
};

class latency_model {
 public:
  explicit latency_model(latency_prior prior = {});

  void observe(double units, double ms);
  double predict_ms(double units) const;
  double ms_per_unit() const { return slope_; }

 private:
  void add(double units, double ms, double weight);
  void fit();

  latency_prior prior_;
  double weight_ = 0;
  double sum_x_ = 0;
  double sum_y_ = 0;
  double sum_xx_ = 0;
  double sum_xy_ = 0;
  double base_ = 0;
  double slope_ = 0;
};

}  // namespace trestlepost::routing
