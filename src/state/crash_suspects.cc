// A record holds, for each version of a service, hashes of the instances that
// crashed while they ran the request, and whether the version has responded to
// it. Both join by union, and the latest crash by maximum. A higher generation,
// which Clear() begins, replaces all of a lower one. So records may arrive in
// any order, late or more than once.

#include "kumquatmoor/state/crash_suspects.h"

#include <spdlog/fmt/fmt.h>
#include <xxhash.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace kumquatmoor {
namespace {

// More instances of a version are not stored, as they change nothing.
constexpr int kMaxInstances = static_cast<int>(kCrashesToBlock);
// Versions in a record. A record with more was made by an invalid message.
constexpr int kMaxVersions = 16;
// Of the text that RequestKey returns.
constexpr size_t kKeyLength = 32;

uint64_t HashText(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

uint64_t HashRecord(const CrashRecord& record) {
  return HashText(record.SerializeAsString());
}

bool IsOf(const CrashedVersion& entry, std::string_view service,
          std::string_view version) {
  return entry.service() == service && entry.version() == version;
}

const CrashedVersion* Find(const CrashRecord& record, std::string_view service,
                           std::string_view version) {
  for (const auto& entry : record.versions()) {
    if (IsOf(entry, service, version)) return &entry;
  }
  return nullptr;
}

// The entry of a version, which is added in the order of the entries if the
// record has none.
CrashedVersion* FindOrAdd(CrashRecord* record, const std::string& service,
                          const std::string& version) {
  auto* entries = record->mutable_versions();
  for (auto& entry : *entries) {
    if (IsOf(entry, service, version)) return &entry;
  }
  CrashedVersion* added = entries->Add();
  added->set_service(service);
  added->set_version(version);
  std::sort(entries->begin(), entries->end(),
            [](const CrashedVersion& a, const CrashedVersion& b) {
              return std::tie(a.service(), a.version()) <
                     std::tie(b.service(), b.version());
            });
  for (auto& entry : *entries) {
    if (IsOf(entry, service, version)) return &entry;
  }
  return nullptr;
}

// Keeps the smallest hashes, so that all nodes keep the same ones.
void AddInstances(const CrashedVersion& from, CrashedVersion* to) {
  std::set<uint64_t> instances(to->instances().begin(), to->instances().end());
  instances.insert(from.instances().begin(), from.instances().end());
  to->clear_instances();
  for (const uint64_t instance : instances) {
    if (to->instances_size() == kMaxInstances) break;
    to->add_instances(instance);
  }
}

// The crashes of the versions that have not responded.
uint32_t UnansweredCrashes(const CrashRecord& record) {
  int crashes = 0;
  for (const auto& entry : record.versions()) {
    if (!entry.responded()) crashes += entry.instances_size();
  }
  return static_cast<uint32_t>(crashes);
}

bool HasResponse(const CrashRecord& record) {
  return std::any_of(
      record.versions().begin(), record.versions().end(),
      [](const CrashedVersion& entry) { return entry.responded(); });
}

uint32_t CrashedVersions(const CrashRecord& record) {
  return static_cast<uint32_t>(std::count_if(
      record.versions().begin(), record.versions().end(),
      [](const CrashedVersion& entry) { return entry.instances_size() > 0; }));
}

// True if the request must not run on a version with this entry, which is
// nullptr if the version has neither crashed nor responded.
bool IsBlocked(const CrashRecord& record, const CrashedVersion* entry) {
  if (entry != nullptr && entry->responded()) return false;
  const auto own =
      static_cast<uint32_t>(entry == nullptr ? 0 : entry->instances_size());
  if (HasResponse(record)) return own >= kCrashesToBlock;
  if (UnansweredCrashes(record) < kCrashesToBlock) return false;
  return own > 0 || CrashedVersions(record) >= kVersionsToBlock;
}

}  // namespace

std::string RequestKey(const RequestIdentity& identity) {
  std::string text;
  for (const std::string_view part :
       {identity.host, identity.method, identity.target, identity.caller}) {
    text += std::to_string(part.size());
    text += ' ';
    text += part;
  }
  text += std::to_string(identity.body_bytes);
  text += ' ';
  text += identity.body;
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

bool IsBlockedAnywhere(const CrashRecord& record) {
  return std::any_of(
      record.versions().begin(), record.versions().end(),
      [&](const CrashedVersion& entry) { return IsBlocked(record, &entry); });
}

std::vector<CrashRecord> CrashSuspects::AddCrash(const BackendCrash& crash,
                                                 int64_t unix_ms) {
  std::map<std::string, uint32_t> crashes_by_key;
  uint32_t most = 0;
  for (const auto& key : crash.keys) {
    const CrashRecord record = RecordOf(key);
    const CrashedVersion* entry = Find(record, crash.service, crash.version);
    if (entry != nullptr && entry->responded()) continue;
    crashes_by_key[key] = UnansweredCrashes(record);
    most = std::max(most, crashes_by_key[key]);
  }
  CrashedVersion counted;
  counted.add_instances(HashText(crash.instance));
  std::vector<CrashRecord> changed;
  for (const auto& [key, crashes] : crashes_by_key) {
    if (crashes < most) continue;
    CrashRecord record = RecordOf(key);
    record.set_key(key);
    record.set_crashed_ms(std::max(record.crashed_ms(), unix_ms));
    AddInstances(counted, FindOrAdd(&record, crash.service, crash.version));
    changed.push_back(record);
    Store(std::move(record));
  }
  Truncate();
  return changed;
}

std::vector<CrashRecord> CrashSuspects::AddResponse(const std::string& key,
                                                    std::string_view service,
                                                    std::string_view version) {
  if (!Contains(key)) return {};
  CrashRecord record = RecordOf(key);
  CrashedVersion* entry =
      FindOrAdd(&record, std::string(service), std::string(version));
  if (entry->responded()) return {};
  entry->set_responded(true);
  Store(record);
  return {record};
}

std::vector<CrashRecord> CrashSuspects::Clear(const std::string& key) {
  if (!Contains(key)) return {};
  const CrashRecord before = RecordOf(key);
  CrashRecord record;
  record.set_key(key);
  record.set_generation(before.generation() + 1);
  record.set_crashed_ms(before.crashed_ms());
  Store(record);
  return {record};
}

bool CrashSuspects::Join(const CrashRecord& other) {
  if (other.key().size() != kKeyLength) return false;
  if (other.versions_size() > kMaxVersions) return false;
  const auto found = m_records.find(other.key());
  const bool known = found != m_records.end();
  if (known && other.generation() < found->second.generation()) return false;
  const bool replaces =
      !known || other.generation() > found->second.generation();
  CrashRecord joined;
  joined.set_key(other.key());
  joined.set_generation(other.generation());
  if (!replaces) joined = found->second;
  joined.set_crashed_ms(std::max(joined.crashed_ms(), other.crashed_ms()));
  for (const auto& entry : other.versions()) {
    CrashedVersion* own = FindOrAdd(&joined, entry.service(), entry.version());
    if (entry.responded()) own->set_responded(true);
    AddInstances(entry, own);
  }
  if (known && HashRecord(joined) == HashRecord(found->second)) return false;
  const std::string key = joined.key();
  Store(std::move(joined));
  Truncate();
  return known || Contains(key);
}

bool CrashSuspects::DropExpired(int64_t unix_ms) {
  const int64_t lifetime_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(kLifetime).count();
  bool changed = false;
  for (auto it = m_records.begin(); it != m_records.end();) {
    const auto next = std::next(it);
    // A time of day that is far ahead was wrong at the node that wrote it.
    if (std::abs(unix_ms - it->second.crashed_ms()) > lifetime_ms) {
      Erase(it);
      changed = true;
    }
    it = next;
  }
  return changed;
}

CrashStanding CrashSuspects::StandingOf(const std::string& key,
                                        std::string_view service,
                                        std::string_view version) const {
  const auto found = m_records.find(key);
  if (found == m_records.end()) return {};
  const CrashRecord& record = found->second;
  const CrashedVersion* entry = Find(record, service, version);
  if (entry != nullptr && entry->responded()) return {};
  return {.crashes = UnansweredCrashes(record),
          .blocked = IsBlocked(record, entry)};
}

CrashRecord CrashSuspects::RecordOf(const std::string& key) const {
  const auto found = m_records.find(key);
  return found == m_records.end() ? CrashRecord() : found->second;
}

std::vector<CrashRecord> CrashSuspects::All() const {
  std::vector<CrashRecord> records;
  records.reserve(m_records.size());
  for (const auto& [key, record] : m_records) records.push_back(record);
  return records;
}

size_t CrashSuspects::BlockedCount() const {
  return static_cast<size_t>(std::count_if(
      m_records.begin(), m_records.end(),
      [](const auto& item) { return IsBlockedAnywhere(item.second); }));
}

void CrashSuspects::Store(CrashRecord record) {
  const auto [found, added] = m_records.try_emplace(record.key());
  if (!added) m_hash ^= HashRecord(found->second);
  m_hash ^= HashRecord(record);
  found->second = std::move(record);
}

void CrashSuspects::Erase(Records::iterator record) {
  m_hash ^= HashRecord(record->second);
  m_records.erase(record);
}

// The order is the same on all nodes, so that they keep the same records.
void CrashSuspects::Truncate() {
  if (m_records.size() <= kMaxRecords) return;
  const auto importance = [](const Records::const_iterator& item) {
    const CrashRecord& record = item->second;
    const std::string_view key = record.key();
    return std::make_tuple(IsBlockedAnywhere(record),
                           UnansweredCrashes(record) > 0, record.crashed_ms(),
                           key);
  };
  std::vector<Records::iterator> records;
  for (auto it = m_records.begin(); it != m_records.end(); ++it) {
    records.push_back(it);
  }
  std::sort(records.begin(), records.end(), [&](const auto& a, const auto& b) {
    return importance(a) < importance(b);
  });
  records.resize(records.size() - kMaxRecords);
  for (const auto& record : records) Erase(record);
}

}  // namespace kumquatmoor
