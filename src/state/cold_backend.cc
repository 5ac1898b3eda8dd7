// The thread that receives announcements has the ColdPhase, the one that admits
// requests the ColdLimit. Both learn that the state is unknown, the latter at
// once. A status ends that only if its report is later, so that one that was on
// its way between the threads does not.

#include "kumquatmoor/state/cold_backend.h"

#include <algorithm>

namespace kumquatmoor {

void ColdPhase::OnProcess(TimePoint now, std::chrono::milliseconds age) {
  *this = ColdPhase();
  m_started = now - age;
}

void ColdPhase::OnReport(TimePoint now, std::chrono::milliseconds cold_left) {
  m_reported_at = now;
  m_reported_until = now + cold_left;
  m_unknown = false;
}

void ColdPhase::OnUnknown(TimePoint at) {
  if (at >= m_reported_at) m_unknown = true;
}

ColdStatus ColdPhase::Status(const ColdSettings& settings) const {
  const TimePoint known_until =
      std::max(m_reported_until, m_started + settings.start);
  return {.rate = settings.rate,
          .until = m_unknown ? TimePoint::max() : known_until,
          .reported_at = m_reported_at};
}

bool ColdLimit::OnStatus(const ColdStatus& status, TimePoint now) {
  const bool was_cold = IsCold(now);
  if (m_unknown_since && status.reported_at > *m_unknown_since) {
    m_unknown_since.reset();
  }
  const bool has_other_rate = status.rate != m_status.rate;
  m_status = status;
  if (!IsCold(now)) return false;
  if (!was_cold || has_other_rate) Empty(now);
  return !was_cold;
}

bool ColdLimit::OnUnknown(TimePoint at) {
  if (m_status.rate <= 0 || m_unknown_since) return false;
  const bool was_cold = IsCold(at);
  m_unknown_since = at;
  if (!was_cold) Empty(at);
  return true;
}

bool ColdLimit::IsCold(TimePoint now) const {
  return m_status.IsCold(now) || (m_status.rate > 0 && m_unknown_since);
}

bool ColdLimit::Take(TimePoint now) {
  return !IsCold(now) || m_bucket.Take(now);
}

void ColdLimit::Return() { m_bucket.Return(); }

std::chrono::milliseconds ColdLimit::WaitTime(TimePoint now) {
  return m_bucket.WaitTime(now);
}

void ColdLimit::Empty(TimePoint now) {
  if (m_status.rate <= 0) return;
  const double burst = std::max(1.0, m_status.rate * kBurstSeconds);
  m_bucket = TokenBucket({.rate = m_status.rate, .burst = burst}, now);
}

}  // namespace kumquatmoor
