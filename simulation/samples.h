// Collects measured values of a run and gives their exact quantiles.
#pragma once

#include <cstddef>
#include <vector>

namespace quincewick::simulation {

class Samples {
 public:
  void add(double value) {
    values_.push_back(value);
    sorted_ = false;
  }
  size_t count() const { return values_.size(); }
  // The value below or at which a `share` (0 to 1) of all lie; 0 when there are none.
  double quantile(double share) const;
  double maximum() const { return quantile(1.0); }
  double mean() const;

 private:
  mutable std::vector<double> values_;
  mutable bool sorted_ = true;
};

}  // namespace quincewick::simulation
