// Tests backend servers that say how long work takes on their hosts.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "kumquatmoor/node/admission.h"
#include "node/test_mesh.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

const TimePoint kNow = TimePoint() + std::chrono::seconds(100);

AdmissionRequest Request(bool may_hand_back, bool is_nested_call = false) {
  return {.service = "s",
          .version = "v",
          .route = "r",
          .objective = kNow + milliseconds(800),
          .deadline = kNow + milliseconds(900),
          .is_nested_call = is_nested_call,
          .may_hand_back = may_hand_back};
}

Admission MakeAdmission() {
  Admission admission({.waiting_per_slot = 16});
  admission.SetBackends(
      {{.service = "s", .version = "v", .instance = "i", .slots = 1}});
  return admission;
}

// Guards against run times that are learned on a slow host and expected of a
// fast one, and against a report of an earlier process.
TEST_CASE("Expected run times follow the speed that the host reports") {
  Admission admission = MakeAdmission();
  const auto run = [&](milliseconds at_usual_speed) {
    const AdmissionResult result = admission.Admit(Request(false), kNow);
    REQUIRE(result.admitted);
    admission.Release(Request(false), true, result.usual_run_time,
                      at_usual_speed);
    return result.run_time;
  };
  run(milliseconds(40));
  CHECK(run(milliseconds(40)) == milliseconds(40));
  admission.OnServerLoad("s", "v", "old", {.run_time_percent = 900}, kNow);
  CHECK(run(milliseconds(40)) == milliseconds(40));
  admission.OnServerLoad("s", "v", "i", {.run_time_percent = 250}, kNow);
  CHECK(run(milliseconds(40)) == milliseconds(100));
  admission.OnServerLoad("s", "v", "i", {}, kNow);
  CHECK(run(milliseconds(40)) == milliseconds(40));
}

// Guards against hand-backs to callers that do not expect them, and for
// services whose backend servers do not report their speed.
TEST_CASE("A request is handed back if it would wait or the host is slow") {
  Admission admission = MakeAdmission();
  CHECK(admission.Admit(Request(true), kNow).admitted);
  CHECK(admission.Admit(Request(true), kNow).queued);
  admission.OnServerLoad("s", "v", "i", {.run_time_percent = 100}, kNow);
  const AdmissionResult busy = admission.Admit(Request(true), kNow);
  REQUIRE(busy.handed_back);
  CHECK(*busy.handed_back == busy.wait + busy.run_time);
  CHECK_FALSE(busy.leaving);
  CHECK(admission.Admit(Request(false), kNow).queued);
  Admission slow = MakeAdmission();
  slow.OnServerLoad("s", "v", "i", {.run_time_percent = 160}, kNow);
  CHECK(slow.Admit(Request(true), kNow).handed_back == milliseconds(80));
  CHECK(slow.Admit(Request(false), kNow).admitted);
}

// Guards against shedding calls, whose parents hold a slot, and requests of
// routes that make no calls.
TEST_CASE("New requests are shed while the calls of their route fail") {
  Admission admission = MakeAdmission();
  for (int i = 0; i < 100; ++i) {
    admission.OnNestedCallEnded("r", true, kNow);
  }
  const auto count_shed = [&] {
    int shed = 0;
    for (int i = 0; i < 100; ++i) {
      const AdmissionResult result = admission.Admit(Request(false), kNow);
      shed += result.shed;
      if (result.admitted) admission.Release(Request(false), true);
      if (result.queued) admission.CancelQueued(Request(false), result.ticket);
    }
    return shed;
  };
  // A request that finds a free slot takes it from no other.
  CHECK(count_shed() == 0);
  REQUIRE(admission.Admit(Request(false), kNow).admitted);
  CHECK(count_shed() == 75);
  AdmissionRequest other = Request(false);
  other.route = "other";
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(admission.Admit(Request(false, true), kNow).shed);
    CHECK_FALSE(admission.Admit(other, kNow).shed);
  }
}

// Guards against requests that run on a host that is slow for the moment while
// others are free.
TEST_CASE("Requests avoid a host that is slow at the moment", "[hand-back]") {
  TestMesh mesh;
  for (int i = 0; i < 4; ++i) mesh.AddHost({.service = "s", .slots = 2});
  constexpr size_t kSlowHost = 2;
  mesh.SetScript(
      "s",
      [&](size_t host,
          const HttpRequest& request) -> asio::awaitable<HttpResponse> {
        const bool slow = host == kSlowHost;
        asio::steady_timer timer(mesh.Context(), milliseconds(slow ? 25 : 10));
        co_await timer.async_wait(asio::use_awaitable);
        HttpResponse response = TestMesh::Response(request, 200);
        response.set("Server-Load", slow ? "1,0,2,250" : "1,0,2,100");
        co_return response;
      });
  mesh.Start();
  constexpr int kRequests = 100;
  int served = 0;
  mesh.Run([&]() -> asio::awaitable<void> {
    for (int i = 0; i < kRequests; ++i) {
      const TestMesh::CallOptions call{.host = static_cast<size_t>(i) % 4,
                                       .target = "/s/1",
                                       .id = "r" + std::to_string(i)};
      const HttpResponse response = co_await mesh.Call(call);
      served += response.result_int() == 200;
      CHECK(response["Kumquatmoor-Handed-Back"].empty());
    }
  });
  const auto slow_runs = std::count_if(
      mesh.Arrivals().begin(), mesh.Arrivals().end(),
      [](const auto& arrival) { return arrival.host == kSlowHost; });
  CHECK(served == kRequests);
  CHECK(mesh.Arrivals().size() == kRequests);
  // One request in each 250 ms may find out whether the host is still slow.
  CHECK(slow_runs < kRequests / 8);
}

// Guards against requests that no target takes while all would let them wait.
TEST_CASE("Busy targets serve requests that they handed back", "[hand-back]") {
  TestMesh mesh;
  for (int i = 0; i < 3; ++i) mesh.AddHost({.service = "s", .slots = 1});
  mesh.SetScript(
      "s",
      [&](size_t, const HttpRequest& request) -> asio::awaitable<HttpResponse> {
        asio::steady_timer timer(mesh.Context(), milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
        HttpResponse response = TestMesh::Response(request, 200);
        response.set("Server-Load", "1,0,1,100");
        co_return response;
      });
  mesh.Start();
  constexpr int kCallers = 9;
  constexpr int kRequests = 10;  // Of each caller.
  int served = 0;
  int done = 0;
  mesh.Run([&]() -> asio::awaitable<void> {
    for (int caller = 0; caller < kCallers; ++caller) {
      asio::co_spawn(
          mesh.Context(),
          [&, caller]() -> asio::awaitable<void> {
            for (int i = 0; i < kRequests; ++i) {
              const TestMesh::CallOptions call{
                  .host = static_cast<size_t>(caller) % 3,
                  .target = "/s/1",
                  .id = "r" + std::to_string(caller * kRequests + i)};
              const HttpResponse response = co_await mesh.Call(call);
              served += response.result_int() == 200;
            }
            ++done;
          },
          asio::detached);
    }
    asio::steady_timer timer(mesh.Context());
    while (done < kCallers) {
      timer.expires_after(milliseconds(5));
      co_await timer.async_wait(asio::use_awaitable);
    }
  });
  CHECK(served == kCallers * kRequests);
}

}  // namespace
}  // namespace kumquatmoor
