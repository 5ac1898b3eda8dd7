// Failure detection of Replica. Each probe interval one member is pinged.
// Without an answer in time, others are asked to ping it. Without an answer
// until the interval is over it is suspected, and the suspicion spreads. The
// suspect hears of it with the next datagram it gets and refutes by a higher
// incarnation; if it does not within the suspicion time, it is dead. When half
// of a zone is lost at once, the zone is unreachable: its members stay
// suspects, since declaring each dead would flood the mesh and be undone.

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "kumquatmoor/coordination/replica.h"

namespace kumquatmoor {
namespace {

constexpr size_t kMaxRelayedProbes = 64;
// One probe in this many goes to a member that was lost.
constexpr uint64_t kLostProbePeriod = 8;
// Draws of a member other than this one.
constexpr int kMaxProbeDraws = 16;
// Time between two ticks above which the process counts as paused.
constexpr std::chrono::milliseconds kMaxTickInterval{300};
// A zone is unreachable when this part of its members is lost.
constexpr double kUnreachableFraction = 0.5;
constexpr size_t kMinLostMembers = 2;
// Members that died within this time of each other count as lost together.
constexpr std::chrono::seconds kCorrelatedLossWindow{60};

}  // namespace

// Half of the probes go to the own zone, and one in eight to a member that
// was lost, so that two parts of a mesh find each other again after a cut.
const MemberRecord* Replica::PickProbeSubject() {
  const auto lost = m_members.SuspectedOrDead();
  const bool alone = m_members.Alive().size() <= 1;
  if (!lost.empty() && (alone || m_rng() % kLostProbePeriod == 0)) {
    return lost[m_rng() % lost.size()];
  }
  const auto& near = m_members.AliveIn(m_options.zone);
  const auto& from =
      near.size() > 1 && m_rng() % 2 == 0 ? near : m_members.Alive();
  for (int tries = 0; tries < kMaxProbeDraws; ++tries) {
    const MemberRecord* member = from[m_rng() % from.size()];
    if (member->id() != m_options.id) return member;
  }
  return nullptr;
}

// A process that was paused cannot tell whether answers came in time: its
// probes start anew.
void Replica::DiscardProbesAfterPause(TimePoint now) {
  const bool paused =
      m_last_tick != TimePoint() && now - m_last_tick > kMaxTickInterval;
  m_last_tick = now;
  if (!paused) return;
  spdlog::warn("membership: this process was paused");
  m_probes.clear();
}

void Replica::StartProbe(TimePoint now, std::vector<OutgoingDatagram>* out) {
  const MemberRecord* subject = PickProbeSubject();
  if (subject == nullptr) return;
  Datagram ping = MakeDatagram(Datagram::PING);
  ping.set_sequence(++m_sequence);
  // The subject may have restarted and know nobody.
  *ping.add_rumours()->mutable_member() = Self();
  if (subject->status() != ALIVE) {
    *ping.add_rumours()->mutable_member() = *subject;
  }
  m_probes[m_sequence] = Probe{.subject = subject->id(), .sent = now};
  out->push_back(To(*subject, std::move(ping)));
}

void Replica::EscalateProbes(TimePoint now,
                             std::vector<OutgoingDatagram>* out) {
  for (auto it = m_probes.begin(); it != m_probes.end();) {
    Probe& probe = it->second;
    const auto waited = now - probe.sent;
    if (waited >= m_options.probe_interval) {
      spdlog::info("membership: no answer from {} to probe {}", probe.subject,
                   it->first);
      Suspect(probe.subject, now);
      it = m_probes.erase(it);
      continue;
    }
    if (waited >= m_options.probe_timeout && !probe.indirect_sent) {
      probe.indirect_sent = true;
      const MemberRecord* subject = m_members.Find(probe.subject);
      if (subject == nullptr) continue;
      Datagram request = MakeDatagram(Datagram::PING_REQUEST);
      request.set_sequence(it->first);
      request.set_subject(probe.subject);
      request.set_subject_address(subject->control_address());
      for (const auto* peer :
           SampleMembers(m_options.indirect_probes, probe.subject)) {
        out->push_back(To(*peer, request));
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
    if (now - since < m_options.suspicion) continue;
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
    // Those lost long ago say nothing of their zone today.
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
    RequestSync(datagram.from());
    return;
  }
  Datagram ack = MakeDatagram(Datagram::ACK);
  ack.set_sequence(datagram.sequence());
  // A sender that counts as suspected or dead here learns of it and refutes.
  if (sender->status() != ALIVE) {
    *ack.add_rumours()->mutable_member() = *sender;
  }
  const Digest mine = MakeDigest();
  if (mine.members_hash() != datagram.digest().members_hash() ||
      mine.marks_hash() != datagram.digest().marks_hash()) {
    AddRecentUpdates(&ack);
  }
  out->push_back(To(*sender, std::move(ack)));
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
  out->push_back(To(*subject, std::move(ping)));
}

void Replica::OnAck(const Datagram& datagram,
                    std::vector<OutgoingDatagram>* out) {
  auto relayed = m_relayed_probes.find(datagram.sequence());
  if (relayed != m_relayed_probes.end()) {
    const MemberRecord* asker = m_members.Find(relayed->second.first);
    if (asker != nullptr) {
      Datagram ack = MakeDatagram(Datagram::ACK);
      ack.set_sequence(relayed->second.second);
      out->push_back(To(*asker, std::move(ack)));
    }
    m_relayed_probes.erase(relayed);
    return;
  }
  m_probes.erase(datagram.sequence());
}

void Replica::Refute(const MemberRecord& claim, TimePoint now) {
  MemberRecord self = Self();
  if (self.status() != ALIVE) return;
  // What an earlier incarnation of this node had acknowledged.
  for (const auto& leaving : claim.leaving()) NoteLeaving(leaving, now);
  self = Self();
  const bool newer = claim.incarnation() > self.incarnation();
  const bool against =
      claim.incarnation() == self.incarnation() &&
      (claim.status() != ALIVE || claim.version() > self.version());
  if (!newer && !against) return;
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
