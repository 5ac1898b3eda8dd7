// Tests the calls that backend servers make while they run requests, on a mesh
// whose called service gets more requests than it can run.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "node/running_requests.h"
#include "node/test_mesh.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// A run at "front" makes two calls to "back", one after the other, and fails if
// one of them does. "back" also gets requests of callers.
class NestedCalls {
 public:
  NestedCalls() {
    m_mesh.AddHost(
        {.service = "front", .slots = 64, .objective = milliseconds(500)});
    m_mesh.AddHost(
        {.service = "back", .slots = 4, .objective = milliseconds(150)});
    m_mesh.SetScript("front", [this](size_t, const HttpRequest& request) {
      return RunFront(request);
    });
    m_mesh.SetScript("back", [this](size_t, const HttpRequest& request) {
      return RunBack(request);
    });
    m_mesh.Start();
  }

  // Sends requests to both services for 3 s, and waits for the responses.
  void Play(milliseconds front_interval, milliseconds back_interval) {
    m_mesh.Run([=, this]() -> asio::awaitable<void> {
      const TimePoint end = Clock::now() + std::chrono::seconds(3);
      Send("/front/1", front_interval, end, &parents);
      Send("/back/1", back_interval, end, &others);
      while (Clock::now() < end || m_open > 0) {
        co_await Sleep(milliseconds(10));
      }
    });
  }

  uint64_t ShedParents() {
    std::string text;
    m_mesh.NodeOf(0).ReadMetrics(
        [&](const CallMetrics& metrics) { text = metrics.ToPrometheus(); });
    m_mesh.Run([&]() -> asio::awaitable<void> {
      while (text.empty()) {
        co_await Sleep(milliseconds(1));
      }
    });
    const std::string name = "\nkumquatmoor_shed_requests_total ";
    return std::stoull(text.substr(text.find(name) + name.size()));
  }

  struct Count {
    int sent = 0;
    int succeeded = 0;
  };
  Count parents;
  Count others;
  Count calls;
  int runs = 0;         // Of parents.
  int failed_runs = 0;  // Of these, those of which a call failed.

 private:
  asio::awaitable<void> Sleep(milliseconds time) {
    asio::steady_timer timer(m_mesh.Context(), time);
    co_await timer.async_wait(asio::use_awaitable);
  }
  asio::awaitable<HttpResponse> RunFront(HttpRequest request) {
    const std::string id(request["Id"]);
    ++runs;
    for (const char* suffix : {"1", "2"}) {
      // GCC 12 destroys temporary arguments of awaited calls twice.
      const TestMesh::CallOptions call{.target = "/back/1",
                                       .id = id + "." + suffix};
      const bool succeeded = co_await Request(call, &calls);
      if (succeeded) continue;
      ++failed_runs;
      co_return TestMesh::Response(request, 500);
    }
    co_return TestMesh::Response(request, 200);
  }
  asio::awaitable<HttpResponse> RunBack(HttpRequest request) {
    co_await Sleep(milliseconds(40));
    co_return TestMesh::Response(request, 200);
  }
  asio::awaitable<bool> Request(TestMesh::CallOptions options, Count* count) {
    ++count->sent;
    ++m_open;
    const HttpResponse response = co_await m_mesh.Call(options);
    --m_open;
    const bool succeeded = response.result_int() == 200;
    count->succeeded += succeeded;
    co_return succeeded;
  }
  void Send(const std::string& target, milliseconds interval, TimePoint end,
            Count* count) {
    asio::co_spawn(
        m_mesh.Context(),
        [=, this]() -> asio::awaitable<void> {
          while (Clock::now() < end) {
            const TestMesh::CallOptions options{
                .target = target, .id = "r" + std::to_string(++m_last_id)};
            asio::co_spawn(m_mesh.Context(), Request(options, count),
                           asio::detached);
            co_await Sleep(interval);
          }
        },
        asio::detached);
  }

  TestMesh m_mesh;
  int m_open = 0;
  int m_last_id = 0;
};

// Guards against requests that fail after they have used their slot, because
// new work goes before the calls that they make.
TEST_CASE("Nested calls are served while new work is refused",
          "[nested-calls]") {
  NestedCalls load;
  load.Play(milliseconds(50), milliseconds(6));
  INFO("parents " << load.parents.succeeded << "/" << load.parents.sent
                  << ", calls " << load.calls.succeeded << "/"
                  << load.calls.sent << ", others " << load.others.succeeded
                  << "/" << load.others.sent);
  CHECK(load.calls.succeeded >= 0.95 * load.calls.sent);
  CHECK(load.others.succeeded < load.others.sent);
}

// Guards against failures of calls that do not reach the admission of the
// requests that make them.
TEST_CASE("New requests are shed once their calls fail", "[nested-calls]") {
  NestedCalls load;
  load.Play(milliseconds(8), milliseconds(200));
  const uint64_t shed = load.ShedParents();
  INFO("parents " << load.parents.succeeded << "/" << load.parents.sent
                  << ", failed runs " << load.failed_runs << "/" << load.runs
                  << ", shed " << shed);
  CHECK(shed > 0);
  CHECK(load.runs + static_cast<int>(shed) <= load.parents.sent);
  CHECK(load.parents.succeeded > 0);
}

// Guards against a call that outlives its parent, or that counts as late while
// its parent is in time.
TEST_CASE("A nested call inherits from the request that runs") {
  const TimePoint now = Clock::now();
  const Call parent{.request_id = "r.1",
                    .route = "p",
                    .priority = 1,
                    .objective = now + milliseconds(300),
                    .deadline = now + milliseconds(900),
                    .organisation = "o",
                    .organisation_priority = 2};
  RunningRequests running(".");
  CHECK(running.FindParent("r.1.1") == nullptr);
  {
    const auto entry = running.Begin(parent);
    const auto again = running.Begin(parent);
    REQUIRE(running.FindParent("r.1.1") != nullptr);
    CHECK(running.FindParent("r.1.1")->route == parent.route);
    CHECK(running.FindParent("r.1") == nullptr);
  }
  CHECK(running.FindParent("r.1.1") == nullptr);
  RunningRequests without_separator("");
  const auto entry = without_separator.Begin(parent);
  CHECK(without_separator.FindParent("r.1") == nullptr);
  Call call{.priority = 2,
            .objective = now + milliseconds(100),
            .deadline = now + milliseconds(1'000)};
  InheritFromParent(parent, &call);
  CHECK(call.is_nested_call);
  CHECK(call.parent_route == "p");
  CHECK(call.priority == 1);
  CHECK(call.organisation == "o");
  CHECK(call.organisation_priority == 2);
  CHECK(call.objective == parent.objective);
  CHECK(call.deadline == parent.deadline);
  CHECK(call.OrganisationForBackend().empty());
}

}  // namespace
}  // namespace kumquatmoor
