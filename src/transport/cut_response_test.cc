// A backend server ends its connection after every possible number of bytes of
// a response. The caller must not get a success that looks complete unless the
// whole response was sent. Only one cut cannot be detected: a response without
// a length, which ends with its connection, that is closed within its body.

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <optional>
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
using std::chrono::milliseconds;

constexpr char kBackendAddress[] = "127.40.0.1:8230";
constexpr char kNodeAddress[] = "127.40.0.1:8231";
constexpr char kProxyAddress[] = "127.40.0.1:8232";
constexpr milliseconds kDeadline{2'000};
constexpr std::chrono::seconds kMaxTestTime{120};
// Larger than the buffer of a response, so that it is streamed.
constexpr size_t kLargeBody = kMaxBufferedResponseBytes + 300'000;

enum class Framing { kLength, kChunked, kUntilClose };
enum class Ending { kClose, kReset };

constexpr std::array kFramings = {Framing::kLength, Framing::kChunked,
                                  Framing::kUntilClose};

struct Answer {
  std::string bytes;
  size_t head_size = 0;
  std::string body;  // As the caller is to get it.
};

// The signature comes first, so that a head that is cut short has it.
Answer MakeAnswer(Framing framing, const std::string& body,
                  const std::string& status = "200 OK") {
  std::string bytes = "HTTP/1.1 " + status + "\r\nSigned: yes\r\nId: r1\r\n";
  switch (framing) {
    case Framing::kLength:
      bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
      break;
    case Framing::kChunked:
      bytes += "Transfer-Encoding: chunked\r\n";
      break;
    case Framing::kUntilClose:
      bytes += "Connection: close\r\n";
      break;
  }
  bytes += "X-Last: 12\r\n\r\n";
  const size_t head_size = bytes.size();
  if (framing == Framing::kChunked) {
    const size_t half = body.size() / 2;
    for (const auto& part : {body.substr(0, half), body.substr(half)}) {
      std::array<char, 20> size{};
      std::snprintf(size.data(), size.size(), "%zx", part.size());
      bytes += std::string(size.data()) + "\r\n" + part + "\r\n";
    }
    bytes += "0\r\nX-Trailer: 1\r\n\r\n";
  } else {
    bytes += body;
  }
  return {.bytes = bytes, .head_size = head_size, .body = body};
}

// What a caller has received.
struct Received {
  unsigned status = 0;  // 0: no complete head.
  bool complete = false;
  bool has_length = false;  // Framed by a length or in chunks.
  std::string body;
};

Received Parse(const std::string& bytes) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  parser.eager(true);
  beast::error_code error;
  asio::const_buffer rest = asio::buffer(bytes);
  while (!error && !parser.is_done() && rest.size() > 0) {
    rest += parser.put(rest, error);
  }
  if (!parser.got_some() || !parser.is_header_done()) return {};
  if (!parser.is_done()) parser.put_eof(error);
  return {.status = parser.get().result_int(),
          .complete = !error && parser.is_done(),
          .has_length = !parser.need_eof(),
          .body = parser.get().body()};
}

struct SceneOptions {
  bool signature = true;  // The deployment has a signature header.
  bool behind_node =
      false;  // Another node is between proxy and backend server.
  std::string method = "GET";
};

class Scene {
 public:
  explicit Scene(SceneOptions options) : m_options(std::move(options)) {
    m_names.request_id = "Id";
    m_names.not_run = "Not-Run";
    if (m_options.signature) m_names.signature = "Signed";
    Listen(kBackendAddress, [this](tcp::socket socket) {
      return ServeBackend(std::move(socket));
    });
    Listen(kNodeAddress, [this](tcp::socket socket) {
      return ServeProxy(std::move(socket), kBackendAddress);
    });
    Listen(kProxyAddress, [this](tcp::socket socket) {
      return ServeProxy(std::move(socket),
                        m_options.behind_node ? kNodeAddress : kBackendAddress);
    });
  }

