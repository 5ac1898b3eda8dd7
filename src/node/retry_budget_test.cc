// Tests that all nodes together keep the retry budget of a service, on a mesh
// in which the backend servers of one service call another one.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "node/test_mesh.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The budget of a service: in any window, the arrivals beyond the first of each
// request are at most this part of its requests, plus a constant. The requests
// are counted in the same window, the one before it or the one half a window
// before it, whichever has the most.
constexpr double kBudgetRatio = 0.2;
constexpr double kBudgetExtra = 64;
constexpr seconds kBudgetWindow{10};

// The requests for one service and the arrivals beyond the first of each. Calls
// that are made while a retry runs count as arrivals beyond the first.
struct Traffic {
  std::vector<TimePoint> requests;
  std::vector<TimePoint> repeats;
};

size_t CountFrom(const std::vector<TimePoint>& times, TimePoint start) {
  return static_cast<size_t>(
      std::count_if(times.begin(), times.end(), [&](TimePoint time) {
        return time >= start && time < start + kBudgetWindow;
      }));
}

// The largest number of repeats above the budget in any window.
double WorstExcess(const Traffic& traffic) {
  double worst = -kBudgetExtra;
  for (const TimePoint start : traffic.repeats) {
    const size_t requests =
        std::max({CountFrom(traffic.requests, start),
                  CountFrom(traffic.requests, start - kBudgetWindow),
                  CountFrom(traffic.requests, start - kBudgetWindow / 2)});
    const double allowed =
        kBudgetRatio * static_cast<double>(requests) + kBudgetExtra;
    const auto repeats = static_cast<double>(CountFrom(traffic.repeats, start));
    worst = std::max(worst, repeats - allowed);
  }
  return worst;
}

std::string ParentOf(const std::string& id) {
  const size_t end = id.rfind('.');
  return end == std::string::npos ? "" : id.substr(0, end);
}

// Sorts the arrivals at the backend servers of `service`. The requests are the
// distinct ids, without the calls of repeated runs.
Traffic TrafficOf(const TestMesh& mesh, const std::string& service) {
  Traffic traffic;
  std::set<std::string> seen;
  std::set<std::string> repeated;
  for (const auto& arrival : mesh.Arrivals()) {
    const bool again = !seen.insert(arrival.id).second;
    const bool call_of_repeat = repeated.count(ParentOf(arrival.id)) > 0;
    if (again || call_of_repeat) repeated.insert(arrival.id);
    if (arrival.service != service) continue;
    auto& times = again || call_of_repeat ? traffic.repeats : traffic.requests;
    times.push_back(arrival.at);
  }
  return traffic;
}

// Three backend servers of "front", each run of which makes two calls to
// "back", and three of "back", which shed most requests.
class AmplificationFixture {
 public:
  AmplificationFixture() {
    for (const char* service :
         {"front", "front", "front", "back", "back", "back"}) {
      mesh.AddHost(
          {.service = service, .proxy = {.retry_budget = kRetryBudget}});
    }
    mesh.SetScript("front", [this](size_t host, const HttpRequest& request) {
      return RunFront(host, request);
    });
    mesh.SetScript("back", [this](size_t /*host*/, const HttpRequest& request) {
      return RunBack(request);
    });
  }

  // Sends `count` requests to "front" from all hosts, by a number of callers.
  void SendRequests(int count) {
    m_left = count;
    mesh.Run([this]() -> asio::awaitable<void> {
      for (size_t i = 0; i < kCallers; ++i) {
        asio::co_spawn(mesh.Context(), RunCaller(i), asio::detached);
      }
      asio::steady_timer timer(mesh.Context());
      while (m_done < kCallers) {
        timer.expires_after(milliseconds(5));
        co_await timer.async_wait(asio::use_awaitable);
      }
    });
  }

  TestMesh mesh;
  double shed_rate = 0.55;  // Of "back".

 private:
  static constexpr size_t kCallers = 12;
  static constexpr size_t kHosts = 6;
  // The settings of deploy/node.json.template.
  static constexpr RetryBudgetOptions kRetryBudget{.ratio = 0.1,
                                                   .reserve = kBudgetExtra};

