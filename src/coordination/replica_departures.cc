// The departures on the platform, as far as Replica passes them on. A member
// that knows them has read the platform, or has received them from such a
// member: what it passes on is complete as of its own start. A store that comes
// back from an older copy may have lost some, which its generation shows.

#include <algorithm>

#include "kumquatmoor/coordination/replica.h"

namespace kumquatmoor {

void Replica::SetDepartures(std::span<const DepartureEntry> entries,
                            TimePoint now) {
  m_departures.clear();
  for (const auto& entry : entries) {
    MemberRecord departures;
    departures.set_id(entry.member_id);
    for (const auto& leaving : entry.leaving) {
      *departures.add_leaving() = leaving;
    }
    JoinDepartures(departures, now);
  }
}

void Replica::JoinDepartures(const MemberRecord& departures, TimePoint now) {
  MemberRecord& known = m_departures[departures.id()];
  known.set_id(departures.id());
  JoinLeavingInstances(departures, &known);
  if (departures.id() != m_options.id) return;
  for (const auto& leaving : departures.leaving()) {
    AddLeavingInstance(leaving, now);
  }
}

void Replica::AddDepartures(SyncReply* reply) const {
  if (!m_knows_departures) return;
  reply->set_knows_departures(true);
  for (const auto& [id, departures] : m_departures) {
    *reply->add_departures() = departures;
  }
}

void Replica::ReceiveDepartures(const SyncReply& reply, TimePoint now) {
  for (const auto& departures : reply.departures()) {
    JoinDepartures(departures, now);
  }
  m_has_received_departures = true;
}

void Replica::NoteStoreGeneration(uint64_t generation) {
  if (generation > kMaxGeneration) return;
  m_store_generation = std::max(m_store_generation, generation);
}

void Replica::ScheduleAnySync() {
  if (m_sync_peer) return;
  const auto picked = SampleMembers(1, "");
  if (!picked.empty()) ScheduleSync(picked.front()->id());
}

}  // namespace kumquatmoor
