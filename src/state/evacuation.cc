// A zone is kept only across a change of the generation. Within a generation
// the store has each of the operators' writes, so that a batch without a zone
// means that they removed its key. A kept zone whose key is written again
// belongs to the batch from then on, and ends with it.

#include "kumquatmoor/state/evacuation.h"

#include <algorithm>

#include "kumquatmoor/state/store_revision.h"

namespace kumquatmoor {

ZoneSet EvacuatedZonesOf(const Batch& batch) {
  return {batch.evacuated_zones().begin(), batch.evacuated_zones().end()};
}

bool ShowsRemoval(const EvacuationRead& read, const Batch& in_force) {
  if (read.revision <= in_force.revision() ||
      GenerationOf(read.revision) != GenerationOf(in_force.revision())) {
    return false;
  }
  return std::any_of(
      in_force.evacuated_zones().begin(), in_force.evacuated_zones().end(),
      [&](const std::string& zone) { return !read.zones.contains(zone); });
}

void EvacuatedZones::OnBatch(const Batch& batch, TimePoint now) {
  const ZoneSet before = At(now);
  const bool is_returned =
      GenerationOf(batch.revision()) > GenerationOf(m_revision);
  m_revision = batch.revision();
  m_zones = EvacuatedZonesOf(batch);
  std::erase_if(m_kept_until, [&](const auto& kept) {
    return kept.second <= now || m_zones.contains(kept.first);
  });
  if (!is_returned) return;
  for (const auto& zone : before) {
    if (!m_zones.contains(zone)) m_kept_until[zone] = now + kKeepTime;
  }
}

ZoneSet EvacuatedZones::At(TimePoint now) const {
  ZoneSet zones = m_zones;
  for (const auto& [zone, until] : m_kept_until) {
    if (now < until) zones.insert(zone);
  }
  return zones;
}

}  // namespace kumquatmoor