  // Plays a request to which the backend server writes `bytes`.
  Received Play(std::string bytes, Ending ending) {
    m_bytes = std::move(bytes);
    m_ending = ending;
    std::string received;
    std::exception_ptr failure;
    bool done = false;
    asio::co_spawn(m_context, Call(&received), [&](std::exception_ptr thrown) {
      failure = std::move(thrown);
      done = true;
      m_context.stop();
    });
    m_context.restart();
    m_context.run_for(kMaxTestTime);
    if (failure) std::rethrow_exception(failure);
    if (!done) throw std::runtime_error("no end of the connection");
    return Parse(received);
  }

 private:
  void Listen(const std::string& address, HttpServer::Session session) {
    m_servers.push_back(std::make_unique<HttpServer>(
        m_context, HttpServerOptions{.address = address}, std::move(session)));
    if (m_servers.back()->Start()) throw std::runtime_error("cannot bind");
  }

  asio::awaitable<void> ServeBackend(tcp::socket socket) {
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                    "\r\n\r\n", asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(m_bytes),
                               asio::use_awaitable);
    if (m_ending == Ending::kReset) {
      // The bytes are to be read before the reset arrives.
      asio::steady_timer timer(m_context);
      timer.expires_after(milliseconds(2));
      co_await timer.async_wait(asio::use_awaitable);
      // Destruction alone would undo the option.
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
    }
  }

  asio::awaitable<void> ServeProxy(tcp::socket socket, std::string address) {
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    InboundRequest inbound(stream, buffer);
    co_await inbound.ReadHead();
    ForwardOptions options;
    options.to_backend = address == kBackendAddress;
    options.address = std::move(address);
    options.head = inbound.Head();
    options.deadline = std::chrono::steady_clock::now() + kDeadline;
    options.headers = &m_names;
    ForwardResult result = co_await Forward(m_pool, inbound, options);
    if (result.answered) {
      co_await RelayResponse(inbound, result, m_pool);
    } else {
      LocalReply reply;
      reply.status = 502;
      reply.verdict = result.verdict;
      reply.request_id = "r1";
      reply.request_id_header = m_names.request_id;
      reply.reason = result.reason;
      co_await WriteLocalReply(inbound, reply);
    }
  }

  asio::awaitable<void> Call(std::string* received) {
    tcp::socket socket(m_context);
    co_await socket.async_connect(*TcpEndpoint(kProxyAddress),
                                  asio::use_awaitable);
    const std::string request =
        m_options.method + " /x HTTP/1.1\r\nId: r1\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request),
                               asio::use_awaitable);
    beast::error_code ended;
    co_await asio::async_read(socket, asio::dynamic_buffer(*received),
                              asio::redirect_error(asio::use_awaitable, ended));
  }

  SceneOptions m_options;
  CallHeaders m_names;
  asio::io_context m_context{1};
  UpstreamPool m_pool{m_context};
  std::vector<std::unique_ptr<HttpServer>> m_servers;
  std::string m_bytes;
  Ending m_ending = Ending::kClose;
};

bool IsCompleteSuccess(const Received& received) {
  return received.complete && received.status / 100 == 2;
}

const std::vector<SceneOptions>& Scenes() {
  static const std::vector<SceneOptions> kScenes = {
      {},
      {.signature = false},
      {.behind_node = true},
      {.signature = false, .behind_node = true}};
  return kScenes;
}

// Checks that a part of `answer` is no complete success for the caller.
void CheckCut(Scene& scene, const Answer& answer, Framing framing, size_t size,
              Ending ending) {
  INFO("framing=" << static_cast<int>(framing) << " bytes=" << size << " of "
                  << answer.bytes.size() << " head=" << answer.head_size
                  << " reset=" << (ending == Ending::kReset));
  const Received received = scene.Play(answer.bytes.substr(0, size), ending);
  const bool undetectable = framing == Framing::kUntilClose &&
                            ending == Ending::kClose &&
                            size >= answer.head_size;
  if (undetectable) return;
  CHECK_FALSE(IsCompleteSuccess(received));
}

