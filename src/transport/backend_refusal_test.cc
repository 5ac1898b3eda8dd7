// A backend server, scripted byte by byte, refuses a request and later writes a
// refusal once more on the same connection, while the next request is due or
// already runs. A refusal promises that the request was not executed, so one
// that may belong to an earlier request must never be believed.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <stdexcept>
#include <utility>
#include <vector>

#include "kumquatmoor/transport/endpoint_address.h"
#include "kumquatmoor/transport/exchange.h"
#include "kumquatmoor/transport/http_server.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr char kBackendAddress[] = "127.40.0.1:8220";
constexpr char kProxyAddress[] = "127.40.0.1:8221";
constexpr milliseconds kDeadline{400};
// Until a request that was sent has been read by the backend server.
constexpr milliseconds kSettleTime{5};
// Exceeds the first read of the backend server, so that a body is still to come
// when the head has been read.
constexpr size_t kPostBytes = 40'000;

const CallHeaders& TestHeaders() {
  static const CallHeaders kNames{
      .request_id = "Id", .not_run = "Not-Run", .signature = "Signed"};
  return kNames;
}

// A refusal of the request `id`, or of no request in particular if it is empty.
std::string Refusal(const std::string& status, const std::string& id) {
  std::string bytes = "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n";
  if (!id.empty()) bytes += "Id: " + id + "\r\n";
  if (status.substr(0, 3) != "421") bytes += "Not-Run: 1\r\n";
  return bytes + "\r\nno";
}

std::string Success(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSigned: yes\r\nId: " + id +
         "\r\n\r\nok";
}

// When the copy of the refusal is written.
enum class CopyMoment {
  kWithRefusal,    // In the same write as the refusal.
  kWhileIdle,      // After `copy_delay`.
  kDuringRequest,  // When the head of the second request has been read.
  kAfterRequest,   // When the second request runs.
};

// Two requests. The first is refused, or gets `first` if that is not empty. The
// second is executed.
struct Play {
  std::string status = "503 Full";
  std::string first = {};
  std::string copy;
  CopyMoment moment = CopyMoment::kAfterRequest;
  http::verb method = http::verb::post;
  std::string second_id = "second";
  microseconds copy_delay{0};
  microseconds gap{0};  // Between the requests.
};

struct Seen {
  std::vector<Verdict> verdicts;  // In the order of the requests.
  size_t connections = 0;         // To the backend server.
  bool second_ran = false;
  std::string second_body;  // Of the response to the second request.
};

class Scene {
 public:
  explicit Scene(Play play) : m_play(std::move(play)) {}

  Seen Run() {
    HttpServer backend(
        m_context, {.address = kBackendAddress},
        [this](tcp::socket socket) { return ServeBackend(std::move(socket)); });
    HttpServer proxy(
        m_context, {.address = kProxyAddress},
        [this](tcp::socket socket) { return ServeProxy(std::move(socket)); });
    if (backend.Start() || proxy.Start()) throw std::runtime_error("bind");
    asio::co_spawn(m_context, SendBoth(), [this](std::exception_ptr failure) {
      m_failure = std::move(failure);
      m_context.stop();
    });
    m_context.run_for(3 * kDeadline);
    if (m_failure) std::rethrow_exception(m_failure);
    return m_seen;
  }

