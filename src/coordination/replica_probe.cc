// Failure detection of Replica, after SWIM. Once per probe interval a node
// pings one member. If no ACK arrives within the probe timeout, it asks other
// members to ping that member (indirect probes). If no ACK arrives within the
// probe interval, it suspects the member and disseminates the suspicion. The
// suspect receives the suspicion with one of the next datagrams and refutes it
// by a higher incarnation. If it does not within the suspicion timeout, it is
// declared dead.
//
// A zone of which at least half of the members are suspected or died recently
// is unreachable. Its suspects are not declared dead: one update per member
// would flood the mesh, and each would be reverted when the zone is back.

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "kumquatmoor/coordination/replica.h"

namespace kumquatmoor {
namespace {

// Indirect probes made for other members that wait for an ACK; the oldest is
// dropped when there are more.
constexpr size_t kMaxRelayedProbes = 64;
// On average, one probe in this many goes to a suspected or dead member.
constexpr uint64_t kLostProbePeriod = 8;
// Attempts to draw a member other than this node.
constexpr int kMaxProbeDraws = 16;
// A longer time between two ticks counts as a pause of the process.
constexpr std::chrono::milliseconds kMaxTickInterval{300};
// Probes after a pause. One may go to a member that is lost.
constexpr int kProbesAfterPause = 3;
// A zone is unreachable when at least this fraction of its members, and at
// least kMinLostMembers, are suspected or died within kCorrelatedLossWindow.
constexpr double kUnreachableFraction = 0.5;
constexpr size_t kMinLostMembers = 2;
constexpr std::chrono::seconds kCorrelatedLossWindow{60};

}  // namespace

// One probe in eight goes to a suspected or dead member, so that the parts of a
// mesh find each other again after a network partition. Half of the other
// probes are drawn from this node's zone, the rest from all live members.
const MemberRecord* Replica::PickProbeSubject() {
  const auto suspected_or_dead = m_members.SuspectedOrDead();
  const bool is_alone = m_members.Alive().size() <= 1;
  if (!suspected_or_dead.empty() &&
      (is_alone || m_rng() % kLostProbePeriod == 0)) {
    return suspected_or_dead[m_rng() % suspected_or_dead.size()];
  }
  const auto& own_zone = m_members.AliveIn(m_options.zone);
  const auto& candidates =
      own_zone.size() > 1 && m_rng() % 2 == 0 ? own_zone : m_members.Alive();
  // A node that has left and knew no other.
  if (candidates.empty()) return nullptr;
  for (int draws = 0; draws < kMaxProbeDraws; ++draws) {
    const MemberRecord* member = candidates[m_rng() % candidates.size()];
    if (member->id() != m_options.id) return member;
  }
  return nullptr;
}

// After a pause of the process it is unknown whether the ACKs arrived in time,
// so the pending probes are dropped.
void Replica::DiscardProbesAfterPause(TimePoint now) {
  const bool paused =
      m_last_tick != TimePoint() && now - m_last_tick > kMaxTickInterval;
  m_last_tick = now;
  if (!paused) return;
  spdlog::warn("membership: event=process_paused");
  m_probes.clear();
}

std::vector<OutgoingDatagram> Replica::ProbeAnew(TimePoint now) {
  m_last_tick = now;
  m_probes.clear();
  std::vector<OutgoingDatagram> out;
  for (int i = 0; i < kProbesAfterPause; ++i) StartProbe(now, &out);
  return out;
}

void Replica::StartProbe(TimePoint now, std::vector<OutgoingDatagram>* out) {
  const MemberRecord* subject = PickProbeSubject();
  if (subject == nullptr) return;
  Datagram ping = MakeDatagram(Datagram::PING);
  ping.set_sequence(++m_sequence);
  // A subject that has restarted may not know this node yet.
  *ping.add_rumours()->mutable_member() = Self();
  if (subject->status() != ALIVE) {
    *ping.add_rumours()->mutable_member() = *subject;
  }
  m_probes[m_sequence] = Probe{.subject = subject->id(),
                               .incarnation = subject->incarnation(),
                               .sent = now};
  out->push_back(AddressedTo(*subject, std::move(ping)));
}

void Replica::EscalateProbes(TimePoint now,
                             std::vector<OutgoingDatagram>* out) {
  for (auto it = m_probes.begin(); it != m_probes.end();) {
    Probe& probe = it->second;
    const MemberRecord* subject = m_members.Find(probe.subject);
    // An earlier process, or the same before it refuted a suspicion.
    if (subject == nullptr || subject->incarnation() != probe.incarnation) {
      it = m_probes.erase(it);
      continue;
    }
    const auto waited = now - probe.sent;
    if (waited >= m_options.probe_interval) {
      spdlog::info(
          "membership: event=probe_failed member={} incarnation={} sequence={}",
          probe.subject, probe.incarnation, it->first);
      ++m_probe_delays.failed;
      Suspect(probe.subject, now);
      it = m_probes.erase(it);
      continue;
    }
    if (waited >= m_options.probe_timeout && !probe.indirect_sent) {
      probe.indirect_sent = true;
      Datagram request = MakeDatagram(Datagram::PING_REQUEST);
      request.set_sequence(it->first);
      request.set_subject(probe.subject);
      request.set_subject_address(subject->control_address());
      for (const auto* peer :
           SampleMembers(m_options.indirect_probes, probe.subject)) {
        out->push_back(AddressedTo(*peer, request));
      }
    }
    ++it;
  }
}

void Replica::Suspect(const std::string& id, TimePoint now) {
  const MemberRecord* member = m_members.Find(id);
  if (member == nullptr || member->status() != ALIVE) return;
  MemberRecord record = *member;
  record.set_status(SUSPECT);
  MergeMember(record, now);
}

void Replica::ExpireSuspects(TimePoint now) {
  std::vector<MemberRecord> expired;
  std::optional<std::set<std::string>> unreachable;
  for (const auto* member : m_members.SuspectedOrDead()) {
    if (member->status() != SUSPECT) continue;
    const TimePoint since = m_members.StatusSince(member->id());
    if (now - since < m_options.suspicion_timeout) continue;
    if (!unreachable) unreachable = UnreachableZones(now);
    if (unreachable->count(member->zone()) == 0) expired.push_back(*member);
  }
  for (auto& member : expired) {
    member.set_status(DEAD);
    MergeMember(member, now);
  }
}

std::set<std::string> Replica::UnreachableZones(TimePoint now) const {
  std::map<std::string, size_t> lost_by_zone;
  for (const auto* member : m_members.SuspectedOrDead()) {
    // Members that died long ago are no sign of a present failure of the zone.
    const TimePoint since = m_members.StatusSince(member->id());
    if (member->status() == DEAD && now - since > kCorrelatedLossWindow)
      continue;
    ++lost_by_zone[member->zone()];
  }
  std::set<std::string> zones;
  for (const auto& [zone, lost] : lost_by_zone) {
    if (zone == m_options.zone || lost < kMinLostMembers) continue;
    const size_t all = lost + m_members.AliveIn(zone).size();
    if (static_cast<double>(lost) >=
        kUnreachableFraction * static_cast<double>(all)) {
      zones.insert(zone);
    }
  }
  return zones;
}

void Replica::OnPing(const Datagram& datagram,
                     std::vector<OutgoingDatagram>* out) {
  const MemberRecord* sender = m_members.Find(datagram.from());
  if (sender == nullptr) {
    ScheduleSync(datagram.from());
    return;
  }
  Datagram ack = MakeDatagram(Datagram::ACK);
  ack.set_sequence(datagram.sequence());
  // If this node has the sender's record as suspected or dead, the ACK carries
  // that record, so that the sender can refute it.
  if (sender->status() != ALIVE) {
    *ack.add_rumours()->mutable_member() = *sender;
  }
  const Digest own = MakeDigest();
  if (own.members_hash() != datagram.digest().members_hash() ||
      own.marks_hash() != datagram.digest().marks_hash() ||
      own.crashes_hash() != datagram.digest().crashes_hash()) {
    AddRecentUpdates(&ack);
  }
  out->push_back(AddressedTo(*sender, std::move(ack)));
}

void Replica::OnPingRequest(const Datagram& datagram,
                            std::vector<OutgoingDatagram>* out) {
  const MemberRecord* subject = m_members.Find(datagram.subject());
  if (subject == nullptr) return;
  if (m_relayed_probes.size() >= kMaxRelayedProbes)
    m_relayed_probes.erase(m_relayed_probes.begin());
  Datagram ping = MakeDatagram(Datagram::PING);
  ping.set_sequence(++m_sequence);
  m_relayed_probes[m_sequence] = {datagram.from(), datagram.sequence()};
  out->push_back(AddressedTo(*subject, std::move(ping)));
}

void Replica::OnAck(const Datagram& datagram, TimePoint now,
                    std::vector<OutgoingDatagram>* out) {
  auto relayed = m_relayed_probes.find(datagram.sequence());
  if (relayed != m_relayed_probes.end()) {
    const MemberRecord* requester = m_members.Find(relayed->second.first);
    if (requester != nullptr) {
      Datagram ack = MakeDatagram(Datagram::ACK);
      ack.set_sequence(relayed->second.second);
      out->push_back(AddressedTo(*requester, std::move(ack)));
    }
    m_relayed_probes.erase(relayed);
    return;
  }
  const auto probe = m_probes.find(datagram.sequence());
  if (probe == m_probes.end()) return;
  const auto round_trip = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - probe->second.sent);
  m_last_acknowledged = now;
  ++m_probe_delays.acknowledged;
  m_probe_delays.max_round_trip =
      std::max(m_probe_delays.max_round_trip, round_trip);
  m_probes.erase(probe);
}

