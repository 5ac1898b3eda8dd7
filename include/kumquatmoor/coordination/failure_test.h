#ifndef KUMQUATMOOR_COORDINATION_FAILURE_TEST_H_
#define KUMQUATMOOR_COORDINATION_FAILURE_TEST_H_

// FailureTest: a sequential test of one version's requests that also counts the
// failures of each target, to find an outlier.
//
//   FailureTest test;
//   test.Add("node-4", {.failures = 3, .total = 4, .expected_rate = 0.01});
//   if (test.Exceeded()) Exclude(test.OutlierTarget());
//
// The counts by target start again whenever the score is 0, so that they
// cover only the requests that make up the present score. Not thread-safe.

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "kumquatmoor/coordination/sequential_test.h"

namespace kumquatmoor {

class FailureTest {
 public:
  // Adds requests that ended at `target`.
  void Add(const std::string& target, const TrialCounts& counts);

  double Score() const { return m_test.Score(); }
  bool Exceeded() const { return m_test.Exceeded(); }
  // True if requests to `target` are part of the present score.
  bool HasTarget(const std::string& target) const {
    return m_targets.count(target) > 0;
  }
  // Requests and failures since the score was last 0.
  uint64_t Requests() const;
  uint64_t Failures() const;
  // The target that has nearly all of the excess failures (those beyond the
  // expected ones), or "" if there is none. With few requests to the other
  // targets, a target may be returned although all of them fail.
  std::string OutlierTarget() const;

 private:
  struct Counts {
    uint64_t requests = 0;
    uint64_t failures = 0;
    double expected = 0;  // Failures at the expected rate.

    double Excess() const {
      return std::max(0.0, static_cast<double>(failures) - expected);
    }
  };

  SequentialTest m_test;
  std::map<std::string, Counts> m_targets;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_FAILURE_TEST_H_
