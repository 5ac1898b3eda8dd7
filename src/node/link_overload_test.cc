// Tests requests for large responses from a host whose link carries fewer of
// them than its backend server runs, on a mesh over loopback.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "node/test_mesh.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr double kLinkRate = 1'250'000;  // 10 Mbit/s, in bytes per second.
constexpr size_t kLargeBodyBytes = 90'000;
constexpr milliseconds kObjective{500};
constexpr milliseconds kDeadline{1'500};
constexpr milliseconds kRunTime{40};

struct Result {
  unsigned status = 0;
  size_t bytes = 0;
  milliseconds elapsed{0};
};

// One host that calls, and one whose backend server has large responses
// ("/b/L") and small ones ("/b/other/S").
class LinkOverload {
 public:
  LinkOverload() {
    m_mesh.AddHost({.service = "a"});
    m_mesh.AddHost({.service = "b",
                    .slots = 16,
                    .objective = kObjective,
                    .proxy = {.link_rate = kLinkRate}});
    m_mesh.SetScript(
        "b",
        [this](size_t, const HttpRequest& request)
            -> asio::awaitable<HttpResponse> { return Run(request); });
    m_mesh.Start();
  }

  // Sends `per_second` requests for large responses and 20 for small ones, for
  // 3 s, and waits for the responses.
  void Play(int per_second) {
    m_mesh.Run([this, per_second]() -> asio::awaitable<void> {
      constexpr int kSeconds = 3;
      constexpr int kSmallPerSecond = 20;
      Spawn("/b/L", kSeconds * per_second, milliseconds(1'000) / per_second,
            &large);
      Spawn("/b/other/S", kSeconds * kSmallPerSecond,
            milliseconds(1'000) / kSmallPerSecond, &small);
      while (m_open > 0) {
        co_await Sleep(milliseconds(20));
      }
    });
  }

  size_t LargeRuns() const {
    return static_cast<size_t>(std::count_if(
        m_mesh.Arrivals().begin(), m_mesh.Arrivals().end(),
        [](const auto& arrival) { return arrival.target == "/b/L"; }));
  }

  std::vector<Result> large;
  std::vector<Result> small;

 private:
  asio::awaitable<HttpResponse> Run(HttpRequest request) {
    co_await Sleep(kRunTime);
    HttpResponse response = TestMesh::Response(request, 200);
    if (request.target() == "/b/L") {
      response.body() = std::string(kLargeBodyBytes, 'x');
      response.prepare_payload();
    }
    co_return response;
  }

  asio::awaitable<void> Sleep(milliseconds time) {
    asio::steady_timer timer(m_mesh.Context());
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
  }

  void Spawn(std::string target, int count, milliseconds gap,
             std::vector<Result>* results) {
    ++m_open;
    asio::co_spawn(m_mesh.Context(),
                   SendAll(std::move(target), count, gap, results),
                   asio::detached);
  }

  asio::awaitable<void> SendAll(std::string target, int count, milliseconds gap,
                                std::vector<Result>* results) {
    for (int i = 0; i < count; ++i) {
      ++m_open;
      asio::co_spawn(m_mesh.Context(), Send(target, results), asio::detached);
      co_await Sleep(gap);
    }
    --m_open;
  }

  asio::awaitable<void> Send(std::string target, std::vector<Result>* results) {
    const TimePoint sent = Clock::now();
    const TestMesh::CallOptions call{.target = std::move(target),
                                     .id = "r" + std::to_string(++m_last_id),
                                     .deadline = kDeadline};
    const HttpResponse response = co_await m_mesh.Call(call);
    results->push_back({.status = response.result_int(),
                        .bytes = response.body().size(),
                        .elapsed = std::chrono::duration_cast<milliseconds>(
                            Clock::now() - sent)});
    --m_open;
  }

  TestMesh m_mesh;
  int m_open = 0;
  int m_last_id = 0;
};

size_t CountInTime(const std::vector<Result>& results) {
  return static_cast<size_t>(
      std::count_if(results.begin(), results.end(), [](const Result& result) {
        return result.status == 200 && result.elapsed <= kObjective;
      }));
}

// Guards against requests that run although their responses cannot get through
// the link: the callers wait until their deadline and the bytes are wasted.
TEST_CASE("What the link cannot carry in time is refused at once",
          "[link-overload]") {
  LinkOverload overload;
  // Twice what nine tenths of the link carry, 12.5 responses a second.
  overload.Play(25);
  REQUIRE(overload.large.size() == 75);
  constexpr double kCarried = 3 * 12.5;
  CHECK(static_cast<double>(CountInTime(overload.large)) >= 0.7 * kCarried);
  size_t completed = 0;
  for (const Result& result : overload.large) {
    const bool whole = result.status == 200 && result.bytes == kLargeBodyBytes;
    if (whole) ++completed;
    const bool refused = result.status == 503;
    CHECK((whole || refused));
    if (refused) CHECK(result.elapsed < milliseconds(200));
  }
  // Each response that was made has reached its caller.
  CHECK(overload.LargeRuns() == completed);
}

// Guards against calls that fail because the responses of downloads fill the
// link of their target.
TEST_CASE("Small responses are in time on a link that is full",
          "[link-overload]") {
  LinkOverload overload;
  overload.Play(25);
  REQUIRE(overload.small.size() == 60);
  for (const Result& result : overload.small) {
    CHECK(result.status == 200);
    CHECK(result.elapsed < milliseconds(200));
  }
}

}  // namespace
}  // namespace kumquatmoor
