#include "kumquatmoor/coordination/member_directory.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/json.hpp>

#include "kumquatmoor/protocol/json_reader.h"

namespace kumquatmoor {

std::string DirectoryKey(const std::string& member_id) {
  return kDirectoryPrefix + member_id;
}

std::string FormatDirectoryEntry(const MemberRecord& member) {
  return boost::json::serialize(
      boost::json::object{{"id", member.id()},
                          {"zone", member.zone()},
                          {"control_address", member.control_address()},
                          {"data_address", member.data_address()},
                          {"incarnation", member.incarnation()}});
}

std::vector<DirectoryEntry> ParseDirectory(
    std::span<const PlatformItem> items) {
  std::vector<DirectoryEntry> entries;
  for (const auto& item : items) {
    if (!item.key.starts_with(kDirectoryPrefix)) continue;
    if (item.entry.version == 0) continue;
    boost::json::error_code error;
    const auto value = boost::json::parse(item.entry.value, error);
    std::vector<std::string> problems;
    JsonReader reader(value, "", &problems);
    DirectoryEntry entry{.key = item.key, .version = item.entry.version};
    entry.member.set_id(reader.RequiredString("id"));
    entry.member.set_zone(reader.RequiredString("zone"));
    entry.member.set_control_address(reader.RequiredAddress("control_address"));
    entry.member.set_data_address(reader.RequiredAddress("data_address"));
    entry.member.set_incarnation(reader.Integer("incarnation", {}));
    if (error || !problems.empty() || !IsPlausible(entry.member)) {
      spdlog::warn("directory: event=entry_ignored key={} problem=\"{}\"",
                   item.key, problems.empty() ? "damaged" : problems.front());
      continue;
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

DirectoryPlan PlanDirectory(std::span<const DirectoryEntry> entries,
                            const MemberList& members, const MemberRecord& self,
                            bool removes_stale) {
  DirectoryPlan plan;
  size_t alive_or_unknown = 0;
  bool listed = false;
  for (const auto& entry : entries) {
    if (entry.member.id() == self.id()) {
      plan.self_version = entry.version;
      listed = entry.member.control_address() == self.control_address();
      continue;
    }
    const MemberRecord* member = members.Find(entry.member.id());
    const bool known = member != nullptr;
    if (entry.member.zone() != self.zone()) continue;
    if (!known || member->status() == ALIVE) ++alive_or_unknown;
    const bool is_dead_or_left =
        known && (member->status() == DEAD || member->status() == LEFT);
    if (is_dead_or_left && removes_stale) plan.remove.push_back(entry);
  }
  plan.write_self = !listed && alive_or_unknown < kDirectoryEntriesPerZone;
  return plan;
}

}  // namespace kumquatmoor
