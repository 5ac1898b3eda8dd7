#include "kumquatmoor/coordination/member_list.h"

#include <xxhash.h>

#include <algorithm>

namespace kumquatmoor {
namespace {

uint64_t HashOf(const MemberRecord& record) {
  const std::string bytes = record.SerializeAsString();
  return XXH3_64bits(bytes.data(), bytes.size());
}

size_t BucketOf(std::string_view id) {
  return XXH3_64bits(id.data(), id.size()) % kMemberBuckets;
}

bool IsGone(const MemberRecord& record) {
  return record.status() == DEAD || record.status() == LEFT;
}

// Equal versions of one incarnation carry equal endpoints, except when two
// processes run under one id by mistake; the order then still is total.
bool HasNewerEndpoints(const MemberRecord& a, const MemberRecord& b) {
  if (a.version() != b.version()) return a.version() > b.version();
  return a.SerializeAsString() > b.SerializeAsString();
}

}  // namespace

MemberRecord JoinRecords(const MemberRecord& a, const MemberRecord& b) {
  if (a.incarnation() != b.incarnation()) {
    return a.incarnation() > b.incarnation() ? a : b;
  }
  const MemberStatus status = std::max(a.status(), b.status());
  MemberRecord left = a;
  MemberRecord right = b;
  left.set_status(status);
  right.set_status(status);
  return HasNewerEndpoints(left, right) ? left : right;
}

bool MemberList::Join(const MemberRecord& record, TimePoint now) {
  if (record.id().empty()) return false;
  auto found = m_entries.find(record.id());
  if (found == m_entries.end()) {
    if (IsGone(record)) return false;
    Entry& entry = m_entries[record.id()];
    entry.record = record;
    entry.status_since = now;
    Rehash(&entry);
    return true;
  }
  Entry& entry = found->second;
  MemberRecord joined = JoinRecords(entry.record, record);
  if (HashOf(joined) == entry.hash) return false;
  if (joined.status() != entry.record.status()) entry.status_since = now;
  entry.record = std::move(joined);
  Rehash(&entry);
  return true;
}

void MemberList::Forget(TimePoint now) {
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    const Entry& entry = it->second;
    if (IsGone(entry.record) && now - entry.status_since > kForgetAfter) {
      m_buckets[BucketOf(it->first)] ^= entry.hash;
      it = m_entries.erase(it);
    } else {
      ++it;
    }
  }
}

void MemberList::Rehash(Entry* entry) {
  uint64_t& bucket = m_buckets[BucketOf(entry->record.id())];
  bucket ^= entry->hash;
  entry->hash = HashOf(entry->record);
  bucket ^= entry->hash;
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

void MemberList::ForEach(
    const std::function<void(const MemberRecord&)>& visit) const {
  for (const auto& [id, entry] : m_entries) visit(entry.record);
}

uint64_t MemberList::Hash() const {
  return XXH3_64bits(m_buckets.data(), sizeof(m_buckets));
}

}  // namespace kumquatmoor
