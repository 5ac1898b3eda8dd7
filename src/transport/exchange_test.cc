// Forwards real requests on loopback to a scripted server, so that what the
// server does at each step can be chosen.

#include "kumquatmoor/transport/exchange.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/transport/http_server.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr char kServer[] = "127.40.0.1:8200";
constexpr char kProxy[] = "127.40.0.1:8201";

// What the scripted server sends once it has read the head of a request;
// nothing: it stays silent until the other end closes.
struct Script {
  std::string bytes;
  bool close_at_once = false;
};

struct Outcome {
  bool answered = false;
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  bool caller_gone = false;
  std::string received;  // By the caller.
};

asio::awaitable<void> Serve(tcp::socket socket, Script script) {
  std::string request;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                  "\r\n\r\n", asio::use_awaitable);
  if (script.close_at_once) {
    co_return;
  }
  if (!script.bytes.empty()) {
    co_await asio::async_write(socket, asio::buffer(script.bytes),
                               asio::use_awaitable);
    co_return;
  }
  char byte = 0;
  co_await socket.async_read_some(asio::buffer(&byte, 1), asio::use_awaitable);
}

asio::awaitable<void> Proxy(tcp::socket socket, asio::io_context& context,
                            std::string address, Outcome* outcome) {
  boost::beast::tcp_stream stream(std::move(socket));
  boost::beast::flat_buffer buffer;
  InboundRequest inbound(stream, buffer);
  co_await inbound.ReadHead();
  UpstreamPool pool(context);
  ForwardOptions options;
  options.address = address;
  options.head = inbound.Head();
  options.head.set(headers::kRequestId, "mine");
  options.deadline = std::chrono::steady_clock::now() + milliseconds(300);
  ForwardResult result = co_await Forward(pool, inbound, options);
  outcome->answered = result.answered;
  outcome->verdict = result.verdict;
  outcome->reason = result.reason;
  outcome->caller_gone = result.caller_gone;
  if (result.answered) {
    co_await RelayResponse(inbound, result, pool);
  }
}

asio::awaitable<void> Call(asio::io_context& context, bool leave_early,
                           Outcome* outcome) {
  tcp::socket socket(context);
  co_await socket.async_connect({asio::ip::make_address("127.40.0.1"), 8201},
                                asio::use_awaitable);
  const std::string request = "POST /x HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
  co_await asio::async_write(socket, asio::buffer(request),
                             asio::use_awaitable);
  if (leave_early) {
    co_return;
  }
  boost::system::error_code error;
  co_await asio::async_read(socket, asio::dynamic_buffer(outcome->received),
                            asio::redirect_error(asio::use_awaitable, error));
}

Outcome RunOnce(const std::optional<Script>& script, bool leave_early = false) {
  asio::io_context context(1);
  Outcome outcome;
  std::optional<HttpServer> server;
  if (script) {
    server.emplace(
        context, HttpServerOptions{.address = kServer},
        [&](tcp::socket socket) { return Serve(std::move(socket), *script); });
    REQUIRE_FALSE(server->Start());
  }
  HttpServer proxy(context, {.address = kProxy}, [&](tcp::socket socket) {
    return Proxy(std::move(socket), context, kServer, &outcome);
  });
  REQUIRE_FALSE(proxy.Start());
  asio::co_spawn(context, Call(context, leave_early, &outcome), asio::detached);
  context.run_for(milliseconds(700));
  return outcome;
}

TEST_CASE("The verdict says how far the request got") {
  struct Case {
    const char* name;
    std::optional<Script> script;
    bool answered;
    Verdict verdict;
  };
  const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
  const Case cases[] = {
      {"nobody listens", std::nullopt, false, Verdict::kNotRun},
      {"closed after the request", Script{.close_at_once = true}, false,
       Verdict::kMayHaveRun},
      {"silence", Script{}, false, Verdict::kMayHaveRun},
      {"truncated", Script{.bytes = good + "\r\no"}, false,
       Verdict::kMayHaveRun},
      {"not HTTP", Script{.bytes = "nonsense\r\n\r\n"}, false,
       Verdict::kMayHaveRun},
      {"another request's answer",
       Script{.bytes = good + "Kumquatmoor-Request-Id: yours\r\n\r\nok"}, false,
       Verdict::kMayHaveRun},
      {"whole", Script{.bytes = good + "\r\nok"}, true, Verdict::kRan},
      {"an error is an answer",
       Script{.bytes = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"}, true,
       Verdict::kRan},
      {"refused",
       Script{.bytes = good + "Kumquatmoor-Verdict: NotRun\r\n\r\nok"}, true,
       Verdict::kNotRun},
      {"an unknown verdict",
       Script{.bytes = good + "Kumquatmoor-Verdict: maybe\r\n\r\nok"}, true,
       Verdict::kMayHaveRun},
  };
  for (const auto& c : cases) {
    INFO(c.name);
    const Outcome outcome = RunOnce(c.script);
    CHECK(outcome.answered == c.answered);
    CHECK(outcome.verdict == c.verdict);
    CHECK(outcome.reason.empty() == c.answered);
  }
}

TEST_CASE("A large body keeps its length and arrives whole") {
  // Larger than what is held whole, so that it streams.
  const std::string body(2 * kMaxBufferedResponseBytes, 'x');
  const std::string size = std::to_string(body.size());
  for (const bool chunked : {false, true}) {
    INFO(chunked);
    std::string bytes = "HTTP/1.1 200 OK\r\n";
    if (chunked) {
      bytes += "Transfer-Encoding: chunked\r\n\r\n200000\r\n";
      bytes += body;
      bytes += "\r\n0\r\n\r\n";
    } else {
      bytes += "Content-Length: ";
      bytes += size;
      bytes += "\r\n\r\n";
      bytes += body;
    }
    const Outcome outcome = RunOnce(Script{.bytes = bytes});
    CHECK(outcome.answered);
    CHECK_THAT(outcome.received,
               Catch::Contains(chunked ? "Transfer-Encoding: chunked"
                                       : "Content-Length: " + size));
    CHECK(std::count(outcome.received.begin(), outcome.received.end(), 'x') ==
          static_cast<std::ptrdiff_t>(body.size()));
  }
}

TEST_CASE("A caller that goes away ends the request") {
  const Outcome outcome = RunOnce(Script{}, /*leave_early=*/true);
  CHECK(outcome.caller_gone);
}

}  // namespace
}  // namespace kumquatmoor
