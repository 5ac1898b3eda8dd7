// Dissemination. A node that learns something puts it into its outbox; the next
// tick sends the outbox to `fanout` random members, once. With a fanout of 3
// that reaches about 95 of 100 nodes; the digests on probes find the rest. A
// piece of news that does not fit a datagram is not sent: its digest is, and
// the receiver pulls.
//
// Failure detection. Each probe interval one member is pinged. Without an
// answer in time, others are asked to ping it. Without an answer until the
// interval is over it is suspected, and the suspicion spreads. The suspect
// hears of it with the next datagram it gets and refutes by a higher
// incarnation; if it does not within the suspicion time, it is dead. When half
// of a zone is suspected at once, the zone is unreachable: its members stay
// suspects, since declaring each dead would flood the mesh and be undone.

#include "kumquatmoor/coordination/replica.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

// Rumours in one datagram; with the header it stays below 1400 bytes.
constexpr size_t kRumourBytes = 1'100;
constexpr size_t kRecentNews = 32;
// Time between two ticks above which the process counts as paused.
constexpr std::chrono::milliseconds kLongestTick{300};
constexpr size_t kMaxWarnings = 16;
constexpr size_t kMaxRelayed = 64;
constexpr uint64_t kProbeLostEvery = 8;
// Draws of a member other than this one.
constexpr int kProbeDraws = 16;
// Up to this size a sample is drawn from a list of all others.
constexpr size_t kSmallMesh = 32;
// A zone is unreachable when this part of its members is suspected.
constexpr double kUnreachablePart = 0.5;
constexpr size_t kUnreachableAtLeast = 2;
// Members that died within this time of each other count as lost together.
constexpr std::chrono::seconds kLostTogether{60};

std::string MemberKey(const std::string& id) { return "member/" + id; }

}  // namespace

Replica::Replica(ReplicaOptions options, TimePoint now)
    : m_options(std::move(options)),
      m_rng(m_options.seed),
      m_batch(std::make_shared<const Batch>()),
      m_batch_digest(BatchDigest(*m_batch)),
      m_next_probe(now) {
  MemberRecord self;
  self.set_id(m_options.id);
  self.set_zone(m_options.zone);
  self.set_control_address(m_options.control_address);
  self.set_data_address(m_options.data_address);
  self.set_incarnation(m_options.started_ms);
  m_members.Join(self, now);
  SpreadMember(m_options.id);
}

MemberRecord Replica::Self() const { return *m_members.Find(m_options.id); }

Digest Replica::MakeDigest() const {
  Digest digest;
  digest.set_revision(m_batch->revision());
  digest.set_batch_digest(m_batch_digest);
  digest.set_members_hash(m_members.Hash());
  digest.set_marks_hash(m_marks.Hash());
  return digest;
}

Datagram Replica::MakeDatagram(Datagram::Kind kind) const {
  Datagram datagram;
  datagram.set_kind(kind);
  datagram.set_from(m_options.id);
  datagram.set_zone(m_options.zone);
  datagram.set_incarnation(m_options.started_ms);
  *datagram.mutable_digest() = MakeDigest();
  return datagram;
}

Outgoing Replica::To(const MemberRecord& member, Datagram datagram) const {
  return {.address = member.control_address(),
          .zone = member.zone(),
          .datagram = std::move(datagram)};
}

// A few draws with replacement would repeat members in a small mesh, so draws
// go on until enough different ones are found or all are taken.
MemberList::Records Replica::PickMembers(size_t count,
                                         std::string_view excluded) {
  const auto& alive = m_members.Alive();
  const auto fits = [&](const MemberRecord* member) {
    return member->id() != m_options.id && member->id() != excluded;
  };
  MemberList::Records picked;
  if (alive.size() <= kSmallMesh) {
    MemberList::Records others;
    std::copy_if(alive.begin(), alive.end(), std::back_inserter(others), fits);
    std::sort(others.begin(), others.end(),
              [](const MemberRecord* a, const MemberRecord* b) {
                return a->id() < b->id();
              });
    std::sample(others.begin(), others.end(), std::back_inserter(picked), count,
                m_rng);
    return picked;
  }
  while (picked.size() < count) {
    const MemberRecord* member = alive[m_rng() % alive.size()];
    const bool again =
        std::find(picked.begin(), picked.end(), member) != picked.end();
    if (!again && fits(member)) picked.push_back(member);
  }
  return picked;
}

