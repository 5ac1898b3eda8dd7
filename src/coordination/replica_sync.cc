// Anti-entropy synchronisation of Replica. The requester sends one hash per
// bucket of its member list. The peer replies with its batch if that is newer,
// or with the changes since the requester's batch if it knows that one, with
// its marks, and with the members of the buckets whose hashes differ. The
// requester then sends, in a second request, the members and marks that the
// peer's reply shows to be missing or older there, so that both hold the same
// state after the two calls.

#include <map>
#include <utility>

#include "kumquatmoor/coordination/replica.h"

namespace kumquatmoor {

void Replica::ScheduleSync(const std::string& id) {
  if (m_members.Find(id) != nullptr) m_sync_peer = id;
}

void Replica::AddDirectoryMember(const MemberRecord& member, TimePoint now) {
  if (member.id() == m_options.id) return;
  if (m_members.Find(member.id()) != nullptr) return;
  // An entry may be old, or come from another writer. With the lowest
  // incarnation it gives way to any record that the node itself sent.
  MemberRecord seed = member;
  seed.set_incarnation(0);
  MergeMember(seed, now);
  ScheduleSync(member.id());
}

std::optional<SyncPeer> Replica::PopSyncPeer() {
  if (!m_sync_peer) return std::nullopt;
  const MemberRecord* member = m_members.Find(*m_sync_peer);
  m_sync_peer.reset();
  if (member == nullptr || member->status() != ALIVE) return std::nullopt;
  return PeerOf(*member);
}

SyncPeer Replica::PeerOf(const MemberRecord& member) const {
  return {.id = member.id(),
          .zone = member.zone(),
          .address = member.control_address(),
          .expected_bytes = m_newer_batch_bytes};
}

std::vector<SyncPeer> Replica::PeersAhead() const {
  std::vector<SyncPeer> peers;
  for (const auto& peer : m_peers_ahead) {
    const MemberRecord* member = m_members.Find(peer.id);
    if (member == nullptr || member->status() != ALIVE) continue;
    peers.push_back(PeerOf(*member));
  }
  return peers;
}

SyncRequest Replica::MakeSyncRequest(bool joining) const {
  SyncRequest request;
  request.set_from(m_options.id);
  request.set_zone(m_options.zone);
  request.set_have_revision(m_batch->revision());
  request.set_config_version(m_batch->config_version());
  request.set_carried_weight(m_batch->carried_weight());
  request.set_joining(joining);
  request.set_accepts_delta(!m_needs_whole_batch);
  for (uint64_t hash : m_members.BucketHashes()) {
    request.add_bucket_hashes(hash);
  }
  *request.add_members() = Self();
  request.set_crashes_hash(m_crashes.Hash());
  request.set_wants_departures(!m_knows_departures);
  return request;
}

SyncReply Replica::HandleSyncRequest(const SyncRequest& request,
                                     TimePoint now) {
  for (const auto& member : request.members()) MergeMember(member, now);
  for (const auto& mark : request.marks()) JoinMark(mark);
  for (const auto& record : request.crashes()) JoinCrashRecord(record);
  SyncReply reply;
  reply.set_crashes_hash(m_crashes.Hash());
  if (request.crashes_hash() != m_crashes.Hash()) {
    for (auto& record : m_crashes.All()) {
      *reply.add_crashes() = std::move(record);
    }
  }
  if (IsNewer(StampOf(*m_batch), StampOf(request))) {
    AddNewerBatch(request, &reply);
  }
  if (request.wants_departures()) AddDepartures(&reply);
  for (auto& mark : m_marks.All()) *reply.add_marks() = std::move(mark);
  const auto& own_hashes = m_members.BucketHashes();
  std::vector<uint32_t> differing;
  for (uint32_t i = 0; i < kMemberBucketCount; ++i) {
    const bool is_equal =
        static_cast<int>(i) < request.bucket_hashes_size() &&
        request.bucket_hashes(static_cast<int>(i)) == own_hashes[i];
    if (!is_equal || request.joining()) differing.push_back(i);
  }
  for (uint32_t bucket : differing) reply.add_differing_buckets(bucket);
  for (auto& member : m_members.InBuckets(differing)) {
    *reply.add_members() = std::move(member);
  }
  return reply;
}

void Replica::AddNewerBatch(const SyncRequest& request,
                            SyncReply* reply) const {
  if (request.accepts_delta()) {
    auto delta = m_deltas.Since(request.have_revision());
    if (delta && delta->ByteSizeLong() < m_batch_bytes) {
      *reply->mutable_delta() = std::move(*delta);
      return;
    }
  }
  *reply->mutable_batch() = *m_batch;
}

std::optional<SyncRequest> Replica::HandleSyncReply(const SyncReply& reply,
                                                    TimePoint now) {
  if (reply.has_delta()) HandleSyncDelta(reply.delta());
  if (reply.has_batch()) Offer(reply.batch(), BatchPath::kSyncBatch);
  if (reply.knows_departures()) ReceiveDepartures(reply, now);
  MarkSet peer_marks;
  for (const auto& mark : reply.marks()) {
    peer_marks.Join(mark);
    JoinMark(mark);
  }
  CrashSuspects peer_crashes;
  for (const auto& record : reply.crashes()) {
    peer_crashes.Join(record);
    JoinCrashRecord(record);
  }
  std::map<std::string, std::string> peer_members;
  for (const auto& member : reply.members()) {
    peer_members[member.id()] = member.SerializeAsString();
    MergeMember(member, now);
  }
  const std::vector<uint32_t> buckets(reply.differing_buckets().begin(),
                                      reply.differing_buckets().end());
  SyncRequest offer = MakeSyncRequest(false);
  offer.clear_members();
  for (auto& member : m_members.InBuckets(buckets)) {
    if (peer_members[member.id()] != member.SerializeAsString()) {
      *offer.add_members() = std::move(member);
    }
  }
  for (auto& mark : m_marks.All()) {
    if (peer_marks.Join(mark)) *offer.add_marks() = std::move(mark);
  }
  if (reply.crashes_hash() != m_crashes.Hash()) {
    for (auto& record : m_crashes.All()) {
      if (peer_crashes.Join(record)) *offer.add_crashes() = std::move(record);
    }
  }
  if (offer.members().empty() && offer.marks().empty() &&
      offer.crashes().empty()) {
    return std::nullopt;
  }
  return offer;
}

}  // namespace kumquatmoor
