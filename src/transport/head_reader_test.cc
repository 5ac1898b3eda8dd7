// A server writes the head of a response in parts, each of which the reader has
// read before the next one is written.

#include "transport/head_reader.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "kumquatmoor/transport/exchange.h"
#include "kumquatmoor/transport/http_call.h"
#include "kumquatmoor/transport/http_server.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

// The most bytes of a head without end that a test writes.
constexpr size_t kMostWritten = 600'000;
// The most bytes of one that may be written before the reader gives up: its
// bound, and what its connection had read ahead.
constexpr size_t kMostAccepted = 65'536 + 8'192;
constexpr char kServer[] = "127.40.0.1:8320";

// Fields of `field_bytes` bytes, whose parts end `offset` bytes after the begin
// of a field.
struct Pattern {
  size_t field_bytes = 186;
  size_t offset = 2;
  size_t part_fields = 11;
};

// The first part, and one to repeat after it.
struct Parts {
  std::string first;
  std::string next;
};

Parts MakeParts(std::string_view start_line, const Pattern& pattern) {
  const std::string field =
      "a:" + std::string(pattern.field_bytes - 4, 'x') + "\r\n";
  std::string next = field.substr(pattern.offset);
  for (size_t i = 1; i < pattern.part_fields; ++i) next += field;
  next += field.substr(0, pattern.offset);
  return {.first = std::string(start_line) + field.substr(0, pattern.offset),
          .next = std::move(next)};
}

// Time for a reader on another thread to read a part.
constexpr std::chrono::microseconds kReadTime{150};

// Writes `parts` until the peer closes the connection or kMostWritten. Waits
// until each part has been read, by a reader on the same io_context unless
// `has_other_thread`.
asio::awaitable<void> WriteParts(tcp::socket& socket, Parts parts,
                                 size_t* written,
                                 bool has_other_thread = false) {
  boost::system::error_code error;
  socket.set_option(tcp::no_delay(true), error);
  const auto write = [&](const std::string& bytes) {
    return asio::async_write(socket, asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, error));
  };
  *written += co_await write(parts.first);
  asio::steady_timer timer(socket.get_executor());
  while (!error && *written < kMostWritten) {
    constexpr int kTurnsPerPart = 4;
    for (int i = 0; i < kTurnsPerPart; ++i) {
      co_await asio::post(asio::use_awaitable);
    }
    if (has_other_thread) {
      timer.expires_after(kReadTime);
      co_await timer.async_wait(asio::use_awaitable);
    }
    *written += co_await write(parts.next);
  }
}

asio::awaitable<void> AnswerWithParts(tcp::socket socket, Parts parts,
                                      size_t* written,
                                      bool has_other_thread = false) {
  std::array<char, 4'096> request{};
  co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
  co_await WriteParts(socket, std::move(parts), written, has_other_thread);
}

struct Attempted {
  size_t written = 0;
  bool answered = true;
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
};

