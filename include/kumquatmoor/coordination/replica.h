#ifndef KUMQUATMOOR_COORDINATION_REPLICA_H_
#define KUMQUATMOOR_COORDINATION_REPLICA_H_

// Replica: one node's copy of the replicated state (member list, batch, marks,
// crash records) and the gossip protocol that keeps the copies of all nodes
// equal.
//
//   Replica replica({.id = "node-1", .zone = "a", ...}, now);
//   for (const OutgoingDatagram& out : replica.Tick(now)) socket.Send(out);
//   for (const OutgoingDatagram& out : replica.OnDatagram(datagram, now)) ...
//   if (auto peer = replica.PopSyncPeer()) StartSync(*peer);
//
// The protocol has three parts. Dissemination: each node pushes an update that
// is new to it once, a batch twice, to a few random members. Anti-entropy:
// probes carry a digest of the whole state, and a node whose digest differs
// from the one that it received synchronises with the sender. Failure detection
// is SWIM: direct probe, indirect probes, suspicion, refutation by a higher
// incarnation.
//
// Guarantees: a batch is only replaced by a newer one (see store_revision.h),
// or under one revision by what the platform holds; a batch is applied
// completely or not at all; marks and members change only by their join, which
// makes them join semilattices. The class does no I/O: the caller passes the
// time and sends the datagrams, and the random generator is seeded. Not
// thread-safe.

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
#include "kumquatmoor/coordination/departures.h"
#include "kumquatmoor/coordination/member_list.h"
#include "kumquatmoor/coordination/replica_types.h"
#include "kumquatmoor/state/carried_moves.h"
#include "kumquatmoor/state/crash_suspects.h"
#include "kumquatmoor/state/delta_history.h"
#include "kumquatmoor/state/limits.h"
#include "kumquatmoor/state/marks.h"
#include "kumquatmoor/state/store_revision.h"

namespace kumquatmoor {

class Replica {
 public:
  Replica(ReplicaOptions options, TimePoint now);

  // Runs the timers: pushes pending updates, starts and escalates probes, and
  // declares suspects dead. To be called several times per second: a gap of
  // more than 300 ms between two calls counts as a pause of the process.
  std::vector<OutgoingDatagram> Tick(TimePoint now);
  // Forgets the open probes and sends others, so that each ACK that is matched
  // from now on was sent after `now`. For a process that was paused.
  std::vector<OutgoingDatagram> ProbeAnew(TimePoint now);
  // When the latest ACK of one of this node's probes arrived.
  TimePoint LastAcknowledged() const { return m_last_acknowledged; }
  // Applies a received datagram and returns the responses.
  std::vector<OutgoingDatagram> OnDatagram(const Datagram& datagram,
                                           TimePoint now);

  // Applies `batch` if it is valid and newer than the current one, and pushes
  // it to other members.
  OfferOutcome Offer(const Batch& batch, BatchPath path = BatchPath::kOffered);
  // True if a live member holds other contents under the revision of the
  // current batch, and the platform was not read since: the caller should read
  // the complete state. A short random time after the first digest that shows
  // it, once for each of the other contents.
  bool NeedsCompleteRead(TimePoint now) const;
  // The read that NeedsCompleteRead() asked for has failed. The time until the
  // next one doubles with each failure.
  void PostponeCompleteRead(TimePoint now);
  // Offers the batch of a read of the complete state that began at `began`. It
  // also replaces a batch of the same revision with other contents if a
  // conflict had been seen by then.
  OfferOutcome OfferComplete(const Batch& batch, TimePoint began);
  // A read of the complete state that began at `began` found no batch.
  void OnEmptyRead(TimePoint began) { ResolveConflicts(began); }
  // Joins `mark` into the marks and pushes the result. Returns false if nothing
  // changed or if the mark is obsolete: a later move has replaced its move, or
  // the service was removed.
  bool JoinMark(const MoveMark& mark);
  // Adds a crash of a local backend server, a response to a suspected request,
  // or an operator's decision to clear one, and pushes the changed records.
  void AddCrash(const BackendCrash& crash, int64_t unix_ms);
  void AddResponse(const std::string& key, std::string_view service,
                   std::string_view version);
  // Returns false if there is no such record.
  bool ClearCrashes(const std::string& key);
  void DropExpiredCrashes(int64_t unix_ms);
  // Replaces the endpoints in this node's record.
  void SetEndpoints(std::span<const Endpoint> endpoints, TimePoint now);
  // Adds to this node's record an instance of a backend server that is leaving:
  // it drains or has deregistered.
  void AddLeavingInstance(const LeavingInstance& leaving, TimePoint now);
  // Departures that nodes have written to the platform: see departures.h. A
  // node that has just started learns them from the platform, or by a
  // synchronisation with a member that knows them.

