// Tests how a proxy ends the requests that are in progress when its node stops.

#include <spdlog/fmt/fmt.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>

#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/protocol/verdict.h"
#include "kumquatmoor/transport/endpoint_address.h"
#include "node/test_mesh.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr size_t kFront = 0;  // Whose proxy callers use.
constexpr size_t kBack = 1;   // Beside a backend server of the service "s".

asio::awaitable<void> Sleep(asio::io_context& context, milliseconds time) {
  asio::steady_timer timer(context);
  timer.expires_after(time);
  co_await timer.async_wait(asio::use_awaitable);
}

// A front host and two hosts beside backend servers of the service "s". The
// backend servers respond after `run_time`.
class DrainFixture {
 public:
  milliseconds run_time{20};
  size_t response_bytes = 2;
  std::optional<TimePoint> drained;
  TestMesh mesh;

  void Start(const ProxyOptions& front, const ProxyOptions& back = {}) {
    mesh.AddHost({.service = "own", .proxy = front});
    mesh.AddHost({.service = "s", .proxy = back});
    mesh.AddHost({.service = "s", .proxy = back});
    mesh.SetScript(
        "s",
        [this](size_t,
               const HttpRequest& request) -> asio::awaitable<HttpResponse> {
          co_await Sleep(mesh.Context(), run_time);
          auto response = TestMesh::Response(request, 200);
          response.body() = std::string(response_bytes, 'x');
          response.prepare_payload();
          co_return response;
        });
    mesh.Start();
  }

  void StartDrain(size_t host) {
    mesh.NodeOf(host).StartDrain([this] { drained = Clock::now(); });
  }

  // Sends a request, whose response is in `received` later.
  void Send(const std::string& id, milliseconds deadline) {
    asio::co_spawn(mesh.Context(), Call(id, deadline), asio::detached);
  }

  asio::awaitable<void> Call(std::string id, milliseconds deadline) {
    const TestMesh::CallOptions options{
        .target = "/s/" + id, .id = id, .deadline = deadline};
    const HttpResponse response = co_await mesh.Call(options);
    received[id] = {
        .status = response.result_int(),
        .bytes = response.body().size(),
        .keep_alive = response.keep_alive(),
        .has_retry_after = response.count(http::field::retry_after) == 1,
        .at = Clock::now()};
  }

  asio::awaitable<void> AwaitDrained(milliseconds limit) {
    const TimePoint end = Clock::now() + limit;
    while (!drained && Clock::now() < end) {
      co_await Sleep(mesh.Context(), milliseconds(5));
    }
    REQUIRE(drained);
  }

  // Sends the bytes to the front proxy and returns the status of the response,
  // 0 if the connection ends without one.
  asio::awaitable<unsigned> SendBytes(std::string bytes) {
    beast::tcp_stream stream(mesh.Context());
    co_await stream.async_connect(*TcpEndpoint(mesh.CallerAddress(kFront)),
                                  asio::use_awaitable);
    co_await asio::async_write(stream, asio::buffer(bytes),
                               asio::use_awaitable);
    beast::flat_buffer buffer;
    HttpResponse response;
    beast::error_code error;
    co_await http::async_read(stream, buffer, response,
                              asio::redirect_error(asio::use_awaitable, error));
    co_return error ? 0 : response.result_int();
  }

  struct Received {
    unsigned status = 0;
    size_t bytes = 0;
    bool keep_alive = false;
    bool has_retry_after = false;
    TimePoint at;
  };
  std::map<std::string, Received> received;  // By request id.
};

// A request to the front proxy with a body of `length` bytes, of which `sent`
// are sent.
std::string PartOfUpload(size_t length, size_t sent) {
  return fmt::format(
      "PUT /s/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nLeft: 5000\r\n"
      "Content-Length: {}\r\n\r\n{}",
      length, std::string(sent, 'b'));
}

}  // namespace

