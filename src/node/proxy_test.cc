// Tests a proxy between callers and a scripted backend server over
// loopback. The headers of the deployment have short names, see TestHeaders.

#include "kumquatmoor/node/proxy.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <fstream>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "node/local_runner.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr char kCaller[] = "127.0.0.1:17210";
constexpr char kData[] = "127.0.0.1:17211";
constexpr char kBackend[] = "127.0.0.1:17212";
constexpr char kLostNodes[] = "127.0.0.1:17213";
constexpr uint32_t kMaxAttempts = 2;  // Of each route.

CallHeaders TestHeaders() {
  return {.request_id = "Id",
          .deadline_ms = "Left",
          .expected_instance = "Expect",
          .caller_service = "From",
          .not_run = "Not-Run",
          .signature = "Signed"};
}

// What the backend server writes, and how long it waits first.
struct Reply {
  std::string bytes;
  milliseconds delay{0};
  // Written after `bytes`, again and again until the proxy closes the
  // connection. "" writes nothing.
  std::string endless = {};
  bool close = false;  // The connection ends after `bytes`.
};

std::string Bytes(const std::string& status, const std::string& headers,
                  const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Signed(const std::string& id, const std::string& body) {
  return Bytes("200 OK", "Id: " + id + "\r\nSigned: yes\r\n", body);
}

ProxyOptions OptionsWithBudget(size_t bytes) {
  ProxyOptions options;
  options.buffer_bytes = bytes;
  return options;
}

class ProxyFixture {
 public:
  // The backend server's reply to a request. Called on the proxy's thread.
  std::function<Reply(const RequestHead&)> script =
      [](const RequestHead& head) {
        return Reply{.bytes = Signed(std::string(head["Id"]), "ok")};
      };
  // Requests that reached the backend server. Not synchronized: read only while
  // no request is in progress.
  std::vector<RequestHead> seen;
  uint32_t slots = 1;  // Of the backend server.
  // Endless replies that the proxy ended by closing the connection, and the
  // bytes written in the last one. Updated on the proxy's thread.
  std::atomic<int> endless_closed = 0;
  std::atomic<size_t> endless_bytes = 0;

  ~ProxyFixture() {
    m_context.stop();
    if (m_thread.joinable()) m_thread.join();
  }

  void Start(ProxyOptions options = {}, bool with_routes = true) {
    options.id = "n1";
    options.zone = "z";
    options.caller_address = kCaller;
    options.data_address = kData;
    options.service = "own";
    options.headers = TestHeaders();
    options.admission.waiting_per_slot = 4;
    m_proxy.emplace(m_context, options, nullptr, &m_outcomes);
    REQUIRE_FALSE(m_proxy->Start());
    m_server.emplace(
        m_context, HttpServerOptions{.address = kBackend},
        [this](tcp::socket socket) { return Serve(std::move(socket)); });
    REQUIRE_FALSE(m_server->Start());
    m_thread = std::thread([this] {
      const auto work = asio::make_work_guard(m_context);
      m_context.run();
    });
    m_proxy->SetBackends({{.service = "s",
                           .version = "v1",
                           .instance = "i-1",
                           .address = kBackend,
                           .slots = slots}});
    if (with_routes) m_proxy->SetRoutes(Routes());
  }

  static std::shared_ptr<const RouteTable> Routes() {
    return Routes({"n1"}, kData);
  }

  // Routes to the targets of these members, whose nodes have the same address.
  static std::shared_ptr<const RouteTable> Routes(
      const std::vector<std::string>& members, const std::string& address) {
    Batch batch;
    batch.set_revision(1);
    ServiceConfig* service = batch.add_services();
    service->set_service("s");
    Row* row = service->add_rows();
    row->set_version("*");
    row->set_weight(100);
    row->set_from_weight(100);
    for (const bool idempotent : {true, false}) {
      HttpRoute* route = batch.add_routes();
      route->set_name(idempotent ? "read" : "write");
      route->set_host("h");
      route->set_prefix(idempotent ? "/read/" : "/write/");
      route->set_kind(idempotent ? IDEMPOTENT : NON_IDEMPOTENT);
      route->set_max_attempts(kMaxAttempts);
      WeightedService* part = route->add_parts();
      part->set_service("s");
      part->set_weight(1);
    }
    std::vector<MemberRecord> records;
    for (const auto& id : members) {
      MemberRecord& member = records.emplace_back();
      member.set_id(id);
      member.set_zone("z");
      member.set_data_address(address);
      Endpoint* endpoint = member.add_endpoints();
      endpoint->set_service("s");
      endpoint->set_version("v1");
      endpoint->set_slots(1);
    }
    return BuildRoutes(batch, {}, records, "z");
  }

  Proxy& GetProxy() { return *m_proxy; }

 private:
  asio::awaitable<void> Serve(tcp::socket socket) {
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (true) {
      http::request<http::string_body> request;
      co_await http::async_read(stream, buffer, request, asio::use_awaitable);
      seen.push_back(request.base());
      const Reply reply = script(request.base());
      asio::steady_timer timer(m_context);
      timer.expires_after(reply.delay);
      co_await timer.async_wait(asio::use_awaitable);
      co_await asio::async_write(stream, asio::buffer(reply.bytes),
                                 asio::use_awaitable);
      if (reply.close) co_return;
      if (!reply.endless.empty()) {
        co_await WriteEndless(stream, reply.endless);
      }
    }
  }

  asio::awaitable<void> WriteEndless(beast::tcp_stream& stream,
                                     const std::string& bytes) {
    endless_bytes = 0;
    beast::error_code error;
    while (!error) {
      endless_bytes += co_await asio::async_write(
          stream, asio::buffer(bytes),
          asio::redirect_error(asio::use_awaitable, error));
    }
    ++endless_closed;
  }

  asio::io_context m_context{1};
  BoundedRing<Outcome> m_outcomes{1'024};
  std::optional<Proxy> m_proxy;
  std::optional<HttpServer> m_server;
  std::thread m_thread;
};

using Response = http::response<http::string_body>;

// A caller with one persistent connection to the proxy.
class CallerClient {
 public:
  explicit CallerClient(int left_ms = 1'000)
      : m_left_ms(left_ms), m_stream(m_context) {
    m_stream.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 17210));
  }

  // The response, or nothing if the connection ended before its first byte.
  std::optional<Response> Call(const std::string& target,
                               const std::string& id = "r1",
                               const std::string& host = "h") {
    if (!Send(target, id, host)) return std::nullopt;
    return Receive();
  }

  // The status of the response, or 0 if it is not complete.
  unsigned CallForStatus(const std::string& target, const std::string& id) {
    if (!Send(target, id)) return 0;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    std::array<char, 65'536> chunk{};
    beast::error_code error;
    while (!error && !parser.is_done()) {
      parser.get().body().data = chunk.data();
      parser.get().body().size = chunk.size();
      http::read(m_stream, m_buffer, parser, error);
      if (error == http::error::need_buffer) error = {};
    }
    return error ? 0 : parser.get().result_int();
  }

  bool Send(const std::string& target, const std::string& id,
            const std::string& host = "h") {
    http::request<http::string_body> request(http::verb::get, target, 11);
    request.set(http::field::host, host);
    request.set("From", "forged");
    request.set("Left", std::to_string(m_left_ms));
    if (!id.empty()) request.set("Id", id);
    beast::error_code error;
    http::write(m_stream, request, error);
    return !error;
  }

  std::optional<Response> Receive() {
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    beast::error_code error;
    http::read(m_stream, m_buffer, parser, error);
    if (error == http::error::end_of_stream ||
        error == asio::error::connection_reset) {
      return std::nullopt;
    }
    REQUIRE_FALSE(error);
    return parser.release();
  }

 private:
  static constexpr uint64_t kMaxBodyBytes = 64U << 20U;

  int m_left_ms;
  asio::io_context m_context;
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
};

TEST_CASE_METHOD(
    ProxyFixture,
    "A request reaches the backend server with its own target and id") {
  Start();
  const auto response = CallerClient().Call("/read/7?x=1");
  REQUIRE(response);
  CHECK(response->result_int() == 200);
  CHECK((*response)["Signed"] == "yes");
  CHECK(response->body() == "ok");
  REQUIRE(seen.size() == 1);
  CHECK(seen[0].target() == "/read/7?x=1");
  CHECK(seen[0]["Host"] == "h");
  CHECK(seen[0]["Id"] == "r1");
  CHECK(seen[0]["Expect"] == "i-1");
  CHECK(seen[0]["From"] == "own");
  CHECK(seen[0].count("From") == 1);
  CHECK(std::stoi(std::string(seen[0]["Left"])) <= 1'000);
}

TEST_CASE_METHOD(ProxyFixture,
                 "Requests without a matching route or an id are rejected") {
  Start();
  CallerClient caller;
  CHECK(caller.Call("/other/")->result_int() == 404);
  CHECK(caller.Call("/read/", "r1", "elsewhere")->result_int() == 404);
  CHECK(caller.Call("/read/", "")->result_int() == 400);
  CHECK(seen.empty());
}

TEST_CASE_METHOD(ProxyFixture, "A node without a configuration returns 503") {
  Start({}, false);
  const auto response = CallerClient().Call("/read/");
  CHECK(response->result_int() == 503);
  CHECK(response->count("Retry-After") == 1);
}

// Guards, among others, against a success whose head ends in the middle and
// continues with another response's, so that the caller gets its body.
TEST_CASE_METHOD(
    ProxyFixture,
    "Each kind of backend response maps to a status for the caller") {
  struct Case {
    const char* name;
    const char* target;
    std::string first;  // The bytes that the backend server writes.
    unsigned status;
    size_t runs;  // Requests that the backend server receives.
  };
  const std::string id = "Id: r1\r\n";
  const std::string full = Bytes("503 Full", id + "Not-Run: 1\r\n", "");
  const std::string stale_then_valid =
      Signed("r0", "other") + Signed("r1", "ok");
  const Case cases[] = {
      {"an error of a read when no other target is left", "/read/",
       Bytes("500 No", id + "Signed: yes\r\n", ""), 500, 1},
      {"an error of a write is passed on", "/write/",
       Bytes("500 No", id + "Signed: yes\r\n", ""), 500, 1},
      {"a success without a signature", "/write/", Bytes("200 OK", id, "x"),
       502, 1},
      {"an answer to another request", "/write/", Signed("r9", "x"), 504, 1},
      {"an answer to an earlier request comes first", "/write/",
       stale_then_valid, 200, 1},
      {"a truncated answer", "/write/",
       "HTTP/1.1 200 OK\r\nSigned: y\r\nContent-Length: 9\r\n\r\nx", 504, 1},
      {"an interim response comes first", "/write/",
       "HTTP/1.1 100 Continue\r\n\r\n" + Signed("r1", "ok"), 200, 1},
      {"a refusal promises that nothing ran", "/write/", full, 503, 1},
      {"a refusal without the promise may have run", "/write/",
       Bytes("503 Broken", id + "Signed: yes\r\n", ""), 502, 1},
      {"another instance has the address", "/write/",
       Bytes("421 Other", id, ""), 503, 1},
      {"a refusal that names no request", "/write/",
       Bytes("503 Full", "Not-Run: 1\r\n", ""), 502, 1},
      {"a refusal with two ids", "/write/",
       Bytes("503 Full", id + "Id: r9\r\nNot-Run: 1\r\n", ""), 502, 1},
      {"another instance names no request", "/write/",
       Bytes("421 Other", "", ""), 502, 1},
      {"a head that is cut short and an earlier answer run together", "/write/",
       "HTTP/1.1 200 OK\r\n" + id + "Signed: yes\r\nA: b" +
           Signed("r0", "other"),
       502, 1},
      {"bytes that are no answer", "/write/", "nonsense\r\n\r\n", 502, 1},
      {"a status of 000", "/write/",
       Bytes("000 Odd", id + "Signed: yes\r\n", ""), 502, 1},
      {"a status of 999", "/write/",
       Bytes("999 Odd", id + "Signed: yes\r\n", ""), 502, 1},
      {"a switch of protocols that nobody asked for", "/write/",
       Bytes("101 Odd", id + "Signed: yes\r\n", ""), 502, 1},
  };
  Start();
  int next_id = 100;
  for (const auto& c : cases) {
    INFO(c.name);
    seen.clear();
    // Each case uses a new id, since a write with a known id is refused.
    const std::string own_id = "r" + std::to_string(next_id++);
    std::string bytes = c.first;
    const size_t at = bytes.find("r1");
    if (at != std::string::npos) bytes.replace(at, 2, own_id);
    script = [bytes](const RequestHead&) { return Reply{.bytes = bytes}; };
    const auto response = CallerClient().Call(c.target, own_id);
    REQUIRE(response);
    CHECK(response->result_int() == c.status);
    CHECK(seen.size() == c.runs);
    if (c.status == 503) CHECK(response->count("Retry-After") == 1);
    if (c.status == 502 || c.status == 504) {
      CHECK(response->count("Signed") == 0);
    }
  }
}

// Guards against a request with side effects that runs twice, or that the
// caller is told to send again, because a refusal without an id, which may be
// that of an earlier request, counts as its own.
TEST_CASE_METHOD(
    ProxyFixture,
    "A refusal that names no request leads to no second run and no promise") {
  Start();
  // The second target, too, is the backend server of this node.
  GetProxy().SetRoutes(Routes({"n1", "n2"}, kData));
  // First attempts, which fill the retry budget.
  constexpr int kFirstAttempts = 40;
  CallerClient caller;
  for (int i = 0; i < kFirstAttempts; ++i) {
    REQUIRE(caller.Call("/read/", "r" + std::to_string(i))->result_int() ==
            200);
  }
  script = [](const RequestHead&) {
    return Reply{.bytes = Bytes("503 Full", "Not-Run: 1\r\n", "")};
  };
  seen.clear();
  CHECK(CallerClient().Call("/write/", "w1")->result_int() == 502);
  CHECK(seen.size() == 1);
  // Behind another node.
  GetProxy().SetRoutes(Routes({"n2", "n3"}, kData));
  seen.clear();
  CHECK(CallerClient().Call("/write/", "w2")->result_int() == 502);
  CHECK(seen.size() == 1);
}

TEST_CASE_METHOD(
    ProxyFixture,
    "During a drain, open connections get responses and idle ones are closed") {
  Start({.caller_grace = milliseconds(1'000),
         .drain_timeout = milliseconds(8'000)});
  CallerClient caller;
  REQUIRE(caller.Call("/read/"));
  std::promise<void> drained;
  GetProxy().StartDrain([&] { drained.set_value(); });
  // An open connection still gets a response and is then closed.
  const auto draining = caller.Call("/read/");
  REQUIRE(draining);
  CHECK_FALSE(draining->keep_alive());
  // An idle connection is closed before the drain timeout.
  CallerClient idle;
  const auto done = drained.get_future();
  CHECK(done.wait_for(milliseconds(4'000)) == std::future_status::ready);
  CHECK_FALSE(idle.Call("/read/"));
}

// Guards against a connection that is closed without a response although the
// response before it, which was written when the drain began, kept it open.
TEST_CASE_METHOD(
    ProxyFixture,
    "A drain that begins while a response is written keeps its promise") {
  // Exceeds the buffers of the two sockets, so that the write is pending.
  constexpr size_t kBodyBytes = 12'000'000;
  script = [](const RequestHead& head) {
    return Reply{
        .bytes = Signed(std::string(head["Id"]), std::string(kBodyBytes, 'x'))};
  };
  Start({.caller_grace = milliseconds(2'000),
         .drain_timeout = milliseconds(8'000)});
  CallerClient caller(8'000);
  caller.Send("/read/", "r1");
  std::this_thread::sleep_for(milliseconds(300));
  std::promise<void> drained;
  GetProxy().StartDrain([&] { drained.set_value(); });
  std::this_thread::sleep_for(milliseconds(100));
  const auto first = caller.Receive();
  REQUIRE(first);
  REQUIRE(first->keep_alive());
  const auto second = caller.Call("/read/", "r2");
  REQUIRE(second);
  CHECK_FALSE(second->keep_alive());
  REQUIRE(drained.get_future().wait_for(milliseconds(8'000)) ==
          std::future_status::ready);
}

// Many connections send a request around the end of the caller grace, where the
// proxy closes idle connections. Guards against a request that is sent to the
// backend server although its connection was closed without a response.
TEST_CASE_METHOD(
    ProxyFixture,
    "A request at the end of the grace gets a response or does not run") {
  Start({.caller_grace = milliseconds(400),
         .drain_timeout = milliseconds(8'000)});
  constexpr int kCallers = 40;
  std::vector<std::unique_ptr<CallerClient>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<CallerClient>());
    REQUIRE(callers.back()->Call("/write/", "first" + std::to_string(i)));
  }
  std::promise<void> drained;
  GetProxy().StartDrain([&] { drained.set_value(); });
  int answered = 0;
  for (int i = 0; i < kCallers; ++i) {
    std::this_thread::sleep_for(milliseconds(20));
    if (callers[i]->Call("/write/", "second" + std::to_string(i))) ++answered;
  }
  REQUIRE(drained.get_future().wait_for(milliseconds(4'000)) ==
          std::future_status::ready);
  // The only target is draining, so the requests that got a response were
  // refused, and the backend server received none of them.
  CHECK(answered > 0);
  CHECK(answered < kCallers);
  CHECK(seen.size() == kCallers);
}

TEST_CASE_METHOD(ProxyFixture,
                 "A drain waits for a request whose head is incomplete") {
  Start({.caller_grace = milliseconds(100),
         .drain_timeout = milliseconds(8'000)});
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 17210));
  const std::string head =
      "GET /read/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nLeft: 1000\r\n\r\n";
  asio::write(stream.socket(), asio::buffer(head.substr(0, 20)));
  std::this_thread::sleep_for(milliseconds(50));
  std::promise<void> drained;
  GetProxy().StartDrain([&] { drained.set_value(); });
  const auto done = drained.get_future();
  CHECK(done.wait_for(milliseconds(400)) == std::future_status::timeout);
  asio::write(stream.socket(), asio::buffer(head.substr(20)));
  beast::flat_buffer buffer;
  Response response;
  http::read(stream, buffer, response);
  // The only target is on the node that drains.
  CHECK(response.result_int() == 503);
  CHECK_FALSE(response.keep_alive());
  CHECK(done.wait_for(milliseconds(4'000)) == std::future_status::ready);
}

// Guards against a caller whose connection is reset since it connected shortly
// before the end of the grace and its request arrives shortly after it.
TEST_CASE_METHOD(ProxyFixture,
                 "A connection of the last moment of the grace is served") {
  constexpr milliseconds kGrace{400};
  Start({.caller_grace = kGrace, .drain_timeout = milliseconds(8'000)});
  std::promise<void> drained;
  const auto start = std::chrono::steady_clock::now();
  GetProxy().StartDrain([&] { drained.set_value(); });
  std::this_thread::sleep_until(start + kGrace - milliseconds(40));
  CallerClient caller;
  std::this_thread::sleep_until(start + kGrace + milliseconds(20));
  const auto response = caller.Call("/read/1");
  REQUIRE(response);
  // The only target is on the node that drains.
  CHECK(response->result_int() == 503);
  CHECK_FALSE(response->keep_alive());
  CHECK(drained.get_future().wait_for(milliseconds(4'000)) ==
        std::future_status::ready);
}

TEST_CASE_METHOD(
    ProxyFixture,
    "Running and waiting requests get a response at the drain timeout") {
  script = [](const RequestHead&) {
    return Reply{.bytes = Signed("r1", "ok"), .delay = milliseconds(6'000)};
  };
  Start(
      {.caller_grace = milliseconds(50), .drain_timeout = milliseconds(1'000)});
  auto running = std::async(std::launch::async, [] {
    return CallerClient(8'000).Call("/write/", "r1");
  });
  std::this_thread::sleep_for(milliseconds(300));
  auto waiting = std::async(std::launch::async, [] {
    return CallerClient(8'000).Call("/write/", "r2");
  });
  std::this_thread::sleep_for(milliseconds(300));
  std::promise<void> drained;
  GetProxy().StartDrain([&] { drained.set_value(); });
  REQUIRE(drained.get_future().wait_for(milliseconds(4'000)) ==
          std::future_status::ready);
  const auto first = running.get();
  REQUIRE(first);
  CHECK(first->result_int() == 502);
  const auto second = waiting.get();
  REQUIRE(second);
  CHECK(second->result_int() == 503);
}

// A request with a body of `size` bytes, as it is sent.
std::string RawRequest(bool chunked, const std::string& id, size_t size) {
  std::string bytes = "POST /write/ HTTP/1.1\r\nHost: h\r\nLeft: 2000\r\nId: ";
  bytes += id;
  if (!chunked) {
    bytes += "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
    return bytes + std::string(size, 'b');
  }
  bytes += "\r\nTransfer-Encoding: chunked\r\n\r\n";
  bytes += fmt::format("{:x}\r\n", size) + std::string(size, 'b');
  return bytes + "\r\n0\r\n\r\n";
}

// Sends `bytes`, ends the connection's direction to the proxy or resets the
// connection, and waits until the proxy has ended it, too.
void SendAndEnd(const std::string& bytes, bool reset) {
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 17210));
  beast::error_code ended;
  asio::write(socket, asio::buffer(bytes), ended);
  if (reset) {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
    return;
  }
  socket.shutdown(tcp::socket::shutdown_send, ended);
  std::array<char, 4'096> rest{};
  while (!ended) socket.read_some(asio::buffer(rest), ended);
}

// Guards against a request that its caller has cut short and that gets to the
// backend server as a whole one.
TEST_CASE_METHOD(ProxyFixture, "No part of a request is a complete request",
                 "[cut]") {
  Start();
  constexpr size_t kSmall = 5;
  constexpr size_t kStreamed = 3 * kMaxBufferedRequestBytes;
  int next_id = 0;
  const auto send = [&](bool chunked, size_t size, size_t missing, bool reset) {
    const std::string id = "c" + std::to_string(next_id++);
    const std::string bytes = RawRequest(chunked, id, size);
    if (missing <= bytes.size()) {
      SendAndEnd(bytes.substr(0, bytes.size() - missing), reset);
    }
  };
  for (const bool chunked : {false, true}) {
    const size_t size = RawRequest(chunked, "c000", kSmall).size();
    for (size_t missing = 1; missing <= size; ++missing) {
      send(chunked, kSmall, missing, missing % 2 == 0);
    }
    for (const size_t missing : {1, 2, 4, 5, 6, 7, 8, 1'000, 100'000}) {
      for (const bool reset : {false, true}) {
        send(chunked, kStreamed, missing, reset);
      }
    }
  }
  // Resets are handled by the time that a later request is served.
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(CallerClient().Call("/write/", "last")->result_int() == 200);
  REQUIRE(seen.size() == 1);
  CHECK(seen[0]["Id"] == "last");
}

// Guards against bytes without end from a backend server: they must not take
// the node's memory, or its slot beyond the deadline, or look like a response.
TEST_CASE_METHOD(ProxyFixture,
                 "A response without end is cut off and frees its slot",
                 "[endless]") {
  // What the sockets of both sides may hold, and some reads.
  constexpr size_t kMaxHeadBytes = 16U << 20U;
  constexpr int kLeftMs = 1'000;
  const std::string signed_head = "HTTP/1.1 200 OK\r\nSigned: yes\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  std::string fields;
  std::string chunks;
  std::string interim;
  for (int i = 0; i < 1'000; ++i) {
    fields += "A: b\r\n";
    chunks += "4\r\nabcd\r\n";
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  const std::string letters(16'384, 'x');
  struct Case {
    const char* name;
    std::string bytes;
    std::string endless;
    bool in_head;  // Known to be no response without waiting for the deadline.
  };
  const Case cases[] = {
      {"no line end", "", letters, true},
      {"header fields", signed_head, fields, true},
      {"interim responses", "", interim, true},
      {"a chunk extension", signed_head + chunked + "4;", letters, true},
      {"trailer fields", signed_head + chunked + "0\r\n", fields, true},
      {"a chunked body", signed_head + chunked, chunks, false},
      {"a body until the connection ends", signed_head + "\r\n", letters,
       false},
  };
  Start();
  int id = 0;
  for (const auto& c : cases) {
    INFO(c.name);
    script = [&c](const RequestHead&) {
      return Reply{.bytes = c.bytes, .endless = c.endless};
    };
    const int closed_before = endless_closed;
    const auto start = std::chrono::steady_clock::now();
    const auto status = CallerClient(kLeftMs).CallForStatus(
        "/write/", "endless" + std::to_string(id++));
    const auto elapsed = std::chrono::steady_clock::now() - start;
    // 0: the connection ended before the end of the response.
    CHECK((status == 0 || status == 502 || status == 504));
    CHECK(elapsed < milliseconds(c.in_head ? kLeftMs / 2 : kLeftMs + 500));
    std::this_thread::sleep_for(milliseconds(50));
    CHECK(endless_closed == closed_before + 1);
    if (c.in_head) CHECK(endless_bytes <= kMaxHeadBytes);
    // The slot, of which there is one, is free.
    script = [](const RequestHead& head) {
      return Reply{.bytes = Signed(std::string(head["Id"]), "ok")};
    };
    const auto next =
        CallerClient().Call("/write/", "next" + std::to_string(id));
    REQUIRE(next);
    CHECK(next->result_int() == 200);
  }
}

TEST_CASE_METHOD(ProxyFixture,
                 "Bytes without end after a response belong to no request",
                 "[endless]") {
  const std::string letters(16'384, 'x');
  script = [&](const RequestHead& head) {
    return Reply{.bytes = Signed(std::string(head["Id"]), "ok"),
                 .endless = letters};
  };
  Start();
  CallerClient caller;
  for (int i = 0; i < 5; ++i) {
    const auto response = caller.Call("/write/", "r" + std::to_string(i));
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    CHECK(response->body() == "ok");
  }
}

// Guards against a response that breaks off on its way and whose missing bytes
// are taken from the next response on the caller's connection.
TEST_CASE_METHOD(ProxyFixture,
                 "A streamed response that breaks off is not completed") {
  // More than a node holds back until the response is complete.
  constexpr size_t kSentBytes = 2'000'000;
  constexpr size_t kMissingBytes = 10;
  script = [](const RequestHead& head) {
    const std::string id(head["Id"]);
    if (id != "r1") return Reply{.bytes = Signed(id, "ok")};
    std::string bytes =
        Signed(id, std::string(kSentBytes + kMissingBytes, 'x'));
    bytes.resize(bytes.size() - kMissingBytes);
    return Reply{.bytes = std::move(bytes), .close = true};
  };
  Start();
  CallerClient caller;
  REQUIRE(caller.Send("/read/1", "r1"));
  // Reads the response to the first request. The connection ends at once, not
  // with the idle timeout.
  const auto start = std::chrono::steady_clock::now();
  CHECK(caller.CallForStatus("/read/2", "r2") == 0);
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
}

// A host's outgoing link: a FIFO queue that sends `rate` bytes per second.
// Reads what the proxy writes to its connections and computes how long a packet
// that entered the queue at the worst moment would wait.
class EmulatedLink {
 public:
  explicit EmulatedLink(double rate) : m_rate(rate) {}

  // Sends a request for the local backend server, as another node does.
  void Request(const std::string& id) {
    tcp::socket& socket = m_sockets.emplace_back(m_context);
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 17211));
    http::request<http::string_body> request(http::verb::get, "/read/1", 11);
    request.set(headers::kService, "s");
    request.set(headers::kVersion, "v1");
    request.set(headers::kIdempotent, "1");
    request.set("Id", id);
    request.set("Left", "20000");
    http::write(socket, request);
    socket.non_blocking(true);
  }

  // Reads until `bytes` have arrived in total, or for 20 s.
  void ReadUntil(size_t bytes) {
    constexpr std::chrono::seconds kLimit{20};
    const auto start = std::chrono::steady_clock::now();
    auto last_read = start;
    double backlog = 0;
    while (m_bytes < bytes) {
      const size_t arrived = ReadAvailable();
      const auto now = std::chrono::steady_clock::now();
      if (now - start > kLimit) return;
      // The bytes arrived at some time since the last read, so that a late read
      // does not count as a burst.
      const std::chrono::duration<double> elapsed = now - last_read;
      backlog += static_cast<double>(arrived) - elapsed.count() * m_rate;
      backlog = std::max(0.0, backlog);
      m_longest_wait_ms = std::max(m_longest_wait_ms, 1'000 * backlog / m_rate);
      m_bytes += arrived;
      last_read = now;
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  size_t Bytes() const { return m_bytes; }
  double LongestWaitMs() const { return m_longest_wait_ms; }

 private:
  size_t ReadAvailable() {
    size_t total = 0;
    for (auto& socket : m_sockets) {
      beast::error_code error;
      while (!error) total += socket.read_some(asio::buffer(m_buffer), error);
    }
    return total;
  }

  double m_rate;  // Bytes per second.
  asio::io_context m_context;
  std::deque<tcp::socket> m_sockets;
  std::array<char, 65'536> m_buffer{};
  size_t m_bytes = 0;
  double m_longest_wait_ms = 0;
};

// Nodes of other hosts that end each connection once they have read a request.
class LostNodes {
 public:
  LostNodes()
      : m_server(
            m_context, {.address = kLostNodes},
            [this](tcp::socket socket) { return Serve(std::move(socket)); }) {
    REQUIRE_FALSE(m_server.Start());
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~LostNodes() {
    m_context.stop();
    m_thread.join();
  }
  int Requests() const { return m_requests; }

 private:
  asio::awaitable<void> Serve(tcp::socket socket) {
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                    "\r\n\r\n", asio::use_awaitable);
    ++m_requests;
  }

  asio::io_context m_context{1};
  HttpServer m_server;
  std::atomic<int> m_requests = 0;
  std::thread m_thread;
};

// Guards against a request that is sent to more targets than its route allows,
// since attempts whose outcome is unknown were not counted.
TEST_CASE_METHOD(ProxyFixture,
                 "Attempts whose connection is lost count as sent") {
  const LostNodes nodes;
  Start({}, false);
  GetProxy().SetRoutes(Routes({"n2", "n3", "n4", "n5", "n6"}, kLostNodes));
  CallerClient caller;
  CHECK(caller.CallForStatus("/read/1", "r1") == 502);
  CHECK(nodes.Requests() == static_cast<int>(kMaxAttempts));
}

constexpr double kLinkRate = 1'250'000;  // 10 Mbit/s, in bytes per second.
constexpr size_t kLargeBodyBytes = 90'000;

// Memory of this process that is no file's, in bytes.
size_t AnonymousMemory() {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    size_t kilobytes = 0;
    if (word == "RssAnon:" && status >> kilobytes) return kilobytes * 1'024;
  }
  return 0;
}

// Guards against a node that runs out of memory, since each of many responses
// is within its bound, but all are held at once: they stop before their end.
TEST_CASE_METHOD(ProxyFixture, "Responses that stall are bounded in sum",
                 "[buffer-budget]") {
  constexpr size_t kBudget = 16U << 20U;
  constexpr size_t kCallers = 120;
  const std::string part(900'000, 'x');
  script = [&](const RequestHead& head) {
    const std::string id(head["Id"]);
    if (!id.starts_with("stalled")) return Reply{.bytes = Signed(id, "ok")};
    return Reply{.bytes = "HTTP/1.1 200 OK\r\nId: " + id +
                          "\r\nSigned: y\r\nContent-Length: 1000000\r\n\r\n" +
                          part};
  };
  slots = 2 * kCallers;
  Start(OptionsWithBudget(kBudget));
  REQUIRE(CallerClient().Call("/read/0")->result_int() == 200);
  const size_t before = AnonymousMemory();
  std::vector<std::unique_ptr<CallerClient>> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<CallerClient>(2'000));
    const std::string id = "stalled" + std::to_string(i);
    REQUIRE(callers.back()->Send("/read/" + id, id));
    std::this_thread::sleep_for(milliseconds(5));
  }
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(AnonymousMemory() - before < 2 * kBudget);
  // What does not fit is refused before it runs, and says so.
  const auto refused = CallerClient().Call("/read/1", "refused");
  REQUIRE(refused);
  CHECK(refused->result_int() == 503);
  CHECK(refused->count("Retry-After") == 1);
  // All is returned once the deadlines have passed.
  callers.clear();
  std::this_thread::sleep_for(milliseconds(200));
  const auto after = CallerClient().Call("/read/2", "last");
  REQUIRE(after);
  CHECK(after->result_int() == 200);
  for (const auto& request : seen) CHECK(request["Id"] != "refused");
}

// What the peer has got when the connection ends, or after a response.
struct Reception {
  unsigned status = 0;  // 0: no response.
  std::string verdict;
  std::string id;
  bool has_retry_after = false;
};

// Sends a request with a body of `body_bytes` to one of the proxy's ports and
// reads after all of it is sent, as a node does.
Reception SendLargeBody(uint16_t port, size_t body_bytes) {
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
  http::request<http::string_body> request(http::verb::post, "/write/1", 11);
  request.set(http::field::host, "h");
  request.set(headers::kService, "s");
  request.set(headers::kVersion, "v1");
  request.set("Id", "large");
  request.set("Left", "5000");
  request.body().assign(body_bytes, 'x');
  request.prepare_payload();
  beast::error_code error;
  http::write(stream, request, error);
  if (error) return {};
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::read(stream, buffer, response, error);
  if (error) return {};
  return {.status = response.result_int(),
          .verdict = std::string(response[headers::kVerdict]),
          .id = std::string(response["Id"]),
          .has_retry_after = response.count("Retry-After") > 0};
}

// Guards against a request that is not tried elsewhere, since the node whose
// buffers are full while it reads the request ends the connection without a
// word, or with a reset that discards its response.
TEST_CASE_METHOD(
    ProxyFixture,
    "A request that does not fit the buffers is refused as not run",
    "[buffer-budget]") {
  constexpr size_t kBudget = 48U << 10U;
  constexpr uint16_t kCallerPort = 17210;
  constexpr uint16_t kDataPort = 17211;
  Start(OptionsWithBudget(kBudget));
  for (const size_t body : {60'000U, 300'000U, 3'000'000U}) {
    for (const uint16_t port : {kCallerPort, kDataPort}) {
      INFO(body << " bytes to port " << port);
      const Reception reception = SendLargeBody(port, body);
      CHECK(reception.status == 503);
      CHECK(reception.verdict == VerdictName(Verdict::kNotRun));
      CHECK(reception.id == "large");
      CHECK(reception.has_retry_after);
    }
  }
  CHECK(seen.empty());
}

// The most bytes that the system holds for one connection of this network.
struct SocketQueues {
  size_t unread = 0;  // Received on a connection to `remote_port`.
  size_t unsent = 0;  // Written to a connection at `local_port`.
};

SocketQueues LargestQueues(unsigned remote_port, unsigned local_port) {
  SocketQueues largest;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    unsigned local = 0;
    unsigned remote = 0;
    unsigned unsent = 0;
    unsigned unread = 0;
    const int fields =
        std::sscanf(line.c_str(), " %*d: %*8x:%x %*8x:%x %*x %x:%x", &local,
                    &remote, &unsent, &unread);
    if (fields != 4) continue;
    if (remote == remote_port) {
      largest.unread = std::max<size_t>(largest.unread, unread);
    }
    if (local == local_port) {
      largest.unsent = std::max<size_t>(largest.unsent, unsent);
    }
  }
  return largest;
}

// Guards against a host that runs out of memory by what the system holds of a
// response that was fast, once its caller stops reading: megabytes for each
// connection, which no budget of the process counts.
TEST_CASE_METHOD(ProxyFixture, "A caller that stops reading fills no buffers",
                 "[buffer-budget]") {
  constexpr uint16_t kCallerPort = 17210;
  constexpr unsigned kBackendPort = 17212;
  constexpr size_t kFastBytes = 200'000'000;
  constexpr size_t kMaxQueued = 512U << 10U;
  const std::string letters(65'536, 'x');
  script = [&](const RequestHead& head) {
    return Reply{.bytes = "HTTP/1.1 200 OK\r\nId: " + std::string(head["Id"]) +
                          "\r\nSigned: y\r\nContent-Length: 900000000\r\n\r\n",
                 .endless = letters};
  };
  Start();
  asio::io_context context;
  tcp::socket caller(context);
  caller.connect({asio::ip::make_address("127.0.0.1"), kCallerPort});
  asio::write(caller, asio::buffer(std::string_view(
                          "GET /read/1 HTTP/1.1\r\nHost: h\r\nId: r\r\n"
                          "Left: 20000\r\n\r\n")));
  std::vector<char> part(1U << 20U);
  for (size_t total = 0; total < kFastBytes;) {
    total += caller.read_some(asio::buffer(part));
  }
  std::this_thread::sleep_for(milliseconds(500));
  const SocketQueues queues = LargestQueues(kBackendPort, kCallerPort);
  CHECK(queues.unread <= kMaxQueued);
  CHECK(queues.unsent <= kMaxQueued);
  CHECK(queues.unsent > 0);
}

class LinkFixture : public ProxyFixture {
 public:
  // Starts a proxy whose backend server runs `count` requests at once, and
  // requests as many large responses by way of the host's link.
  void RequestLargeResponses(int count) {
    slots = static_cast<uint32_t>(count);
    script = [](const RequestHead& head) {
      return Reply{.bytes = Signed(std::string(head["Id"]),
                                   std::string(kLargeBodyBytes, 'x'))};
    };
    Start({.link_rate = kLinkRate});
    GetProxy().ChargeLink(control_bytes);
    for (int i = 0; i < count; ++i) link.Request("bulk" + std::to_string(i));
  }

  // Bytes of control traffic that the host sends before the responses.
  size_t control_bytes = 0;
  EmulatedLink link{kLinkRate};
};

// Guards against control traffic that waits behind the responses in the host's
// link: probes get lost and configurations come late.
TEST_CASE_METHOD(LinkFixture,
                 "Large responses leave room for control traffic on the link",
                 "[link]") {
  constexpr int kResponses = 20;
  // A probe crosses two links in each direction, and is repeated by way of
  // another member after 300 ms.
  constexpr double kMaxWaitMs = 100;
  RequestLargeResponses(kResponses);
  link.ReadUntil(kResponses * kLargeBodyBytes);
  CHECK(link.Bytes() >= kResponses * kLargeBodyBytes);
  CHECK(link.LongestWaitMs() <= kMaxWaitMs);
}

// Guards against a synchronisation with a large configuration that times out
// because responses use the link at the same time.
TEST_CASE_METHOD(LinkFixture,
                 "Large responses yield the link to control messages",
                 "[link]") {
  constexpr int kResponses = 10;
  control_bytes = 500'000;
  const auto start = std::chrono::steady_clock::now();
  RequestLargeResponses(kResponses);
  link.ReadUntil(kResponses * kLargeBodyBytes);
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  CHECK(link.Bytes() >= kResponses * kLargeBodyBytes);
  CHECK(elapsed.count() * kLinkRate >=
        static_cast<double>(kResponses * kLargeBodyBytes + control_bytes));
}

// Guards against requests that a delayed node finds in its sockets and passes
// on although their callers have left meanwhile.
TEST_CASE_METHOD(ProxyFixture,
                 "A request whose caller has left is not passed on") {
  constexpr int kCallers = 5;
  slots = kCallers;
  Start();
  // The connections to the backend server exist already.
  REQUIRE(CallerClient().Call("/write/", "first"));
  std::vector<std::unique_ptr<CallerClient>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<CallerClient>());
  }
  std::this_thread::sleep_for(milliseconds(50));
  std::promise<void> is_paused;
  GetProxy().ReadMetrics([&](const CallMetrics&) {
    is_paused.set_value();
    std::this_thread::sleep_for(milliseconds(300));
  });
  is_paused.get_future().wait();
  for (int i = 0; i < kCallers; ++i) {
    REQUIRE(callers[i]->Send("/write/", "left" + std::to_string(i)));
  }
  callers.clear();
  std::this_thread::sleep_for(milliseconds(600));
  const auto last = CallerClient().Call("/write/", "last");
  REQUIRE(last);
  CHECK(last->result_int() == 200);
  CHECK(seen.size() == 2);
}

// Guards against a response that is ready, but is cut off at the timeout of its
// route while it waits for the link.
TEST_CASE_METHOD(LinkFixture,
                 "A complete response is delivered also after its deadline",
                 "[link]") {
  constexpr int kLeftMs = 200;
  constexpr size_t kOtherBytes = 750'000;  // Fill the link for 600 ms.
  script = [this](const RequestHead& head) {
    GetProxy().ChargeLink(kOtherBytes);
    return Reply{.bytes = Signed(std::string(head["Id"]),
                                 std::string(kLargeBodyBytes, 'x'))};
  };
  Start({.link_rate = kLinkRate, .callers_use_link = true});
  CallerClient caller(kLeftMs);
  const auto start = std::chrono::steady_clock::now();
  REQUIRE(caller.Send("/read/1", "r1"));
  const auto response = caller.Receive();
  CHECK(std::chrono::steady_clock::now() - start > milliseconds(kLeftMs));
  REQUIRE(response);
  CHECK(response->result_int() == 200);
  CHECK(response->body().size() == kLargeBodyBytes);
  CHECK(caller.Call("/read/2", "r2"));
}

}  // namespace
}  // namespace kumquatmoor
