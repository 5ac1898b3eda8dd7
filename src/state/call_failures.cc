// Two exponentially weighted counts by route, calls and failed ones, give the
// share of calls that fail. The shed share is the highest that this share was,
// less what it has decayed since. It is not raised by the failures that remain
// while requests are shed: with calls that fail whatever the load is, that
// would end in shedding all requests.

#include "kumquatmoor/state/call_failures.h"

#include <algorithm>
#include <cmath>

namespace kumquatmoor {
namespace {

// A smaller share is no longer shed.
constexpr double kMinShedShare = 0.02;
// Calls of a route below which it can be forgotten.
constexpr double kIdleCalls = 0.5;

double Decay(TimePoint from, TimePoint to,
             std::chrono::milliseconds half_life) {
  const std::chrono::duration<double> age = to - from;
  const std::chrono::duration<double> half = half_life;
  return std::exp2(-age / half);
}

}  // namespace

void CallFailures::OnCallEnded(std::string_view route, bool failed,
                               TimePoint now) {
  auto found = m_routes.find(route);
  if (found == m_routes.end()) {
    if (m_routes.size() >= kMaxRoutes) ForgetIdle(now);
    if (m_routes.size() >= kMaxRoutes) return;
    found = m_routes.emplace(route, Entry{.calls_at = now}).first;
  }
  Entry& entry = found->second;
  const double decay = Decay(entry.calls_at, now, m_options.half_life);
  entry.calls = entry.calls * decay + 1;
  entry.failed = entry.failed * decay + (failed ? 1 : 0);
  entry.calls_at = now;
  if (entry.calls < m_options.min_calls) return;
  const double share = entry.failed / entry.calls;
  if (share >= m_options.start_share) entry.is_shedding = true;
  if (share <= m_options.stop_share) entry.is_shedding = false;
  const double current = ShedShareOf(entry, now);
  const double wanted =
      entry.is_shedding ? std::min(share, m_options.max_shed_share) : 0;
  entry.shed_share = std::max(current, wanted);
  entry.shed_at = now;
}

double CallFailures::ShedShareOf(const Entry& entry, TimePoint now) const {
  const double share =
      entry.shed_share * Decay(entry.shed_at, now, m_options.shed_half_life);
  return share < kMinShedShare ? 0 : share;
}

double CallFailures::ShedShare(std::string_view route, TimePoint now) const {
  const auto found = m_routes.find(route);
  return found == m_routes.end() ? 0 : ShedShareOf(found->second, now);
}

bool CallFailures::ShouldShed(std::string_view route, TimePoint now) {
  const auto found = m_routes.find(route);
  if (found == m_routes.end()) return false;
  Entry& entry = found->second;
  entry.owed += ShedShareOf(entry, now);
  if (entry.owed < 1) return false;
  entry.owed -= 1;
  return true;
}

void CallFailures::ForgetIdle(TimePoint now) {
  std::erase_if(m_routes, [&](const auto& item) {
    const Entry& entry = item.second;
    return ShedShareOf(entry, now) == 0 &&
           entry.calls * Decay(entry.calls_at, now, m_options.half_life) <
               kIdleCalls;
  });
}

}  // namespace kumquatmoor