// Half of the probes go to the own zone, and one in eight to a member that
// was lost, so that two parts of a mesh find each other again after a cut.
const MemberRecord* Replica::PickProbeSubject() {
  const auto lost = m_members.Lost();
  const bool alone = m_members.Alive().size() <= 1;
  if (!lost.empty() && (alone || m_rng() % kProbeLostEvery == 0)) {
    return lost[m_rng() % lost.size()];
  }
  const auto& near = m_members.AliveIn(m_options.zone);
  const auto& from =
      near.size() > 1 && m_rng() % 2 == 0 ? near : m_members.Alive();
  for (int tries = 0; tries < kProbeDraws; ++tries) {
    const MemberRecord* member = from[m_rng() % from.size()];
    if (member->id() != m_options.id) return member;
  }
  return nullptr;
}

std::vector<Outgoing> Replica::Tick(TimePoint now) {
  std::vector<Outgoing> out;
  ForgivePause(now);
  PushNews(&out);
  FollowProbes(now, &out);
  ExpireSuspects(now);
  if (now >= m_next_probe) {
    StartProbe(now, &out);
    m_next_probe = now + m_options.probe_interval;
    m_members.Forget(now);
  }
  return out;
}

// A process that was paused cannot tell whether answers came in time: its
// probes start anew.
void Replica::ForgivePause(TimePoint now) {
  const bool paused =
      m_last_tick != TimePoint() && now - m_last_tick > kLongestTick;
  m_last_tick = now;
  if (!paused) return;
  spdlog::warn("membership: this process was paused");
  m_probes.clear();
}

void Replica::PushNews(std::vector<Outgoing>* out) {
  if (m_outbox.empty()) return;
  const auto peers = PickMembers(m_options.fanout, "");
  if (peers.empty()) return;
  while (!m_outbox.empty()) {
    Datagram datagram = MakeDatagram(Datagram::PUSH);
    size_t bytes = 0;
    while (!m_outbox.empty()) {
      const size_t size = m_outbox.front().rumour.ByteSizeLong();
      if (bytes > 0 && bytes + size > kRumourBytes) break;
      if (size <= kRumourBytes) {
        *datagram.add_rumours() = m_outbox.front().rumour;
        bytes += size;
      }
      m_recent.push_front(std::move(m_outbox.front()));
      m_outbox.pop_front();
      if (bytes >= kRumourBytes) break;
    }
    for (const auto* peer : peers) out->push_back(To(*peer, datagram));
  }
  if (m_recent.size() > kRecentNews) m_recent.resize(kRecentNews);
}

void Replica::StartProbe(TimePoint now, std::vector<Outgoing>* out) {
  const MemberRecord* subject = PickProbeSubject();
  if (subject == nullptr) return;
  Datagram ping = MakeDatagram(Datagram::PING);
  ping.set_sequence(++m_sequence);
  if (subject->status() != ALIVE) {
    *ping.add_rumours()->mutable_member() = *subject;
  }
  m_probes[m_sequence] = Probe{.subject = subject->id(), .sent = now};
  out->push_back(To(*subject, std::move(ping)));
}

void Replica::FollowProbes(TimePoint now, std::vector<Outgoing>* out) {
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
           PickMembers(m_options.indirect_probes, probe.subject)) {
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
  TakeMember(record, now);
}

