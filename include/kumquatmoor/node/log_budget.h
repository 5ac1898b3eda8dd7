#ifndef KUMQUATMOOR_NODE_LOG_BUDGET_H_
#define KUMQUATMOOR_NODE_LOG_BUDGET_H_

// LogBudget: limits the rate of the log lines that requests cause.
//
//   LogBudget budget;
//   if (budget.Allow(LogKind::kServed, now)) spdlog::info(...);
//   for (const auto& [kind, lines] : budget.TakeSuppressedCounts()) ...
//
// Each kind of line has its own token bucket, so that a flood of routine lines
// does not suppress those about failures. Suppressed lines are counted. Not
// thread-safe.

#include <cstdint>
#include <map>
#include <string_view>

#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

enum class LogKind {
  kServed,     // Requests that a target responded to.
  kRefused,    // Requests that a node or a target refused.
  kFailed,     // Requests that failed or whose outcome is unknown.
  kAdmission,  // Admission decisions of the node at the target's host.
  kDenied,     // Requests that got a status of 3xx or 4xx.
  kQuota,      // Requests that exceed the quota of their organisation.
};

inline std::string_view LogKindName(LogKind kind) {
  switch (kind) {
    case LogKind::kServed:
      return "served";
    case LogKind::kRefused:
      return "refused";
    case LogKind::kFailed:
      return "failed";
    case LogKind::kAdmission:
      return "admission";
    case LogKind::kDenied:
      return "denied";
    case LogKind::kQuota:
      return "quota";
  }
  return "";
}

class LogBudget {
 public:
  // Lines per second and lines in a burst, for each kind. At 300 bytes per line
  // all kinds together stay below 250 KB per second.
  static constexpr TokenBucketOptions kLines{.rate = 200, .burst = 400};

  // Returns whether a line of this kind may be logged now. Counts it as
  // suppressed otherwise.
  bool Allow(LogKind kind, TimePoint now) {
    const auto bucket = m_buckets.try_emplace(kind, kLines).first;
    if (bucket->second.Take(now)) return true;
    ++m_suppressed[kind];
    return false;
  }

  // Returns the number of lines suppressed since the last call, by kind.
  std::map<LogKind, uint64_t> TakeSuppressedCounts() {
    std::map<LogKind, uint64_t> taken;
    taken.swap(m_suppressed);
    return taken;
  }

 private:
  std::map<LogKind, TokenBucket> m_buckets;
  std::map<LogKind, uint64_t> m_suppressed;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_LOG_BUDGET_H_
