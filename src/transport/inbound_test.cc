// The end of an idle connection, and of a server, while requests arrive. Each
// test runs the io_context by hand, so that bytes arrive at the chosen moment.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "kumquatmoor/transport/exchange.h"
#include "kumquatmoor/transport/http_server.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr char kAddress[] = "127.40.0.1:8210";
constexpr char kRequest[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

// A server whose sessions read one request each.
class InboundFixture {
 public:
  InboundFixture()
      : server(context, {.address = kAddress},
               [this](tcp::socket socket) { return Serve(std::move(socket)); }),
        caller(caller_context) {
    REQUIRE_FALSE(server.Start());
    caller.connect({asio::ip::make_address("127.40.0.1"), 8210});
  }

  void SendRequest() { asio::write(caller, asio::buffer(kRequest)); }

  asio::io_context context{1};
  HttpServer server;
  asio::io_context caller_context;
  tcp::socket caller;
  boost::beast::tcp_stream* stream = nullptr;  // Of the running session.
  std::optional<ReadOutcome> outcome;

 private:
  asio::awaitable<void> Serve(tcp::socket socket) {
    boost::beast::tcp_stream session_stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    stream = &session_stream;
    InboundRequest inbound(session_stream, buffer);
    outcome = co_await inbound.ReadHead();
    stream = nullptr;
  }
};

TEST_CASE_METHOD(InboundFixture, "A cancelled read ends an idle connection") {
  context.run_for(milliseconds(50));
  REQUIRE(stream != nullptr);
  stream->cancel();
  context.run_for(milliseconds(50));
  CHECK(outcome == ReadOutcome::kClosed);
}

// Guards against a request that is lost since it arrives between the decision
// to close its idle connection and the close.
TEST_CASE_METHOD(
    InboundFixture,
    "A request that arrives while its connection is ended is read") {
  context.run_for(milliseconds(50));
  REQUIRE(stream != nullptr);
  stream->cancel();
  SendRequest();
  context.run_for(milliseconds(50));
  CHECK(outcome == ReadOutcome::kRequest);
}

// Guards against requests that are reset since their connections were
// established, but not accepted yet, when the server stopped accepting.
TEST_CASE_METHOD(InboundFixture,
                 "Established connections are served by a server that stops") {
  SendRequest();
  server.StopAccepting();
  context.run_for(milliseconds(50));
  CHECK(outcome == ReadOutcome::kRequest);
  tcp::socket late(caller_context);
  boost::system::error_code error;
  late.connect({asio::ip::make_address("127.40.0.1"), 8210}, error);
  CHECK(error == asio::error::connection_refused);
}

}  // namespace
}  // namespace kumquatmoor
