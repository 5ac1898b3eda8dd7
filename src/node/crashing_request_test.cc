// Tests that all nodes together stop sending a request that crashes backend
// servers, and go on serving all others, on a mesh of four nodes over loopback.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "node/test_mesh.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr size_t kHosts = 4;
// The backend server that runs a crashing request ends after this time.
constexpr milliseconds kTimeToCrash{30};
constexpr milliseconds kDownTime{400};
// Crashes that suffice to recognise the request. Later than `kSpreadTime` after
// the last of them, at most kMaxLateArrivals may reach a backend server.
constexpr size_t kCrashesToKnow = 3;
constexpr milliseconds kSpreadTime{500};
constexpr size_t kMaxLateArrivals = 3;

// Sends good requests and one that crashes backend servers, to all hosts in
// turn.
class CrashFixture {
 public:
  CrashFixture() {
    for (size_t i = 0; i < kHosts; ++i) mesh.AddHost({.service = "s"});
    mesh.SetScript("s", [this](size_t host, const HttpRequest& request) {
      return Respond(host, request);
    });
    mesh.Start();
  }

  // Sends for `duration`. `at_half` is called after half of it.
  void SendRequests(milliseconds duration, std::function<void()> at_half = {}) {
    mesh.Run([&]() -> asio::awaitable<void> {
      const TimePoint start = Clock::now();
      const int count = static_cast<int>(duration / kInterval);
      asio::steady_timer timer(mesh.Context());
      for (int i = 0; i < count; ++i) {
        timer.expires_at(start + i * kInterval);
        co_await timer.async_wait(asio::use_awaitable);
        if (i == count / 2 && at_half) at_half();
        if (on_request) on_request(i);
        const bool crashing = i % kCrashingPeriod == 0;
        const std::string target = crashing ? crashing_target : GoodTarget(i);
        if (target.empty()) continue;
        asio::co_spawn(mesh.Context(), SendRequest(i, target), asio::detached);
      }
      timer.expires_after(milliseconds(600));
      co_await timer.async_wait(asio::use_awaitable);
    });
  }

  void ResetCounts() {
    ++m_period;
    good_sent = 0;
    good_served = 0;
  }

  // Arrivals of the crashing request later than kSpreadTime after the third.
  size_t LateArrivals() const {
    std::vector<TimePoint> arrivals;
    for (const auto& arrival : mesh.Arrivals()) {
      if (arrival.target == crashing_target) arrivals.push_back(arrival.at);
    }
    REQUIRE(arrivals.size() >= kCrashesToKnow);
    const TimePoint known =
        arrivals[kCrashesToKnow - 1] + kTimeToCrash + kSpreadTime;
    return static_cast<size_t>(
        std::count_if(arrivals.begin(), arrivals.end(),
                      [&](TimePoint at) { return at > known; }));
  }

  TestMesh mesh;
  std::string crashing_target = "/s/crash";
  // Sent instead of distinct good requests, if not empty.
  std::string popular_target;
  std::function<void(int)> on_request;
  // Backend servers end the connection of each request with such a number, in
  // place of a response. 0: of none.
  int reset_period = 0;
  // Good requests that were sent since the last ResetCounts().
  int good_sent = 0;
  int good_served = 0;

 private:
  static constexpr milliseconds kInterval{10};
  static constexpr int kCrashingPeriod = 5;
  static constexpr milliseconds kRunTime{50};

  std::string GoodTarget(int number) const {
    return popular_target.empty() ? "/s/" + std::to_string(number)
                                  : popular_target;
  }

  int m_period = 0;  // Incremented by ResetCounts().
  int m_responses = 0;

  asio::awaitable<void> SendRequest(int number, std::string target) {
    const TestMesh::CallOptions call{
        .host = static_cast<size_t>(number) % kHosts,
        .target = target,
        .id = "r" + std::to_string(number)};
    const bool good = target != crashing_target;
    if (good) ++good_sent;
    const int period = m_period;
    const HttpResponse response = co_await mesh.Call(call);
    const bool served = response.result_int() == 200;
    if (good && served && period == m_period) ++good_served;
  }

  asio::awaitable<HttpResponse> Respond(size_t host, HttpRequest request) {
    const bool crashing = request.target() == crashing_target;
    asio::steady_timer run(mesh.Context());
    run.expires_after(crashing ? kTimeToCrash : kRunTime);
    co_await run.async_wait(asio::use_awaitable);
    if (crashing) mesh.CrashBackend(host, kDownTime);
    if (reset_period > 0 && ++m_responses % reset_period == 0) {
      throw std::runtime_error("reset");
    }
    co_return TestMesh::Response(request, 200);
  }
};

// Guards against a request that ends one backend server after another, with all
// that they run (incident inc26-crashes).
TEST_CASE_METHOD(CrashFixture,
                 "A request that crashes backend servers is not sent again",
                 "[crashing-request]") {
  SendRequests(milliseconds(3'000), [this] { ResetCounts(); });
  CHECK(LateArrivals() <= kMaxLateArrivals);
  CHECK(good_served == good_sent);
}

TEST_CASE_METHOD(CrashFixture,
                 "A popular request is served after crashes that it was in") {
  crashing_target.clear();
  popular_target = "/s/popular";
  on_request = [this](int number) {
    const int host = number / 30;
    if (number % 30 == 0 && host < 2 * static_cast<int>(kHosts)) {
      mesh.CrashBackend(static_cast<size_t>(host) % kHosts, kDownTime);
    }
  };
  SendRequests(milliseconds(6'000), [this] { ResetCounts(); });
  CHECK(good_sent > 100);
  CHECK(good_served == good_sent);
}

// Guards against requests that are blocked since a backend server resets single
// connections, as it does when it is full.
TEST_CASE_METHOD(CrashFixture, "Connections that end alone are no crashes") {
  crashing_target.clear();
  reset_period = 4;
  SendRequests(milliseconds(1'500));
  CHECK(good_sent > 100);
  CHECK(mesh.Crashes().IsEmpty());
}

// A node that knows nothing of the crashes asks another one's target.
TEST_CASE_METHOD(CrashFixture,
                 "A restarted node does not let a crashing request through",
                 "[crashing-request]") {
  SendRequests(milliseconds(3'000), [this] {
    for (size_t host = 0; host < kHosts; ++host) mesh.RestartNode(host);
  });
  CHECK(LateArrivals() <= kMaxLateArrivals);
}

}  // namespace
}  // namespace kumquatmoor
