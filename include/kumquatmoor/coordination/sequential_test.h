#ifndef KUMQUATMOOR_COORDINATION_SEQUENTIAL_TEST_H_
#define KUMQUATMOOR_COORDINATION_SEQUENTIAL_TEST_H_

// SequentialTest: decides, while counts come in, whether a version fails more
// often than it may.
//
//   SequentialTest test;
//   test.Add({.failures = 2, .total = 3, .expected_rate = 0.01});
//   if (test.Exceeded()) Recall();
//
// A cumulative sum of log likelihood ratios against several worse rates at
// once. It may be looked at after each count. Not thread-safe.

#include <array>
#include <cstdint>

namespace kumquatmoor {

struct TrialCounts {
  uint64_t failures = 0;
  uint64_t total = 0;
  double expected_rate = 0.01;  // Failure rate that is still acceptable.
};

class SequentialTest {
 public:
  // Evidence at which the version counts as bad. Under the expected rate, the
  // sum passes it about once in exp(threshold) trials.
  static constexpr double kThreshold = 11.5;

  void Add(const TrialCounts& counts);
  double Score() const;
  bool Exceeded() const { return Score() >= kThreshold; }

 private:
  // Worse rates, as the part of the way from the expected rate to 1.
  static constexpr std::array<double, 4> kAlternatives = {0.05, 0.15, 0.4,
                                                          0.95};
  std::array<double, kAlternatives.size()> m_sums{};
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_SEQUENTIAL_TEST_H_
