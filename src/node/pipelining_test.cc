// Tests several requests in flight on one connection of a caller, through a
// front node and the nodes beside two backend servers.

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatmoor/transport/endpoint_address.h"
#include "node/test_mesh.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr size_t kFront = 0;

// A request whose id is the last part of its target.
std::string Get(const std::string& target, int left_ms = 5'000,
                const std::string& fields = "") {
  return fmt::format(
      "GET {} HTTP/1.1\r\nHost: h\r\nId: {}\r\nLeft: {}\r\n{}\r\n", target,
      target.substr(target.rfind('/') + 1), left_ms, fields);
}

class PipeliningFixture {
 public:
  struct Received {
    unsigned status = 0;  // 0: the connection ended.
    std::string id;
    bool keep_alive = false;
  };

  PipeliningFixture() {
    const ProxyOptions options{.caller_grace = milliseconds(100),
                               .drain_timeout = milliseconds(2'000)};
    mesh.AddHost({.service = "own", .proxy = options});
    const ProxyOptions with_link{.link_rate = 8e6};
    mesh.AddHost({.service = "s", .slots = 64, .proxy = with_link});
    mesh.AddHost({.service = "s", .slots = 64, .proxy = with_link});
    mesh.SetScript("s", [this](size_t, const HttpRequest& request) {
      return Respond(request);
    });
    mesh.Start();
  }

  asio::awaitable<void> Sleep(milliseconds time) {
    asio::steady_timer timer(mesh.Context());
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
  }
  // A test must not end while a backend server runs a request: the coroutine
  // refers to the mesh.
  asio::awaitable<void> AwaitEndOfRuns() { co_await Sleep(m_longest_run); }
  asio::awaitable<void> Send(std::string bytes) {
    if (!caller.socket().is_open()) {
      co_await caller.async_connect(*TcpEndpoint(mesh.CallerAddress(kFront)),
                                    asio::use_awaitable);
    }
    co_await asio::async_write(caller, asio::buffer(bytes),
                               asio::use_awaitable);
  }
  asio::awaitable<Received> Receive() {
    HttpResponse response;
    beast::error_code error;
    co_await http::async_read(caller, m_buffer, response,
                              asio::redirect_error(asio::use_awaitable, error));
    Received received;
    if (!error) {
      received.status = response.result_int();
      received.id = std::string(response["Id"]);
      received.keep_alive = response.keep_alive();
    }
    co_return received;
  }
  // Receives the next response. GCC 12 does not support temporary aggregates in
  // expressions with co_await.
  asio::awaitable<void> Expect(unsigned status, std::string_view id) {
    const Received received = co_await Receive();
    CHECK(received.status == status);
    CHECK(received.id == id);
    m_keeps_open = received.keep_alive;
  }
  // Whether the last response that was received leaves the connection open.
  bool KeepsOpen() const { return m_keeps_open; }
  size_t Arrived(const std::string& id) const {
    return std::count_if(
        mesh.Arrivals().begin(), mesh.Arrivals().end(),
        [&](const TestMesh::Arrival& arrival) { return arrival.id == id; });
  }
  // Requests that the nodes beside the backend servers run.
  bool IsAnyRunning() {
    const std::string none = "local_requests=0";
    return mesh.NodeOf(1).DescribePending().find(none) == std::string::npos ||
           mesh.NodeOf(2).DescribePending().find(none) == std::string::npos;
  }

  TestMesh mesh;
  beast::tcp_stream caller{mesh.Context()};
  std::map<std::string, milliseconds> run_times;  // By id; else 1 ms.
  std::map<std::string, size_t> bytes;            // By id; else 0.

 private:
  asio::awaitable<HttpResponse> Respond(const HttpRequest& request) {
    const std::string id(request["Id"]);
    const milliseconds run_time =
        run_times.contains(id) ? run_times[id] : milliseconds(1);
    m_longest_run = std::max(m_longest_run, run_time);
    co_await Sleep(run_time);
    HttpResponse response = TestMesh::Response(request, 200);
    response.body() = std::string(bytes[id], 'x');
    response.prepare_payload();
    co_return response;
  }

  beast::flat_buffer m_buffer;
  bool m_keeps_open = false;
  milliseconds m_longest_run{0};
};

// Guards against responses that are swapped, and against requests that wait for
// each other's run.
TEST_CASE_METHOD(PipeliningFixture,
                 "Pipelined requests run at once and are answered in order") {
  constexpr int kRequests = 20;
  constexpr size_t kMaxInFlight = 16;
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests += Get(fmt::format("/s/r{}", i));
    run_times[fmt::format("r{}", i)] = milliseconds(200 - 5 * i);
  }
  mesh.Run([&]() -> asio::awaitable<void> {
    const TimePoint start = Clock::now();
    co_await Send(requests);
    co_await Sleep(milliseconds(80));
    CHECK(mesh.Arrivals().size() == kMaxInFlight);
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = fmt::format("r{}", i);
      co_await Expect(200, id);
      CHECK(KeepsOpen());
    }
    CHECK(Clock::now() - start < milliseconds(1'000));
  });
}

// Guards against the order of side effects that differs from that of the
// requests.
TEST_CASE_METHOD(PipeliningFixture,
                 "A request with side effects runs alone on its connection") {
  run_times["r1"] = run_times["r2"] = milliseconds(100);
  const std::string requests = Get("/s/r1") + Get("/s/write/r2") + Get("/s/r3");
  mesh.Run([&]() -> asio::awaitable<void> {
    co_await Send(requests);
    co_await Sleep(milliseconds(60));
    CHECK(Arrived("r1") == 1);
    CHECK(Arrived("r2") == 0);
    co_await Expect(200, "r1");
    co_await Sleep(milliseconds(60));
    CHECK(Arrived("r2") == 1);
    CHECK(Arrived("r3") == 0);
    co_await Expect(200, "r2");
    co_await Expect(200, "r3");
  });
}

// Guards against responses that take the place of others that have failed.
TEST_CASE_METHOD(PipeliningFixture, "Failures keep their places") {
  run_times["r1"] = milliseconds(150);
  run_times["r3"] = milliseconds(1'000);
  const std::vector<unsigned> statuses{200, 200, 504, 404, 200};
  const std::string requests = Get("/s/r1") + Get("/s/r2") + Get("/s/r3", 50) +
                               Get("/none/r4") + Get("/s/r5");
  mesh.Run([&]() -> asio::awaitable<void> {
    co_await Send(requests);
    for (size_t i = 0; i < statuses.size(); ++i) {
      const std::string id = fmt::format("r{}", i + 1);
      co_await Expect(statuses[i], id);
    }
    co_await AwaitEndOfRuns();
  });
}

// Guards against runs that nobody waits for.
TEST_CASE_METHOD(PipeliningFixture,
                 "A caller that leaves ends all of its requests") {
  run_times["r1"] = run_times["r2"] = run_times["r3"] = milliseconds(800);
  const std::string requests = Get("/s/r1") + Get("/s/r2") + Get("/s/write/r3");
  mesh.Run([&]() -> asio::awaitable<void> {
    co_await Send(requests);
    co_await Sleep(milliseconds(50));
    CHECK(IsAnyRunning());
    caller.close();
    co_await Sleep(milliseconds(100));
    CHECK_FALSE(IsAnyRunning());
    CHECK(Arrived("r3") == 0);
    CHECK(mesh.NodeOf(kFront).DescribePending().starts_with("callers=0 "));
    co_await AwaitEndOfRuns();
  });
}

// Guards against requests that run although their caller sends them again.
TEST_CASE_METHOD(PipeliningFixture,
                 "Nothing runs behind a response that closes") {
  run_times["r1"] = milliseconds(100);
  const std::string requests = Get("/s/r1", 5'000, "Connection: close\r\n") +
                               Get("/s/r2") + Get("/s/write/r3");
  mesh.Run([&]() -> asio::awaitable<void> {
    co_await Send(requests);
    co_await Expect(200, "r1");
    CHECK_FALSE(KeepsOpen());
    co_await Expect(0, "");
    co_await Sleep(milliseconds(50));
    CHECK(mesh.Arrivals().size() == 1);
  });
}

// Guards against requests that go on behind a response that was cut.
TEST_CASE_METHOD(PipeliningFixture,
                 "A response that is cut cancels the requests behind it") {
  // The link of its host is too slow for it.
  bytes["r1"] = 7'000'000;
  run_times["r2"] = milliseconds(2'000);
  const std::string requests =
      Get("/s/r1", 600) + Get("/s/r2") + Get("/s/write/r3");
  mesh.Run([&]() -> asio::awaitable<void> {
    co_await Send(requests);
    co_await Sleep(milliseconds(300));
    CHECK(IsAnyRunning());
    CHECK(Arrived("r2") == 1);
    co_await Expect(0, "");
    co_await Sleep(milliseconds(100));
    CHECK_FALSE(IsAnyRunning());
    CHECK(Arrived("r3") == 0);
    co_await AwaitEndOfRuns();
  });
}

// Guards against requests that are lost because a drain closes the connection
// after the response to an earlier one.
TEST_CASE_METHOD(PipeliningFixture,
                 "A drain closes a connection after its last request") {
  run_times["r1"] = run_times["r2"] = run_times["r3"] = milliseconds(100);
  bool drained = false;
  const std::string late = Get("/s/r4");
  const std::string requests = Get("/s/r1") + Get("/s/r2") + Get("/s/r3");
  mesh.Run([&]() -> asio::awaitable<void> {
    co_await Send(requests);
    co_await Sleep(milliseconds(30));
    mesh.NodeOf(kFront).StartDrain([&] { drained = true; });
    co_await Sleep(milliseconds(10));
    co_await Send(late);
    co_await Expect(200, "r1");
    CHECK(KeepsOpen());
    co_await Expect(200, "r2");
    CHECK(KeepsOpen());
    co_await Expect(200, "r3");
    CHECK_FALSE(KeepsOpen());
    co_await Expect(0, "");
    CHECK(Arrived("r4") == 0);
    caller.close();
    co_await Sleep(milliseconds(300));
    CHECK(drained);
  });
}

// Guards against an interim response that is written before the final response
// to an earlier request.
TEST_CASE_METHOD(PipeliningFixture, "100 Continue waits for its turn") {
  run_times["r1"] = milliseconds(100);
  const std::string requests =
      Get("/s/r1") +
      Get("/s/r2", 5'000, "Expect: 100-continue\r\nContent-Length: 2\r\n");
  mesh.Run([&]() -> asio::awaitable<void> {
    co_await Send(requests);
    co_await Expect(200, "r1");
    co_await Expect(100, "");
    co_await Send("ab");
    co_await Expect(200, "r2");
  });
}

}  // namespace
}  // namespace kumquatmoor
