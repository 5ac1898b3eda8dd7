// What Replica knows of batches that are newer than its own. Each digest that
// names one adds its sender to the list of peers that are ahead. The node is
// behind while that list has an entry. An entry ends when the node has that
// batch, or when the peer names an older one, is no longer alive or has
// been silent for kMaxClaimAge: a batch that nobody holds any more cannot be
// had, so no node may wait for it.

#include <algorithm>
#include <utility>

#include "kumquatmoor/coordination/replica.h"

namespace kumquatmoor {
namespace {

// Members remembered to hold a newer batch.
constexpr size_t kMaxPeersAhead = 8;
// Invalid batches that are remembered.
constexpr size_t kMaxRefusedBatches = 8;
// A node that is not cut off receives several digests in this time, of its own
// probes and of those of other members.
constexpr std::chrono::milliseconds kMaxClaimAge{3'000};

}  // namespace

void Replica::NotePeerAhead(const std::string& id, const BatchStamp& stamp,
                            TimePoint now) {
  PeerAhead noted{.id = id, .stamp = stamp, .since = now, .heard = now};
  std::erase_if(m_peers_ahead, [&](const PeerAhead& peer) {
    if (peer.id != id) return false;
    if (peer.stamp == stamp) noted.since = peer.since;
    return true;
  });
  m_peers_ahead.push_front(std::move(noted));
  if (m_peers_ahead.size() > kMaxPeersAhead) m_peers_ahead.pop_back();
}

// The node stays behind while it knows of a batch that it still lacks.
void Replica::ForgetPeersReached() {
  std::erase_if(m_peers_ahead, [&](const PeerAhead& peer) {
    const MemberRecord* member = m_members.Find(peer.id);
    return !IsNewer(peer.stamp, StampOf(*m_batch)) || member == nullptr ||
           member->status() != ALIVE;
  });
  m_behind_since.reset();
  for (const auto& peer : m_peers_ahead) {
    m_behind_since = std::min(m_behind_since.value_or(peer.since), peer.since);
  }
  if (m_peers_ahead.empty()) m_newer_batch_bytes = 0;
}

void Replica::ForgetPeerAhead(const std::string& id) {
  std::erase_if(m_peers_ahead,
                [&](const PeerAhead& peer) { return peer.id == id; });
  if (!m_peers_ahead.empty()) return;
  m_behind_since.reset();
  m_newer_batch_bytes = 0;
}

void Replica::ForgetLostPeersAhead(TimePoint now) {
  std::erase_if(m_peers_ahead, [&](const PeerAhead& peer) {
    const MemberRecord* member = m_members.Find(peer.id);
    const bool is_lost = member != nullptr && member->status() != ALIVE;
    return is_lost || now - peer.heard > kMaxClaimAge;
  });
  if (!m_peers_ahead.empty()) return;
  m_behind_since.reset();
  m_newer_batch_bytes = 0;
}

void Replica::NoteRefusedBatch(uint64_t digest) {
  if (IsRefusedBatch(digest)) return;
  m_refused_batches.push_back(digest);
  if (m_refused_batches.size() > kMaxRefusedBatches) {
    m_refused_batches.pop_front();
  }
}

bool Replica::IsRefusedBatch(uint64_t digest) const {
  return std::find(m_refused_batches.begin(), m_refused_batches.end(),
                   digest) != m_refused_batches.end();
}

std::optional<TimePoint> Replica::OutdatedSince(TimePoint now) const {
  if (m_peers_ahead.empty()) return std::nullopt;
  const auto unreachable = UnreachableZones(now);
  const bool is_confirmed = std::any_of(
      m_peers_ahead.begin(), m_peers_ahead.end(), [&](const PeerAhead& peer) {
        const MemberRecord* member = m_members.Find(peer.id);
        return member != nullptr && member->status() == ALIVE &&
               unreachable.count(member->zone()) == 0;
      });
  return is_confirmed ? m_behind_since : std::nullopt;
}

bool Replica::IsBehindFor(std::chrono::milliseconds time, TimePoint now) const {
  return m_behind_since && now - *m_behind_since >= time;
}

std::chrono::milliseconds Replica::TimeBehind(TimePoint now) const {
  if (!m_behind_since) return std::chrono::milliseconds(0);
  return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                               *m_behind_since);
}

}  // namespace kumquatmoor
