#ifndef KUMQUATMOOR_COORDINATION_MEMBER_DIRECTORY_H_
#define KUMQUATMOOR_COORDINATION_MEMBER_DIRECTORY_H_

// The member directory: a few nodes of each zone write their addresses to the
// platform, so that a node that starts finds members to join the mesh through.
//
//   auto entries = ParseDirectory(items);
//   DirectoryPlan plan =
//       PlanDirectory(entries, members, self, removes_stale);
//   if (plan.write_self) ...
//   for (const auto& entry : plan.remove) ...
//
// The directory is used only to find members to join through; which members are
// alive follows from the member list. Entries may be stale or may vanish, so
// each plan is computed from the current entries alone. The functions are pure,
// except that ParseDirectory() logs.

#include <span>
#include <string>
#include <vector>

#include "kumquatmoor/coordination/configuration_source.h"
#include "kumquatmoor/coordination/member_list.h"
#include "kumquatmoor/coordination/platform.h"

namespace kumquatmoor {

inline constexpr char kDirectoryPrefix[] = "seeds/";
// Number of entries of live members that each zone maintains.
inline constexpr size_t kDirectoryEntriesPerZone = 3;

// Returns the valid entries among `items`. Entries that cannot be parsed, such
// as those of another writer, are logged and left out.
std::vector<DirectoryEntry> ParseDirectory(std::span<const PlatformItem> items);
std::string DirectoryKey(const std::string& member_id);
std::string FormatDirectoryEntry(const MemberRecord& member);

struct DirectoryPlan {
  bool write_self = false;
  // Version of this node's current entry, 0 if there is none.
  uint64_t self_version = 0;
  // Entries of members of this zone that died or left.
  std::vector<DirectoryEntry> remove;
  // Keys of departures whose retention is over.
  std::vector<std::string> remove_departures;
};

// Plans the writes of the node `self`. `removes_stale` is true on the one node
// of a zone that removes the zone's stale entries.
DirectoryPlan PlanDirectory(std::span<const DirectoryEntry> entries,
                            const MemberList& members, const MemberRecord& self,
                            bool removes_stale);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_MEMBER_DIRECTORY_H_
