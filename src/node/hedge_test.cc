// Hedged requests over a mesh of real nodes.

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <cstddef>
#include <map>
#include <string>

#include "node/test_mesh.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kRunTime{20};
constexpr milliseconds kStallTime{800};

// One host that calls, and three of a service, of which some requests stall.
class HedgeFixture {
 public:
  explicit HedgeFixture(double hedge_percent = 20) {
    mesh.AddHost({.service = "a", .proxy = {.hedge_percent = hedge_percent}});
    for (int i = 0; i < 3; ++i) mesh.AddHost({.service = "s"});
    mesh.SetScript(
        "s",
        [this](size_t, const HttpRequest& request)
            -> asio::awaitable<HttpResponse> { return Respond(request); });
    mesh.Start();
  }
  // Scripts refer to the mesh. A stalled one still runs when its request has
  // been served by another target.
  ~HedgeFixture() {
    mesh.Run([this]() -> asio::awaitable<void> {
      asio::steady_timer timer(mesh.Context());
      timer.expires_after(kStallTime + kRunTime);
      co_await timer.async_wait(asio::use_awaitable);
    });
  }
  HedgeFixture(const HedgeFixture&) = delete;
  HedgeFixture& operator=(const HedgeFixture&) = delete;

  // Sends requests one after the other, and returns the longest time of one.
  milliseconds CallMany(int count) {
    milliseconds longest{0};
    mesh.Run([&]() -> asio::awaitable<void> {
      for (int i = 0; i < count; ++i) {
        const TestMesh::CallOptions call{.target = "/s/1",
                                         .id = std::to_string(++m_last_id),
                                         .deadline = milliseconds(2'000)};
        const TimePoint begin = Clock::now();
        const HttpResponse response = co_await mesh.Call(call);
        const auto time =
            std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
        longest = std::max(longest, time);
        if (response.result_int() == 200) ++served;
      }
    });
    return longest;
  }

  // Requests that arrived with this id.
  std::ptrdiff_t ArrivalsOf(const std::string& id) const {
    return std::count_if(mesh.Arrivals().begin(), mesh.Arrivals().end(),
                         [&](const auto& arrival) { return arrival.id == id; });
  }

  TestMesh mesh;
  int served = 0;
  int stalls = 0;  // First attempts that stall from now on.

 private:
  asio::awaitable<HttpResponse> Respond(HttpRequest request) {
    const bool stalls_now =
        stalls > 0 && ArrivalsOf(std::string(request["Id"])) == 1;
    if (stalls_now) --stalls;
    asio::steady_timer run(mesh.Context());
    run.expires_after(stalls_now ? kStallTime : kRunTime);
    co_await run.async_wait(asio::use_awaitable);
    co_return TestMesh::Response(request, 200);
  }

  int m_last_id = 0;
};

// Guards against one stalled target that makes its requests late, and against
// two exchanges that disturb each other on the caller's connection: the calls
// after a hedged one use the same.
TEST_CASE_METHOD(HedgeFixture, "A stalled request is served by another target",
                 "[hedge]") {
  CallMany(80);
  REQUIRE(served == 80);
  stalls = 2;
  CHECK(CallMany(20) < kStallTime);
  CHECK(served == 100);
  CHECK(stalls == 0);
  CHECK(mesh.Arrivals().size() >= 102);
  // At most a fifth more, and what ten requests have saved at first.
  CHECK(mesh.Arrivals().size() <= 120);
}

// Guards against extra load where all targets are slow.
TEST_CASE_METHOD(HedgeFixture, "The budget bounds the hedged requests",
                 "[hedge]") {
  CallMany(60);
  const size_t before = mesh.Arrivals().size();
  stalls = 30;
  const int served_before = served;
  CallMany(30);
  CHECK(served == served_before + 30);
  // Ten were saved, and each request earns a fifth.
  CHECK(mesh.Arrivals().size() - before <= 30 + 10 + 6);
}

// Guards against a change of behaviour where the setting is absent.
TEST_CASE("Without the setting no request is hedged", "[hedge]") {
  HedgeFixture fixture(0);
  fixture.CallMany(60);
  fixture.stalls = 1;
  CHECK(fixture.CallMany(1) >= kStallTime);
  CHECK(fixture.mesh.Arrivals().size() == 61);
}

}  // namespace
}  // namespace kumquatmoor
