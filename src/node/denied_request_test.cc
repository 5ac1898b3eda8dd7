// Which requests get a status of 3xx or 4xx. Raw bytes go through a proxy to a
// scripted backend server, over loopback.

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "node/denial_fixture.h"

namespace kumquatmoor {
namespace {

// Guards against a 4xx of the node for a request that the configuration allows.
TEST_CASE_METHOD(DenialFixture, "Every form of a proper request is accepted") {
  struct Case {
    const char* name;
    std::vector<std::string> parts;
  };
  const std::string get = "GET /a/1 HTTP/1.1";
  const std::string post = "POST /a/1 HTTP/1.1";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const auto sized = [](size_t size) {
    return "Content-Length: " + std::to_string(size) + "\r\n\r\n";
  };
  const std::string head = Head(get) + "\r\n";
  std::vector<std::string> bytes;
  for (char byte : head) bytes.emplace_back(1, byte);
  std::vector<std::string> pieces{Head(post, sized(70'000))};
  for (int i = 0; i < 70; ++i) pieces.emplace_back(1'000, 'b');
  std::vector<std::string> chunks{Head(post, chunked)};
  for (int i = 0; i < 100; ++i) chunks.push_back(Chunk(1'000, ";k=v"));
  chunks.emplace_back("0\r\n\r\n");
  std::string many_fields;
  for (int i = 0; i < 200; ++i) {
    many_fields += "F" + std::to_string(i) + ": 1\r\n";
  }
  const std::string large_head = PaddedHead(Head(get), kHeaderLimit);
  const std::vector<std::string> split_head{
      large_head.substr(0, kHeaderLimit - 2),
      large_head.substr(kHeaderLimit - 2)};
  const Case cases[] = {
      {"a port in the host",
       {"GET /a/1 HTTP/1.1\r\nHost: HUTS.example:8080\r\nId: p1\r\n\r\n"}},
      {"a query", {Head("GET /a/?x=/b/ HTTP/1.1") + "\r\n"}},
      {"byte by byte", bytes},
      {"an empty line first", {"\r\n" + Head(get) + "\r\n"}},
      {"an empty line in pieces", {"\r", "\n", Head(get) + "\r\n"}},
      {"a folded field", {Head(get, "Folded: a\r\n b\r\n") + "\r\n"}},
      {"many fields", {Head(get, many_fields) + "\r\n"}},
      {"a head of the limit", {PaddedHead(Head(get), kHeaderLimit)}},
      {"a head of the limit, its end apart", split_head},
      {"a body of the limit",
       {Head(post, sized(kBodyLimit)) + std::string(kBodyLimit, 'b')}},
      {"a body of the limit in chunks",
       {Head(post, chunked) + Chunk(kBodyLimit) + "0\r\n\r\n"}},
      {"an empty body in chunks", {Head(post, chunked) + "0\r\n\r\n"}},
      {"extensions and a trailer",
       {Head(post, chunked) + Chunk(9, ";a=\"b\"") + "0\r\nT: 1\r\n\r\n"}},
      {"a body in small pieces", pieces},
      {"many chunks", chunks},
      {"100-continue",
       {Head(post, "Expect: 100-continue\r\n" + sized(3)), "abc"}},
      {"HTTP/1.0", {Head("GET /a/1 HTTP/1.0") + "\r\n"}},
  };
  for (const auto& c : cases) {
    INFO(c.name);
    RawCaller caller;
    caller.Send(c.parts);
    CHECK(caller.Status() == 200);
  }
  // Requests that arrive together, one of them with a line end after its body.
  RawCaller caller;
  caller.Send({Head(post, sized(3)) + "abc\r\n" + Head(get) + "\r\n" +
               PaddedHead(Head(get), kHeaderLimit)});
  for (int i = 0; i < 3; ++i) CHECK(caller.Status() == 200);
}

// Guards against limits on an open connection that are not those in force.
TEST_CASE_METHOD(DenialFixture, "Limits that grow hold on open connections") {
  constexpr uint32_t kLargeHeader = 400'000;
  RawCaller open;
  open.Send({Head("GET /a/1 HTTP/1.1") + "\r\n"});
  REQUIRE(open.Status() == 200);
  Configure(2, {.header_limit = kLargeHeader});
  Metrics();
  // The wait for this request began with the earlier limits.
  open.Send({Head("GET /a/1 HTTP/1.1") + "\r\n"});
  REQUIRE(open.Status() == 200);
  open.Send({LargeHead(Head("GET /a/1 HTTP/1.1"), kLargeHeader - 2'000)});
  CHECK(open.Status() == 200);
}

// Guards against a 413 by the earlier limits for the first request that follows
// on a connection which was idle while the limits were raised.
TEST_CASE_METHOD(DenialFixture, "A request has the limits of its arrival") {
  constexpr uint64_t kLargerBody = 2 * kBodyLimit;
  RawCaller idle;
  idle.Send({Head("GET /a/1 HTTP/1.1") + "\r\n"});
  REQUIRE(idle.Status() == 200);
  Configure(2, {.body_limit = kLargerBody});
  Metrics();
  idle.Send(
      {Head("POST /a/1 HTTP/1.1",
            "Content-Length: " + std::to_string(kLargerBody) + "\r\n\r\n") +
       std::string(kLargerBody, 'b')});
  CHECK(idle.Status() == 200);
}

// Guards against a 413 or 431 by default limits, which no configuration has
// set, of a node that has just started.
TEST_CASE("A node without a configuration denies nothing", "[unconfigured]") {
  struct Case {
    const char* name;
    std::string bytes;
  };
  const std::string get = "GET /a/1 HTTP/1.1";
  const std::string post = "POST /a/1 HTTP/1.1";
  const auto sized = [&](const std::string& size) {
    return Head(post, "Content-Length: " + size + "\r\n\r\n");
  };
  const Case cases[] = {
      {"a short head", Head(get) + "\r\n"},
      {"no id", "GET /a/1 HTTP/1.1\r\nHost: huts.example\r\n\r\n"},
      {"no route", "GET /b/1 HTTP/1.1\r\nHost: h\r\nId: u1\r\n\r\n"},
      {"a head of the default limit", PaddedHead(Head(get), 16'384)},
      {"a head beyond the default limit", PaddedHead(Head(get), 17'000)},
      {"a large head", LargeHead(Head(get), 60'000)},
      {"a field beyond the library's limit", PaddedHead(Head(get), 70'000)},
      {"a body", sized("5") + "abcde"},
      {"a body beyond the default limit", sized("268435457")},
      {"a body of the largest length", sized("18446744073709551615")},
      {"a chunk beyond the default limit",
       Head(post, "Transfer-Encoding: chunked\r\n\r\n") + "10000001\r\n"},
      {"bytes that are no request", "nonsense\r\n\r\n"},
  };
  DenialFixture fixture(false);
  for (const bool has_joined : {false, true}) {
    if (has_joined) fixture.JoinWithoutConfiguration();
    for (const auto& c : cases) {
      INFO(c.name << (has_joined ? ", joined" : ""));
      RawCaller caller;
      caller.Send({c.bytes});
      CHECK(caller.Status() == 503);
    }
  }
  CHECK(fixture.Metrics().find("kumquatmoor_denied_total{") ==
        std::string::npos);
}

// Guards against a 413 or 431 by limits that were replaced while the request
// arrived: those of a node without a configuration, or of one that was behind.
TEST_CASE("A request is not denied by limits that were replaced",
          "[unconfigured]") {
  constexpr uint32_t kLargeHeader = 100'000;
  constexpr uint64_t kLargeBody = 400'000;
  const DenialOptions raised{.header_limit = kLargeHeader,
                             .body_limit = kLargeBody};
  const std::string head =
      LargeHead(Head("GET /a/1 HTTP/1.1"), kLargeHeader - 2'000);
  const std::string body =
      Head("POST /a/1 HTTP/1.1", "Transfer-Encoding: chunked\r\n\r\n") +
      Chunk(kLargeBody - 10) + "0\r\n\r\n";
  for (const bool was_configured : {false, true}) {
    for (const auto* request : {&head, &body}) {
      const std::string& bytes = *request;
      INFO((was_configured ? "behind, " : "unconfigured, ") << bytes[0]);
      DenialFixture fixture(was_configured);
      if (was_configured) fixture.SetBehind(true);
      fixture.Metrics();
      RawCaller caller;
      caller.Send({bytes.substr(0, 50)});
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      fixture.Configure(2, raised);
      fixture.SetBehind(false);
      fixture.Metrics();
      caller.Send({bytes.substr(50)});
      // The default limit on bodies is larger.
      const bool was_within = !was_configured && &bytes == &body;
      CHECK(caller.Status() == (was_within ? 200 : 503));
      RawCaller next;
      next.Send({bytes});
      CHECK(next.Status() == 200);
    }
  }
}

// Guards against a 503, which callers repeat, for a request that exceeds the
// limits in force.
TEST_CASE_METHOD(DenialFixture, "Limits in force still deny",
                 "[unconfigured]") {
  Configure(2, {.header_limit = 2 * kHeaderLimit, .body_limit = kBodyLimit});
  Metrics();
  RawCaller large;
  large.Send({PaddedHead(Head("GET /a/1 HTTP/1.1"), size_t{3} * kHeaderLimit)});
  CHECK(large.Status() == 431);
  RawCaller body;
  body.Send(
      {Head("POST /a/1 HTTP/1.1",
            "Content-Length: " + std::to_string(kBodyLimit + 1) + "\r\n\r\n")});
  CHECK(body.Status() == 413);
}

// Guards against a 400 for a request of which only a part arrived.
TEST_CASE_METHOD(DenialFixture,
                 "A request that ends early is not counted as malformed") {
  const std::string body =
      Head("POST /a/1 HTTP/1.1", "Content-Length: 9\r\n\r\n") + "abc";
  const std::string cases[] = {"GET /a/1 HT", Head("GET /a/1 HTTP/1.1"), body};
  for (const auto& bytes : cases) {
    INFO(bytes);
    RawCaller caller;
    caller.Send({bytes});
    caller.CloseForWriting();
    CHECK(caller.Status() == 0);
  }
  CHECK(Metrics().find("status=\"400\"") == std::string::npos);
}

// Guards against a node that ends since a header field exceeds what the HTTP
// library can store, though the operators' limit allows it.
TEST_CASE_METHOD(DenialFixture, "A huge header field ends its request only") {
  Configure(2, {.header_limit = 400'000});
  Metrics();
  RawCaller caller;
  const std::string head = PaddedHead(Head("GET /a/1 HTTP/1.1"), 100'000);
  caller.Send({head.substr(0, 50'000), head.substr(50'000)});
  CHECK(caller.Status() == 431);
  RawCaller other;
  other.Send({Head("GET /a/1 HTTP/1.1") + "\r\n"});
  CHECK(other.Status() == 200);
}

// Guards against the same by the trailer of a chunked body.
TEST_CASE_METHOD(DenialFixture, "A huge trailer ends its request only") {
  const std::string body =
      Head("POST /a/1 HTTP/1.1", "Transfer-Encoding: chunked\r\n\r\n") +
      "0\r\n";
  const std::string trailer = "T: " + std::string(100'000, 't') + "\r\n\r\n";
  for (const auto& parts :
       {std::vector{body + trailer}, std::vector{body, trailer},
        std::vector{body + trailer.substr(0, 50'000),
                    trailer.substr(50'000)}}) {
    RawCaller caller;
    caller.Send(parts);
    CHECK(caller.Status() == 431);
  }
  RawCaller other;
  other.Send({Head("GET /a/1 HTTP/1.1") + "\r\n"});
  CHECK(other.Status() == 200);
  // A trailer in the response.
  reply =
      "HTTP/1.1 200 OK\r\nSigned: y\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n" +
      trailer;
  RawCaller third;
  third.Send({Head("GET /a/1 HTTP/1.1") + "\r\n"});
  CHECK(third.Status() >= 502);
}

// Guards against a damaged response of a backend server that reaches the caller
// as a statement that its request is wrong, so that it is not sent again.
TEST_CASE_METHOD(DenialFixture,
                 "A denial without the signature is no response") {
  struct Case {
    const char* head;
    unsigned status;
  };
  const Case cases[] = {
      {"404 No\r\n", 502},
      {"400 No\r\n", 502},
      {"301 Moved\r\nLocation: /b/\r\n", 502},
      {"431 No\r\n", 502},
      {"429 Busy\r\n", 502},
      {"404 No\r\nSigned: y\r\n", 404},
      {"301 Moved\r\nSigned: y\r\n", 301},
      // A refusal is not signed.
      {"421 Other\r\nId: ID\r\n", 503},
      {"429 Busy\r\nId: ID\r\nNot-Run: 1\r\n", 503},
      {"400 No id\r\nId: ID\r\nNot-Run: 1\r\n", 503},
      // It has to name the request.
      {"421 Other\r\n", 502},
      {"429 Busy\r\nNot-Run: 1\r\n", 502},
      {"400 No id\r\nNot-Run: 1\r\n", 502},
      {"500 Failed\r\n", 500},
  };
  for (const auto& c : cases) {
    INFO(c.head);
    const std::string request = Head("GET /a/1 HTTP/1.1") + "\r\n";
    const size_t id_at = request.find("Id: ") + 4;
    const std::string id =
        request.substr(id_at, request.find("\r\n", id_at) - id_at);
    std::string head = c.head;
    if (const size_t at = head.find("ID"); at != std::string::npos) {
      head.replace(at, 2, id);
    }
    reply = "HTTP/1.1 " + head + "Content-Length: 0\r\n\r\n";
    RawCaller caller;
    caller.Send({request});
    CHECK(caller.Status() == c.status);
  }
}

// Guards against a 3xx or 4xx that the log and the metrics do not explain.
TEST_CASE_METHOD(DenialFixture, "Each denial is logged and counted by origin") {
  std::ostringstream log;
  const auto earlier = spdlog::default_logger();
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
      "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(log)));
  const auto send = [](const std::string& bytes) {
    RawCaller caller;
    caller.Send({bytes});
    return caller.Status();
  };
  CHECK(send("GET /b\"/ HTTP/1.1\r\nHost: h\r\nId: x1\r\n\r\n") == 404);
  CHECK(send("GET /a/ HTTP/1.1\r\nHost: huts.example\r\n\r\n") == 400);
  CHECK(send(PaddedHead(Head("GET /a/ HTTP/1.1"), size_t{2} * kHeaderLimit)) ==
        431);
  CHECK(send("nonsense\r\n\r\n") == 400);
  reply = "HTTP/1.1 404 No\r\nSigned: y\r\nContent-Length: 0\r\n\r\n";
  CHECK(send(Head("GET /a/ HTTP/1.1") + "\r\n") == 404);
  const std::string metrics = Metrics();
  spdlog::set_default_logger(earlier);
  const std::string text = log.str();
  const char* expected[] = {
      "request=x1 status=404 origin=node method=GET host=\"h\"",
      "target=\"/b?/\" revision=1 routes=1 in_force_ms=",
      "max_header_bytes=4096 max_body_bytes=300000 reason=\"no route\"",
      "reason=\"no request id\"",
      "reason=\"the request is not accepted: header limit exceeded\"",
      "reason=\"the request is not accepted: bad method\"",
      "status=404 origin=backend method=GET host=\"huts.example\"",
      "route=r service=s version=v1 signed=true offers=1 reason=\"No\"",
  };
  for (const char* part : expected) {
    INFO(part << "\n" << text);
    CHECK(text.find(part) != std::string::npos);
  }
  const auto has = [&](const char* labels) {
    return metrics.find(std::string("kumquatmoor_denied_total{") + labels) !=
           std::string::npos;
  };
  CHECK(has("status=\"404\",origin=\"node\"} 1"));
  CHECK(has("status=\"400\",origin=\"node\"} 2"));
  CHECK(has("status=\"431\",origin=\"node\"} 1"));
  CHECK(has("status=\"404\",origin=\"backend\"} 1"));
}

}  // namespace
}  // namespace kumquatmoor
