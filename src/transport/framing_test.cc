// A caller sends one request, and then another one on the same connection,
// through a session that relays the responses of a scripted server or writes
// its own. The caller reads each byte, by RFC 9112 alone.

#include "transport/framing.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/transport/exchange.h"
#include "kumquatmoor/transport/http_server.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr char kServer[] = "127.40.0.1:8330";
constexpr char kProxy[] = "127.40.0.1:8331";
constexpr size_t kLargeBody = kMaxBufferedResponseBytes + 300'000;
constexpr char kProbeResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nprobe";

// The response to the first request.
struct Play {
  std::string method = "GET";
  std::string version = "1.1";
  // What the server writes; empty if the session answers itself.
  std::string bytes;
  unsigned own_status = 404;
  // Written a moment after `bytes`.
  std::string late_bytes = {};
  bool server_closes = false;
};

// What the caller has read.
struct Seen {
  std::string head;
  std::string body;
  bool body_is_whole = false;
  std::string after;  // All bytes that follow the body.
  bool was_reset = false;
};

class Fixture {
 public:
  explicit Fixture(Play play)
      : m_play(std::move(play)),
        m_pool(m_context),
        m_server(m_context, {.address = kServer},
                 [this](tcp::socket socket) {
                   return ServeScript(std::move(socket));
                 }),
        m_proxy(m_context, {.address = kProxy}, [this](tcp::socket socket) {
          return ServeCaller(std::move(socket));
        }) {
    REQUIRE_FALSE(m_server.Start());
    REQUIRE_FALSE(m_proxy.Start());
    asio::co_spawn(m_context, RunCaller(), asio::detached);
    const auto end = std::chrono::steady_clock::now() + milliseconds(3'000);
    while (!m_done && std::chrono::steady_clock::now() < end) {
      m_context.run_one_for(milliseconds(50));
    }
    CHECK(m_done);
    m_server.StopAccepting();
    m_proxy.StopAccepting();
  }

  Seen seen;
  int connections = 0;  // To the server.

 private:
  asio::awaitable<void> ServeScript(tcp::socket socket) {
    ++connections;
    std::string buffer;
    asio::steady_timer timer(m_context);
    while (true) {
      const size_t size =
          co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer),
                                          "\r\n\r\n", asio::use_awaitable);
      const bool is_probe = buffer.find("GET /probe") < size;
      buffer.erase(0, size);
      const std::string bytes = is_probe ? kProbeResponse : m_play.bytes;
      co_await asio::async_write(socket, asio::buffer(bytes),
                                 asio::use_awaitable);
      if (is_probe) continue;
      if (m_play.server_closes) co_return;
      if (m_play.late_bytes.empty()) continue;
      timer.expires_after(milliseconds(5));
      co_await timer.async_wait(asio::use_awaitable);
      co_await asio::async_write(socket, asio::buffer(m_play.late_bytes),
                                 asio::use_awaitable);
    }
  }

  asio::awaitable<void> ServeCaller(tcp::socket socket) {
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool keep_open = true;
    while (keep_open) {
      InboundRequest inbound(stream, buffer);
      if (co_await inbound.ReadHead() != ReadOutcome::kRequest) co_return;
      const bool is_probe = inbound.Head().target() == "/probe";
      LocalReply own;
      own.reason = "no route";
      if (m_play.bytes.empty() && !is_probe) {
        own.status = m_play.own_status;
        co_await WriteLocalReply(inbound, own);
        keep_open = inbound.KeepAlive() && inbound.IsFullyBuffered();
        continue;
      }
      ForwardOptions options;
      options.address = kServer;
      options.head = inbound.Head();
      options.head.set(headers::kRequestId, "mine");
      options.deadline = std::chrono::steady_clock::now() + milliseconds(2'000);
      ForwardResult result = co_await Forward(m_pool, inbound, options);
      if (!result.answered) {
        own.status = 502;
        co_await WriteLocalReply(inbound, own);
        keep_open = inbound.KeepAlive();
        continue;
      }
      const bool complete = co_await RelayResponse(inbound, result, m_pool);
      keep_open = complete && inbound.KeepAlive();
    }
  }

  asio::awaitable<void> RunCaller() {
    tcp::socket socket(m_context);
    co_await socket.async_connect({asio::ip::make_address("127.40.0.1"), 8331},
                                  asio::use_awaitable);
    const std::string first =
        m_play.method + " /first HTTP/" + m_play.version + "\r\nHost: h\r\n" +
        (m_play.method == "POST" ? "Content-Length: 2\r\n\r\nhi" : "\r\n");
    co_await asio::async_write(socket, asio::buffer(first),
                               asio::use_awaitable);
    boost::system::error_code error;
    const auto token = [&] {
      return asio::redirect_error(asio::use_awaitable, error);
    };
    std::string bytes;
    const size_t head = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(bytes), "\r\n\r\n", token());
    seen.head = bytes.substr(0, head);
    bytes.erase(0, head);
    while (!error && !TakeBody(&bytes)) {
      std::array<char, 65'536> part{};
      const size_t size =
          co_await socket.async_read_some(asio::buffer(part), token());
      bytes.append(part.data(), size);
    }
    if (error) {
      // The end of the connection ends a body that has no other end.
      seen.body_is_whole = error == asio::error::eof && EndsWithConnection();
      seen.was_reset = error == asio::error::connection_reset;
      seen.body = bytes;
      m_done = true;
      co_return;
    }
    // Bytes that belong to no response would arrive by now.
    asio::steady_timer timer(m_context);
    timer.expires_after(milliseconds(10));
    co_await timer.async_wait(asio::use_awaitable);
    const std::string_view probe =
        "GET /probe HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(probe), token());
    co_await asio::async_read(socket, asio::dynamic_buffer(bytes), token());
    seen.after = bytes;
    m_done = true;
  }

  bool Has(std::string_view field) const {
    return seen.head.find(field) != std::string::npos;
  }

  bool IsBodiless() const {
    return m_play.method == "HEAD" || seen.head.starts_with("HTTP/1.1 204") ||
           seen.head.starts_with("HTTP/1.1 304");
  }

  bool EndsWithConnection() const {
    return !IsBodiless() && !Has("Content-Length: ") && !Has("chunked");
  }

  // Moves the body from `bytes` to `seen`. Returns false if there is more of
  // it.
  bool TakeBody(std::string* bytes) {
    if (IsBodiless()) return seen.body_is_whole = true;
    if (EndsWithConnection()) return false;
    const size_t length_at = seen.head.find("Content-Length: ");
    if (length_at != std::string::npos) {
      const size_t size = std::stoul(seen.head.substr(length_at + 16));
      if (bytes->size() < size) return false;
      seen.body = bytes->substr(0, size);
      bytes->erase(0, size);
      return seen.body_is_whole = true;
    }
    while (true) {
      const size_t line = bytes->find("\r\n");
      if (line == std::string::npos) return false;
      const size_t size = std::stoul(*bytes, nullptr, 16);
      if (bytes->size() < line + 2 + size + 2) return false;
      seen.body += bytes->substr(line + 2, size);
      bytes->erase(0, line + 2 + size + 2);
      if (size == 0) return seen.body_is_whole = true;
    }
  }

  Play m_play;
  asio::io_context m_context{1};
  UpstreamPool m_pool;
  HttpServer m_server;
  HttpServer m_proxy;
  bool m_done = false;
};