// Forwards one request to a server that answers with `parts`.
class Exchange {
 public:
  explicit Exchange(Parts parts) {
    HttpServer server(m_context, {.address = kServer},
                      [&, this](tcp::socket socket) {
                        return AnswerWithParts(std::move(socket), parts,
                                               &m_attempted.written);
                      });
    REQUIRE_FALSE(server.Start());
    tcp::acceptor acceptor(m_context, {asio::ip::address_v4::loopback(), 0});
    tcp::socket caller(m_context);
    caller.connect(acceptor.local_endpoint());
    asio::write(
        caller,
        asio::buffer(std::string_view("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
    asio::co_spawn(m_context, Run(acceptor.accept()), asio::detached);
    const auto end = std::chrono::steady_clock::now() + milliseconds(5'000);
    while (!m_done && std::chrono::steady_clock::now() < end) {
      m_context.run_one_for(milliseconds(100));
    }
    REQUIRE(m_done);
    server.StopAccepting();
    m_context.run_for(milliseconds(1));
  }

  const Attempted& Result() const { return m_attempted; }

 private:
  asio::awaitable<void> Run(tcp::socket socket) {
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    InboundRequest inbound(stream, buffer);
    co_await inbound.ReadHead();
    UpstreamPool pool(m_context);
    ForwardOptions options;
    options.address = kServer;
    options.head = inbound.Head();
    options.head.set(headers::kRequestId, "mine");
    options.deadline = std::chrono::steady_clock::now() + milliseconds(4'000);
    const ForwardResult result = co_await Forward(pool, inbound, options);
    m_attempted.answered = result.answered;
    m_attempted.verdict = result.verdict;
    m_attempted.reason = result.reason;
    m_done = true;
  }

  asio::io_context m_context{1};
  Attempted m_attempted;
  bool m_done = false;
};

// Guards against a node that runs out of memory, and ends with the requests of
// other callers, since a backend server sends header fields without end
// (review/1). The cut of the parts decides whether the library consumes fields
// as they arrive.
TEST_CASE("A head without end is given up at its bound, however it is cut",
          "[endless]") {
  for (const size_t field_bytes : {5U, 17U, 186U, 1'000U}) {
    for (size_t offset = 0; offset < field_bytes; ++offset) {
      const Pattern pattern{
          .field_bytes = field_bytes,
          .offset = offset,
          .part_fields = std::max<size_t>(1, 2'046 / field_bytes)};
      INFO("fields of " << field_bytes << " bytes, cut at " << offset);
      const Exchange exchange(MakeParts("HTTP/1.1 200 OK\r\n", pattern));
      const Attempted& attempted = exchange.Result();
      CHECK_FALSE(attempted.answered);
      CHECK(attempted.verdict == Verdict::kMayHaveRun);
      CHECK(attempted.written <= kMostAccepted);
    }
  }
}

// Guards against the same by the store, whose responses are read by blocking
// calls.
TEST_CASE("A response of the store with a head without end fails",
          "[endless]") {
  asio::io_context context(1);
  size_t written = 0;
  HttpServer server(context, {.address = kServer}, [&](tcp::socket socket) {
    return AnswerWithParts(std::move(socket),
                           MakeParts("HTTP/1.1 200 OK\r\n", {.part_fields = 2}),
                           &written, true);
  });
  REQUIRE_FALSE(server.Start());
  std::thread thread([&] { context.run(); });
  const auto outcome =
      Attempt([&] { return HttpCall({.address = kServer, .method = "GET"}); });
  CHECK(std::holds_alternative<Failure>(outcome));
  context.stop();
  thread.join();
  CHECK(written < kMostWritten);
}

// Guards against the same by a caller of the announcements, the readiness or
// the metrics.
TEST_CASE("A request with a head without end ends its connection only",
          "[endless]") {
  for (size_t offset = 0; offset < Pattern().field_bytes; ++offset) {
    INFO("cut at " << offset);
    asio::io_context context(1);
    HttpServer server(
        context, {.address = kServer},
        MakeBufferedSession(
            {},
            [](HttpRequest&, tcp::socket&) -> asio::awaitable<HttpResponse> {
              co_return MakeResponse(200, "", "text/plain");
            }));
    REQUIRE_FALSE(server.Start());
    tcp::socket caller(context);
    caller.connect({asio::ip::make_address("127.40.0.1"), 8320});
    size_t written = 0;
    bool done = false;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
          co_await WriteParts(caller,
                              MakeParts("PUT /-/instances/i HTTP/1.1\r\n",
                                        {.offset = offset, .part_fields = 2}),
                              &written);
          done = true;
        },
        asio::detached);
    const auto end = std::chrono::steady_clock::now() + milliseconds(5'000);
    while (!done && std::chrono::steady_clock::now() < end) {
      context.run_one_for(milliseconds(100));
    }
    CHECK(written <= kMostAccepted);
    server.StopAccepting();
    context.run_for(milliseconds(1));
  }
}

// Feeds `message` to a reader in parts of `part_bytes`.
boost::system::error_code ReadInParts(std::string_view message,
                                      size_t part_bytes, HeadBounds bounds) {
  asio::io_context context(1);
  tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  tcp::socket writer(context);
  writer.connect(acceptor.local_endpoint());
  writer.set_option(tcp::no_delay(true));
  beast::tcp_stream stream(acceptor.accept());
  std::optional<boost::system::error_code> outcome;
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.header_limit(static_cast<uint32_t>(bounds.bytes));
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        outcome = co_await ReadHead(stream, buffer, parser, bounds);
      },
      asio::detached);
  for (size_t at = 0; at < message.size() && !outcome; at += part_bytes) {
    boost::system::error_code error;
    asio::write(writer, asio::buffer(message.substr(at, part_bytes)), error);
    context.poll();
  }
  context.run_for(milliseconds(20));
  REQUIRE(outcome);
  return *outcome;
}

TEST_CASE("The bounds of a head hold for its bytes and its fields") {
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (int i = 0; i < 20; ++i) head += "Name: value\r\n";
  head += "\r\n";
  for (const size_t part : {1U, 2U, 13U, 100U, 10'000U}) {
    INFO("parts of " << part);
    const auto read = [&](HeadBounds bounds) {
      return ReadInParts(head + "body", part, bounds);
    };
    CHECK_FALSE(read({.bytes = head.size(), .fields = 20}));
    CHECK(read({.bytes = head.size() - 1, .fields = 20}) ==
          http::error::header_limit);
    CHECK(read({.bytes = head.size(), .fields = 19}) ==
          http::error::header_limit);
  }
}

}  // namespace
}  // namespace kumquatmoor
