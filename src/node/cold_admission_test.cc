// Admission for backend servers that are cold or whose zone is evacuated.

#include <catch2/catch.hpp>

#include "kumquatmoor/node/admission.h"
#include "kumquatmoor/node/backend_registry.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow = TimePoint() + seconds(100);

class ColdAdmissionFixture {
 public:
  ColdAdmissionFixture() { admission.SetBackends({Backend(kNow)}, kNow); }

  // A backend server that is cold until a time.
  static LocalBackend Backend(TimePoint until, TimePoint reported_at = kNow) {
    return {.service = "s",
            .version = "v1",
            .instance = "i",
            .address = "127.0.0.1:8000",
            .slots = 10,
            .cold = {.rate = 20, .until = until, .reported_at = reported_at}};
  }
  AdmissionResult Admit(TimePoint now) {
    return admission.Admit(
        {.service = "s", .version = "v1", .deadline = now + seconds(60)}, now);
  }
  static RouteTable Routes(const ZoneSet& evacuated) {
    RouteTable routes;
    routes.zone = "a";
    routes.evacuated_zones = evacuated;
    return routes;
  }

  Admission admission{{.waiting_per_slot = 16}};
};

// Guards against requests that reach a zone's backend servers through nodes
// that do not know of its evacuation yet.
TEST_CASE_METHOD(ColdAdmissionFixture,
                 "An evacuated zone refuses new and queued requests") {
  for (int i = 0; i < 10; ++i) REQUIRE(Admit(kNow).admitted);
  REQUIRE(Admit(kNow).queued);
  admission.SetRoutes(Routes({"b"}), kNow);
  CHECK(admission.TakeDecisions(kNow).empty());
  admission.SetRoutes(Routes({"a", "b"}), kNow);
  const auto decisions = admission.TakeDecisions(kNow);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].result.evacuated);
  CHECK(decisions[0].result.leaving);
  const AdmissionResult refused = Admit(kNow);
  CHECK(refused.evacuated);
  CHECK(refused.leaving);
  // Those that run continue, and a crash meanwhile is one.
  CHECK(admission.TotalInFlight() == 10);
  CHECK_FALSE(admission.IsLeaving("s", "v1"));
}

// Guards against full load on backend servers that became cold during the
// evacuation and have not announced it yet.
TEST_CASE_METHOD(ColdAdmissionFixture,
                 "After an evacuation a backend server is cold until it says") {
  admission.SetRoutes(Routes({"a"}), kNow);
  const TimePoint end = kNow + seconds(30);
  admission.SetRoutes(Routes({}), end);
  CHECK(Admit(end).is_cold);
  CHECK(Admit(end + milliseconds(500)).admitted);
  CHECK_FALSE(Admit(end + milliseconds(500)).warm);
  // What was reported before the end does not count.
  admission.SetBackends({Backend(kNow, end)}, end);
  CHECK_FALSE(Admit(end + milliseconds(501)).warm);
  admission.SetBackends({Backend(kNow, end + milliseconds(1))}, end);
  for (int i = 0; i < 5; ++i) CHECK(Admit(end + milliseconds(501)).warm);
}

// Guards against a queue that is sent at once when slots become free.
TEST_CASE_METHOD(ColdAdmissionFixture,
                 "A cold backend server gets its rate, whatever slots it has") {
  admission.SetBackends({Backend(kNow + seconds(60))}, kNow);
  const AdmissionResult refused = Admit(kNow);
  CHECK(refused.limited);
  CHECK(refused.is_cold);
  CHECK_FALSE(refused.leaving);
  CHECK(refused.wait == milliseconds(50));
  int admitted = 0;
  int queued = 0;
  for (milliseconds at{0}; at < seconds(10); at += milliseconds(5)) {
    const AdmissionResult result = Admit(kNow + at);
    if (result.admitted) ++admitted;
    if (result.queued) ++queued;
    if (result.limited) CHECK(result.wait > milliseconds(0));
  }
  CHECK(admitted == 10);
  CHECK(queued == static_cast<int>(ColdLimit::kMaxWaiting));
}

// Guards against a queue of a warm backend server that is sent to the process
// that replaces it.
TEST_CASE_METHOD(ColdAdmissionFixture,
                 "A lost backend server counts as cold, its queue is refused") {
  for (int i = 0; i < 13; ++i) Admit(kNow);
  CHECK(admission.NoteColdUnknown("s", "v1", kNow + seconds(1)));
  CHECK_FALSE(admission.NoteColdUnknown("s", "v1", kNow + seconds(1)));
  const auto decisions = admission.TakeDecisions(kNow + seconds(1));
  REQUIRE(decisions.size() == 3);
  for (const auto& decision : decisions) {
    CHECK(decision.result.is_cold);
    CHECK(decision.result.wait > milliseconds(0));
  }
  CHECK(admission.TakeDecisions(kNow + seconds(1)).empty());
}

// Guards against a state that other nodes never learn, or that ends without an
// announcement.
TEST_CASE("The member record says which backend servers are cold") {
  BackendRegistry registry;
  registry.SetColdSettings({{"s", {.rate = 20, .start = milliseconds(3'000)}}});
  Announcement announcement{.instance = "i",
                            .service = "s",
                            .version = "v1",
                            .address = "127.0.0.1:8000",
                            .ttl = seconds(100)};
  const auto announce = [&](TimePoint now, milliseconds cold_left) {
    announcement.cold_left = cold_left;
    registry.Announce(announcement, now);
  };
  const auto cold_rate = [&] { return registry.Endpoints()[0].cold_rate(); };
  announce(kNow, milliseconds(0));
  CHECK(registry.UpdateCold(kNow).size() == 1);
  CHECK(cold_rate() == 20);
  CHECK(registry.UpdateCold(kNow + seconds(2)).empty());
  CHECK(registry.UpdateCold(kNow + seconds(3)).size() == 1);
  CHECK(cold_rate() == 0);
  // Only a later end is news.
  announce(kNow + seconds(4), milliseconds(5'000));
  CHECK(registry.UpdateCold(kNow + seconds(4)).size() == 1);
  announce(kNow + seconds(5), milliseconds(4'050));
  CHECK(registry.UpdateCold(kNow + seconds(5)).empty());
  CHECK(registry.UpdateCold(kNow + seconds(10)).size() == 1);
  registry.NoteColdUnknown("127.0.0.1:8000", kNow + seconds(11));
  CHECK(registry.UpdateCold(kNow + seconds(11)).size() == 1);
  CHECK(registry.UpdateCold(kNow + seconds(60)).empty());
  announce(kNow + seconds(60), milliseconds(0));
  CHECK(registry.UpdateCold(kNow + seconds(60)).size() == 1);
  CHECK(cold_rate() == 0);
}

}  // namespace
}  // namespace kumquatmoor
