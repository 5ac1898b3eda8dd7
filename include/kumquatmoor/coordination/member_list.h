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
// each on its own. Records may arrive in any order. Not thread-safe.

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

inline constexpr size_t kMemberBuckets = 64;

class MemberList {
 public:
  // Members that left or died are forgotten after this time.
  static constexpr std::chrono::minutes kForgetAfter{60};

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

  // Calls `visit` with each record, by id.
  void ForEach(const std::function<void(const MemberRecord&)>& visit) const;

  // Equal for equal contents.
  uint64_t Hash() const;
  const std::array<uint64_t, kMemberBuckets>& BucketHashes() const {
    return m_buckets;
  }

 private:
  struct Entry {
    MemberRecord record;
    TimePoint status_since;
    uint64_t hash = 0;
  };

  void Rehash(Entry* entry);

  std::map<std::string, Entry, std::less<>> m_entries;
  std::array<uint64_t, kMemberBuckets> m_buckets{};
};

// The join of two records of one member.
MemberRecord JoinRecords(const MemberRecord& a, const MemberRecord& b);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_MEMBER_LIST_H_
