// As of when the batch in force is known to be the newest one, and how other
// members learn of it. Without keys that can be revoked nothing is sent.

#include <algorithm>
#include <iterator>
#include <random>
#include <string>
#include <utility>

#include "kumquatmoor/node/control_loop.h"
#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

// Members that are told of a fresher confirmation. As for other updates, three
// reach nearly all members in a few steps.
constexpr size_t kFanout = 3;
// Sequence numbers above it are those of probes that ask for a confirmation
// only. The failure detector's begin at 1, and would need decades to get here.
constexpr uint64_t kFirstProbe = 1U << 31U;

}  // namespace

bool ControlLoop::SharesConfirmation() const {
  return m_options.key_revocation.count() > 0 &&
         m_replica.CurrentBatch().requires_keys();
}

void ControlLoop::ConfirmRead(BootTime began, const BatchStamp& read) {
  // Otherwise the batch that was read has been refused.
  const bool is_applied = !IsNewer(read, StampOf(m_replica.CurrentBatch()));
  if (is_applied) m_confirmation.OnRead(began);
}

void ControlLoop::ReceiveConfirmation(const Datagram& datagram, BootTime now) {
  if (!datagram.has_digest()) return;
  const Batch& batch = m_replica.CurrentBatch();
  const ConfirmedBatch own{.stamp = StampOf(batch),
                           .digest = m_replica.MakeDigest().batch_digest()};
  if (!m_confirmation.OnReceive(datagram, own, now)) return;
  const MemberRecord* sender = m_replica.Members().Find(datagram.from());
  if (sender == nullptr) return;
  Datagram probe = MakeDatagram(Datagram::PING);
  probe.set_sequence(kFirstProbe + ++m_confirmation_probes);
  Send({{.address = sender->control_address(),
         .zone = sender->zone(),
         .datagram = std::move(probe)}});
}

// These probes have nothing to do with the failure detector, and their ACKs
// have no updates.
bool ControlLoop::OnConfirmationProbe(const Datagram& datagram, BootTime now) {
  if (datagram.sequence() <= kFirstProbe) return false;
  if (datagram.kind() == Datagram::ACK) {
    ReceiveConfirmation(datagram, now);
    return true;
  }
  const MemberRecord* sender = m_replica.Members().Find(datagram.from());
  if (datagram.kind() != Datagram::PING || sender == nullptr) return false;
  Datagram ack = MakeDatagram(Datagram::ACK);
  ack.set_sequence(datagram.sequence());
  *ack.mutable_digest() = m_replica.MakeDigest();
  Send({{.address = sender->control_address(),
         .zone = sender->zone(),
         .datagram = std::move(ack)}});
  return true;
}

void ControlLoop::PublishConfirmation() {
  // The proxy must not take it for one of the batch that it still has.
  if (m_published_batch != m_replica.SharedBatch()) return;
  const auto at = m_confirmation.At();
  if (!at) return;
  if (at != m_published_confirmation) {
    m_published_confirmation = at;
    m_proxy->SetConfirmedAt(*at);
  }
  if (SharesConfirmation() && m_confirmation.TakePushDue(BootClock::now()))
    PushConfirmation();
}

// The age is added at the last moment.
void ControlLoop::Send(const std::vector<OutgoingDatagram>& out) {
  const bool shares = SharesConfirmation();
  for (const auto& outgoing : out) {
    std::string bytes;
    if (shares) {
      Datagram datagram = outgoing.datagram;
      m_confirmation.OnSend(BootClock::now(), &datagram);
      bytes = datagram.SerializeAsString();
    } else {
      bytes = outgoing.datagram.SerializeAsString();
    }
    m_socket.Send(outgoing.address, outgoing.zone, bytes);
  }
}

void ControlLoop::PushConfirmation() {
  Datagram push = MakeDatagram(Datagram::PUSH);
  *push.mutable_digest() = m_replica.MakeDigest();
  const auto& alive = m_replica.Members().Alive();
  MemberList::Records peers;
  std::sample(alive.begin(), alive.end(), std::back_inserter(peers),
              kFanout + 1, m_rng);
  std::erase_if(peers, [&](const MemberRecord* member) {
    return member->id() == m_options.replica.id;
  });
  if (peers.size() > kFanout) peers.resize(kFanout);
  for (const auto* peer : peers) {
    Send({{.address = peer->control_address(),
           .zone = peer->zone(),
           .datagram = push}});
  }
}

void ControlLoop::SetPlatformReachable(bool reachable) {
  const TimePoint now = Clock::now();
  if (!reachable) {
    m_platform_retry_at = now + m_options.platform_retry_delay;
    m_replica.PostponeCompleteRead(now);
  }
  m_replica.SetPlatformUnavailable(!reachable, now);
  // Sends the failure at once, so that the zone's next gateway takes over
  // without waiting for the next tick.
  if (!reachable && m_ready) Send(m_replica.Tick(now));
}

// A node that is not a gateway makes no calls to the platform and cannot detect
// that they would succeed again. The record of a failed call therefore expires.
void ControlLoop::ClearPlatformFailure(TimePoint now) {
  if (now < m_platform_retry_at) return;
  m_replica.SetPlatformUnavailable(false, now);
}

}  // namespace kumquatmoor
