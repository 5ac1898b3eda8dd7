// Dissemination. A node puts each update that is new to it into its outbox, and
// the next tick pushes the outbox once to `fanout` random members. With a
// fanout of 3 a push reaches about 95 of 100 nodes. A batch is pushed a second
// time, which leaves out about one in 400. The digests on probes reveal what
// the other nodes lack. An update that does not fit into a datagram
// is not pushed. The datagram then carries only the digest, and the receiver
// pulls the update by a synchronisation.
//
// Batches are in replica_batch.cc, what is known of newer ones in
// replica_behind.cc, other contents under one revision in replica_conflict.cc,
// failure detection in replica_probe.cc and synchronisation in replica_sync.cc.

#include "kumquatmoor/coordination/replica.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

// Limit for the rumours in one datagram, which keeps the datagram with its
// header below 1400 bytes.
constexpr size_t kMaxRumourBytes = 1'100;
constexpr size_t kMaxRecentUpdates = 32;
constexpr size_t kMaxWarnings = 16;
// In a mesh of up to this size, SampleMembers() draws from a list of all
// candidates.
constexpr size_t kMaxMembersToList = 32;

std::string MemberKey(const std::string& id) { return "member/" + id; }

}  // namespace

Replica::Replica(ReplicaOptions options, TimePoint now)
    : m_options(std::move(options)),
      m_rng(m_options.seed),
      m_batch(std::make_shared<const Batch>()),
      m_batch_digest(BatchDigest(*m_batch)),
      m_decision_digest(DecisionDigest(*m_batch)),
      m_next_probe(now) {
  MemberRecord self;
  self.set_id(m_options.id);
  self.set_zone(m_options.zone);
  self.set_control_address(m_options.control_address);
  self.set_data_address(m_options.data_address);
  self.set_incarnation(m_options.started_ms);
  m_members.Join(self, now);
  QueueMemberUpdate(m_options.id);
}

MemberRecord Replica::Self() const { return *m_members.Find(m_options.id); }

