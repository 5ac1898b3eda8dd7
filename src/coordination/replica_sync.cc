// Bulk synchronisation of Replica. The caller sends a hash for each bucket of
// its member list; the other side answers with its batch if that is newer, its
// marks, and the members of the buckets that differ. What the other side turns
// out to lack goes back in a second request, so that after both calls the two
// hold the same.

#include <map>
#include <utility>

#include "kumquatmoor/coordination/replica.h"

namespace kumquatmoor {

void Replica::RequestSync(const std::string& id) {
  if (m_members.Find(id) != nullptr) m_sync_peer = id;
}

void Replica::AddDirectoryMember(const MemberRecord& member, TimePoint now) {
  if (member.id() == m_options.id) return;
  if (m_members.Find(member.id()) != nullptr) return;
  MergeMember(member, now);
  RequestSync(member.id());
}

std::optional<SyncPeer> Replica::PopSyncPeer() {
  if (!m_sync_peer) return std::nullopt;
  const MemberRecord* member = m_members.Find(*m_sync_peer);
  m_sync_peer.reset();
  if (member == nullptr || member->status() != ALIVE) return std::nullopt;
  return SyncPeer{.id = member->id(),
                  .zone = member->zone(),
                  .address = member->control_address()};
}

SyncRequest Replica::MakeSyncRequest(bool joining) const {
  SyncRequest request;
  request.set_from(m_options.id);
  request.set_zone(m_options.zone);
  request.set_have_revision(m_batch->revision());
  request.set_joining(joining);
  for (uint64_t hash : m_members.BucketHashes()) {
    request.add_bucket_hashes(hash);
  }
  *request.add_members() = Self();
  return request;
}

SyncReply Replica::HandleSyncRequest(const SyncRequest& request,
                                     TimePoint now) {
  for (const auto& member : request.members()) MergeMember(member, now);
  for (const auto& mark : request.marks()) JoinMark(mark);
  SyncReply reply;
  if (m_batch->revision() > request.have_revision()) {
    *reply.mutable_batch() = *m_batch;
  }
  for (auto& mark : m_marks.All()) *reply.add_marks() = std::move(mark);
  const auto& mine = m_members.BucketHashes();
  std::vector<uint32_t> differing;
  for (uint32_t i = 0; i < kMemberBucketCount; ++i) {
    const bool same = static_cast<int>(i) < request.bucket_hashes_size() &&
                      request.bucket_hashes(static_cast<int>(i)) == mine[i];
    if (!same || request.joining()) differing.push_back(i);
  }
  for (uint32_t bucket : differing) reply.add_differing_buckets(bucket);
  for (auto& member : m_members.InBuckets(differing)) {
    *reply.add_members() = std::move(member);
  }
  return reply;
}

std::optional<SyncRequest> Replica::HandleSyncReply(const SyncReply& reply,
                                                    TimePoint now) {
  if (reply.has_batch()) Offer(reply.batch());
  MarkSet their_marks;
  for (const auto& mark : reply.marks()) {
    their_marks.Join(mark);
    JoinMark(mark);
  }
  std::map<std::string, std::string> theirs;
  for (const auto& member : reply.members()) {
    theirs[member.id()] = member.SerializeAsString();
    MergeMember(member, now);
  }
  const std::vector<uint32_t> buckets(reply.differing_buckets().begin(),
                                      reply.differing_buckets().end());
  SyncRequest offer = MakeSyncRequest(false);
  offer.clear_members();
  for (auto& member : m_members.InBuckets(buckets)) {
    if (theirs[member.id()] != member.SerializeAsString()) {
      *offer.add_members() = std::move(member);
    }
  }
  for (auto& mark : m_marks.All()) {
    if (their_marks.Join(mark)) *offer.add_marks() = std::move(mark);
  }
  if (offer.members().empty() && offer.marks().empty()) return std::nullopt;
  return offer;
}

}  // namespace kumquatmoor
