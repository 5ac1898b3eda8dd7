#include "kumquatmoor/state/evacuation.h"

#include <catch2/catch.hpp>
#include <vector>

#include "kumquatmoor/state/routes.h"
#include "kumquatmoor/state/store_revision.h"

namespace kumquatmoor {
namespace {

using std::chrono::seconds;

const TimePoint kNow = TimePoint() + seconds(100);

Batch BatchOf(uint64_t revision, const std::vector<std::string>& zones) {
  Batch batch;
  batch.set_revision(revision);
  for (const auto& zone : zones) batch.add_evacuated_zones(zone);
  for (const char* name : {"s", "t"}) {
    ServiceConfig* service = batch.add_services();
    service->set_service(name);
    Row* row = service->add_rows();
    row->set_version("*");
    row->set_weight(100);
    row->set_from_weight(100);
  }
  return batch;
}

std::vector<MemberRecord> Members() {
  std::vector<MemberRecord> members;
  for (const char* zone : {"a", "b"}) {
    MemberRecord& member = members.emplace_back();
    member.set_id(zone);
    member.set_zone(zone);
    for (const char* service : {"s", "t"}) {
      Endpoint* endpoint = member.add_endpoints();
      endpoint->set_service(service);
      endpoint->set_version("v1");
    }
  }
  return members;
}

// Guards against requests to a zone whose evacuation the store has lost and the
// operators have not written again yet.
TEST_CASE("An evacuation is kept when the store returns without it") {
  EvacuatedZones zones;
  zones.OnBatch(BatchOf(MakeRevision(1, 9), {"a", "b"}), kNow);
  zones.OnBatch(BatchOf(MakeRevision(2, 3), {}), kNow);
  const TimePoint end = kNow + EvacuatedZones::kKeepTime;
  CHECK(zones.At(end - seconds(1)) == ZoneSet{"a", "b"});
  CHECK(zones.At(end).empty());
  // A zone that is written again ends with the batch that removes it.
  zones.OnBatch(BatchOf(MakeRevision(2, 4), {"a"}), kNow + seconds(1));
  zones.OnBatch(BatchOf(MakeRevision(2, 5), {}), kNow + seconds(2));
  CHECK(zones.At(kNow + seconds(2)) == ZoneSet{"b"});
}

// Within a generation a batch without a zone means a removal.
TEST_CASE("A removed evacuation ends at once without a return of the store") {
  EvacuatedZones zones;
  zones.OnBatch(BatchOf(9, {"a"}), kNow);
  zones.OnBatch(BatchOf(10, {}), kNow);
  CHECK(zones.At(kNow).empty());
}

// Guards against an evacuation that never ends, as a listing without its key
// has no higher revision.
TEST_CASE("A read shows removals up to its revision, of its generation") {
  const Batch in_force = BatchOf(MakeRevision(1, 9), {"a"});
  const auto shows = [&](uint64_t revision, const ZoneSet& zones) {
    return ShowsRemoval({.revision = revision, .zones = zones}, in_force);
  };
  CHECK(shows(MakeRevision(1, 10), {}));
  CHECK(shows(MakeRevision(1, 10), {"b"}));
  CHECK_FALSE(shows(MakeRevision(1, 10), {"a", "b"}));
  CHECK_FALSE(shows(MakeRevision(1, 9), {}));
  CHECK_FALSE(shows(MakeRevision(2, 10), {}));
}

// Guards against services whose members did not change and that keep targets in
// an evacuated zone.
TEST_CASE("Routes leave out evacuated zones, in every service at once") {
  const std::vector<MemberRecord> members = Members();
  const auto zones_of = [](const RouteTable& table, const char* service) {
    ZoneSet zones;
    for (const auto& target : table.Find(service)->versions[0].targets) {
      zones.insert(target.zone);
    }
    return zones;
  };
  const auto before = BuildRoutes(BatchOf(1, {}), {}, members, "b");
  CHECK(zones_of(*before, "s") == ZoneSet{"a", "b"});
  const auto members_of = [&](const std::string&) -> std::vector<MemberRecord> {
    return {members.begin(), members.end()};
  };
  const auto during =
      UpdateRoutes(*before, BatchOf(2, {"a"}), {}, {"s"}, members_of);
  CHECK(zones_of(*during, "s") == ZoneSet{"b"});
  CHECK(zones_of(*during, "t") == ZoneSet{"b"});
  const auto kept =
      UpdateRoutes(*during, BatchOf(3, {}), {}, {}, members_of, {"a"});
  CHECK(zones_of(*kept, "t") == ZoneSet{"b"});
  const auto after = UpdateRoutes(*kept, BatchOf(3, {}), {}, {}, members_of);
  CHECK(zones_of(*after, "t") == ZoneSet{"a", "b"});
  // No zone is left: there is no route rather than one into an evacuated zone.
  CHECK(BuildRoutes(BatchOf(4, {"a", "b"}), {}, members, "b")->Find("s") ==
        nullptr);
}

}  // namespace
}  // namespace kumquatmoor
