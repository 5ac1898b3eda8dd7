// HttpCall against a server that sends its response in pieces over loopback.

#include "kumquatmoor/transport/http_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "kumquatmoor/transport/http_server.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr char kAddress[] = "127.40.0.1:8300";
constexpr milliseconds kTimeout{200};

// How the server sends the body of its response.
struct SlowBody {
  int pieces = 1;
  int sent = 1;  // It stops after this many pieces.
  milliseconds pause{0};
  size_t piece_bytes = 1'000;
};

asio::awaitable<void> SendSlowly(tcp::socket socket, SlowBody body) {
  std::string request;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                  "\r\n\r\n", asio::use_awaitable);
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Length: " +
      std::to_string(static_cast<size_t>(body.pieces) * body.piece_bytes) +
      "\r\n\r\n";
  co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const std::string piece(body.piece_bytes, 'x');
  for (int i = 0; i < body.sent; ++i) {
    timer.expires_after(body.pause);
    co_await timer.async_wait(asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(piece),
                               asio::use_awaitable);
  }
  char byte = 0;
  co_await socket.async_read_some(asio::buffer(&byte, 1), asio::use_awaitable);
}

// Sends `bytes` in response to a request and closes the connection.
asio::awaitable<void> SendAndClose(tcp::socket socket, std::string bytes) {
  std::string request;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                  "\r\n\r\n", asio::use_awaitable);
  co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
}

// Serves on a thread of its own, since HttpCall blocks.
class SlowServer {
 public:
  explicit SlowServer(SlowBody body)
      : SlowServer([body](tcp::socket socket) {
          return SendSlowly(std::move(socket), body);
        }) {}
  explicit SlowServer(HttpServer::Session session)
      : m_server(m_context, {.address = kAddress}, std::move(session)) {
    REQUIRE_FALSE(m_server.Start());
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~SlowServer() {
    m_context.stop();
    m_thread.join();
  }

 private:
  asio::io_context m_context{1};
  HttpServer m_server;
  std::thread m_thread;
};

struct TimedCall {
  bool complete = false;
  milliseconds elapsed{0};
};

TimedCall CallServer(HttpCallOptions options) {
  options.address = kAddress;
  options.method = "GET";
  options.timeout = kTimeout;
  const auto started = std::chrono::steady_clock::now();
  const auto outcome = Attempt([&] { return HttpCall(options); });
  TimedCall call;
  call.elapsed = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - started);
  call.complete = std::holds_alternative<HttpCallResponse>(outcome);
  return call;
}

// Guards against a configuration that no node can read over a slow link, since
// its transfer takes longer than the timeout (incident inc26-config).
TEST_CASE("A response that arrives steadily is read to its end",
          "[large-response]") {
  const SlowServer server(
      SlowBody{.pieces = 12, .sent = 12, .pause = kTimeout / 4});
  const TimedCall call = CallServer({});
  CHECK(call.complete);
  CHECK(call.elapsed > 2 * kTimeout);
}

// Guards against a host with little processor time that wakes up for each 512
// bytes of a configuration (inc33-config).
TEST_CASE("A response of a megabyte is read in few system calls",
          "[large-response]") {
  constexpr size_t kBytes = 1'400'000;
  const SlowServer server(SlowBody{.piece_bytes = kBytes});
  const auto outcome =
      Attempt([&] { return HttpCall({.address = kAddress, .method = "GET"}); });
  REQUIRE(std::holds_alternative<HttpCallResponse>(outcome));
  CHECK(std::get<HttpCallResponse>(outcome).body.size() == kBytes);
  CHECK(std::get<HttpCallResponse>(outcome).reads < 400);
}

TEST_CASE("A response whose bytes stop ends after the timeout") {
  const SlowServer server(
      SlowBody{.pieces = 12, .sent = 2, .pause = kTimeout / 4});
  const TimedCall call = CallServer({});
  CHECK_FALSE(call.complete);
  CHECK(call.elapsed < 4 * kTimeout);
}

