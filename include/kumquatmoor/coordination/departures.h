#ifndef KUMQUATMOOR_COORDINATION_DEPARTURES_H_
#define KUMQUATMOOR_COORDINATION_DEPARTURES_H_

// Departures on the platform: each node writes which backend server processes
// have told it that they leave, so that it knows them after a restart of all
// nodes. A late announcement of such a process makes it available otherwise.
//
//   std::string key = DepartureKey(node_id);
//   std::string value = FormatDepartures(entry);
//   std::vector<DepartureEntry> entries = ParseDepartures(items);
//
// A node has one key, of which it is the only writer. The functions are pure,
// except that ParseDepartures() logs.

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/coordination/platform.h"

namespace kumquatmoor {

inline constexpr char kDeparturePrefix[] = "leaving/";
// Processes that an entry holds at most, the latest ones.
inline constexpr size_t kMaxDepartures = 16;
// Time after which an entry is removed. Exceeds by far how late an announcement
// may be, and how much the clocks of hosts differ.
inline constexpr std::chrono::seconds kDepartureRetention{120};

struct DepartureEntry {
  std::string member_id;  // Of the node that wrote it.
  std::string zone;
  int64_t written_ms = 0;                // Unix time of the last write.
  std::vector<LeavingInstance> leaving;  // In the order of their departure.
};

std::string DepartureKey(const std::string& member_id);
std::string FormatDepartures(const DepartureEntry& entry);
// Returns the valid entries among `items`. Others are logged and left out.
std::vector<DepartureEntry> ParseDepartures(
    std::span<const PlatformItem> items);

// Appends the process to the entry, unless the entry has it or a later one of
// its instance. Returns true if the entry changed.
bool AddDeparture(const LeavingInstance& leaving, DepartureEntry* entry);
bool HasDeparture(const DepartureEntry& entry, const LeavingInstance& leaving);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_DEPARTURES_H_
