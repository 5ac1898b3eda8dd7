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

// A chain of services with three backend servers each. A run makes two calls to
// the next service and fails if one of them does. The last service sheds most
// requests.
class ChainFixture {
 public:
  // Starts the hosts of these services. The first one is the one that callers
  // send to.
  void Start(const std::vector<std::string>& services) {
    for (size_t i = 0; i < services.size(); ++i) {
      for (int host = 0; host < 3; ++host) {
        mesh.AddHost({.service = services[i],
                      .proxy = {.admission = {.retries = kRetries}}});
        ++m_hosts;
      }
      const std::string next =
          i + 1 < services.size() ? "/" + services[i + 1] + "/1" : "";
      mesh.SetScript(
          services[i], [this, next](size_t host, const HttpRequest& request) {
            return next.empty() ? Shed(request) : CallNext(host, request, next);
          });
    }
    m_target = "/" + services[0] + "/1";
    mesh.Start();
  }

  // Sends requests from all hosts, by a number of callers.
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

  // Checks the budget of a service.
  void CheckBudget(const std::string& service) {
    const Traffic traffic = TrafficOf(mesh, service);
    INFO(service << ": " << traffic.requests.size() << " requests, "
                 << traffic.repeats.size() << " repeats");
    CHECK(traffic.requests.size() >= 300);
    CHECK(WorstExcess(traffic) <= 0);
  }

  TestMesh mesh;
  double shed_rate = 0.55;  // Of the last service.

 private:
  static constexpr size_t kCallers = 12;
  static constexpr milliseconds kRunTime{5};  // Of the last service.
  // The settings of deploy/node.json.template.
  static constexpr RetryGuardOptions kRetries{.ratio = 0.18};

  asio::awaitable<void> RunCaller(size_t caller) {
    while (m_left > 0) {
      --m_left;
      const TestMesh::CallOptions call{
          .host = caller % m_hosts, .target = m_target, .id = NewId("r")};
      co_await mesh.Call(call);
    }
    ++m_done;
  }

  asio::awaitable<HttpResponse> CallNext(size_t host, HttpRequest request,
                                         std::string next) {
    const std::string id(request["Id"]);
    for (int i = 0; i < 2; ++i) {
      const TestMesh::CallOptions call{
          .host = host, .target = next, .id = NewId(id + ".")};
      const HttpResponse response = co_await mesh.Call(call);
      if (response.result_int() != 200) {
        co_return TestMesh::Response(request, 500);
      }
    }
    co_return TestMesh::Response(request, 200);
  }

  asio::awaitable<HttpResponse> Shed(HttpRequest request) {
    asio::steady_timer run(mesh.Context());
    run.expires_after(kRunTime);
    co_await run.async_wait(asio::use_awaitable);
    std::bernoulli_distribution shed(shed_rate);
    const bool refuse = shed(m_rng);
    HttpResponse response = TestMesh::Response(request, refuse ? 503 : 200);
    if (refuse) response.set("Not-Run", "1");
    co_return response;
  }

  std::string NewId(const std::string& prefix) {
    return prefix + std::to_string(m_next_id++);
  }

  size_t m_hosts = 0;
  std::string m_target;
  int m_left = 0;
  size_t m_done = 0;
  int m_next_id = 0;
  std::mt19937_64 m_rng{1};
};

// Guards against retries that multiply over a hop: the calls of a retried run
// were not charged to the retry budget of the service that they go to.
TEST_CASE_METHOD(ChainFixture,
                 "Calls of retried requests stay within the retry budget",
                 "[retry-budget]") {
  SECTION("one hop") {
    Start({"front", "back"});
    SendRequests(1'500);
    CheckBudget("front");
    CheckBudget("back");
  }
  SECTION("three hops") {
    Start({"front", "middle", "inner", "back"});
    SendRequests(3'000);
    CheckBudget("front");
    CheckBudget("middle");
    CheckBudget("inner");
    CheckBudget("back");
  }
}

// Guards against a share of the budget that depends on the number of live
// nodes: a node that has just started, or is cut off, knows only itself.
TEST_CASE_METHOD(ChainFixture,
                 "Nodes that know only themselves keep the retry budget",
                 "[retry-budget]") {
  shed_rate = 0.9;
  Start({"front", "back"});
  // Three quarters of the requests are shed, as their calls fail.
  SendRequests(1'600);
  CheckBudget("front");
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
    mesh.Start();
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
