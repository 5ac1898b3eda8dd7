// What Replica knows of batches that are newer than its own. Each digest that
// names one adds its sender to the list of peers that are ahead. The node is
// behind while that list has an entry. An entry ends when the node has that
// batch, or when the peer names an older one, is no longer alive or has
// been silent for kMaxClaimAge: a batch that nobody holds any more cannot be
// had, so no node may wait for it.
//
// A newer batch by which requests are handled as by the current one is fetched
// as any other, but does not make the node outdated.

#include <algorithm>
#include <utility>

#include "kumquatmoor/coordination/replica.h"

namespace kumquatmoor {
namespace {

// Members remembered to hold a newer batch.
constexpr size_t kMaxPeersAhead = 8;
// Newer batches whose first digest is remembered: those of some seconds, also
// when configurations come in quick succession.
constexpr size_t kMaxNewerBatches = 32;
// Invalid batches that are remembered.
constexpr size_t kMaxRefusedBatches = 8;
// A node that is not cut off receives several digests in this time, of its own
// probes and of those of other members.
constexpr std::chrono::milliseconds kMaxClaimAge{3'000};

}  // namespace

void Replica::NotePeerAhead(const std::string& id, const Digest& digest,
                            TimePoint now) {
  const BatchStamp stamp = StampOf(digest);
  const uint64_t decisions = digest.decision_digest();
  std::erase_if(m_peers_ahead,
                [&](const PeerAhead& peer) { return peer.id == id; });
  m_peers_ahead.push_front(
      {.id = id, .stamp = stamp, .decision_digest = decisions, .heard = now});
  if (m_peers_ahead.size() > kMaxPeersAhead) m_peers_ahead.pop_back();
  const auto known = std::find_if(
      m_newer_batches.begin(), m_newer_batches.end(),
      [&](const NewerBatch& newer) { return newer.stamp == stamp; });
  if (known == m_newer_batches.end()) {
    m_newer_batches.push_back(
        {.stamp = stamp, .decision_digest = decisions, .since = now});
  } else if (known->decision_digest != decisions) {
    known->decision_digest = 0;  // Two contents under one revision.
  }
  if (m_newer_batches.size() > kMaxNewerBatches) m_newer_batches.pop_front();
  UpdateBehindSince();
}

// The node stays behind while it knows of a batch that it still lacks.
void Replica::ForgetPeersReached() {
  std::erase_if(m_peers_ahead, [&](const PeerAhead& peer) {
    const MemberRecord* member = m_members.Find(peer.id);
    return !IsNewer(peer.stamp, StampOf(*m_batch)) || member == nullptr ||
           member->status() != ALIVE;
  });
  UpdateBehindSince();
}

void Replica::ForgetPeerAhead(const std::string& id) {
  std::erase_if(m_peers_ahead,
                [&](const PeerAhead& peer) { return peer.id == id; });
  UpdateBehindSince();
}

void Replica::ForgetLostPeersAhead(TimePoint now) {
  std::erase_if(m_peers_ahead, [&](const PeerAhead& peer) {
    const MemberRecord* member = m_members.Find(peer.id);
    const bool is_lost = member != nullptr && member->status() != ALIVE;
    return is_lost || now - peer.heard > kMaxClaimAge;
  });
  UpdateBehindSince();
}

std::optional<TimePoint> Replica::FirstNamed(
    std::span<const PeerAhead* const> peers, NewerKind kind) const {
  const BatchStamp current = StampOf(*m_batch);
  for (const auto& newer : m_newer_batches) {
    if (!IsNewer(newer.stamp, current)) continue;
    if (kind == NewerKind::kChangesDecisions &&
        !ChangesDecisions(newer.decision_digest)) {
      continue;
    }
    const bool is_held =
        std::any_of(peers.begin(), peers.end(), [&](const PeerAhead* peer) {
          return !IsNewer(newer.stamp, peer->stamp);
        });
    if (is_held) return newer.since;
  }
  return std::nullopt;
}

bool Replica::ChangesDecisions(uint64_t decision_digest) const {
  return decision_digest != m_decision_digest;
}

void Replica::UpdateBehindSince() {
  std::vector<const PeerAhead*> peers;
  for (const auto& peer : m_peers_ahead) peers.push_back(&peer);
  m_behind_since = FirstNamed(peers, NewerKind::kAny);
  if (!peers.empty()) return;
  m_newer_batches.clear();
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
  std::vector<const PeerAhead*> peers;
  for (const auto& peer : m_peers_ahead) {
    const MemberRecord* member = m_members.Find(peer.id);
    if (member == nullptr || member->status() != ALIVE) continue;
    const bool is_reachable = unreachable.count(member->zone()) == 0;
    if (is_reachable && ChangesDecisions(peer.decision_digest)) {
      peers.push_back(&peer);
    }
  }
  return FirstNamed(peers, NewerKind::kChangesDecisions);
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
