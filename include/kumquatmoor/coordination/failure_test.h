#ifndef KUMQUATMOOR_COORDINATION_FAILURE_TEST_H_
#define KUMQUATMOOR_COORDINATION_FAILURE_TEST_H_

// FailureTest: a sequential test over the targets of a version that remembers
// whose requests failed.
//
//   FailureTest test;
//   test.Add("node-4", {.failures = 3, .total = 4, .expected_rate = 0.01});
//   if (test.Exceeded()) Blame(test.OutlierTarget());
//
// What it remembers begins where the evidence did: while nothing speaks against
// the version, earlier failures are forgotten. Not thread-safe.

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "kumquatmoor/coordination/sequential_test.h"

namespace kumquatmoor {

class FailureTest {
 public:
  void Add(const std::string& target, const TrialCounts& counts);

  double Score() const { return m_test.Score(); }
  bool Exceeded() const { return m_test.Exceeded(); }
  bool HasTarget(const std::string& target) const {
    return m_targets.count(target) > 0;
  }
  // Requests and failures since the evidence began.
  uint64_t Requests() const;
  uint64_t Failures() const;
  // The target that has nearly all failures beyond the acceptable ones, or "".
  // That others had few requests may be the reason.
  std::string OutlierTarget() const;

 private:
  struct Counts {
    uint64_t requests = 0;
    uint64_t failures = 0;
    double expected = 0;  // Failures that are still acceptable.

    double Excess() const {
      return std::max(0.0, static_cast<double>(failures) - expected);
    }
  };

  SequentialTest m_test;
  std::map<std::string, Counts> m_targets;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_FAILURE_TEST_H_