  asio::awaitable<void> RunCaller(size_t caller) {
    while (m_left > 0) {
      --m_left;
      const TestMesh::CallOptions call{
          .host = caller % kHosts, .target = "/front/1", .id = NewId("r")};
      co_await mesh.Call(call);
    }
    ++m_done;
  }

  asio::awaitable<HttpResponse> RunFront(size_t host, HttpRequest request) {
    const std::string id(request["Id"]);
    for (int i = 0; i < 2; ++i) {
      const TestMesh::CallOptions call{
          .host = host, .target = "/back/1", .id = NewId(id + ".")};
      const HttpResponse response = co_await mesh.Call(call);
      if (response.result_int() != 200) {
        co_return TestMesh::Response(request, 500);
      }
    }
    co_return TestMesh::Response(request, 200);
  }

  asio::awaitable<HttpResponse> RunBack(HttpRequest request) {
    std::bernoulli_distribution shed(shed_rate);
    const bool refuse = shed(m_rng);
    HttpResponse response = TestMesh::Response(request, refuse ? 503 : 200);
    if (refuse) response.set("Not-Run", "1");
    co_return response;
  }

  std::string NewId(const std::string& prefix) {
    return prefix + std::to_string(m_next_id++);
  }

  int m_left = 0;
  size_t m_done = 0;
  int m_next_id = 0;
  std::mt19937_64 m_rng{1};
};

// Guards against retries that multiply over a hop: the calls of a retried run
// were not charged to the retry budget of the service that they go to.
TEST_CASE_METHOD(AmplificationFixture,
                 "Calls of retried requests stay within the retry budget",
                 "[.retry-amplification]") {
  mesh.Start(6);
  SendRequests(1'500);
  const Traffic front = TrafficOf(mesh, "front");
  const Traffic back = TrafficOf(mesh, "back");
  INFO("front: " << front.requests.size() << " requests, "
                 << front.repeats.size()
                 << " repeats; back: " << back.requests.size() << " requests, "
                 << back.repeats.size() << " repeats");
  CHECK(front.requests.size() >= 1'000);
  CHECK(WorstExcess(front) <= 0);
  CHECK(WorstExcess(back) <= 0);
}

// Guards against a share of the budget that depends on the number of live
// nodes: a node that has just started, or is cut off, knows only itself.
TEST_CASE_METHOD(AmplificationFixture,
                 "Nodes that know only themselves keep the retry budget",
                 "[.retry-host-count]") {
  shed_rate = 0.9;
  mesh.Start(1);
  SendRequests(400);
  const Traffic front = TrafficOf(mesh, "front");
  INFO("front: " << front.requests.size() << " requests, "
                 << front.repeats.size() << " repeats");
  CHECK(front.requests.size() >= 300);
  CHECK(WorstExcess(front) <= 0);
}

// Guards against a caller that is told that its request has not run because the
// last of several nodes refused it.
TEST_CASE(
    "A refusal by a node does not replace the response of another target") {
  // The order of the two targets is random.
  for (int round = 0; round < 10; ++round) {
    TestMesh mesh;
    mesh.AddHost({.service = "s"});
    mesh.AddHost({.service = "s"});
    mesh.SetScript(
        "s",
        [](size_t /*host*/,
           const HttpRequest& request) -> asio::awaitable<HttpResponse> {
          co_return TestMesh::Response(request, 500);
        });
    mesh.Start(2);
    mesh.NodeOf(1).StartDrain([] {});
    HttpResponse response;
    mesh.Run([&]() -> asio::awaitable<void> {
      const TestMesh::CallOptions call{.target = "/s/1", .id = "r1"};
      response = co_await mesh.Call(call);
    });
    REQUIRE(mesh.Arrivals().size() == 1);
    CHECK(response.result_int() == 500);
    CHECK(response["Signed"] == "yes");
  }
}

}  // namespace
}  // namespace kumquatmoor
