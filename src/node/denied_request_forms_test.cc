// Forms of requests and responses that are rare, and what a caller gets for
// each: a request that the configuration allows must not get a 3xx or 4xx that
// no backend server has signed.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "node/denial_fixture.h"

namespace kumquatmoor {
namespace {

constexpr char kNoBody[] = "\r\n";

std::string ToHost(const std::string& line, const std::string& host,
                   const std::string& fields = "") {
  static int next_id = 0;
  return line + "\r\nHost: " + host + "\r\nId: h" + std::to_string(next_id++) +
         "\r\n" + fields + "\r\n";
}

std::string PostOf(size_t bytes) {
  return Head("POST /a/1 HTTP/1.1",
              "Content-Length: " + std::to_string(bytes) + "\r\n\r\n") +
         std::string(bytes, 'b');
}

unsigned StatusOf(const std::string& bytes, uint16_t port = kCallerPort) {
  RawCaller caller(port);
  caller.Send({bytes});
  return caller.Status();
}

// Guards against a 404 for a proper request that names its host or its path in
// another way than most.
TEST_CASE_METHOD(DenialFixture, "Every form of a host and a target is routed",
                 "[forms]") {
  const std::string get = "GET /a/1 HTTP/1.1";
  const std::string absolute = "http://Huts.example:80/a/1?x=/b/";
  struct Case {
    const char* name;
    std::string bytes;
    unsigned status;
  };
  const Case cases[] = {
      {"upper case and a port", ToHost(get, "HUTS.EXAMPLE:8080"), 200},
      {"a port without digits", ToHost(get, "huts.example:"), 200},
      {"a trailing dot", ToHost(get, "huts.example."), 200},
      {"a trailing dot and a port", ToHost(get, "Huts.Example.:80"), 200},
      {"spaces around the host", ToHost(get, "  huts.example \t"), 200},
      {"absolute form", ToHost("GET " + absolute + " HTTP/1.1", "huts.example"),
       200},
      {"absolute form of another host than the field",
       ToHost("GET " + absolute + " HTTP/1.1", "other.example"), 200},
      {"absolute form, upper case scheme",
       ToHost("GET HTTP://huts.example/a/ HTTP/1.1", "huts.example"), 200},
      {"absolute form without Host",
       "GET " + absolute + " HTTP/1.1\r\nId: f1\r\n\r\n", 200},
      {"absolute form of a host without routes",
       ToHost("GET http://other.example/a/1 HTTP/1.1", "huts.example"), 404},
      {"absolute form without a path",
       ToHost("GET http://huts.example HTTP/1.1", "huts.example"), 404},
      {"absolute form with a query only",
       ToHost("GET http://huts.example?x=/a/ HTTP/1.1", "huts.example"), 404},
      {"an address in the path",
       ToHost("GET /a/http://other.example/b/ HTTP/1.1", "huts.example"), 200},
      {"dot segments", ToHost("GET /a/../b/./ HTTP/1.1", "huts.example"), 200},
      {"encoded dot segments",
       ToHost("GET /a/%2e%2E/%2Fb HTTP/1.1", "huts.example"), 200},
      {"empty segments", ToHost("GET /a//// HTTP/1.1", "huts.example"), 200},
      {"characters beyond ASCII",
       ToHost("GET /a/\xc3\xa9?\xff HTTP/1.1", "huts.example"), 200},
      {"rare characters",
       ToHost("GET /a/;,|^`{}[]\"<>\\'()*+!$&=@~ HTTP/1.1", "huts.example"),
       200},
      // No prefix begins these paths.
      {"the prefix without its slash",
       ToHost("GET /a HTTP/1.1", "huts.example"), 404},
      {"an encoded prefix", ToHost("GET /%61/1 HTTP/1.1", "huts.example"), 404},
      {"an encoded slash", ToHost("GET /a%2F1 HTTP/1.1", "huts.example"), 404},
      {"a query only", ToHost("GET ?x=/a/ HTTP/1.1", "huts.example"), 404},
      {"the whole server", ToHost("OPTIONS * HTTP/1.1", "huts.example"), 404},
      {"OPTIONS", ToHost("OPTIONS /a/ HTTP/1.1", "huts.example"), 200},
  };
  for (const auto& c : cases) {
    INFO(c.name);
    CHECK(StatusOf(c.bytes) == c.status);
  }
}

// Guards against a backend server that gets a target that only proxies accept,
// or another path than the caller has sent.
TEST_CASE_METHOD(DenialFixture, "The path is passed on as it came", "[forms]") {
  struct Case {
    std::string target;
    std::string passed_on;
  };
  const Case cases[] = {
      {"/a/%2e./x//y?q=%20#f", "/a/%2e./x//y?q=%20#f"},
      {"http://huts.example/a/%2e./x//y?q", "/a/%2e./x//y?q"},
      {"HTTP://Huts.Example:80/a/", "/a/"},
  };
  for (const auto& c : cases) {
    INFO(c.target);
    REQUIRE(StatusOf(ToHost("GET " + c.target + " HTTP/1.1", "huts.example")) ==
            200);
    CHECK(std::string(LastHead().target()) == c.passed_on);
  }
}

// Guards against a 400 for a proper request with header fields that are rare.
TEST_CASE_METHOD(DenialFixture, "Every form of a header field is accepted",
                 "[forms]") {
  const std::string get = "GET /a/1 HTTP/1.1";
  struct Case {
    const char* name;
    std::string bytes;
  };
  const Case cases[] = {
      {"a value beyond ASCII", Head(get, "N: \xc3\xa9\xff\r\n\r\n")},
      {"an empty value", Head(get, "N:\r\nM: \r\n\r\n")},
      {"tabs around a value", Head(get, "N:\t1\t2\t\r\n\r\n")},
      {"no space after the colon", Head(get, "N:1\r\n\r\n")},
      {"rare characters in a name", Head(get, "!#$%&'*+-.^_`|~9: 1\r\n\r\n")},
      {"a field twice", Head(get, "N: 1\r\nN: 2\r\n\r\n")},
      {"lists in Connection",
       Head(get, "Connection: keep-alive, N\r\nN: 1\r\n\r\n")},
      {"an upgrade",
       Head(get,
            "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
            "HTTP2-Settings: AAMAAABkAAQ\r\n\r\n")},
      {"TE", Head(get, "Connection: TE\r\nTE: trailers\r\n\r\n")},
      {"an encoding in upper case",
       Head("POST /a/1 HTTP/1.1", "Transfer-Encoding: Chunked\r\n\r\n") +
           Chunk(3) + "0\r\n\r\n"},
      {"a body of GET", Head(get, "Content-Length: 3\r\n\r\n") + "abc"},
      {"a body of DELETE",
       Head("DELETE /a/1 HTTP/1.1", "Content-Length: 3\r\n\r\n") + "abc"},
      {"an empty body", Head("PUT /a/1 HTTP/1.1", "Content-Length: 0\r\n\r\n")},
      {"a length twice", Head("POST /a/1 HTTP/1.1",
                              "Content-Length: 3\r\nContent-Length: "
                              "3\r\n\r\n") +
                             "abc"},
      {"leading zeros in a length",
       Head("POST /a/1 HTTP/1.1", "Content-Length: 003\r\n\r\n") + "abc"},
      {"a trailer that is announced",
       Head("POST /a/1 HTTP/1.1",
            "Trailer: T\r\nTransfer-Encoding: chunked\r\n\r\n") +
           Chunk(3) + "0\r\nT: 1\r\n\r\n"},
      {"upper case digits and zeros in a chunk size",
       Head("POST /a/1 HTTP/1.1", "Transfer-Encoding: chunked\r\n\r\n") +
           "000A\r\n0123456789\r\n000\r\n\r\n"},
      {"a method of its own", Head("PURGE-ALL /a/1 HTTP/1.1", "\r\n")},
      {"PATCH", Head("PATCH /a/1 HTTP/1.1", "Content-Length: 0\r\n\r\n")},
      {"no deadline",
       "GET /a/1 HTTP/1.1\r\nHost: huts.example\r\nId: "
       "d1\r\n\r\n"},
      {"a deadline that is no number",
       "GET /a/1 HTTP/1.1\r\nHost: huts.example\r\nId: d2\r\nLeft: "
       "1e3\r\n\r\n"},
      {"a long id", "GET /a/1 HTTP/1.1\r\nHost: huts.example\r\nId: " +
                        std::string(2'000, 'i') + "\r\n\r\n"},
  };
  for (const auto& c : cases) {
    INFO(c.name);
    CHECK(StatusOf(c.bytes) == 200);
  }
}

// Guards against a caller that waits for 100 Continue in vain, and against a
// 100 for a request whose size is refused.
TEST_CASE_METHOD(DenialFixture, "100 Continue is sent for each proper request",
                 "[forms]") {
  for (const char* expect : {"100-continue", "100-Continue", "100-CONTINUE"}) {
    INFO(expect);
    RawCaller caller;
    caller.Send(
        {Head("POST /a/1 HTTP/1.1", std::string("Expect: ") + expect +
                                        "\r\nContent-Length: 3\r\n\r\n"),
         "abc"});
    CHECK(caller.Statuses() == std::vector<unsigned>{100, 200});
  }
  RawCaller caller;
  caller.Send({Head("POST /a/1 HTTP/1.1",
                    "Expect: 100-continue\r\nContent-Length: " +
                        std::to_string(kBodyLimit + 1) + "\r\n\r\n")});
  CHECK(caller.Statuses() == std::vector<unsigned>{413});
}

// Guards against a request that is refused by limits that the configuration
// does not set.
TEST_CASE_METHOD(DenialFixture, "A limit of 0 is no limit of 0 bytes",
                 "[forms]") {
  Configure(2, {.header_limit = 0, .body_limit = 0});
  Metrics();
  CHECK(StatusOf(Head("GET /a/1 HTTP/1.1") + kNoBody) == 200);
  CHECK(StatusOf(PaddedHead(Head("GET /a/1 HTTP/1.1"), 12'000)) == 200);
  CHECK(StatusOf(PostOf(1'000'000)) == 200);
}

// Guards against a request that its own node accepts and the next one does not,
// as the first one adds header fields, or by limits of nodes.
TEST_CASE_METHOD(DenialFixture,
                 "A request within the limits gets from node to node",
                 "[forms]") {
  constexpr uint32_t kDefaultHeaderLimit = 16'384;
  Configure(2, {.header_limit = kDefaultHeaderLimit});
  Metrics();
  const std::string get = "GET /a/1 HTTP/1.1";
  for (const size_t size : {1'000, 15'000, 16'000, 16'300, 16'384}) {
    INFO(size);
    CHECK(StatusOf(PaddedHead(Head(get), size), kRemoteCallerPort) == 200);
  }
  constexpr uint32_t kLargeHeaderLimit = 300'000;
  Configure(3, {.header_limit = kLargeHeaderLimit});
  Metrics();
  for (const size_t size : {20'000, 60'000, 100'000, 290'000}) {
    INFO(size);
    CHECK(StatusOf(LargeHead(Head(get), size), kRemoteCallerPort) == 200);
  }
}

// Guards against a denial by a server that is no node, at an address that a
// node has left, that reaches the caller as a statement on its request.
TEST_CASE_METHOD(DenialFixture, "Only a node's response counts as one",
                 "[forms]") {
  Configure(2, {.data_address = kStrangerAddress});
  Metrics();
  const std::string get = "GET /a/1 HTTP/1.1";
  for (const char* head :
       {"404 Not Found\r\n", "400 Bad\r\n", "421 Other\r\n", "301 Moved\r\n",
        "404 Not Found\r\nId: ID\r\n", "431 Large\r\nServer: x\r\n",
        "404 Not Found\r\nKumquatmoor-Verdict: Ran\r\nId: ID\r\n",
        "200 OK\r\nKumquatmoor-Verdict: Ran\r\nId: ID\r\n",
        "200 OK\r\nId: ID\r\n"}) {
    INFO(head);
    reply = "HTTP/1.1 " + std::string(head) + "Content-Length: 0\r\n\r\n";
    CHECK(StatusOf(Head(get) + kNoBody, kRemoteCallerPort) == 502);
  }
  reply =
      "HTTP/1.1 404 Not Found\r\nKumquatmoor-Verdict: Ran\r\nSigned: y\r\n"
      "Id: ID\r\nContent-Length: 0\r\n\r\n";
  CHECK(StatusOf(Head(get) + kNoBody, kRemoteCallerPort) == 404);
}

// Guards against a status of an odd response that reaches the next request on
// either of its connections.
TEST_CASE_METHOD(DenialFixture,
                 "A request after an odd response gets its own response",
                 "[forms]") {
  const std::string sound =
      "HTTP/1.1 200 OK\r\nSigned: y\r\nId: ID\r\nContent-Length: 2\r\n\r\nok";
  const std::string denial =
      "HTTP/1.1 404 Not Found\r\nSigned: y\r\nId: ID\r\nContent-Length: "
      "0\r\n\r\n";
  struct Case {
    std::string odd;
    unsigned status;
  };
  const Case cases[] = {
      {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", 502},
      {"HTTP/1.1 301 Moved\r\nLocation: /b/\r\nContent-Length: 0\r\n\r\n", 502},
      {"HTTP/1.1 404 Not F\r\n" + sound, 502},
      {"HTTP/1.1 4040 No\r\nContent-Length: 0\r\n\r\n", 502},
      {"nonsense\r\n\r\n", 502},
      {denial, 404},
      {sound + denial, 200},
      {sound + "HTTP/1.1 404 ", 200},
  };
  for (const uint16_t port : {kCallerPort, kRemoteCallerPort}) {
    for (const auto& c : cases) {
      INFO(port << " " << c.odd);
      reply = c.odd;
      RawCaller caller(port);
      caller.Send({Head("GET /a/1 HTTP/1.1") + kNoBody});
      CHECK(caller.Status() == c.status);
      reply = sound;
      // Two requests at once, then one that follows.
      caller.Send({Head("GET /a/2 HTTP/1.1") + kNoBody +
                   Head("GET /a/3 HTTP/1.1") + kNoBody});
      for (int i = 0; i < 2; ++i) CHECK(caller.Status() == 200);
      caller.Send({Head("GET /a/4 HTTP/1.1") + kNoBody});
      CHECK(caller.Status() == 200);
    }
  }
}

// Guards against a status, or a refusal, that belongs to an earlier response
// whose head was cut before its id, and that the next response completes.
TEST_CASE_METHOD(DenialFixture, "Two heads that run together are no response",
                 "[forms]") {
  const std::string whole =
      "HTTP/1.1 200 OK\r\nSigned: y\r\nId: ID\r\nContent-Length: 0\r\n\r\n";
  const std::string refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nServer: x y";
  const std::string cuts[] = {
      "HTTP/1.1 404 N",
      "HTTP/1.1 404 Not Found\r\nServer: x",
      "HTTP/1.1 404 Not Found\r\nServer: ",
      "HTTP/1.0 301 Moved\r\nLocation: /b/",
      "HTTP/1.1 429 ",
      refusal,
      refusal.substr(0, refusal.size() - 4),
  };
  for (const auto& cut : cuts) {
    INFO(cut);
    reply = cut + whole;
    CHECK(StatusOf(Head("GET /a/1 HTTP/1.1") + kNoBody) == 502);
  }
  // Texts that only resemble a status line.
  reply =
      "HTTP/1.1 200 as of HTTP/1.1\r\nVia: HTTP/1.1 x, HTTP/1.1 20\r\n"
      "Signed: y\r\nId: ID\r\nContent-Length: 0\r\n\r\n";
  CHECK(StatusOf(Head("GET /a/1 HTTP/1.1") + kNoBody) == 200);
}

}  // namespace
}  // namespace kumquatmoor