ProbeDelays Replica::TakeProbeDelays() {
  return std::exchange(m_probe_delays, {});
}

void Replica::Refute(const MemberRecord& claim, TimePoint now) {
  MemberRecord self = Self();
  if (self.status() != ALIVE) return;
  // Takes over deregistrations that an earlier incarnation of this node
  // acknowledged.
  for (const auto& leaving : claim.leaving()) AddLeavingInstance(leaving, now);
  self = Self();
  const bool is_newer = claim.incarnation() > self.incarnation();
  const bool is_contradiction =
      claim.incarnation() == self.incarnation() &&
      (claim.status() != ALIVE || claim.version() > self.version());
  if (!is_newer && !is_contradiction) return;
  self.set_incarnation(claim.incarnation() + 1);
  AddChangedServices(self);
  ++m_change_count;
  m_members.Join(self, now);
  QueueMemberUpdate(m_options.id);
}

std::vector<MemberRecord> Replica::LiveMembers() const {
  std::vector<MemberRecord> live;
  for (const auto* member : m_members.Alive()) live.push_back(*member);
  return live;
}

std::vector<MemberRecord> Replica::RoutableMembers(TimePoint now) const {
  const auto unreachable = UnreachableZones(now);
  std::vector<MemberRecord> members = LiveMembers();
  std::erase_if(members, [&](const MemberRecord& member) {
    return unreachable.count(member.zone()) > 0;
  });
  return members;
}

std::vector<MemberRecord> Replica::RoutableMembersOf(
    std::string_view service, const std::set<std::string>& unreachable) const {
  std::vector<MemberRecord> members;
  for (const auto* member : m_members.MembersOf(service)) {
    if (member->status() != ALIVE) continue;
    if (unreachable.count(member->zone()) == 0) members.push_back(*member);
  }
  return members;
}

}  // namespace kumquatmoor
