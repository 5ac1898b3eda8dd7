#ifndef KUMQUATMOOR_STATE_HAND_BACKS_H_
#define KUMQUATMOOR_STATE_HAND_BACKS_H_

// HandBacks and HandBackPolicy: how a caller's node uses that the node beside a
// target may hand a request back, because it would wait there or the host is
// slow at the moment.
//
//   HandBacks handed_back;  // Of one request.
//   while (...) {
//     const bool may = !handed_back.IsSpent() && policy.MayAsk(service, now);
//     ...
//     handed_back.Add(member_id, expected);
//     if (handed_back.IsSpent()) {
//       policy.OnSpent(service, now);
//       next_target = handed_back.TakeBest();
//     }
//   }
//
// A caller's node hears a target only every few seconds, so it cannot know that
// its host is slow for less than one. After the first target a request is
// offered to two others at most; then the one that expects the earliest
// response has to take it. When that happens the service has no free target,
// and its requests are not offered for a short time, which saves their hops.
// Time is an argument. Not thread-safe.

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

class HandBacks {
 public:
  static constexpr int kMaxHandBacks = 3;

  // The target's node handed the request back and expects that its response
  // would have taken this time.
  void Add(const std::string& member_id, std::chrono::milliseconds expected) {
    ++m_count;
    if (!m_best.empty() && expected >= m_best_expected) return;
    m_best = member_id;
    m_best_expected = expected;
  }
  // True if no further target may hand the request back.
  bool IsSpent() const { return m_count >= kMaxHandBacks; }
  // There is no other target that may be tried.
  void SetSpent() { m_count = kMaxHandBacks; }
  // The target with the earliest response of those that handed the request
  // back, "" if none did.
  const std::string& Best() const { return m_best; }
  // Returns Best() and forgets it.
  std::string TakeBest() { return std::exchange(m_best, {}); }

 private:
  int m_count = 0;
  std::string m_best;
  std::chrono::milliseconds m_best_expected{0};
};

class HandBackPolicy {
 public:
  // Time for which the requests of a service must be taken by their first
  // target, after all targets have handed one back.
  static constexpr std::chrono::milliseconds kPause{100};
  static constexpr size_t kMaxServices = 1'024;

  bool MayAsk(const std::string& service, TimePoint now) const {
    const auto found = m_paused_until.find(service);
    return found == m_paused_until.end() || now >= found->second;
  }
  void OnSpent(const std::string& service, TimePoint now) {
    if (m_paused_until.size() >= kMaxServices) {
      std::erase_if(m_paused_until,
                    [&](const auto& item) { return item.second <= now; });
    }
    m_paused_until[service] = now + kPause;
  }

 private:
  std::map<std::string, TimePoint> m_paused_until;  // By service.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_HAND_BACKS_H_