std::string Chunked(const std::string& body) {
  std::string text;
  for (size_t at = 0; at < body.size(); at += 60'000) {
    const std::string part = body.substr(at, 60'000);
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    text += size.data() + part + "\r\n";
  }
  return text + "0\r\n\r\n";
}

// The response of a server with a body of its framing, as GET and POST get it.
std::string Framed(const std::string& status, const std::string& framing,
                   const std::string& body) {
  const std::string head = "HTTP/1.1 " + status + "\r\n";
  if (framing == "length") {
    return head + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  if (framing == "chunked") {
    return head + "Transfer-Encoding: chunked\r\n\r\n" + Chunked(body);
  }
  return head + "\r\n" + body;
}

bool IsProbe(const std::string& bytes) {
  return bytes.starts_with("HTTP/1.1 200 OK\r\n") &&
         bytes.ends_with("\r\n\r\nprobe") &&
         bytes.find("HTTP/1.1", 1) == std::string::npos;
}

// Guards against a caller that reads the body of a node's own response to HEAD,
// or the end of an empty chunked body, where the next response begins
// (review/2).
TEST_CASE("The next response on a connection begins where the last one ends",
          "[framing]") {
  for (const std::string method : {"GET", "POST", "HEAD"}) {
    for (const unsigned status : {400U, 404U, 413U, 429U, 502U, 503U, 504U}) {
      INFO(method << ", own response " << status);
      const Fixture fixture({.method = method, .own_status = status});
      const Seen& seen = fixture.seen;
      CHECK(seen.body_is_whole);
      CHECK(seen.head.find("Content-Length: 9") != std::string::npos);
      CHECK(seen.body == (method == "HEAD" ? "" : "no route\n"));
      CHECK(IsProbe(seen.after));
    }
    for (const std::string status :
         {"200 OK", "204 No", "304 Not", "404 No", "500 No", "503 No"}) {
      for (const std::string framing : {"length", "chunked", "close"}) {
        const bool bodiless = method == "HEAD" || status.starts_with("204") ||
                              status.starts_with("304");
        std::string bytes = Framed(status, framing, "hello");
        if (bodiless) bytes.resize(bytes.find("\r\n\r\n") + 4);
        INFO(method << ", " << status << ", " << framing);
        const Fixture fixture({.method = method,
                               .bytes = bytes,
                               .server_closes = framing == "close"});
        const Seen& seen = fixture.seen;
        CHECK(seen.body_is_whole);
        CHECK(seen.head.find("chunked") == std::string::npos);
        CHECK(seen.body == (bodiless ? "" : "hello"));
        CHECK(IsProbe(seen.after));
      }
    }
  }
}

// Guards against the same by a response that is streamed.
TEST_CASE("A streamed response ends where its framing says", "[framing]") {
  const std::string body(kLargeBody, 'x');
  for (const std::string framing : {"length", "chunked", "close"}) {
    INFO(framing);
    const Fixture fixture({.bytes = Framed("200 OK", framing, body),
                           .server_closes = framing == "close"});
    CHECK(fixture.seen.body_is_whole);
    CHECK(fixture.seen.body == body);
    CHECK(IsProbe(fixture.seen.after));
  }
}

// Guards against fields after a chunked body that take the place of the head's:
// they would name another request, another end, or another verdict.
TEST_CASE("Trailers of a response are no fields of its head", "[framing]") {
  const std::string message =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n";
  for (const std::string& trailer :
       {std::string("Late: 1"), std::string("Connection: close"),
        std::string(headers::kRequestId) + ": other",
        std::string(headers::kVerdict) + ": NotRun"}) {
    INFO(trailer);
    const Fixture fixture({.bytes = message + trailer + "\r\n\r\n"});
    const Seen& seen = fixture.seen;
    CHECK(seen.head.starts_with("HTTP/1.1 200 OK"));
    CHECK(seen.head.find(trailer) == std::string::npos);
    CHECK(seen.body == "hello");
    CHECK(IsProbe(seen.after));
  }
  // A length beside chunks is a contradiction.
  const Fixture invalid({.bytes = message + "Content-Length: 3\r\n\r\n"});
  CHECK(invalid.seen.head.starts_with("HTTP/1.1 502"));
  CHECK(IsProbe(invalid.seen.after));
}

// Guards against the same by a caller.
TEST_CASE("Trailers of a request are no fields of its head", "[framing]") {
  asio::io_context context(1);
  tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  tcp::socket caller(context);
  caller.connect(acceptor.local_endpoint());
  asio::write(caller, asio::buffer(std::string_view(
                          "POST /x HTTP/1.1\r\nHost: h\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n"
                          "5\r\nhello\r\n0\r\nHost: other\r\nLate: 1\r\n"
                          "Connection: close\r\n\r\n")));
  beast::tcp_stream stream(acceptor.accept());
  beast::flat_buffer buffer;
  InboundRequest inbound(stream, buffer);
  std::optional<ReadOutcome> outcome;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> { outcome = co_await inbound.ReadHead(); },
      asio::detached);
  context.run_for(milliseconds(50));
  REQUIRE(outcome == ReadOutcome::kRequest);
  CHECK(inbound.BufferedBody() == "hello");
  CHECK(inbound.Head().count("Host") == 1);
  CHECK(inbound.Head()["Host"] == "h");
  CHECK(inbound.Head().count("Late") == 0);
  CHECK(inbound.Head().target() == "/x");
  CHECK(inbound.KeepAlive());
}

// Guards against the body of a faulty server's response to HEAD that is taken
// for the response to the next request.
TEST_CASE("A connection whose response to HEAD has a body is not used again",
          "[framing]") {
  const std::string body = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad";
  for (const std::string framing : {"length", "chunked"}) {
    const std::string whole = Framed("200 OK", framing, body);
    const size_t head = whole.find("\r\n\r\n") + 4;
    for (const bool is_late : {false, true}) {
      INFO(framing << (is_late ? ", late" : ""));
      const Fixture fixture(
          {.method = "HEAD",
           .bytes = is_late ? whole.substr(0, head) : whole,
           .late_bytes = is_late ? whole.substr(head) : std::string()});
      CHECK(IsProbe(fixture.seen.after));
      CHECK(fixture.connections == 2);
    }
  }
}

// Guards against a caller of HTTP/1.0 that gets chunks, which it does not know,
// and against a body cut short that looks complete to it.
TEST_CASE("A caller of HTTP/1.0 gets no chunks", "[framing]") {
  const std::string body(kLargeBody, 'x');
  const Fixture whole(
      {.version = "1.0", .bytes = Framed("200 OK", "chunked", body)});
  CHECK(whole.seen.head.find("chunked") == std::string::npos);
  CHECK(whole.seen.body_is_whole);
  CHECK(whole.seen.body == body);
  std::string cut = Framed("200 OK", "chunked", body);
  cut.resize(cut.size() - 10);
  const Fixture broken({.version = "1.0", .bytes = cut, .server_closes = true});
  CHECK_FALSE(broken.seen.body_is_whole);
  CHECK(broken.seen.was_reset);
}

// Guards against the same on the connections of operators and of backend
// servers that announce themselves.
TEST_CASE("A HEAD to a buffered session has no body", "[framing]") {
  asio::io_context context(1);
  HttpServer server(
      context, {.address = kServer},
      MakeBufferedSession(
          {}, [](HttpRequest&, tcp::socket&) -> asio::awaitable<HttpResponse> {
            co_return MakeResponse(404, "no such page", "text/plain");
          }));
  REQUIRE_FALSE(server.Start());
  tcp::socket caller(context);
  caller.connect({asio::ip::make_address("127.40.0.1"), 8330});
  asio::write(
      caller,
      asio::buffer(std::string_view("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n")));
  context.run_for(milliseconds(30));
  std::array<char, 4'096> bytes{};
  const size_t size = caller.read_some(asio::buffer(bytes));
  const std::string_view text(bytes.data(), size);
  CHECK(text.starts_with("HTTP/1.1 404 "));
  CHECK(text.find("Content-Length: 12") != std::string_view::npos);
  CHECK(text.ends_with("\r\n\r\n"));
}

TEST_CASE("The framing follows from the method, the status and the version") {
  const auto frame = [](http::verb method, unsigned status, unsigned version,
                        std::optional<uint64_t> bytes) {
    http::response_header<> head;
    head.result(status);
    head.set(http::field::content_length, "7");
    head.set(http::field::transfer_encoding, "chunked");
    const BodyFraming framing =
        FrameResponse({.method = method, .version = version}, bytes, &head);
    CHECK((head.count(http::field::transfer_encoding) > 0) ==
          (framing == BodyFraming::kChunked));
    return framing;
  };
  using enum BodyFraming;
  CHECK(frame(http::verb::get, 200, 11, 5) == kLength);
  CHECK(frame(http::verb::get, 200, 11, std::nullopt) == kChunked);
  CHECK(frame(http::verb::get, 200, 10, std::nullopt) == kUntilClose);
  CHECK(frame(http::verb::head, 200, 11, 5) == kNone);
  CHECK(frame(http::verb::get, 100, 11, 5) == kNone);
  CHECK(frame(http::verb::post, 204, 11, 0) == kNone);
  CHECK(frame(http::verb::get, 304, 11, 0) == kNone);
}

}  // namespace
}  // namespace kumquatmoor
