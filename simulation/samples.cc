#include "simulation/samples.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace quincewick::simulation {

double Samples::quantile(double share) const {
  if (values_.empty()) {
    return 0;
  }
  if (!sorted_) {
    std::sort(values_.begin(), values_.end());
    sorted_ = true;
  }
  const double rank = std::ceil(share * static_cast<double>(values_.size()));
  const size_t index = static_cast<size_t>(std::max(rank, 1.0)) - 1;
  return values_[std::min(index, values_.size() - 1)];
}

double Samples::mean() const {
  if (values_.empty()) {
    return 0;
  }
  return std::accumulate(values_.begin(), values_.end(), 0.0) / static_cast<double>(values_.size());
}

}  // namespace quincewick::simulation
