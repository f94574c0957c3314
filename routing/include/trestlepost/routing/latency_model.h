// Learns how a latency grows with the work before it: a straight line through
// recent observations, old ones fading.
#pragma once

namespace trestlepost::routing {

/// What is assumed before anything was observed.
struct latency_prior {
  double base_ms = 40;           // at no work
  double ms_per_unit = 0.01;     // for each unit of work
  double spread_units = 10'000;  // work at which the slope is assumed to hold
  double weight = 5;             // in observations
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
  double n_ = 0;
  double x_ = 0;
  double y_ = 0;
  double xx_ = 0;
  double xy_ = 0;
  double base_ = 0;
  double slope_ = 0;
};

}  // namespace trestlepost::routing
