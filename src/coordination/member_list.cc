#include "kumquatmoor/coordination/member_list.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace kumquatmoor {
namespace {

uint64_t HashOf(const MemberRecord& record) {
  const std::string bytes = record.SerializeAsString();
  return XXH3_64bits(bytes.data(), bytes.size());
}

size_t BucketOf(std::string_view id) {
  return XXH3_64bits(id.data(), id.size()) % kMemberBucketCount;
}

bool IsDeadOrLeft(const MemberRecord& record) {
  return record.status() == DEAD || record.status() == LEFT;
}

// Records with equal incarnation and version have equal endpoints, except when
// two processes run under one id by mistake. The comparison of the serialized
// records keeps the order total in that case.
bool HasNewerEndpoints(const MemberRecord& a, const MemberRecord& b) {
  if (a.version() != b.version()) return a.version() > b.version();
  return a.SerializeAsString() > b.SerializeAsString();
}

}  // namespace

bool IsPlausible(const MemberRecord& record) {
  return !record.id().empty() && record.incarnation() >= 0 &&
         record.incarnation() <= kHighestIncarnation &&
         MemberStatus_IsValid(record.status());
}

bool JoinLeavingInstances(const MemberRecord& from, MemberRecord* to) {
  std::set<std::pair<int64_t, std::string>> joined;
  for (const auto* record : {&from, static_cast<const MemberRecord*>(to)}) {
    for (const auto& leaving : record->leaving()) {
      joined.emplace(leaving.started_ms(), leaving.instance());
    }
  }
  while (joined.size() > kMaxLeavingInstances) joined.erase(joined.begin());
  MemberRecord after;
  for (const auto& [started_ms, instance] : joined) {
    LeavingInstance* leaving = after.add_leaving();
    leaving->set_started_ms(started_ms);
    leaving->set_instance(instance);
  }
  MemberRecord before;
  *before.mutable_leaving() = to->leaving();
  *to->mutable_leaving() = after.leaving();
  return before.SerializeAsString() != after.SerializeAsString();
}

MemberRecord JoinRecords(const MemberRecord& a, const MemberRecord& b) {
  MemberRecord left = a;
  MemberRecord right = b;
  JoinLeavingInstances(b, &left);
  JoinLeavingInstances(a, &right);
  if (a.incarnation() != b.incarnation()) {
    return a.incarnation() > b.incarnation() ? left : right;
  }
  const MemberStatus status = std::max(a.status(), b.status());
  left.set_status(status);
  right.set_status(status);
  return HasNewerEndpoints(left, right) ? left : right;
}

void MemberList::UnorderedRecords::Add(const MemberRecord* record) {
  positions[record] = records.size();
  records.push_back(record);
}

void MemberList::UnorderedRecords::Remove(const MemberRecord* record) {
  auto found = positions.find(record);
  if (found == positions.end()) return;
  // The last record moves to the position that becomes free.
  const size_t position = found->second;
  records[position] = records.back();
  positions[records[position]] = position;
  records.pop_back();
  positions.erase(record);
}

bool MemberList::Join(const MemberRecord& record, TimePoint now) {
  if (!IsPlausible(record)) return false;
  auto found = m_entries.find(record.id());
  if (found == m_entries.end()) {
    if (IsDeadOrLeft(record)) return false;
    Entry& entry = m_entries[record.id()];
    entry.status_since = now;
    Replace(&entry, record, now);
    return true;
  }
  Entry& entry = found->second;
  const MemberRecord joined = JoinRecords(entry.record, record);
  if (HashOf(joined) == entry.hash) return false;
  Replace(&entry, joined, now);
  return true;
}

void MemberList::Replace(Entry* entry, const MemberRecord& record,
                         TimePoint now) {
  if (entry->hash != 0) RemoveFromIndexes(*entry);
  if (record.status() != entry->record.status()) entry->status_since = now;
  entry->record = record;
  uint64_t& bucket = m_buckets[BucketOf(record.id())];
  bucket ^= entry->hash;
  entry->hash = HashOf(record);
  bucket ^= entry->hash;
  AddToIndexes(*entry);
}