void Replica::ExpireSuspects(TimePoint now) {
  std::vector<MemberRecord> expired;
  std::optional<std::set<std::string>> unreachable;
  for (const auto* member : m_members.Lost()) {
    if (member->status() != SUSPECT) continue;
    const TimePoint since = m_members.StatusSince(member->id());
    if (now - since < m_options.suspicion) continue;
    if (!unreachable) unreachable = UnreachableZones(now);
    if (unreachable->count(member->zone()) == 0) expired.push_back(*member);
  }
  for (auto& member : expired) {
    member.set_status(DEAD);
    TakeMember(member, now);
  }
}

std::set<std::string> Replica::UnreachableZones(TimePoint now) const {
  std::map<std::string, size_t> lost_by_zone;
  for (const auto* member : m_members.Lost()) {
    // Those lost long ago say nothing of their zone today.
    const TimePoint since = m_members.StatusSince(member->id());
    if (member->status() == DEAD && now - since > kLostTogether) continue;
    ++lost_by_zone[member->zone()];
  }
  std::set<std::string> zones;
  for (const auto& [zone, lost] : lost_by_zone) {
    if (zone == m_options.zone || lost < kUnreachableAtLeast) continue;
    const size_t all = lost + m_members.AliveIn(zone).size();
    if (static_cast<double>(lost) >=
        kUnreachablePart * static_cast<double>(all)) {
      zones.insert(zone);
    }
  }
  return zones;
}

std::vector<Outgoing> Replica::OnDatagram(const Datagram& datagram,
                                          TimePoint now) {
  std::vector<Outgoing> out;
  if (datagram.from() == m_options.id) return out;
  for (const auto& rumour : datagram.rumours()) {
    TakeRumour(rumour, datagram, now);
  }
  if (datagram.has_digest()) CompareDigest(datagram);
  switch (datagram.kind()) {
    case Datagram::PING:
      OnPing(datagram, &out);
      break;
    case Datagram::PING_REQUEST:
      OnPingRequest(datagram, &out);
      break;
    case Datagram::ACK:
      OnAck(datagram, &out);
      break;
    default:
      break;
  }
  return out;
}

void Replica::OnPing(const Datagram& datagram, std::vector<Outgoing>* out) {
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
    AddRecentNews(&ack);
  }
  out->push_back(To(*sender, std::move(ack)));
}

void Replica::AddRecentNews(Datagram* datagram) const {
  size_t bytes = 0;
  for (const auto& news : m_recent) {
    const size_t size = news.rumour.ByteSizeLong();
    if (bytes + size > kRumourBytes) continue;
    *datagram->add_rumours() = news.rumour;
    bytes += size;
  }
}

void Replica::OnPingRequest(const Datagram& datagram,
                            std::vector<Outgoing>* out) {
  const MemberRecord* subject = m_members.Find(datagram.subject());
  if (subject == nullptr) return;
  if (m_relayed.size() >= kMaxRelayed) m_relayed.erase(m_relayed.begin());
  Datagram ping = MakeDatagram(Datagram::PING);
  ping.set_sequence(++m_sequence);
  m_relayed[m_sequence] = {datagram.from(), datagram.sequence()};
  out->push_back(To(*subject, std::move(ping)));
}

void Replica::OnAck(const Datagram& datagram, std::vector<Outgoing>* out) {
  auto relayed = m_relayed.find(datagram.sequence());
  if (relayed != m_relayed.end()) {
    const MemberRecord* asker = m_members.Find(relayed->second.first);
    if (asker != nullptr) {
      Datagram ack = MakeDatagram(Datagram::ACK);
      ack.set_sequence(relayed->second.second);
      out->push_back(To(*asker, std::move(ack)));
    }
    m_relayed.erase(relayed);
    return;
  }
  m_probes.erase(datagram.sequence());
}