// Guards against a response of the store, or of another member, that was cut
// short and is taken for complete.
TEST_CASE("No part of a response is complete", "[cut]") {
  const std::string head = "HTTP/1.1 200 OK\r\nA: b\r\n";
  for (const std::string& rest :
       {std::string("Content-Length: 4\r\n\r\n{\"\"}"),
        std::string(
            "Transfer-Encoding: chunked\r\n\r\n4\r\n{\"\"}\r\n0\r\n\r\n")}) {
    const std::string bytes = head + rest;
    for (size_t size = 0; size <= bytes.size(); ++size) {
      INFO(size << " of " << bytes);
      const SlowServer server([&](tcp::socket socket) {
        return SendAndClose(std::move(socket), bytes.substr(0, size));
      });
      CHECK(CallServer({}).complete == (size == bytes.size()));
    }
  }
}

TEST_CASE("A response without end is given up at the longest duration") {
  const SlowServer server(
      {.pieces = 1'000, .sent = 1'000, .pause = kTimeout / 4});
  const TimedCall call = CallServer({.max_duration = 3 * kTimeout});
  CHECK_FALSE(call.complete);
  CHECK(call.elapsed >= 3 * kTimeout);
  CHECK(call.elapsed < 5 * kTimeout);
}

// Guards against a damaged response of the platform that counts as an answer,
// as that of a write that was refused.
TEST_CASE("A response whose status is not final is a failed call") {
  for (const char* status : {"000", "101", "600", "999"}) {
    INFO(status);
    const std::string bytes = std::string("HTTP/1.1 ") + status +
                              " Odd\r\nContent-Length: 2\r\n\r\n{}";
    const auto respond = [bytes](tcp::socket socket) -> asio::awaitable<void> {
      std::string text = bytes;
      co_await asio::async_write(socket, asio::buffer(text),
                                 asio::use_awaitable);
    };
    SlowServer server(respond);
    CHECK_FALSE(CallServer({}).complete);
  }
}

// A chunked body whose trailer is larger than the HTTP library can store.
std::string BodyWithHugeTrailer() {
  return "Transfer-Encoding: chunked\r\n\r\n0\r\nT: " +
         std::string(100'000, 't') + "\r\n\r\n";
}

// Guards against a node that ends since the platform's response has a trailer
// that the HTTP library cannot store.
TEST_CASE("A response with a huge trailer is a failed call") {
  asio::io_context context{1};
  HttpServer server(context, {.address = kAddress},
                    [](tcp::socket socket) -> asio::awaitable<void> {
                      const std::string bytes =
                          "HTTP/1.1 200 OK\r\n" + BodyWithHugeTrailer();
                      co_await asio::async_write(socket, asio::buffer(bytes),
                                                 asio::use_awaitable);
                      char byte = 0;
                      while (true) {
                        co_await socket.async_read_some(asio::buffer(&byte, 1),
                                                        asio::use_awaitable);
                      }
                    });
  REQUIRE_FALSE(server.Start());
  std::thread thread([&] { context.run(); });
  bool complete = true;
  CHECK_NOTHROW(complete = CallServer({}).complete);
  context.stop();
  thread.join();
  CHECK_FALSE(complete);
}

// Guards against the same by a request of a backend server or an operator.
TEST_CASE("A request with a huge trailer ends its connection only") {
  asio::io_context context{1};
  HttpServer server(
      context, {.address = kAddress},
      MakeBufferedSession(
          {}, [](HttpRequest&, tcp::socket&) -> asio::awaitable<HttpResponse> {
            co_return MakeResponse(200, "", "text/plain");
          }));
  REQUIRE_FALSE(server.Start());
  asio::io_context caller_context;
  tcp::socket caller(caller_context);
  caller.connect({asio::ip::make_address("127.40.0.1"), 8300});
  boost::system::error_code error;
  asio::write(
      caller,
      asio::buffer("POST / HTTP/1.1\r\nHost: h\r\n" + BodyWithHugeTrailer()),
      error);
  CHECK_NOTHROW(context.run_for(milliseconds(200)));
  CHECK(server.Connections() == 0);
}

}  // namespace
}  // namespace kumquatmoor
