#ifndef KUMQUATMOOR_COORDINATION_MEMBER_LIST_H_
#define KUMQUATMOOR_COORDINATION_MEMBER_LIST_H_

// MemberList: the records of all nodes of the mesh, as a join semilattice (a
// state-based CRDT).
//
//   MemberList members;
//   if (members.Join(record, now)) Disseminate(record);
//   if (members.Hash() != received_hash) Compare(members.BucketHashes());
//
// The join of two records of one member takes the record with the higher
// incarnation. At equal incarnations it takes the endpoints with the higher
// version and, independently of them, the worse status. Records may therefore
// arrive in any order and more than once.
//
// Frequent queries (live members, those of a zone, those with a service, and
// the suspected or dead) are served from indexes, so that they do not scan all
// members. Pointers to records are valid until the member is changed or
// removed. Not thread-safe.

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

// Buckets by the hash of the member's id, for anti-entropy synchronisation.
inline constexpr size_t kMemberBucketCount = 64;

// The highest incarnation that a node can have, in Unix milliseconds: the end
// of the year 9999. It is far below the highest int64_t, because each
// refutation adds 1.
inline constexpr int64_t kHighestIncarnation = 253'402'300'799'999;

// Returns false if no node can have sent `record`, because it was damaged in
// transit.
bool IsPlausible(const MemberRecord& record);

class MemberList {
 public:
  // Time for which the record of a member that died or left is kept as a
  // tombstone.
  static constexpr std::chrono::minutes kTombstoneLifetime{60};

  // Joins `record` into the list. Returns true if that changed something. An
  // unknown member whose status is DEAD or LEFT is not added.
  bool Join(const MemberRecord& record, TimePoint now);
  // Removes the tombstones that are older than kTombstoneLifetime.
  void RemoveExpired(TimePoint now);

  const MemberRecord* Find(std::string_view id) const;
  // The time since which the member has had its status; TimePoint() if it is
  // not known.
  TimePoint StatusSince(std::string_view id) const;
  std::vector<MemberRecord> All() const;
  std::vector<MemberRecord> InBuckets(
      const std::vector<uint32_t>& buckets) const;
  size_t size() const { return m_entries.size(); }

  using Records = std::vector<const MemberRecord*>;
  // The live members of the mesh or of one zone, in no particular order.
  const Records& Alive() const { return m_alive.records; }
  const Records& AliveIn(const std::string& zone) const;
  // Increases whenever the set of live members, or the record of one, changes.
  uint64_t AliveVersion() const { return m_alive_version; }
  // The members whose status is SUSPECT or DEAD.
  Records SuspectedOrDead() const;
  // Zones that have, or had, a member.
  std::vector<std::string> Zones() const;
  // Members with a backend server of `service`, whatever their status.
  Records MembersOf(std::string_view service) const;

  // Equal for lists with equal records.
  uint64_t Hash() const;
  const std::array<uint64_t, kMemberBucketCount>& BucketHashes() const {
    return m_buckets;
  }

 private:
  // Unordered records with insertion and removal in constant time.
  struct UnorderedRecords {
    Records records;
    // Indexes into `records`.
    std::unordered_map<const MemberRecord*, size_t> positions;

    void Add(const MemberRecord* record);
    void Remove(const MemberRecord* record);
  };
  // Orders records by id. An order by address would make the same seed of a
  // simulation run differently each time.
  struct ById {
    bool operator()(const MemberRecord* a, const MemberRecord* b) const {
      return a->id() < b->id();
    }
  };
  using SortedRecords = std::set<const MemberRecord*, ById>;
  struct Entry {
    MemberRecord record;
    TimePoint status_since;
    uint64_t hash = 0;
  };

  void Replace(Entry* entry, const MemberRecord& record, TimePoint now);
  void AddToIndexes(const Entry& entry);
  void RemoveFromIndexes(const Entry& entry);

  std::map<std::string, Entry, std::less<>> m_entries;
  // The hash of a bucket is the exclusive or of its records' hashes.
  std::array<uint64_t, kMemberBucketCount> m_buckets{};
  UnorderedRecords m_alive;
  std::map<std::string, UnorderedRecords> m_alive_by_zone;
  SortedRecords m_suspected_or_dead;
  SortedRecords m_left;
  std::map<std::string, SortedRecords, std::less<>> m_by_service;
  uint64_t m_alive_version = 0;
};

// Limit for the leaving instances in a record. A few are enough: one backend
// server leaves at a time, and late announcements arrive within seconds.
inline constexpr int kMaxLeavingInstances = 4;

// Adds the leaving instances of `from` to those of `to`, and keeps the most
// recently started ones. Returns true if that changed `to`.
bool JoinLeavingInstances(const MemberRecord& from, MemberRecord* to);

// The join of two records of one member. Leaving instances are joined across
// incarnations.
MemberRecord JoinRecords(const MemberRecord& a, const MemberRecord& b);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_MEMBER_LIST_H_
