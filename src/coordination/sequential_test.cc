// Page's cumulative sum: for an alternative rate q and an expected rate p, each
// failure adds log(q/p) and each success log((1-q)/(1-p)); the sum never falls
// below 0, so a fault that begins late is found as fast as one that was there
// from the start. High alternatives find a total failure in a few requests, low
// ones a small excess in many.

#include "kumquatmoor/coordination/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace kumquatmoor {
namespace {

// Acceptable rates that can be compared with.
constexpr double kMinExpectedRate = 1e-4;
constexpr double kMaxExpectedRate = 0.9;

}  // namespace

void SequentialTest::Add(const TrialCounts& counts) {
  // Nothing is told apart from a version that nearly always fails.
  if (counts.expected_rate >= kMaxExpectedRate) return;
  const double expected = std::max(counts.expected_rate, kMinExpectedRate);
  const auto failures = static_cast<double>(counts.failures);
  const auto successes = static_cast<double>(counts.total - counts.failures);
  for (size_t i = 0; i < kAlternatives.size(); ++i) {
    const double worse = expected + (1 - expected) * kAlternatives[i];
    const double step = failures * std::log(worse / expected) +
                        successes * std::log((1 - worse) / (1 - expected));
    m_sums[i] = std::max(0.0, m_sums[i] + step);
  }
}

double SequentialTest::Score() const {
  return *std::max_element(m_sums.begin(), m_sums.end());
}

}  // namespace kumquatmoor