  // Replaces all of them. Those of this node become part of its record.
  void SetDepartures(std::span<const DepartureEntry> entries, TimePoint now);
  // From now on this node passes them on to members that do not know them.
  void SetKnowsDepartures() { m_knows_departures = true; }
  // A member that knows the departures has passed them on.
  bool HasReceivedDepartures() const { return m_has_received_departures; }
  // Schedules a synchronisation with any live member, unless there is one.
  void ScheduleAnySync();
  // The highest generation of the store that this node or a digest has named.
  // Rises before that of the batch if the batch is held back. Numbers that no
  // store can have are ignored.
  uint64_t StoreGeneration() const { return m_store_generation; }
  void NoteStoreGeneration(uint64_t generation);
  // Publishes in this node's record whether its calls to the platform fail.
  void SetPlatformUnavailable(bool unavailable, TimePoint now);
  // Sets this node's status to LEFT and returns the datagrams that announce it.
  std::vector<OutgoingDatagram> Leave(TimePoint now);

  // Adds a member from the member directory with incarnation 0, below that of
  // every node. If it was not known, schedules a synchronisation with it.
  void AddDirectoryMember(const MemberRecord& member, TimePoint now);

  // Anti-entropy synchronisation: a pull request, the reply to it, and a push
  // request with the records that the peer turned out to lack.

  // Returns the member to synchronise with, if a synchronisation is scheduled
  // and the member is alive, and clears the schedule.
  std::optional<SyncPeer> PopSyncPeer();
  // If `joining`, the request asks for every member, even if no bucket differs.
  SyncRequest MakeSyncRequest(bool joining) const;
  // Applies a peer's request and returns the reply to it.
  SyncReply HandleSyncRequest(const SyncRequest& request, TimePoint now);
  // Applies the reply to a request of MakeSyncRequest(). Returns a second
  // request, to be sent to the same peer, if the peer lacks some records.
  std::optional<SyncRequest> HandleSyncReply(const SyncReply& reply,
                                             TimePoint now);

  const Batch& CurrentBatch() const { return *m_batch; }
  std::shared_ptr<const Batch> SharedBatch() const { return m_batch; }
  const BatchArrival& Arrival() const { return m_arrival; }
  // True if a delta did not give the batch that its writer made. The next
  // synchronisation then asks for the whole batch.
  bool NeedsWholeBatch() const { return m_needs_whole_batch; }
  const MarkSet& Marks() const { return m_marks; }
  const CrashSuspects& Crashes() const { return m_crashes; }
  const MemberList& Members() const { return m_members; }
  MemberRecord Self() const;
  std::vector<MemberRecord> LiveMembers() const;
  // The live members that requests may be sent to. Members of unreachable zones
  // are left out, including those that are not suspected themselves.
  std::vector<MemberRecord> RoutableMembers(TimePoint now) const;
  // The live members with an endpoint of `service`, without those whose zone is
  // in `unreachable`.
  std::vector<MemberRecord> RoutableMembersOf(
      std::string_view service, const std::set<std::string>& unreachable) const;
  // Returns the services whose routes may have changed since the last call.
  std::set<std::string> PopChangedServices();
  // Zones other than this node's own of which at least half, and at least two
  // members, are suspected or died within the last minute.
  std::set<std::string> UnreachableZones(TimePoint now) const;
  // Increases with each change that routes depend on.
  uint64_t ChangeCount() const { return m_change_count; }
  // True if digests have shown for at least `time` that other nodes hold a
  // newer batch.
  bool IsBehindFor(std::chrono::milliseconds time, TimePoint now) const;
  // Time since a digest first showed that another node holds a newer batch; 0
  // if this node holds the newest one known.
  std::chrono::milliseconds TimeBehind(TimePoint now) const;
  // When a digest first showed that; empty if this node holds the newest batch
  // known.
  std::optional<TimePoint> BehindSince() const { return m_behind_since; }
  // The same, but only while a reachable live member says so, and only for a
  // batch by which requests are handled otherwise than by this node's: what it
  // must not serve callers by its own batch for. Empty if nobody who holds the
  // newer batch is left, or if this node has found that batch to be invalid.
  std::optional<TimePoint> OutdatedSince(TimePoint now) const;
  // The live members whose latest digests showed a newer batch than this node
  // holds, the most recent first.
  std::vector<SyncPeer> PeersAhead() const;
  ProbeDelays TakeProbeDelays();
  Digest MakeDigest() const;
  // Number of batches of a later generation of the store that were held back,
  // since their configuration is older than the one in force.
  uint64_t HeldBackCount() const { return m_held_back_count; }
  // The latest warnings for operators, oldest first.
  const std::vector<std::string>& Warnings() const { return m_warnings; }