void Replica::CompareDigest(const Datagram& datagram) {
  const Digest& theirs = datagram.digest();
  const Digest mine = MakeDigest();
  if (theirs.revision() > mine.revision()) {
    RequestSync(datagram.from());
    return;
  }
  if (theirs.revision() == mine.revision() &&
      theirs.batch_digest() != mine.batch_digest()) {
    Warn(fmt::format("{} holds another batch {}", datagram.from(),
                     theirs.revision()));
  }
  if (datagram.kind() == Datagram::PUSH) return;
  if (theirs.members_hash() == mine.members_hash() &&
      theirs.marks_hash() == mine.marks_hash()) {
    m_mismatches = 0;
    return;
  }
  if (++m_mismatches < m_options.mismatches_before_sync) return;
  m_mismatches = 0;
  RequestSync(datagram.from());
}

void Replica::TakeRumour(const Rumour& rumour, const Datagram& from,
                         TimePoint now) {
  switch (rumour.kind_case()) {
    case Rumour::kMember:
      TakeMember(rumour.member(), now);
      break;
    case Rumour::kDelta:
      TakeDelta(rumour.delta(), from);
      break;
    case Rumour::kMark:
      JoinMark(rumour.mark());
      break;
    default:
      break;
  }
}

void Replica::TakeMember(const MemberRecord& record, TimePoint now) {
  if (record.id() == m_options.id) {
    Refute(record, now);
    return;
  }
  const MemberRecord* held = m_members.Find(record.id());
  const bool known = held != nullptr;
  const MemberStatus before = known ? held->status() : ALIVE;
  if (known) NoteChangedServices(*held);
  if (!m_members.Join(record, now)) return;
  ++m_change_count;
  NoteChangedServices(record);
  const MemberRecord& member = *m_members.Find(record.id());
  if (!known || member.status() != before) {
    spdlog::info("membership: {} in {} is {}", member.id(), member.zone(),
                 MemberStatus_Name(member.status()));
  }
  SpreadMember(record.id());
}

void Replica::Refute(const MemberRecord& claim, TimePoint now) {
  MemberRecord self = Self();
  if (self.status() != ALIVE) return;
  const bool newer = claim.incarnation() > self.incarnation();
  const bool against =
      claim.incarnation() == self.incarnation() &&
      (claim.status() != ALIVE || claim.version() > self.version());
  if (!newer && !against) return;
  self.set_incarnation(claim.incarnation() + 1);
  NoteChangedServices(self);
  ++m_change_count;
  m_members.Join(self, now);
  SpreadMember(m_options.id);
}

void Replica::TakeDelta(const BatchDelta& delta, const Datagram& from) {
  if (delta.revision() <= m_batch->revision()) return;
  auto batch = ApplyDelta(*m_batch, delta);
  if (!batch || !CheckBatch(*batch).empty()) {
    RequestSync(from.from());
    return;
  }
  ApplyBatch(std::move(*batch));
}

OfferOutcome Replica::Offer(const Batch& batch) {
  if (batch.revision() < m_batch->revision()) return OfferOutcome::kOld;
  if (batch.revision() == m_batch->revision()) {
    if (BatchDigest(batch) == m_batch_digest) return OfferOutcome::kOld;
    Warn(fmt::format("was offered another batch {}", batch.revision()));
    return OfferOutcome::kConflict;
  }
  const auto problems = CheckBatch(batch);
  if (!problems.empty()) {
    Warn(fmt::format("refused batch {}: {}", batch.revision(),
                     problems.front()));
    return OfferOutcome::kInvalid;
  }
  ApplyBatch(batch);
  return OfferOutcome::kApplied;
}

void Replica::ApplyBatch(Batch batch) {
  Rumour rumour;
  *rumour.mutable_delta() = MakeDelta(*m_batch, batch);
  for (const auto& service : rumour.delta().changed()) {
    m_changed_services.insert(service.service());
  }
  m_changed_services.insert(rumour.delta().removed().begin(),
                            rumour.delta().removed().end());
  m_batch = std::make_shared<const Batch>(std::move(batch));
  m_batch_digest = BatchDigest(*m_batch);
  m_marks.Prune(*m_batch);
  ++m_change_count;
  Spread(std::move(rumour), "batch");
}

