#ifndef KUMQUATMOOR_BENCH_QUANTILE_H_
#define KUMQUATMOOR_BENCH_QUANTILE_H_

// Quantile: the smallest of the values that `part` of them do not exceed.

#include <algorithm>
#include <cmath>
#include <vector>

namespace kumquatmoor {

// 0 without any value.
inline double Quantile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(std::ceil(part * last))];
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_BENCH_QUANTILE_H_