void MemberList::AddToIndexes(const Entry& entry) {
  const MemberRecord& record = entry.record;
  UnorderedRecords& zone = m_alive_by_zone[record.zone()];
  if (record.status() == ALIVE) {
    m_alive.Add(&record);
    zone.Add(&record);
    ++m_alive_version;
  } else if (record.status() == LEFT) {
    m_left.insert(&record);
  } else {
    m_suspected_or_dead.insert(&record);
  }
  for (const auto& endpoint : record.endpoints()) {
    m_by_service[endpoint.service()].insert(&record);
  }
}

void MemberList::RemoveFromIndexes(const Entry& entry) {
  const MemberRecord& record = entry.record;
  if (record.status() == ALIVE) {
    m_alive.Remove(&record);
    m_alive_by_zone[record.zone()].Remove(&record);
    ++m_alive_version;
  }
  m_suspected_or_dead.erase(&record);
  m_left.erase(&record);
  for (const auto& endpoint : record.endpoints()) {
    auto found = m_by_service.find(endpoint.service());
    if (found == m_by_service.end()) continue;
    found->second.erase(&record);
    if (found->second.empty()) m_by_service.erase(found);
  }
}

void MemberList::RemoveExpired(TimePoint now) {
  std::vector<std::string> expired;
  for (const auto* record : m_suspected_or_dead) {
    const TimePoint since = StatusSince(record->id());
    if (IsDeadOrLeft(*record) && now - since > kTombstoneLifetime) {
      expired.push_back(record->id());
    }
  }
  for (const auto* record : m_left) {
    if (now - StatusSince(record->id()) > kTombstoneLifetime) {
      expired.push_back(record->id());
    }
  }
  for (const auto& id : expired) {
    auto found = m_entries.find(id);
    RemoveFromIndexes(found->second);
    m_buckets[BucketOf(id)] ^= found->second.hash;
    m_entries.erase(found);
  }
}

const MemberList::Records& MemberList::AliveIn(const std::string& zone) const {
  static const Records kNone;
  auto found = m_alive_by_zone.find(zone);
  return found == m_alive_by_zone.end() ? kNone : found->second.records;
}

MemberList::Records MemberList::SuspectedOrDead() const {
  return {m_suspected_or_dead.begin(), m_suspected_or_dead.end()};
}

std::vector<std::string> MemberList::Zones() const {
  std::vector<std::string> zones;
  for (const auto& [zone, group] : m_alive_by_zone) zones.push_back(zone);
  return zones;
}

MemberList::Records MemberList::MembersOf(std::string_view service) const {
  auto found = m_by_service.find(service);
  if (found == m_by_service.end()) return {};
  return {found->second.begin(), found->second.end()};
}

const MemberRecord* MemberList::Find(std::string_view id) const {
  auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second.record;
}

TimePoint MemberList::StatusSince(std::string_view id) const {
  auto found = m_entries.find(id);
  return found == m_entries.end() ? TimePoint() : found->second.status_since;
}

std::vector<MemberRecord> MemberList::All() const {
  std::vector<MemberRecord> records;
  records.reserve(m_entries.size());
  for (const auto& [id, entry] : m_entries) records.push_back(entry.record);
  return records;
}

std::vector<MemberRecord> MemberList::InBuckets(
    const std::vector<uint32_t>& buckets) const {
  std::vector<MemberRecord> records;
  for (const auto& [id, entry] : m_entries) {
    if (std::find(buckets.begin(), buckets.end(), BucketOf(id)) !=
        buckets.end()) {
      records.push_back(entry.record);
    }
  }
  return records;
}

uint64_t MemberList::Hash() const {
  return XXH3_64bits(m_buckets.data(), sizeof(m_buckets));
}

}  // namespace kumquatmoor
