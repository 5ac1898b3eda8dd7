// A caller, a proxy and a server exchange HTTP over loopback sockets on one
// io_context. The server follows a script, so that a test can choose how it
// responds or fails after it has read a request.

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

constexpr char kServerAddress[] = "127.40.0.1:8200";
constexpr char kProxyAddress[] = "127.40.0.1:8201";

// What the server does after it has read the head of a request: it sends
// `bytes` and closes the connection, or closes it at once. If both members have
// their defaults, it waits for the peer to close the connection.
struct ServerScript {
  std::string bytes;
  bool close_at_once = false;
};

// What the proxy and the caller have seen of an exchange.
struct Outcome {
  bool answered = false;
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  bool caller_gone = false;
  std::string received;  // Bytes that the caller has received.
};

asio::awaitable<void> ServeScript(tcp::socket socket, ServerScript script) {
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

asio::awaitable<void> ServeProxy(tcp::socket socket, asio::io_context& context,
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

asio::awaitable<void> SendRequest(asio::io_context& context,
                                  bool disconnect_early, Outcome* outcome) {
  tcp::socket socket(context);
  co_await socket.async_connect({asio::ip::make_address("127.40.0.1"), 8201},
                                asio::use_awaitable);
  const std::string request = "POST /x HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
  co_await asio::async_write(socket, asio::buffer(request),
                             asio::use_awaitable);
  if (disconnect_early) {
    co_return;
  }
  boost::system::error_code error;
  co_await asio::async_read(socket, asio::dynamic_buffer(outcome->received),
                            asio::redirect_error(asio::use_awaitable, error));
}

// Runs one exchange with a server that follows `script`, or without a server.
// If `disconnect_early`, the caller closes its connection after the request.
Outcome RunExchange(const std::optional<ServerScript>& script,
                    bool disconnect_early = false) {
  asio::io_context context(1);
  Outcome outcome;
  std::optional<HttpServer> server;
  if (script) {
    server.emplace(context, HttpServerOptions{.address = kServerAddress},
                   [&](tcp::socket socket) {
                     return ServeScript(std::move(socket), *script);
                   });
    REQUIRE_FALSE(server->Start());
  }
  HttpServer proxy(
      context, {.address = kProxyAddress}, [&](tcp::socket socket) {
        return ServeProxy(std::move(socket), context, kServerAddress, &outcome);
      });
  REQUIRE_FALSE(proxy.Start());
  asio::co_spawn(context, SendRequest(context, disconnect_early, &outcome),
                 asio::detached);
  context.run_for(milliseconds(700));
  return outcome;
}

TEST_CASE("Forward derives the verdict from how far the request got") {
  struct Case {
    const char* name;
    std::optional<ServerScript> script;
    bool answered;
    Verdict verdict;
  };
  const std::string head_of_ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
  const Case cases[] = {
      {"no listener", std::nullopt, false, Verdict::kNotRun},
      {"closed after the request", ServerScript{.close_at_once = true}, false,
       Verdict::kMayHaveRun},
      {"no response before the deadline", ServerScript{}, false,
       Verdict::kMayHaveRun},
      {"truncated response", ServerScript{.bytes = head_of_ok + "\r\no"}, false,
       Verdict::kMayHaveRun},
      {"not HTTP", ServerScript{.bytes = "nonsense\r\n\r\n"}, false,
       Verdict::kMayHaveRun},
      {"response to another request",
       ServerScript{.bytes =
                        head_of_ok + "Kumquatmoor-Request-Id: yours\r\n\r\nok"},
       false, Verdict::kMayHaveRun},
      {"complete response", ServerScript{.bytes = head_of_ok + "\r\nok"}, true,
       Verdict::kRan},
      {"complete response with an error status",
       ServerScript{.bytes = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"},
       true, Verdict::kRan},
      {"response with the verdict NotRun",
       ServerScript{.bytes =
                        head_of_ok + "Kumquatmoor-Verdict: NotRun\r\n\r\nok"},
       true, Verdict::kNotRun},
      {"response with an unknown verdict",
       ServerScript{.bytes =
                        head_of_ok + "Kumquatmoor-Verdict: maybe\r\n\r\nok"},
       true, Verdict::kMayHaveRun},
  };
  for (const auto& c : cases) {
    INFO(c.name);
    const Outcome outcome = RunExchange(c.script);
    CHECK(outcome.answered == c.answered);
    CHECK(outcome.verdict == c.verdict);
    CHECK(outcome.reason.empty() == c.answered);
  }
}

// Guards against a response that a faulty server damaged and that a caller, or
// another node, takes for an answer.
TEST_CASE("A status that no final response may have is no response") {
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    INFO(status);
    const std::string bytes = std::string("HTTP/1.1 ") + status +
                              " Odd\r\nContent-Length: 2\r\n"
                              "Kumquatmoor-Verdict: NotRun\r\n\r\nok";
    const Outcome outcome = RunExchange(ServerScript{.bytes = bytes});
    CHECK_FALSE(outcome.answered);
    CHECK(outcome.verdict == Verdict::kMayHaveRun);
  }
  std::string interim;
  for (int i = 0; i < 100; ++i) interim += "HTTP/1.1 103 Early\r\n\r\n";
  CHECK_FALSE(RunExchange(ServerScript{.bytes = interim}).answered);
}

TEST_CASE("A streamed response keeps its framing and arrives complete") {
  // Larger than the buffer, so that it is streamed.
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
    const Outcome outcome = RunExchange(ServerScript{.bytes = bytes});
    CHECK(outcome.answered);
    CHECK_THAT(outcome.received,
               Catch::Contains(chunked ? "Transfer-Encoding: chunked"
                                       : "Content-Length: " + size));
    CHECK(std::count(outcome.received.begin(), outcome.received.end(), 'x') ==
          static_cast<std::ptrdiff_t>(body.size()));
  }
}

TEST_CASE("Forward reports a caller that disconnects before the response") {
  const Outcome outcome =
      RunExchange(ServerScript{}, /*disconnect_early=*/true);
  CHECK(outcome.caller_gone);
}

}  // namespace
}  // namespace kumquatmoor
