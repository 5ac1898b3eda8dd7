// A confirmation only becomes fresher. It is taken over from a member whose
// batch is not newer than the own one: what the store had nothing newer than at
// a time is at most as new as the own batch.

#include "kumquatmoor/coordination/batch_confirmation.h"

#include <algorithm>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Older confirmations are of no use to anybody.
constexpr milliseconds kMaxSharedAge{60'000};

bool CoversBatch(const Digest& received, const ConfirmedBatch& own) {
  const BatchStamp stamp = StampOf(received);
  if (IsNewer(stamp, own.stamp)) return false;
  // Other contents under the same revision are no confirmation.
  return IsNewer(own.stamp, stamp) || received.batch_digest() == own.digest;
}

}  // namespace

void BatchConfirmation::NoteRunning(BootTime now) {
  if (m_last_run && now - *m_last_run > kPause) m_resumed_at = now;
  m_last_run = now;
}

bool BatchConfirmation::OnReceive(const Datagram& datagram,
                                  const ConfirmedBatch& own, BootTime now) {
  const bool is_ack = datagram.kind() == Datagram::ACK;
  std::optional<BootTime> measured = now - kFlightMargin;
  if (is_ack) {
    measured = TakeProbe(datagram);
    if (!measured) return false;
    if (m_resumed_at && *measured >= *m_resumed_at) m_resumed_at.reset();
  }
  const uint64_t age_ms = datagram.digest().confirmed_age_ms();
  const bool has_age =
      age_ms > 0 && age_ms <= static_cast<uint64_t>(kMaxSharedAge.count());
  if (!has_age || !CoversBatch(datagram.digest(), own)) return false;
  // The age is rounded up by the sender.
  const milliseconds age(age_ms);
  if (is_ack || !m_resumed_at) Adopt(*measured - age);
  if (is_ack) m_awaits_until.reset();
  return !is_ack && TakeProbeDue(now - age, now);
}

bool BatchConfirmation::TakeProbeDue(BootTime claimed, BootTime now) {
  const bool is_known = m_at && claimed - *m_at < kPushStep;
  const bool is_asked = m_claimed && claimed - *m_claimed < kPushStep;
  if (is_known || is_asked) return false;
  m_claimed = claimed;
  m_awaits_until = now + kAckTimeout;
  return true;
}

void BatchConfirmation::OnSend(BootTime now, Datagram* datagram) {
  if (datagram->kind() == Datagram::PING) {
    if (m_probes.size() >= kMaxProbes) m_probes.erase(m_probes.begin());
    m_probes[datagram->sequence()] = now;
  }
  if (!m_at || !datagram->has_digest()) return;
  const auto age = std::chrono::duration_cast<milliseconds>(now - *m_at);
  if (age > kMaxSharedAge) return;
  datagram->mutable_digest()->set_confirmed_age_ms(
      1 + static_cast<uint64_t>(std::max<int64_t>(0, age.count())));
}

bool BatchConfirmation::TakePushDue(BootTime now) {
  if (m_awaits_until && now < *m_awaits_until) return false;
  if (!m_at || (m_pushed && *m_at - *m_pushed < kPushStep)) return false;
  m_pushed = m_at;
  return true;
}

void BatchConfirmation::Adopt(BootTime at) {
  if (!m_at || at > *m_at) m_at = at;
}

std::optional<BootTime> BatchConfirmation::TakeProbe(const Datagram& datagram) {
  const auto found = m_probes.find(datagram.sequence());
  if (found == m_probes.end()) return std::nullopt;
  const BootTime sent = found->second;
  m_probes.erase(found);
  return sent;
}

}  // namespace kumquatmoor