Digest Replica::MakeDigest() const {
  Digest digest;
  digest.set_revision(m_batch->revision());
  digest.set_batch_digest(m_batch_digest);
  digest.set_members_hash(m_members.Hash());
  digest.set_marks_hash(m_marks.Hash());
  digest.set_batch_bytes(m_batch_bytes);
  digest.set_crashes_hash(m_crashes.Hash());
  digest.set_config_version(m_batch->config_version());
  digest.set_carried_weight(m_batch->carried_weight());
  digest.set_decision_digest(m_decision_digest);
  digest.set_store_generation(m_store_generation);
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

OutgoingDatagram Replica::AddressedTo(const MemberRecord& member,
                                      Datagram datagram) const {
  return {.address = member.control_address(),
          .zone = member.zone(),
          .datagram = std::move(datagram)};
}

// In a large mesh, repeated draws with rejection avoid copying the member list.
// In a small mesh most draws could be rejected, or too few candidates could
// exist, so the sample comes from a list of all candidates.
MemberList::Records Replica::SampleMembers(size_t count,
                                           std::string_view excluded) {
  const auto& alive = m_members.Alive();
  const auto is_candidate = [&](const MemberRecord* member) {
    return member->id() != m_options.id && member->id() != excluded;
  };
  MemberList::Records picked;
  if (alive.size() <= kMaxMembersToList) {
    MemberList::Records candidates;
    std::copy_if(alive.begin(), alive.end(), std::back_inserter(candidates),
                 is_candidate);
    std::sort(candidates.begin(), candidates.end(),
              [](const MemberRecord* a, const MemberRecord* b) {
                return a->id() < b->id();
              });
    std::sample(candidates.begin(), candidates.end(),
                std::back_inserter(picked), count, m_rng);
    return picked;
  }
  while (picked.size() < count) {
    const MemberRecord* member = alive[m_rng() % alive.size()];
    const bool is_duplicate =
        std::find(picked.begin(), picked.end(), member) != picked.end();
    if (!is_duplicate && is_candidate(member)) picked.push_back(member);
  }
  return picked;
}

std::vector<OutgoingDatagram> Replica::Tick(TimePoint now) {
  std::vector<OutgoingDatagram> out;
  DiscardProbesAfterPause(now);
  ForgetLostPeersAhead(now);
  RepeatBatchPush(now);
  PushUpdates(now, &out);
  EscalateProbes(now, &out);
  ExpireSuspects(now);
  if (now >= m_next_probe) {
    StartProbe(now, &out);
    m_next_probe = now + m_options.probe_interval;
    m_members.RemoveExpired(now);
  }
  return out;
}

void Replica::PushUpdates(TimePoint now, std::vector<OutgoingDatagram>* out) {
  if (m_outbox.empty()) return;
  const auto peers = SampleMembers(m_options.fanout, "");
  if (peers.empty()) return;
  while (!m_outbox.empty()) {
    Datagram datagram = MakeDatagram(Datagram::PUSH);
    size_t bytes = 0;
    while (!m_outbox.empty()) {
      const size_t size = m_outbox.front().rumour.ByteSizeLong();
      if (bytes > 0 && bytes + size > kMaxRumourBytes) break;
      if (size <= kMaxRumourBytes) {
        *datagram.add_rumours() = m_outbox.front().rumour;
        bytes += size;
      }
      if (m_outbox.front().key == kBatchUpdateKey &&
          !m_outbox.front().is_repeat) {
        m_repeat_batch_at = now + kBatchRepeatDelay;
      }
      m_recent.push_front(std::move(m_outbox.front()));
      m_outbox.pop_front();
      if (bytes >= kMaxRumourBytes) break;
    }
    for (const auto* peer : peers) out->push_back(AddressedTo(*peer, datagram));
  }
  if (m_recent.size() > kMaxRecentUpdates) m_recent.resize(kMaxRecentUpdates);
}

std::vector<OutgoingDatagram> Replica::OnDatagram(const Datagram& datagram,
                                                  TimePoint now) {
  std::vector<OutgoingDatagram> out;
  if (datagram.from() == m_options.id) return out;
  for (const auto& rumour : datagram.rumours()) {
    HandleRumour(rumour, datagram, now);
  }
  if (datagram.has_digest()) CompareDigest(datagram, now);
  switch (datagram.kind()) {
    case Datagram::PING:
      OnPing(datagram, &out);
      break;
    case Datagram::PING_REQUEST:
      OnPingRequest(datagram, &out);
      break;
    case Datagram::ACK:
      OnAck(datagram, now, &out);
      break;
    default:
      break;
  }
  return out;
}

void Replica::AddRecentUpdates(Datagram* datagram) const {
  size_t bytes = 0;
  for (const auto& update : m_recent) {
    const size_t size = update.rumour.ByteSizeLong();
    if (bytes + size > kMaxRumourBytes) continue;
    *datagram->add_rumours() = update.rumour;
    bytes += size;
  }
}

void Replica::CompareDigest(const Datagram& datagram, TimePoint now) {
  const Digest& received = datagram.digest();
  NoteStoreGeneration(received.store_generation());
  const Digest own = MakeDigest();
  if (IsNewer(StampOf(received), StampOf(own)) &&
      !IsRefusedBatch(received.batch_digest())) {
    m_newer_batch_bytes = received.batch_bytes();
    NotePeerAhead(datagram.from(), received, now);
    ScheduleSync(datagram.from());
    return;
  }
  ForgetPeerAhead(datagram.from());
  if (StampOf(received) == StampOf(own) &&
      received.batch_digest() != own.batch_digest()) {
    AddWarning(fmt::format("{} holds another batch {}", datagram.from(),
                           FormatRevision(received.revision())));
    NoteConflict(datagram.from(), received.batch_digest(), now);
  } else {
    ForgetConflict(datagram.from());
  }
  if (datagram.kind() == Datagram::PUSH) return;
  if (received.members_hash() == own.members_hash() &&
      received.marks_hash() == own.marks_hash() &&
      received.crashes_hash() == own.crashes_hash()) {
    m_digest_mismatches = 0;
    return;
  }
  if (++m_digest_mismatches < m_options.mismatches_before_sync) return;
  m_digest_mismatches = 0;
  ScheduleSync(datagram.from());
}

void Replica::HandleRumour(const Rumour& rumour, const Datagram& datagram,
                           TimePoint now) {
  switch (rumour.kind_case()) {
    case Rumour::kMember:
      MergeMember(rumour.member(), now);
      break;
    case Rumour::kDelta:
      HandleDelta(rumour.delta(), datagram);
      break;
    case Rumour::kMark:
      JoinMark(rumour.mark());
      break;
    case Rumour::kCrash:
      JoinCrashRecord(rumour.crash());
      break;
    default:
      break;
  }
}

void Replica::MergeMember(const MemberRecord& record, TimePoint now) {
  if (!IsPlausible(record)) return;
  if (record.id() == m_options.id) {
    Refute(record, now);
    return;
  }
  const MemberRecord* current = m_members.Find(record.id());
  const bool known = current != nullptr;
  const MemberStatus before = known ? current->status() : ALIVE;
  if (known) AddChangedServices(*current);
  if (!m_members.Join(record, now)) return;
  ++m_change_count;
  AddChangedServices(record);
  const MemberRecord& member = *m_members.Find(record.id());
  if (!known || member.status() != before) {
    spdlog::info(
        "membership: event=status_changed member={} zone={} status={} "
        "incarnation={}",
        member.id(), member.zone(), MemberStatus_Name(member.status()),
        member.incarnation());
  }
  QueueMemberUpdate(record.id());
}

bool Replica::JoinMark(const MoveMark& mark) {
  const ServiceConfig* config = FindService(*m_batch, mark.service());
  // A mark is obsolete once its service has a later move or is removed.
  const bool is_obsolete = config == nullptr
                               ? mark.move_revision() <= m_batch->revision()
                               : mark.move_revision() < config->move_revision();
  if (is_obsolete || !m_marks.Join(mark)) return false;
  ++m_change_count;
  m_changed_services.insert(mark.service());
  Rumour rumour;
  const MoveKey key{mark.service(), mark.move_revision()};
  *rumour.mutable_mark() = m_marks.MarkOf(key);
  QueueUpdate(std::move(rumour),
              fmt::format("mark/{}/{}", key.service, key.move_revision));
  return true;
}

void Replica::AddCrash(const BackendCrash& crash, int64_t unix_ms) {
  QueueCrashRecords(m_crashes.AddCrash(crash, unix_ms));
}

void Replica::AddResponse(const std::string& key, std::string_view service,
                          std::string_view version) {
  QueueCrashRecords(m_crashes.AddResponse(key, service, version));
}

bool Replica::ClearCrashes(const std::string& key) {
  if (!m_crashes.Contains(key)) return false;
  QueueCrashRecords(m_crashes.Clear(key));
  return true;
}

void Replica::DropExpiredCrashes(int64_t unix_ms) {
  m_crashes.DropExpired(unix_ms);
}

void Replica::JoinCrashRecord(const CrashRecord& record) {
  if (!m_crashes.Join(record)) return;
  QueueCrashRecords({m_crashes.RecordOf(record.key())});
}

void Replica::QueueCrashRecords(std::vector<CrashRecord> records) {
  for (auto& record : records) {
    const std::string key = "crash/" + record.key();
    Rumour rumour;
    *rumour.mutable_crash() = std::move(record);
    QueueUpdate(std::move(rumour), key);
  }
}

void Replica::SetEndpoints(std::span<const Endpoint> endpoints, TimePoint now) {
  MemberRecord self = Self();
  AddChangedServices(self);
  self.set_version(self.version() + 1);
  self.clear_endpoints();
  for (const auto& endpoint : endpoints) *self.add_endpoints() = endpoint;
  AddChangedServices(self);
  m_members.Join(self, now);
  ++m_change_count;
  QueueMemberUpdate(m_options.id);
}

void Replica::AddLeavingInstance(const LeavingInstance& leaving,
                                 TimePoint now) {
  MemberRecord update;
  *update.add_leaving() = leaving;
  MemberRecord self = Self();
  if (!JoinLeavingInstances(update, &self)) return;
  self.set_version(self.version() + 1);
  m_members.Join(self, now);
  QueueMemberUpdate(m_options.id);
}

void Replica::SetPlatformUnavailable(bool unavailable, TimePoint now) {
  MemberRecord self = Self();
  if (self.without_platform() == unavailable) return;
  self.set_without_platform(unavailable);
  self.set_version(self.version() + 1);
  m_members.Join(self, now);
  QueueMemberUpdate(m_options.id);
}

std::vector<OutgoingDatagram> Replica::Leave(TimePoint now) {
  MemberRecord self = Self();
  self.set_status(LEFT);
  AddChangedServices(self);
  ++m_change_count;
  m_members.Join(self, now);
  QueueMemberUpdate(m_options.id);
  std::vector<OutgoingDatagram> out;
  PushUpdates(now, &out);
  return out;
}

void Replica::QueueMemberUpdate(const std::string& id) {
  Rumour rumour;
  *rumour.mutable_member() = *m_members.Find(id);
  QueueUpdate(std::move(rumour), MemberKey(id));
}

void Replica::QueueUpdate(Rumour rumour, std::string key) {
  const auto same_key = [&](const Update& update) { return update.key == key; };
  std::erase_if(m_outbox, same_key);
  std::erase_if(m_recent, same_key);
  m_outbox.push_back({.rumour = std::move(rumour), .key = std::move(key)});
}

std::set<std::string> Replica::PopChangedServices() {
  return std::exchange(m_changed_services, {});
}

void Replica::AddChangedServices(const MemberRecord& member) {
  for (const auto& endpoint : member.endpoints()) {
    m_changed_services.insert(endpoint.service());
  }
}

void Replica::AddWarning(std::string text) {
  if (!m_warnings.empty() && m_warnings.back() == text) return;
  if (m_warnings.size() >= kMaxWarnings) m_warnings.erase(m_warnings.begin());
  m_warnings.push_back(std::move(text));
}

}  // namespace kumquatmoor
