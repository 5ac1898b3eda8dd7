#ifndef KUMQUATMOOR_STATE_EVACUATION_H_
#define KUMQUATMOOR_STATE_EVACUATION_H_

// Evacuations: the zones whose backend servers get no requests.
//
//   EvacuatedZones zones;
//   zones.OnBatch(batch, now);  // For each batch that comes into force.
//   auto routes = BuildRoutes(batch, marks, members, zone, zones.At(now));
//
//   if (ShowsRemoval(read, in_force)) batch.set_revision(read.revision);
//
// The operators evacuate a zone by a key in the store; each node follows the
// zones of the batch in force. EvacuatedZones adds those that the store may
// have lost when it came back from an older copy. ShowsRemoval compares a read
// of the store with the batch in force: a listing does not show that a key was
// removed, so its batch need not have a higher revision.
//
// Time is an argument. Not thread-safe.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "control.pb.h"
#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

using ZoneSet = std::set<std::string, std::less<>>;

// The evacuated zones of a batch.
ZoneSet EvacuatedZonesOf(const Batch& batch);

// The evacuations that the store had as of a revision.
struct EvacuationRead {
  uint64_t revision = 0;
  ZoneSet zones;
};

// True if an evacuation of the batch in force was removed before the read. The
// two must be of the same generation of the store.
bool ShowsRemoval(const EvacuationRead& read, const Batch& in_force);

class EvacuatedZones {
 public:
  // For this time a zone stays evacuated after a batch of a later generation
  // came into force that does not evacuate it. The operators write what the
  // store has lost again within this time.
  static constexpr std::chrono::seconds kKeepTime{5};

  // Notes the batch in force.
  void OnBatch(const Batch& batch, TimePoint now);
  // The zones of that batch, and those that are kept.
  ZoneSet At(TimePoint now) const;

 private:
  uint64_t m_revision = 0;
  ZoneSet m_zones;
  std::map<std::string, TimePoint> m_kept_until;  // By zone.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_EVACUATION_H_
