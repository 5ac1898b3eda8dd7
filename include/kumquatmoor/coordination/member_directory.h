#ifndef KUMQUATMOOR_COORDINATION_MEMBER_DIRECTORY_H_
#define KUMQUATMOOR_COORDINATION_MEMBER_DIRECTORY_H_

// The member directory: a few nodes of each zone that have written their
// address to the platform, so that nodes which start find the mesh.
//
//   auto entries = ParseDirectory(items);
//   DirectoryPlan plan = PlanDirectory(entries, members, self, keeps_order);
//   if (plan.write_self) ...
//   for (const auto& entry : plan.remove) ...
//
// Only rendezvous: who is alive is what the members tell each other. Entries
// may be stale, and may vanish; the plan is made anew from what is there. Pure.

#include <span>
#include <string>
#include <vector>

#include "kumquatmoor/coordination/configuration_source.h"
#include "kumquatmoor/coordination/member_list.h"
#include "kumquatmoor/coordination/platform.h"

namespace kumquatmoor {

inline constexpr char kDirectoryPrefix[] = "seeds/";
// Entries of live members that each zone keeps.
inline constexpr size_t kDirectoryEntriesPerZone = 3;

// Entries that can be read; another writer's are left out.
std::vector<DirectoryEntry> ParseDirectory(std::span<const PlatformItem> items);
std::string DirectoryKey(const std::string& member_id);
std::string FormatDirectoryEntry(const MemberRecord& member);

struct DirectoryPlan {
  bool write_self = false;
  uint64_t self_version = 0;  // Of the entry that is there, 0 if none is.
  std::vector<DirectoryEntry> remove;  // Of members that are gone.
};

// `removes` says whether this node is the one of its zone that tidies up.
DirectoryPlan PlanDirectory(std::span<const DirectoryEntry> entries,
                            const MemberList& members, const MemberRecord& self,
                            bool removes);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_MEMBER_DIRECTORY_H_
