#ifndef KUMQUATMOOR_COORDINATION_SEQUENTIAL_TEST_H_
#define KUMQUATMOOR_COORDINATION_SEQUENTIAL_TEST_H_

// SequentialTest: tests, while counts arrive, whether requests fail more often
// than expected.
//
//   SequentialTest test;
//   test.Add({.failures = 2, .total = 3, .expected_rate = 0.01});
//   if (test.Exceeded()) Recall();
//
// A CUSUM test: a cumulative sum of log-likelihood ratios for each of several
// alternative failure rates. The result is valid after every call of Add(), not
// only after a fixed number of trials. Not thread-safe.

#include <array>
#include <cstdint>

namespace kumquatmoor {

struct TrialCounts {
  uint64_t failures = 0;
  uint64_t total = 0;
  double expected_rate = 0.01;  // Highest acceptable failure rate.
};

class SequentialTest {
 public:
  // Score at which the failure rate counts as exceeded. At the expected rate
  // this is a false alarm about once in exp(kThreshold) trials.
  static constexpr double kThreshold = 11.5;

  void Add(const TrialCounts& counts);
  // The highest of the sums; at least 0.
  double Score() const;
  bool Exceeded() const { return Score() >= kThreshold; }

 private:
  // Alternative rates, as fractions of the way from the expected rate to 1.
  static constexpr std::array<double, 4> kAlternatives = {0.05, 0.15, 0.4,
                                                          0.95};
  std::array<double, kAlternatives.size()> m_sums{};
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_SEQUENTIAL_TEST_H_
