// Page's cumulative sum (CUSUM): for an alternative rate q and an expected rate
// p, each failure adds log(q/p) and each success log((1-q)/(1-p)). The sum
// never falls below 0, so a fault that begins late is found as fast as one that
// was there from the start. High alternatives find a total failure in a few
// requests, low ones a small excess in many.

#include "kumquatmoor/coordination/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace kumquatmoor {
namespace {

// Expected rates below the minimum are raised to it, so that the log ratios are
// finite. Above the maximum no worse rate can be told from the expected one.
constexpr double kMinExpectedRate = 1e-4;
constexpr double kMaxExpectedRate = 0.9;

}  // namespace

void SequentialTest::Add(const TrialCounts& counts) {
  if (counts.expected_rate >= kMaxExpectedRate) return;
  const double expected = std::max(counts.expected_rate, kMinExpectedRate);
  const auto failures = static_cast<double>(counts.failures);
  const auto successes = static_cast<double>(counts.total - counts.failures);
  for (size_t i = 0; i < kAlternatives.size(); ++i) {
    const double alternative = expected + (1 - expected) * kAlternatives[i];
    const double step =
        failures * std::log(alternative / expected) +
        successes * std::log((1 - alternative) / (1 - expected));
    m_sums[i] = std::max(0.0, m_sums[i] + step);
  }
}

double SequentialTest::Score() const {
  return *std::max_element(m_sums.begin(), m_sums.end());
}

}  // namespace kumquatmoor
