#include "kumquatmoor/node/admission.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow = TimePoint() + seconds(100);

LocalBackend MakeBackend(uint32_t slots) {
  return {.service = "s",
          .version = "v1",
          .address = "127.0.0.1:8000",
          .slots = slots,
          .announced = kNow};
}

AdmissionRequest MakeRequest(const std::string& id, bool idempotent) {
  return {.service = "s",
          .version = "v1",
          .request_id = id,
          .idempotent = idempotent};
}

TEST_CASE("Requests never exceed the slots; the last is reserved for writes") {
  Admission admission;
  admission.SetBackends({MakeBackend(10)});
  for (int i = 0; i < 9; ++i) {
    CHECK(admission.Admit(MakeRequest("", true), kNow).admitted);
  }
  CHECK_FALSE(admission.Admit(MakeRequest("", true), kNow).admitted);
  CHECK(admission.Admit(MakeRequest("w1", false), kNow).admitted);
  const auto refused = admission.Admit(MakeRequest("w2", false), kNow);
  CHECK(refused.reason == "all slots are taken");
  CHECK_FALSE(refused.leaving);
  admission.Release(MakeRequest("", true), true);
  CHECK(admission.Admit(MakeRequest("w2", false), kNow).admitted);
  CHECK(admission.TotalInFlight() == 10);
}

TEST_CASE("A repeated write is refused unless it certainly did not run") {
  Admission admission;
  admission.SetBackends({MakeBackend(10)});
  CHECK(admission.Admit(MakeRequest("a", false), kNow).admitted);
  CHECK(admission.Admit(MakeRequest("a", false), kNow).duplicate);
  admission.Release(MakeRequest("a", false), true);
  CHECK(admission.Admit(MakeRequest("a", false), kNow).duplicate);
  CHECK(admission.Admit(MakeRequest("b", false), kNow).admitted);
  admission.Release(MakeRequest("b", false), false);
  CHECK(admission.Admit(MakeRequest("b", false), kNow).admitted);
  // Idempotent requests may run any number of times.
  CHECK(admission.Admit(MakeRequest("c", true), kNow).admitted);
  CHECK(admission.Admit(MakeRequest("c", true), kNow).admitted);
}

TEST_CASE("Requests to draining, recalled or unknown versions are refused") {
  Admission admission;
  LocalBackend backend = MakeBackend(10);
  admission.SetBackends({backend});
  AdmissionRequest other = MakeRequest("", true);
  other.version = "v2";
  CHECK(admission.Admit(other, kNow).reason == "no such backend server here");
  RouteTable routes;
  routes.recalled.insert({"s", "v1"});
  admission.SetRoutes(routes);
  CHECK(admission.Admit(MakeRequest("", true), kNow).reason ==
        "version was recalled");
  admission.SetRoutes(RouteTable());
  CHECK(admission.Admit(MakeRequest("", true), kNow).admitted);
  backend.draining = true;
  admission.SetBackends({backend});
  const auto refused = admission.Admit(MakeRequest("", true), kNow);
  CHECK(refused.reason == "draining");
  CHECK(refused.leaving);
  // Requests in flight stay counted until they end.
  admission.SetBackends({});
  CHECK(admission.InFlight("s", "v1") == 1);
}

TEST_CASE("A closed version refuses requests until it is opened") {
  Admission admission;
  admission.SetBackends({MakeBackend(10)});
  admission.CloseVersion("s", "v1");
  const auto refused = admission.Admit(MakeRequest("", true), kNow);
  CHECK_FALSE(refused.admitted);
  CHECK(refused.leaving);
  // A renewed announcement does not open the version.
  admission.SetBackends({MakeBackend(10)});
  CHECK_FALSE(admission.Admit(MakeRequest("", true), kNow).admitted);
  admission.OpenVersion("s", "v1");
  CHECK(admission.Admit(MakeRequest("", true), kNow).admitted);
  admission.SetBackends({MakeBackend(10)});
  CHECK(admission.Admit(MakeRequest("", true), kNow).admitted);
}

TEST_CASE("A target enforces its part of the row's limits") {
  Admission admission;
  admission.SetBackends({MakeBackend(100)});
  RouteTable routes;
  ServiceRoutes service;
  service.versions.push_back({.version = "v1",
                              .max_concurrent = 10,
                              .max_rate = 400,
                              .targets = std::vector<Target>(4)});
  routes.services["s"] = std::make_shared<const ServiceRoutes>(service);
  admission.SetRoutes(routes);
  int admitted = 0;
  for (int i = 0; i < 20; ++i) {
    if (admission.Admit(MakeRequest("", true), kNow).admitted) ++admitted;
  }
  // A quarter of 10, rounded up.
  CHECK(admitted == 3);
  for (int i = 0; i < 3; ++i) admission.Release(MakeRequest("", true), true);
  admitted = 0;
  for (int ms = 1; ms <= 5'000; ++ms) {
    const auto now = kNow + std::chrono::milliseconds(ms);
    if (!admission.Admit(MakeRequest("", true), now).admitted) continue;
    ++admitted;
    admission.Release(MakeRequest("", true), true);
  }
  CHECK(admitted == Approx(500).margin(15));
}

TEST_CASE("A backend server is warm only after its cold start") {
  Admission admission;
  admission.SetBackends({MakeBackend(10)});
  CHECK_FALSE(admission.Admit(MakeRequest("", true), kNow).warm);
  CHECK(admission.Admit(MakeRequest("", true), kNow + seconds(3)).warm);
}

// The backend server's limit is 4 requests per second in the tests below.
constexpr BackendNotice kLimitOfFour{.limit = 4};

