#ifndef KUMQUATMOOR_COORDINATION_REPLICA_H_
#define KUMQUATMOOR_COORDINATION_REPLICA_H_

// Replica: what one node knows of the mesh (members, batch, marks) and the
// protocol that keeps it equal to what the others know.
//
//   Replica replica({.id = "node-1", .zone = "a", ...}, now);
//   for (const Outgoing& out : replica.Tick(now)) socket.Send(out);
//   for (const Outgoing& out : replica.OnDatagram(datagram, now)) ...
//   if (auto peer = replica.PopSyncPeer()) StartSync(*peer);
//
// News is pushed once to a few random members by each node that learns of it.
// Probes carry a digest of everything; who sees a difference pulls what it
// lacks. Failure detection is SWIM: direct probe, indirect probes, suspicion,
// refutation by a higher incarnation.
//
// Guarantees: the revision of the batch only rises; a batch is taken whole or
// not at all; marks and members only grow in their join order. Pure: time is
// an argument and randomness is seeded. Not thread-safe.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/coordination/member_list.h"
#include "kumquatmoor/state/limits.h"
#include "kumquatmoor/state/marks.h"

namespace kumquatmoor {

struct ReplicaOptions {
  std::string id;
  std::string zone;
  std::string control_address;
  std::string data_address;
  int64_t started_ms = 0;  // Unix time of the start: the first incarnation.
  uint64_t seed = 1;
  size_t fanout = 3;           // Members that each piece of news is pushed to.
  size_t indirect_probes = 2;  // Members asked to probe for this one.
  std::chrono::milliseconds probe_interval{1'000};
  std::chrono::milliseconds probe_timeout{300};
  std::chrono::milliseconds suspicion{3'000};
  // Digests that differ this often in a row start a comparison by buckets.
  uint32_t mismatches_before_sync = 3;
};

struct OutgoingDatagram {
  std::string address;
  std::string zone;  // Of the receiver, "" if not known.
  Datagram datagram;
};

// A member to synchronise with over gRPC.
struct SyncPeer {
  std::string id;
  std::string zone;
  std::string address;
};

enum class OfferOutcome {
  kApplied,
  kOld,       // Not newer than the batch in force.
  kInvalid,   // Fails its check.
  kConflict,  // Same revision, other contents.
};

class Replica {
 public:
  Replica(ReplicaOptions options, TimePoint now);

  std::vector<OutgoingDatagram> Tick(TimePoint now);
  std::vector<OutgoingDatagram> OnDatagram(const Datagram& datagram,
                                           TimePoint now);

  OfferOutcome Offer(const Batch& batch);
  // Joins a mark and spreads it. True if it said something new.
  bool JoinMark(const MoveMark& mark);
  void SetEndpoints(std::span<const Endpoint> endpoints, TimePoint now);
  // A backend server of this node has said that it leaves.
  void NoteLeaving(const LeavingInstance& leaving, TimePoint now);
  // Tells the others whether this node's calls to the platform fail.
  void SetPlatformUnavailable(bool without, TimePoint now);
  // Announces that this node is leaving for good.
  std::vector<OutgoingDatagram> Leave(TimePoint now);

  // Takes a member that the directory names and synchronises with it if it was
  // not known.
  void AddDirectoryMember(const MemberRecord& member, TimePoint now);

  // Bulk synchronisation.
  std::optional<SyncPeer> PopSyncPeer();
  SyncRequest MakeSyncRequest(bool joining) const;
  SyncReply HandleSyncRequest(const SyncRequest& request, TimePoint now);
  // Takes the reply to a request of MakeSyncRequest. Returns a second request
  // that offers what the other side lacks, if it lacks something.
  std::optional<SyncRequest> HandleSyncReply(const SyncReply& reply,
                                             TimePoint now);

  const Batch& CurrentBatch() const { return *m_batch; }
  std::shared_ptr<const Batch> SharedBatch() const { return m_batch; }
  const MarkSet& Marks() const { return m_marks; }
  const MemberList& Members() const { return m_members; }
  MemberRecord Self() const;
  std::vector<MemberRecord> LiveMembers() const;
  // The live members that requests may be sent to: those of unreachable zones
  // are left out, also where they have not been suspected one by one.
  std::vector<MemberRecord> RoutableMembers(TimePoint now) const;
  std::vector<MemberRecord> RoutableMembersOf(
      std::string_view service, const std::set<std::string>& unreachable) const;
  // Services whose routes may have changed since the last call.
  std::set<std::string> PopChangedServices();
  // Zones of which at least half was lost within the last minute.
  std::set<std::string> UnreachableZones(TimePoint now) const;
  // Rises with each change that routes depend on.
  uint64_t ChangeCount() const { return m_change_count; }
  // True if others have told of a newer batch for this long.
  bool IsBehindFor(std::chrono::milliseconds time, TimePoint now) const;
  Digest MakeDigest() const;
  const std::vector<std::string>& Warnings() const { return m_warnings; }

 private:
  struct News {
    Rumour rumour;
    std::string key;
  };
  struct Probe {
    std::string subject;
    TimePoint sent;
    bool indirect_sent = false;
  };

  Datagram MakeDatagram(Datagram::Kind kind) const;
  OutgoingDatagram To(const MemberRecord& member, Datagram datagram) const;
  MemberList::Records SampleMembers(size_t count, std::string_view excluded);
  const MemberRecord* PickProbeSubject();

  void DiscardProbesAfterPause(TimePoint now);
  void PushUpdates(std::vector<OutgoingDatagram>* out);
  void StartProbe(TimePoint now, std::vector<OutgoingDatagram>* out);
  void EscalateProbes(TimePoint now, std::vector<OutgoingDatagram>* out);
  void ExpireSuspects(TimePoint now);
  void OnPing(const Datagram& datagram, std::vector<OutgoingDatagram>* out);
  void OnPingRequest(const Datagram& datagram,
                     std::vector<OutgoingDatagram>* out);
  void OnAck(const Datagram& datagram, std::vector<OutgoingDatagram>* out);
  void CompareDigest(const Datagram& datagram, TimePoint now);
  void AddRecentUpdates(Datagram* datagram) const;

  void HandleRumour(const Rumour& rumour, const Datagram& from, TimePoint now);
  void MergeMember(const MemberRecord& record, TimePoint now);
  void HandleDelta(const BatchDelta& delta, const Datagram& from);
  void ApplyBatch(Batch batch);
  void Refute(const MemberRecord& claim, TimePoint now);
  void Suspect(const std::string& id, TimePoint now);
  void Spread(Rumour rumour, std::string key);
  void QueueMemberUpdate(const std::string& id);
  void RequestSync(const std::string& id);
  void AddChangedServices(const MemberRecord& member);
  void Warn(std::string text);

  ReplicaOptions m_options;
  std::mt19937_64 m_rng;
  std::shared_ptr<const Batch> m_batch;
  uint64_t m_batch_digest = 0;
  MarkSet m_marks;
  MemberList m_members;
  std::deque<News> m_outbox;           // Not yet pushed.
  std::deque<News> m_recent;           // Pushed lately, newest first.
  std::map<uint64_t, Probe> m_probes;  // By sequence number.
  // Probes made for others: sequence here to (asker, sequence there).
  std::map<uint64_t, std::pair<std::string, uint64_t>> m_relayed_probes;
  uint64_t m_sequence = 0;
  TimePoint m_next_probe;
  TimePoint m_last_tick;
  uint32_t m_digest_mismatches = 0;
  // Since when others hold a newer batch, if they do.
  std::optional<TimePoint> m_behind_since;
  std::optional<std::string> m_sync_peer;
  uint64_t m_change_count = 0;
  std::set<std::string> m_changed_services;
  std::vector<std::string> m_warnings;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_REPLICA_H_