bool Replica::JoinMark(const MoveMark& mark) {
  const ServiceConfig* config = FindService(*m_batch, mark.service());
  const bool replaced = config == nullptr
                            ? mark.move_revision() <= m_batch->revision()
                            : mark.move_revision() < config->move_revision();
  if (replaced || !m_marks.Join(mark)) return false;
  ++m_change_count;
  m_changed_services.insert(mark.service());
  Rumour rumour;
  const MoveKey key{mark.service(), mark.move_revision()};
  *rumour.mutable_mark() = m_marks.MarkOf(key);
  Spread(std::move(rumour),
         fmt::format("mark/{}/{}", key.service, key.move_revision));
  return true;
}

void Replica::SetEndpoints(std::span<const Endpoint> endpoints, TimePoint now) {
  MemberRecord self = Self();
  NoteChangedServices(self);
  self.set_version(self.version() + 1);
  self.clear_endpoints();
  for (const auto& endpoint : endpoints) *self.add_endpoints() = endpoint;
  NoteChangedServices(self);
  m_members.Join(self, now);
  ++m_change_count;
  SpreadMember(m_options.id);
}

std::vector<Outgoing> Replica::Leave(TimePoint now) {
  MemberRecord self = Self();
  self.set_status(LEFT);
  NoteChangedServices(self);
  ++m_change_count;
  m_members.Join(self, now);
  SpreadMember(m_options.id);
  std::vector<Outgoing> out;
  PushNews(&out);
  return out;
}

void Replica::SpreadMember(const std::string& id) {
  Rumour rumour;
  *rumour.mutable_member() = *m_members.Find(id);
  Spread(std::move(rumour), MemberKey(id));
}

void Replica::Spread(Rumour rumour, std::string key) {
  const auto same_key = [&](const News& news) { return news.key == key; };
  std::erase_if(m_outbox, same_key);
  std::erase_if(m_recent, same_key);
  m_outbox.push_back({.rumour = std::move(rumour), .key = std::move(key)});
}

void Replica::RequestSync(const std::string& id) {
  if (m_members.Find(id) != nullptr) m_sync_peer = id;
}

std::optional<SyncPeer> Replica::TakeSyncPeer() {
  if (!m_sync_peer) return std::nullopt;
  const MemberRecord* member = m_members.Find(*m_sync_peer);
  m_sync_peer.reset();
  if (member == nullptr) return std::nullopt;
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

SyncReply Replica::AnswerSync(const SyncRequest& request, TimePoint now) {
  for (const auto& member : request.members()) TakeMember(member, now);
  for (const auto& mark : request.marks()) JoinMark(mark);
  SyncReply reply;
  if (m_batch->revision() > request.have_revision()) {
    *reply.mutable_batch() = *m_batch;
  }
  for (auto& mark : m_marks.All()) *reply.add_marks() = std::move(mark);
  const auto& mine = m_members.BucketHashes();
  std::vector<uint32_t> differing;
  for (uint32_t i = 0; i < kMemberBuckets; ++i) {
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

std::optional<SyncRequest> Replica::TakeSync(const SyncReply& reply,
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
    TakeMember(member, now);
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

std::set<std::string> Replica::TakeChangedServices() {
  return std::exchange(m_changed_services, {});
}

void Replica::NoteChangedServices(const MemberRecord& member) {
  for (const auto& endpoint : member.endpoints()) {
    m_changed_services.insert(endpoint.service());
  }
}

void Replica::Warn(std::string text) {
  if (!m_warnings.empty() && m_warnings.back() == text) return;
  if (m_warnings.size() >= kMaxWarnings) m_warnings.erase(m_warnings.begin());
  m_warnings.push_back(std::move(text));
}

}  // namespace kumquatmoor
