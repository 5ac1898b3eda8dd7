#ifndef KUMQUATMOOR_NODE_LOG_BUDGET_H_
#define KUMQUATMOOR_NODE_LOG_BUDGET_H_

// LogBudget: bounds the log lines that requests cause, by kind.
//
//   if (budget.Allow(LogKind::kServed, now)) spdlog::info(...);
//   for (const auto& [kind, lines] : budget.TakeSuppressedCounts()) ...
//
// One token bucket a kind, so that a flood of routine lines leaves room for
// failures. What was left out is counted. Not thread-safe.

#include <cstdint>
#include <map>
#include <string_view>

#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

enum class LogKind {
  kServed,     // Requests that a target answered.
  kRefused,    // Requests that a node or a target refused.
  kFailed,     // Requests whose outcome is a failure or not known.
  kAdmission,  // What the node beside a target decided.
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
  }
  return "";
}

class LogBudget {
 public:
  // Lines a second and in a burst, for each kind. At 300 bytes a line all kinds
  // together stay below 250 KB a second.
  static constexpr TokenBucketOptions kLines{.rate = 200, .burst = 400};

  bool Allow(LogKind kind, TimePoint now) {
    const auto bucket = m_buckets.try_emplace(kind, kLines).first;
    if (bucket->second.Take(now)) return true;
    ++m_suppressed[kind];
    return false;
  }

  // Lines left out since the last call, by kind.
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