// Guards against a request that is sent to a further target when the drain has
// aborted it, and is cut without a response when the process ends.
TEST_CASE_METHOD(DrainFixture, "A drain that aborts a request sends no retry") {
  constexpr int kFirstRequests = 40;  // Without these, retries are refused.
  run_time = milliseconds(1);
  Start({.caller_grace = milliseconds(50),
         .drain_timeout = milliseconds(600),
         .reply_timeout = milliseconds(400)});
  mesh.Run([&]() -> asio::awaitable<void> {
    for (int i = 0; i < kFirstRequests; ++i) {
      co_await Call("first" + std::to_string(i), milliseconds(1'000));
    }
    run_time = milliseconds(1'500);
    Send("r1", milliseconds(10'000));
    co_await Sleep(mesh.Context(), milliseconds(200));
    StartDrain(kFront);
    co_await AwaitDrained(milliseconds(3'000));
    co_await Sleep(mesh.Context(), milliseconds(20));
    CHECK(received["r1"].status == 502);
    CHECK(mesh.Arrivals().size() == kFirstRequests + 1);
    // The mesh cannot be destroyed while a backend server runs a request.
    co_await Sleep(mesh.Context(), run_time);
  });
}

// Guards against a request that arrives late on an open connection, is passed
// on and is broken off at the end of the drain.
TEST_CASE_METHOD(DrainFixture,
                 "A late request is served only if its deadline is in time") {
  Start({.caller_grace = milliseconds(700),
         .drain_timeout = milliseconds(2'500)});
  mesh.Run([&]() -> asio::awaitable<void> {
    StartDrain(kFront);
    co_await Sleep(mesh.Context(), milliseconds(20));
    // An early one is passed on, as such requests take a short time.
    co_await Call("early", milliseconds(9'000));
    CHECK(received["early"].status == 200);
    co_await Sleep(mesh.Context(), milliseconds(350));
    co_await Call("late", milliseconds(9'000));
    CHECK(received["late"].status == 503);
    CHECK_FALSE(received["late"].keep_alive);
    CHECK(received["late"].has_retry_after);
    co_await Call("short", milliseconds(500));
    CHECK(received["short"].status == 200);
    CHECK(mesh.Arrivals().size() == 2);
    co_await AwaitDrained(milliseconds(4'000));
  });
}

// Guards against a request that is passed on early in a drain although requests
// of its route take longer than the drain.
TEST_CASE_METHOD(DrainFixture,
                 "A drain refuses requests that usually outlast it") {
  run_time = milliseconds(700);
  Start(
      {.caller_grace = milliseconds(600), .drain_timeout = milliseconds(600)});
  mesh.Run([&]() -> asio::awaitable<void> {
    co_await Call("before", milliseconds(9'000));
    StartDrain(kFront);
    co_await Sleep(mesh.Context(), milliseconds(10));
    co_await Call("during", milliseconds(9'000));
    CHECK(received["during"].status == 503);
    CHECK(mesh.Arrivals().size() == 1);
    co_await AwaitDrained(milliseconds(3'000));
    co_await Sleep(mesh.Context(), run_time);
  });
}

// Guards against a process that ends while it still writes a response to
// another node: the response is complete, so its slot is free.
TEST_CASE_METHOD(DrainFixture,
                 "A drain waits until responses to other nodes are written") {
  response_bytes = 600'000;
  constexpr double kLinkRate = 1'000'000;
  Start({}, {.caller_grace = milliseconds(50),
             .drain_timeout = milliseconds(4'000),
             .link_rate = kLinkRate});
  mesh.Run([&]() -> asio::awaitable<void> {
    Send("r1", milliseconds(3'000));
    co_await Sleep(mesh.Context(), milliseconds(150));
    REQUIRE(mesh.Arrivals().size() == 1);
    StartDrain(mesh.Arrivals()[0].host);
    co_await AwaitDrained(milliseconds(6'000));
    co_await Sleep(mesh.Context(), milliseconds(50));
    CHECK(received["r1"].status == 200);
    CHECK(received["r1"].bytes == response_bytes);
    CHECK(received["r1"].at <= *drained + milliseconds(20));
  });
}

// Guards against a response that is cut at the drain timeout while it is
// written.
TEST_CASE_METHOD(DrainFixture,
                 "Responses can be written after the drain timeout") {
  response_bytes = 600'000;
  constexpr double kLinkRate = 1'000'000;
  Start({.caller_grace = milliseconds(50),
         .drain_timeout = milliseconds(350),
         .reply_timeout = milliseconds(3'000),
         .link_rate = kLinkRate,
         .callers_use_link = true});
  mesh.Run([&]() -> asio::awaitable<void> {
    Send("r1", milliseconds(3'000));
    co_await Sleep(mesh.Context(), milliseconds(150));
    StartDrain(kFront);
    co_await AwaitDrained(milliseconds(5'000));
    co_await Sleep(mesh.Context(), milliseconds(10));
    CHECK(received["r1"].status == 200);
    CHECK(received["r1"].bytes == response_bytes);
  });
}

// Guards against a response that is too large to be buffered and is cut at the
// drain timeout, while it is streamed.
TEST_CASE_METHOD(DrainFixture,
                 "A streamed response goes on after the drain timeout") {
  response_bytes = kMaxBufferedResponseBytes + 500'000;
  constexpr double kLinkRate = 2'000'000;
  Start({.caller_grace = milliseconds(50),
         .drain_timeout = milliseconds(350),
         .reply_timeout = milliseconds(5'000),
         .link_rate = kLinkRate,
         .callers_use_link = true});
  mesh.Run([&]() -> asio::awaitable<void> {
    Send("r1", milliseconds(9'000));
    co_await Sleep(mesh.Context(), milliseconds(200));
    StartDrain(kFront);
    co_await AwaitDrained(milliseconds(8'000));
    co_await Sleep(mesh.Context(), milliseconds(50));
    CHECK(received["r1"].status == 200);
    CHECK(received["r1"].bytes == response_bytes);
  });
}

// Guards against a request whose body is still awaited at the end of a drain
// and that gets no response.
TEST_CASE_METHOD(DrainFixture,
                 "An incomplete request gets a response at the drain timeout") {
  Start({.caller_grace = milliseconds(50),
         .drain_timeout = milliseconds(400),
         .reply_timeout = milliseconds(400)});
  struct Case {
    size_t length;
    size_t sent;
    unsigned status;  // A small body is not passed on before it is complete.
  };
  const Case part = GENERATE(Case{1'000, 10, 503}, Case{200'000, 100'000, 502});
  mesh.Run([&]() -> asio::awaitable<void> {
    unsigned status = 0;
    asio::co_spawn(
        mesh.Context(),
        [&]() -> asio::awaitable<void> {
          status = co_await SendBytes(PartOfUpload(part.length, part.sent));
        },
        asio::detached);
    co_await Sleep(mesh.Context(), milliseconds(100));
    StartDrain(kFront);
    co_await AwaitDrained(milliseconds(3'000));
    co_await Sleep(mesh.Context(), milliseconds(20));
    CHECK(status == part.status);
    CHECK(mesh.Arrivals().empty());
  });
}

// Guards against a process that ends while another node sends it a request,
// which then counts as one that may have run.
TEST_CASE_METHOD(DrainFixture,
                 "A drain waits for a request that another node sends") {
  Start({}, {.caller_grace = milliseconds(50),
             .drain_timeout = milliseconds(600),
             .reply_timeout = milliseconds(400)});
  const bool completed = GENERATE(true, false);
  mesh.Run([&]() -> asio::awaitable<void> {
    beast::tcp_stream stream(mesh.Context());
    co_await stream.async_connect(*TcpEndpoint(mesh.DataAddress(kBack)),
                                  asio::use_awaitable);
    const std::string head =
        "PUT /s/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nKumquatmoor-Service: s\r\n"
        "Kumquatmoor-Version: v1\r\nContent-Length: 1000\r\n\r\n";
    co_await asio::async_write(stream, asio::buffer(head), asio::use_awaitable);
    co_await Sleep(mesh.Context(), milliseconds(20));
    StartDrain(kBack);
    co_await Sleep(mesh.Context(), milliseconds(300));
    CHECK_FALSE(drained);
    if (completed) {
      const std::string body(1'000, 'b');
      co_await asio::async_write(stream, asio::buffer(body),
                                 asio::use_awaitable);
    }
    beast::flat_buffer buffer;
    HttpResponse response;
    beast::error_code error;
    co_await http::async_read(stream, buffer, response,
                              asio::redirect_error(asio::use_awaitable, error));
    CHECK_FALSE(error);
    CHECK(response.result_int() == 503);
    CHECK(response[headers::kVerdict] == VerdictName(Verdict::kNotRun));
    CHECK_FALSE(response.keep_alive());
    CHECK(mesh.Arrivals().empty());
    co_await AwaitDrained(milliseconds(2'000));
  });
}

// Guards against a connection that another node uses again although the node at
// its other end stops.
TEST_CASE_METHOD(DrainFixture,
                 "A draining node closes the connections of other nodes") {
  Start({}, {.caller_grace = milliseconds(50),
             .drain_timeout = milliseconds(3'000)});
  mesh.Run([&]() -> asio::awaitable<void> {
    StartDrain(kBack);
    StartDrain(kBack + 1);
    co_await Sleep(mesh.Context(), milliseconds(20));
    beast::tcp_stream stream(mesh.Context());
    co_await stream.async_connect(*TcpEndpoint(mesh.DataAddress(kBack)),
                                  asio::use_awaitable);
    const std::string request =
        "GET /s/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nKumquatmoor-Service: s\r\n"
        "Kumquatmoor-Version: v1\r\n\r\n";
    co_await asio::async_write(stream, asio::buffer(request),
                               asio::use_awaitable);
    beast::flat_buffer buffer;
    HttpResponse response;
    co_await http::async_read(stream, buffer, response, asio::use_awaitable);
    CHECK(response.result_int() == 503);
    CHECK_FALSE(response.keep_alive());
  });
}

}  // namespace kumquatmoor