// Guards against a response that was cut short, in its head or later, and gets
// to the caller as a complete success.
TEST_CASE("No part of a response is a complete success", "[cut]") {
  for (const auto& options : Scenes()) {
    Scene scene(options);
    INFO("signature=" << options.signature << " node=" << options.behind_node);
    for (const Framing framing : kFramings) {
      const Answer answer = MakeAnswer(framing, "0123456789ab");
      for (size_t size = 0; size < answer.bytes.size(); ++size) {
        CheckCut(scene, answer, framing, size, Ending::kClose);
      }
      const Received whole = scene.Play(answer.bytes, Ending::kClose);
      CHECK(IsCompleteSuccess(whole));
      CHECK(whole.body == answer.body);
    }
  }
}

// Guards against a response that was reset and counts as one that has ended,
// in particular one that ends with its connection.
TEST_CASE("No part of a response that is reset is a complete success",
          "[cut]") {
  constexpr size_t kStep = 5;
  for (const auto& options : Scenes()) {
    Scene scene(options);
    INFO("signature=" << options.signature << " node=" << options.behind_node);
    for (const Framing framing : kFramings) {
      const Answer answer = MakeAnswer(framing, "0123456789ab");
      for (size_t size = 0; size < answer.bytes.size(); size += kStep) {
        CheckCut(scene, answer, framing, size, Ending::kReset);
      }
    }
    const Answer unframed = MakeAnswer(Framing::kUntilClose, "0123456789ab");
    CheckCut(scene, unframed, Framing::kUntilClose, unframed.bytes.size(),
             Ending::kReset);
  }
}

// Guards against a response after an interim one of which the interim one, or a
// part of the final one, counts as the whole.
TEST_CASE("No part of a response after an interim one is a complete success",
          "[cut]") {
  const std::string interim =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n";
  Scene scene({});
  for (const Framing framing : kFramings) {
    Answer answer = MakeAnswer(framing, "0123");
    answer.bytes.insert(0, interim);
    answer.head_size += interim.size();
    for (size_t size = 0; size < answer.bytes.size(); ++size) {
      CheckCut(scene, answer, framing, size, Ending::kClose);
    }
    CHECK(IsCompleteSuccess(scene.Play(answer.bytes, Ending::kClose)));
  }
}

// Guards against a cut head of a response that never has a body.
TEST_CASE("No part of a head without a body is a complete success", "[cut]") {
  struct Case {
    std::string method;
    std::string status;
  };
  const Case cases[] = {{"HEAD", "200 OK"}, {"GET", "204 No Content"}};
  for (const auto& c : cases) {
    INFO(c.method << " " << c.status);
    Scene scene({.method = c.method});
    for (const Framing framing : kFramings) {
      Answer answer = MakeAnswer(framing, "0123", c.status);
      for (size_t size = 0; size < answer.head_size; ++size) {
        CheckCut(scene, answer, framing, size, Ending::kClose);
      }
    }
  }
}

// Guards against a large response that breaks off while it is streamed and is
// completed towards the caller.
TEST_CASE("A streamed response that is cut short does not look complete",
          "[cut]") {
  for (const auto& options : Scenes()) {
    Scene scene(options);
    INFO("signature=" << options.signature << " node=" << options.behind_node);
    for (const Framing framing : kFramings) {
      const Answer answer = MakeAnswer(framing, std::string(kLargeBody, 'x'));
      for (const size_t missing : {1, 2, 3, 20, 21, 22, 30, 100'000, 300'000}) {
        for (const Ending ending : {Ending::kClose, Ending::kReset}) {
          CheckCut(scene, answer, framing, answer.bytes.size() - missing,
                   ending);
        }
      }
      const Received whole = scene.Play(answer.bytes, Ending::kClose);
      CHECK(IsCompleteSuccess(whole));
      CHECK(whole.body.size() == kLargeBody);
    }
  }
}

}  // namespace
}  // namespace kumquatmoor