 private:
  // A peer whose digest named a newer batch than this node holds.
  struct PeerAhead {
    std::string id;
    BatchStamp stamp;
    uint64_t decision_digest = 0;  // 0 if unknown.
    TimePoint heard;               // When it last named that batch.
  };
  // A batch that a digest named as newer than the one of that time.
  struct NewerBatch {
    BatchStamp stamp;
    uint64_t decision_digest = 0;  // 0 if unknown.
    TimePoint since;               // When the first digest did.
  };
  // Contents that a peer holds under the revision of the current batch.
  struct Conflict {
    uint64_t digest = 0;
    std::string peer;
    TimePoint seen;
    TimePoint read_at;         // When the platform should be read.
    bool is_resolved = false;  // It has been read.
    int failures = 0;          // Reads that failed.
  };
  // The key of a batch's update in the outbox.
  static constexpr char kBatchUpdateKey[] = "batch";
  // Time between the two pushes of a batch.
  static constexpr std::chrono::milliseconds kBatchRepeatDelay{250};

  struct Update {
    Rumour rumour;
    // Identifies what the update is about. A newer update of the same key
    // replaces the older one.
    std::string key;
    bool is_repeat = false;  // It has been pushed before.
  };
  struct Probe {
    std::string subject;      // Id of the member that is probed.
    int64_t incarnation = 0;  // Of the subject when the probe was sent.
    TimePoint sent;
    bool indirect_sent = false;
  };

  Datagram MakeDatagram(Datagram::Kind kind) const;
  OutgoingDatagram AddressedTo(const MemberRecord& member,
                               Datagram datagram) const;
  // Up to `count` different random live members, without this node and
  // `excluded`.
  MemberList::Records SampleMembers(size_t count, std::string_view excluded);
  const MemberRecord* PickProbeSubject();

  void DiscardProbesAfterPause(TimePoint now);
  void PushUpdates(TimePoint now, std::vector<OutgoingDatagram>* out);
  // Queues the last pushed batch once more when it is time.
  void RepeatBatchPush(TimePoint now);
  void StartProbe(TimePoint now, std::vector<OutgoingDatagram>* out);
  void EscalateProbes(TimePoint now, std::vector<OutgoingDatagram>* out);
  void ExpireSuspects(TimePoint now);
  void OnPing(const Datagram& datagram, std::vector<OutgoingDatagram>* out);
  void OnPingRequest(const Datagram& datagram,
                     std::vector<OutgoingDatagram>* out);
  void OnAck(const Datagram& datagram, TimePoint now,
             std::vector<OutgoingDatagram>* out);
  void CompareDigest(const Datagram& datagram, TimePoint now);
  void AddRecentUpdates(Datagram* datagram) const;

