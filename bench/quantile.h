#ifndef KUMQUATMOOR_BENCH_QUANTILE_H_
#define KUMQUATMOOR_BENCH_QUANTILE_H_

// Quantile: the smallest value that at least a given fraction of the values do
// not exceed.

#include <algorithm>
#include <cmath>
#include <vector>

namespace kumquatmoor {

// Returns the quantile of `fraction`, from 0 to 1; 0 if there are no values.
inline double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last_index = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(std::ceil(fraction * last_index))];
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_BENCH_QUANTILE_H_
