#include "kumquatmoor/coordination/failure_test.h"

#include <algorithm>
#include <numeric>

namespace kumquatmoor {
namespace {

// Minimum fraction of all excess failures that makes a target an outlier.
constexpr double kOutlierFraction = 0.9;

}  // namespace

void FailureTest::Add(const std::string& target, const TrialCounts& counts) {
  if (m_test.Score() <= 0) m_targets.clear();
  m_test.Add(counts);
  Counts& target_counts = m_targets[target];
  target_counts.requests += counts.total;
  target_counts.failures += counts.failures;
  target_counts.expected +=
      counts.expected_rate * static_cast<double>(counts.total);
}

uint64_t FailureTest::Requests() const {
  return std::accumulate(m_targets.begin(), m_targets.end(), uint64_t{0},
                         [](uint64_t sum, const auto& item) {
                           return sum + item.second.requests;
                         });
}

uint64_t FailureTest::Failures() const {
  return std::accumulate(m_targets.begin(), m_targets.end(), uint64_t{0},
                         [](uint64_t sum, const auto& item) {
                           return sum + item.second.failures;
                         });
}

std::string FailureTest::OutlierTarget() const {
  double excess = 0;
  for (const auto& [target, counts] : m_targets) excess += counts.Excess();
  for (const auto& [target, counts] : m_targets) {
    if (counts.Excess() >= kOutlierFraction * excess) return target;
  }
  return "";
}

}  // namespace kumquatmoor