// Admits and releases requests, one per millisecond, and returns how many were
// admitted.
int CountAdmitted(Admission* admission, TimePoint begin, milliseconds length) {
  int admitted = 0;
  for (milliseconds at{0}; at < length; ++at) {
    const auto result = admission->Admit(MakeRequest("", true), begin + at);
    if (!result.admitted) continue;
    ++admitted;
    admission->Release(MakeRequest("", true), true);
  }
  return admitted;
}

TEST_CASE("A backend server's limit holds from its response to the next one") {
  Admission admission({.waiting_per_slot = 16});
  LocalBackend backend = MakeBackend(10);
  backend.instance = "i-1";
  admission.SetBackends({backend});
  CHECK(admission.OnNotice("s", "v1", "i-1", kLimitOfFour, kNow));
  CHECK_FALSE(admission.OnNotice("s", "v1", "i-1", kLimitOfFour, kNow));
  const auto refused = admission.Admit(MakeRequest("", true), kNow);
  CHECK(refused.limited);
  CHECK_FALSE(refused.leaving);
  CHECK(refused.wait == milliseconds(250));
  CHECK(CountAdmitted(&admission, kNow, seconds(5)) == 19);
  SECTION("a response without a limit withdraws it") {
    CHECK(admission.OnNotice("s", "v1", "i-1", {}, kNow + seconds(5)));
    CHECK(CountAdmitted(&admission, kNow + seconds(5), seconds(1)) == 1'000);
  }
  SECTION("a changed limit does not refill what was used up") {
    admission.OnNotice("s", "v1", "i-1", {.limit = 5}, kNow + seconds(5));
    CHECK(CountAdmitted(&admission, kNow + seconds(5), seconds(1)) <= 5);
  }
  SECTION("another process at the address has no limit") {
    backend.instance = "i-2";
    admission.SetBackends({backend});
    CHECK_FALSE(
        admission.OnNotice("s", "v1", "i-1", kLimitOfFour, kNow + seconds(5)));
    CHECK(CountAdmitted(&admission, kNow + seconds(5), seconds(1)) == 1'000);
  }
}

TEST_CASE("A limit of 0 lets a request through that can withdraw it") {
  Admission admission;
  admission.SetBackends({MakeBackend(10)});
  admission.OnNotice("s", "v1", "", {.limit = 0}, kNow);
  CHECK(CountAdmitted(&admission, kNow, seconds(9)) == 2);
}

// Guards against a queue that exceeds a limit which was named after its
// requests were admitted to it.
TEST_CASE("Requests that wait when a limit is named are refused") {
  Admission admission({.waiting_per_slot = 16});
  admission.SetBackends({MakeBackend(1)});
  AdmissionRequest request = MakeRequest("", true);
  request.deadline = kNow + seconds(60);
  CHECK(admission.Admit(request, kNow).admitted);
  const auto waiting = admission.Admit(request, kNow);
  REQUIRE(waiting.queued);
  admission.OnNotice("s", "v1", "", kLimitOfFour, kNow);
  const auto decisions = admission.TakeDecisions(kNow);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].ticket == waiting.ticket);
  CHECK_FALSE(decisions[0].result.admitted);
  CHECK(decisions[0].result.limited);
  CHECK_FALSE(decisions[0].result.leaving);
}

// Guards against a node that forgets the limit with its restart and fills all
// slots before the first response.
TEST_CASE("A limit that other nodes remember holds until the first response") {
  Admission admission;
  LocalBackend backend = MakeBackend(10);
  backend.instance = "i-1";
  admission.SetBackends({backend});
  admission.OnRememberedNotice("s", "v1", "i-0", kLimitOfFour, kNow);
  CHECK(admission.Admit(MakeRequest("", true), kNow).admitted);
  admission.OnRememberedNotice("s", "v1", "i-1", kLimitOfFour, kNow);
  CHECK(admission.Admit(MakeRequest("", true), kNow).limited);
  admission.OnRememberedNotice("s", "v1", "i-1", {}, kNow);
  CHECK(admission.Admit(MakeRequest("", true), kNow).limited);
  admission.OnNotice("s", "v1", "i-1", {}, kNow);
  admission.OnRememberedNotice("s", "v1", "i-1", kLimitOfFour, kNow);
  CHECK(admission.Admit(MakeRequest("", true), kNow).admitted);
}

TEST_CASE("A process that says that it leaves gets no more requests") {
  Admission admission({.waiting_per_slot = 16});
  LocalBackend backend = MakeBackend(1);
  backend.instance = "i-1";
  admission.SetBackends({backend});
  AdmissionRequest request = MakeRequest("", true);
  request.deadline = kNow + seconds(60);
  CHECK(admission.Admit(request, kNow).admitted);
  REQUIRE(admission.Admit(request, kNow).queued);
  SECTION("in a response") {
    CHECK(admission.OnNotice("s", "v1", "i-1", {.leaving = true}, kNow));
  }
  SECTION("in a response to another node") {
    admission.OnNotice("s", "v1", "i-1", {}, kNow);
    admission.OnRememberedNotice("s", "v1", "i-1", {.leaving = true}, kNow);
  }
  // A response that is read later may be an earlier one.
  admission.OnNotice("s", "v1", "i-1", {}, kNow);
  const auto decisions = admission.TakeDecisions(kNow);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].result.leaving);
  CHECK(admission.Admit(request, kNow).leaving);
  // The next process may have the same instance id.
  backend.announced = kNow + seconds(1);
  admission.SetBackends({backend});
  CHECK_FALSE(admission.Admit(request, kNow).leaving);
}

}  // namespace
}  // namespace kumquatmoor