  void HandleRumour(const Rumour& rumour, const Datagram& datagram,
                    TimePoint now);
  void MergeMember(const MemberRecord& record, TimePoint now);
  void HandleDelta(const BatchDelta& delta, const Datagram& datagram);
  void HandleSyncDelta(const BatchDelta& delta);
  // Adds to the reply what the requester's batch lacks: a delta if this node
  // knows the requester's batch, otherwise the whole batch.
  void AddNewerBatch(const SyncRequest& request, SyncReply* reply) const;
  void JoinDepartures(const MemberRecord& departures, TimePoint now);
  void AddDepartures(SyncReply* reply) const;
  void ReceiveDepartures(const SyncReply& reply, TimePoint now);
  void ApplyBatch(Batch batch, BatchPath path);
  void Refute(const MemberRecord& claim, TimePoint now);
  void Suspect(const std::string& id, TimePoint now);
  void QueueUpdate(Rumour rumour, std::string key);
  void JoinCrashRecord(const CrashRecord& record);
  void QueueCrashRecords(std::vector<CrashRecord> records);
  void QueueMemberUpdate(const std::string& id);
  void ScheduleSync(const std::string& id);
  SyncPeer PeerOf(const MemberRecord& member) const;
  void NotePeerAhead(const std::string& id, const Digest& digest,
                     TimePoint now);
  // True unless a batch with that digest handles requests as the current one.
  bool ChangesDecisions(uint64_t decision_digest) const;
  // Counts a batch of a later generation of the store that is not newer than
  // the current one, and logs it once.
  void NoteHeldBack(const BatchStamp& stamp);
  void ForgetPeersReached();
  // When the first batch of `kind` was named that is newer than the current one
  // and at most as new as the newest that one of `peers` holds. Empty if they
  // hold none.
  enum class NewerKind { kAny, kChangesDecisions };
  std::optional<TimePoint> FirstNamed(std::span<const PeerAhead* const> peers,
                                      NewerKind kind) const;
  // Updates what follows from m_peers_ahead.
  void UpdateBehindSince();
  // The peer's latest digest does not name a newer batch.
  void ForgetPeerAhead(const std::string& id);
  // Forgets the peers that are no longer alive or have been silent for long.
  void ForgetLostPeersAhead(TimePoint now);
  void NoteConflict(const std::string& peer, uint64_t digest, TimePoint now);
  // The peer's latest digest shows no conflict.
  void ForgetConflict(const std::string& peer);
  // Ends the conflicts that had been seen at `began`. True if there were any.
  bool ResolveConflicts(TimePoint began);
  void NoteRefusedBatch(uint64_t digest);
  bool IsRefusedBatch(uint64_t digest) const;
  void AddChangedServices(const MemberRecord& member);
  void AddWarning(std::string text);

  ReplicaOptions m_options;
  std::mt19937_64 m_rng;
  std::shared_ptr<const Batch> m_batch;
  uint64_t m_batch_digest = 0;
  uint64_t m_decision_digest = 0;
  uint64_t m_batch_bytes = 0;
  BatchArrival m_arrival;
  DeltaHistory m_deltas;  // Between the latest batches of this node.
  bool m_needs_whole_batch = false;
  BatchStamp m_held_back;  // Of the batch that was held back last.
  uint64_t m_held_back_count = 0;
  ReplacedMoves m_replaced_moves;
  MarkSet m_marks;
  CrashSuspects m_crashes;
  MemberList m_members;
  std::deque<Update> m_outbox;  // Updates that the next tick pushes.
  std::deque<Update> m_recent;  // Recently pushed updates, newest first.
  // When the batch in m_recent is pushed for the second time.
  std::optional<TimePoint> m_repeat_batch_at;
  std::map<uint64_t, Probe> m_probes;  // By sequence number.
  // Indirect probes made for other members: from the sequence number of the
  // ping to the requester's id and its sequence number.
  std::map<uint64_t, std::pair<std::string, uint64_t>> m_relayed_probes;
  uint64_t m_sequence = 0;
  ProbeDelays m_probe_delays;
  TimePoint m_last_acknowledged;
  bool m_knows_departures = false;
  bool m_has_received_departures = false;
  // By member id. Only `leaving` is set.
  std::map<std::string, MemberRecord, std::less<>> m_departures;
  uint64_t m_store_generation = 0;
  TimePoint m_next_probe;
  TimePoint m_last_tick;
  uint32_t m_digest_mismatches = 0;  // Consecutive ones.
  // When a digest with a newer batch was first received; empty if the current
  // batch is the newest known.
  std::optional<TimePoint> m_behind_since;
  std::deque<NewerBatch> m_newer_batches;  // The earliest first.
  uint64_t m_newer_batch_bytes = 0;  // Size of that batch, 0 if there is none.
  std::deque<PeerAhead> m_peers_ahead;     // The most recent first.
  std::deque<uint64_t> m_refused_batches;  // Digests, the most recent last.
  std::deque<Conflict> m_conflicts;        // Under the current revision.
  std::optional<std::string> m_sync_peer;
  uint64_t m_change_count = 0;
  std::set<std::string> m_changed_services;
  std::vector<std::string> m_warnings;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_REPLICA_H_
