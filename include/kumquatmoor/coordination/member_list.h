#ifndef KUMQUATMOOR_COORDINATION_MEMBER_LIST_H_
#define KUMQUATMOOR_COORDINATION_MEMBER_LIST_H_

// MemberList: what this node knows of every node, as a join semilattice.
//
//   MemberList members;
//   if (members.Join(record, now)) Spread(record);
//   if (members.Hash() != theirs) CompareBuckets(members.BucketHashes());
//
// A record with a higher incarnation replaces a lower one. Within an
// incarnation the endpoints with the higher version and the worse status win,
// each on its own. Records may arrive in any order. What is asked often (who
// lives, in a zone, with a service, and who was lost) is indexed, so that it
// does not cost a walk over every member. Pointers to records are valid until
// the member is changed or forgotten. Not thread-safe.

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

inline constexpr size_t kMemberBucketCount = 64;

// The highest incarnation that a node can have, in Unix milliseconds: the end
// of the year 9999. Each refutation adds 1, so there must be room above.
inline constexpr int64_t kHighestIncarnation = 253'402'300'799'999;

// False if no node can have sent `record`: it was damaged on the way.
bool IsPlausible(const MemberRecord& record);

class MemberList {
 public:
  // Members that left or died are forgotten after this time.
  static constexpr std::chrono::minutes kTombstoneLifetime{60};

  // Joins `record` in. True if something changed. A member that is not known
  // and no longer lives is not added.
  bool Join(const MemberRecord& record, TimePoint now);
  void Forget(TimePoint now);

  const MemberRecord* Find(std::string_view id) const;
  // Since when the member has its status.
  TimePoint StatusSince(std::string_view id) const;
  std::vector<MemberRecord> All() const;
  std::vector<MemberRecord> InBuckets(
      const std::vector<uint32_t>& buckets) const;
  size_t size() const { return m_entries.size(); }

  using Records = std::vector<const MemberRecord*>;
  // Those that are alive, in no order; all, or in one zone.
  const Records& Alive() const { return m_alive.records; }
  const Records& AliveIn(const std::string& zone) const;
  // Rises whenever the set of those alive changes.
  uint64_t AliveVersion() const { return m_alive_version; }
  // The suspected and the dead.
  Records SuspectedOrDead() const;
  // Zones that have, or had, a member.
  std::vector<std::string> Zones() const;
  // Members with a backend server of `service`, whatever their status.
  Records MembersOf(std::string_view service) const;

  // Equal for equal contents.
  uint64_t Hash() const;
  const std::array<uint64_t, kMemberBucketCount>& BucketHashes() const {
    return m_buckets;
  }

 private:
  // Records in no order, each of which knows its place.
  struct Group {
    Records records;
    std::unordered_map<const MemberRecord*, size_t> places;

    void Add(const MemberRecord* record);
    void Remove(const MemberRecord* record);
  };
  struct Entry {
    MemberRecord record;
    TimePoint status_since;
    uint64_t hash = 0;
  };

  void Replace(Entry* entry, const MemberRecord& record, TimePoint now);
  void AddToIndexes(const Entry& entry);
  void RemoveFromIndexes(const Entry& entry);

  std::map<std::string, Entry, std::less<>> m_entries;
  std::array<uint64_t, kMemberBucketCount> m_buckets{};
  Group m_alive;
  std::map<std::string, Group> m_alive_by_zone;
  std::set<const MemberRecord*> m_suspected_or_dead;
  std::set<const MemberRecord*> m_left;
  std::map<std::string, std::set<const MemberRecord*>, std::less<>>
      m_by_service;
  uint64_t m_alive_version = 0;
};

// Leaving instances that a record names at most: one backend server leaves at
// a time, and late announcements come within seconds.
inline constexpr int kMaxLeavingInstances = 4;

// Adds the leaving instances of `from` to those of `to`. True if that changed
// something.
bool JoinLeavingInstances(const MemberRecord& from, MemberRecord* to);

// The join of two records of one member. Leaving instances are joined across
// incarnations.
MemberRecord JoinRecords(const MemberRecord& a, const MemberRecord& b);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_MEMBER_LIST_H_