 private:
  asio::awaitable<void> Sleep(microseconds time) {
    asio::steady_timer timer(m_context);
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::awaitable<void> ServeBackend(tcp::socket socket) {
    ++m_seen.connections;
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool refused_here = false;
    const auto write = [&](std::string bytes) -> asio::awaitable<void> {
      co_await asio::async_write(stream, asio::buffer(bytes),
                                 asio::use_awaitable);
    };
    while (true) {
      http::request_parser<http::string_body> request;
      co_await http::async_read_header(stream, buffer, request,
                                       asio::use_awaitable);
      const bool first = !m_refused;
      if (!first && refused_here &&
          m_play.moment == CopyMoment::kDuringRequest) {
        co_await write(m_play.copy);
      }
      co_await http::async_read(stream, buffer, request, asio::use_awaitable);
      if (first) {
        m_refused = refused_here = true;
        std::string bytes = m_play.first;
        if (bytes.empty()) bytes = Refusal(m_play.status, "first");
        if (m_play.moment == CopyMoment::kWithRefusal) bytes += m_play.copy;
        co_await write(std::move(bytes));
        if (m_play.moment == CopyMoment::kWhileIdle) {
          co_await Sleep(m_play.copy_delay);
          co_await write(m_play.copy);
        }
        continue;
      }
      m_seen.second_ran = true;
      if (refused_here && m_play.moment == CopyMoment::kAfterRequest) {
        co_await write(m_play.copy);
      }
      co_await Sleep(milliseconds(2));
      co_await write(Success(m_play.second_id));
    }
  }

  asio::awaitable<void> ServeProxy(tcp::socket socket) {
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    InboundRequest inbound(stream, buffer);
    co_await inbound.ReadHead();
    ForwardOptions options;
    options.address = kBackendAddress;
    options.head = inbound.Head();
    options.deadline = std::chrono::steady_clock::now() + kDeadline;
    options.headers = &TestHeaders();
    options.to_backend = true;
    ForwardResult result = co_await Forward(m_pool, inbound, options);
    m_seen.verdicts.push_back(result.verdict);
    m_seen.second_body = result.answered ? result.buffered_body : "";
    if (result.answered) {
      co_await RelayResponse(inbound, result, m_pool);
    }
  }

  asio::awaitable<void> Send(std::string id) {
    beast::tcp_stream stream(m_context);
    co_await stream.async_connect(*TcpEndpoint(kProxyAddress),
                                  asio::use_awaitable);
    http::request<http::string_body> request(m_play.method, "/x", 11);
    request.set("Id", id);
    if (m_play.method == http::verb::post) {
      request.body() = std::string(kPostBytes, 'b');
    }
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    beast::error_code ended;
    co_await http::async_read(stream, buffer, response,
                              asio::redirect_error(asio::use_awaitable, ended));
  }

  asio::awaitable<void> SendBoth() {
    co_await Send("first");
    co_await Sleep(m_play.gap);
    co_await Send(m_play.second_id);
    co_await Sleep(kSettleTime);
  }

  Play m_play;
  asio::io_context m_context{1};
  UpstreamPool m_pool{m_context};
  bool m_refused = false;
  Seen m_seen;
  std::exception_ptr m_failure;
};

// Whom the copy names.
enum class CopyId { kNone, kFirst, kGarbled };

constexpr CopyMoment kMoments[] = {
    CopyMoment::kWithRefusal, CopyMoment::kWhileIdle,
    CopyMoment::kDuringRequest, CopyMoment::kAfterRequest};
constexpr const char* kStatuses[] = {"503 Full", "429 Many", "421 Other",
                                     "400 Bad"};

std::string CopyOf(const std::string& status, CopyId id) {
  switch (id) {
    case CopyId::kNone:
      return Refusal(status, "");
    case CopyId::kFirst:
      return Refusal(status, "first");
    case CopyId::kGarbled:
      return Refusal(status, "fi\x01st");
  }
  return {};
}

// The first request is always refused, and the second one runs.
void CheckNoFalsePromise(const Play& play, const Seen& seen) {
  INFO(play.copy << " moment=" << static_cast<int>(play.moment)
                 << " method=" << http::to_string(play.method) << " delay_us="
                 << play.copy_delay.count() << " gap_us=" << play.gap.count());
  REQUIRE(seen.verdicts.size() == 2);
  CHECK(seen.verdicts[0] == Verdict::kNotRun);
  if (seen.second_ran) CHECK(seen.verdicts[1] != Verdict::kNotRun);
}

// Guards against a request that is reported as not executed while it runs,
// because an earlier refusal was written once more, without its id.
TEST_CASE("A repeated refusal without an id is not believed") {
  for (const char* status : kStatuses) {
    for (const CopyMoment moment : kMoments) {
      for (const http::verb method : {http::verb::get, http::verb::post}) {
        const Play play{.status = status,
                        .copy = CopyOf(status, CopyId::kNone),
                        .moment = moment,
                        .method = method,
                        .gap = milliseconds(1)};
        CheckNoFalsePromise(play, Scene(play).Run());
      }
    }
  }
}

// Guards against a refusal of an earlier request that counts for the next one,
// or that costs the next one its response.
TEST_CASE("A repeated refusal with the id of another request is skipped") {
  for (const char* status : kStatuses) {
    for (const CopyMoment moment : kMoments) {
      for (const http::verb method : {http::verb::get, http::verb::post}) {
        const Play play{.status = status,
                        .copy = CopyOf(status, CopyId::kFirst),
                        .moment = moment,
                        .method = method,
                        .gap = milliseconds(1)};
        const Seen seen = Scene(play).Run();
        CheckNoFalsePromise(play, seen);
        CHECK(seen.second_ran);
        CHECK(seen.verdicts.back() == Verdict::kRan);
      }
    }
  }
}

// Guards against an earlier success or failure that is written once more,
// without its id, and becomes the response to the next request.
TEST_CASE("A repeated response without an id answers no other request") {
  for (const char* status : {"200 OK", "500 No"}) {
    const std::string copy = std::string("HTTP/1.1 ") + status +
                             "\r\nContent-Length: 5\r\nSigned: yes\r\n";
    for (const CopyMoment moment : kMoments) {
      for (const http::verb method : {http::verb::get, http::verb::post}) {
        INFO(status << " moment=" << static_cast<int>(moment)
                    << " method=" << http::to_string(method));
        const Seen seen = Scene({.first = copy + "Id: first\r\n\r\nfirst",
                                 .copy = copy + "\r\nfirst",
                                 .moment = moment,
                                 .method = method,
                                 .gap = milliseconds(1)})
                              .Run();
        REQUIRE(seen.verdicts.size() == 2);
        CHECK(seen.verdicts[1] != Verdict::kNotRun);
        CHECK(seen.second_body != "first");
      }
    }
  }
}

// Guards against a repeated refusal that has the right id because the request
// itself was refused before on the connection and is sent again.
TEST_CASE("A request that was refused is not sent again on its connection") {
  for (const CopyMoment moment : kMoments) {
    for (const http::verb method : {http::verb::get, http::verb::post}) {
      const Play play{.copy = CopyOf("503 Full", CopyId::kFirst),
                      .moment = moment,
                      .method = method,
                      .second_id = "first",
                      .gap = milliseconds(1)};
      const Seen seen = Scene(play).Run();
      CheckNoFalsePromise(play, seen);
      CHECK(seen.verdicts.back() == Verdict::kRan);
    }
  }
}

// Guards against false promises that depend on when exactly a copy arrives, in
// particular between the look at the idle connection and the write.
TEST_CASE("No moment of a repeated refusal makes a false promise") {
  constexpr int kSeeds = 150;
  constexpr int kMaxPauseUs = 600;
  for (int seed = 0; seed < kSeeds; ++seed) {
    INFO("seed " << seed);
    std::mt19937 rng(static_cast<unsigned>(seed));
    const auto draw = [&](size_t count) {
      return std::uniform_int_distribution<size_t>(0, count - 1)(rng);
    };
    const char* status = kStatuses[draw(std::size(kStatuses))];
    const Play play{
        .status = status,
        .copy = CopyOf(status, static_cast<CopyId>(draw(3))),
        .moment = draw(2) == 0 ? CopyMoment::kWhileIdle : kMoments[draw(4)],
        .method = draw(2) == 0 ? http::verb::get : http::verb::post,
        .second_id = draw(3) == 0 ? "first" : "second",
        .copy_delay = microseconds(draw(kMaxPauseUs)),
        .gap = microseconds(draw(kMaxPauseUs))};
    CheckNoFalsePromise(play, Scene(play).Run());
  }
}

// Guards against a refusal that is doubted although it can be no other
// request's, so that a request with side effects is not sent to another
// backend server.
TEST_CASE("A refusal that names its request is believed") {
  for (const char* status : kStatuses) {
    const Seen seen = Scene({.status = status}).Run();
    REQUIRE(seen.verdicts.size() == 2);
    CHECK(seen.verdicts[0] == Verdict::kNotRun);
    CHECK(seen.verdicts[1] == Verdict::kRan);
    CHECK(seen.connections == 1);
  }
}

}  // namespace
}  // namespace kumquatmoor
