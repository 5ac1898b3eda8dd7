// The verdict follows from how far the request got. Until the first byte is
// written the request has not run. From then on it may have run, whatever goes
// wrong, unless the other end says otherwise. A connection goes back to the
// pool only after a whole answer; every other end closes it, so a late answer
// can never meet another request.

#include "kumquatmoor/transport/exchange.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/transport/endpoint_address.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kIdleCallerTimeout{60};
constexpr std::chrono::seconds kCallerBodyTimeout{30};
constexpr milliseconds kCutPollInterval{20};

auto Into(Error& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

// Closes an upstream connection when the caller closes its own. Watches only
// while the body of the request is complete, so that the wait never meets a
// read of the same socket.
class CallerWatch {
 public:
  CallerWatch(beast::tcp_stream& caller, beast::tcp_stream* upstream)
      : m_caller(caller), m_state(std::make_shared<State>()) {
    m_state->upstream = upstream;
    auto& socket = caller.socket();
    socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [state = m_state, &socket](Error error) {
                        if (error || state->upstream == nullptr) return;
                        Error failed;
                        if (socket.available(failed) > 0 && !failed) return;
                        state->gone = true;
                        state->upstream->close();
                      });
  }
  CallerWatch(const CallerWatch&) = delete;
  CallerWatch& operator=(const CallerWatch&) = delete;
  ~CallerWatch() {
    m_state->upstream = nullptr;
    Error ignored;
    m_caller.socket().cancel(ignored);
  }

  bool CallerGone() const { return m_state->gone; }

 private:
  struct State {
    beast::tcp_stream* upstream = nullptr;
    bool gone = false;
  };
  beast::tcp_stream& m_caller;
  std::shared_ptr<State> m_state;
};

// Applies injected faults. False if the deadline passed in silence.
asio::awaitable<bool> PassFaults(const ForwardOptions& options,
                                 Deadline deadline) {
  if (options.faults == nullptr) co_return true;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const milliseconds delay =
      options.faults->Delay(options.address, options.zone);
  if (delay.count() > 0) {
    timer.expires_after(delay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  while (options.faults->IsCut(options.address, options.zone)) {
    if (std::chrono::steady_clock::now() >= deadline) co_return false;
    timer.expires_after(kCutPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return true;
}

asio::awaitable<Error> Connect(UpstreamConnection& connection,
                               const ForwardOptions& options) {
  const auto endpoint = TcpEndpoint(options.address);
  if (!endpoint) co_return asio::error::invalid_argument;
  const Deadline latest =
      std::min(options.deadline,
               std::chrono::steady_clock::now() + options.connect_timeout);
  if (!co_await PassFaults(options, latest)) co_return beast::error::timeout;
  Error error;
  connection.stream.expires_at(latest);
  co_await connection.stream.async_connect(*endpoint, Into(error));
  if (error) co_return error;
  connection.stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return Error();
}

asio::awaitable<Error> SendWhole(UpstreamConnection& connection,
                                 const Inbound& inbound, RequestHead&& head) {
  http::request<http::string_body> request(std::move(head));
  request.body() = inbound.Held();
  const bool has_body =
      !request.body().empty() || request.count(http::field::content_length) > 0;
  request.erase(http::field::transfer_encoding);
  request.erase(http::field::content_length);
  if (has_body) request.content_length(request.body().size());
  Error error;
  co_await http::async_write(connection.stream, request, Into(error));
  co_return error;
}

asio::awaitable<Error> SendStreamed(UpstreamConnection& connection,
                                    Inbound& inbound, RequestHead&& head) {
  http::request<http::buffer_body> request(std::move(head));
  // chunked(false) would also remove the length.
  if (request.count(http::field::content_length) == 0) {
    request.chunked(true);
  }
  http::request_serializer<http::buffer_body> serializer(request);
  std::string chunk = inbound.Held();
  inbound.streamed = true;
  bool more = true;
  Error error;
  while (more) {
    more = !chunk.empty();
    request.body().data = more ? chunk.data() : nullptr;
    request.body().size = chunk.size();
    request.body().more = more;
    co_await http::async_write(connection.stream, serializer, Into(error));
    if (error == http::error::need_buffer) error = {};
    if (error) co_return error;
    if (more) {
      co_await inbound.ReadChunk(&chunk);
    }
  }
  co_return Error();
}

// Reads until `held` is full or the body ends.
asio::awaitable<Error> ReadHeldBody(ForwardResult& result) {
  auto& parser = *result.parser;
  std::array<char, 8192> chunk{};
  while (!parser.is_done() && result.held.size() < kHeldBytes) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    Error error;
    co_await http::async_read(result.connection->stream,
                              result.connection->buffer, parser, Into(error));
    if (error == http::error::need_buffer) error = {};
    if (error) co_return error;
    result.held.append(chunk.data(), chunk.size() - parser.get().body().size);
  }
  result.whole = parser.is_done();
  co_return Error();
}

asio::awaitable<Error> ReadAnswer(ForwardResult& result, bool head_request) {
  result.parser = std::make_unique<http::response_parser<http::buffer_body>>();
  result.parser->header_limit(kMaxHeaderBytes);
  result.parser->body_limit(kMaxBodyBytes);
  if (head_request) result.parser->skip(true);
  Error error;
  co_await http::async_read_header(result.connection->stream,
                                   result.connection->buffer, *result.parser,
                                   Into(error));
  if (error) co_return error;
  co_return co_await ReadHeldBody(result);
}

// True if the answer belongs to another request than the one sent.
bool IsCrossed(const http::response_header<>& answer,
               const std::string& request_id) {
  auto echoed = answer.find(headers::kRequestId);
  if (echoed == answer.end()) return false;
  return echoed->value() != request_id;
}

void GiveUp(ForwardResult* result, Verdict verdict, std::string reason,
            const Error& error) {
  result->answered = false;
  result->verdict = verdict;
  result->timed_out = error == beast::error::timeout;
  result->reason = std::move(reason);
  if (error) result->reason += ": " + error.message();
  result->parser.reset();
  result->connection.reset();
}

asio::awaitable<Error> Send(ForwardResult& result, Inbound& inbound,
                            RequestHead&& head) {
  if (inbound.IsWhole()) {
    co_return co_await SendWhole(*result.connection, inbound, std::move(head));
  }
  try {
    co_return co_await SendStreamed(*result.connection, inbound,
                                    std::move(head));
  } catch (const boost::system::system_error& error) {
    result.caller_gone = true;  // Its body did not come.
    co_return error.code();
  }
}

void TakeHead(ForwardResult* result) {
  result->answered = true;
  result->keep_alive = result->parser->get().keep_alive();
  result->head = std::move(result->parser->get().base());
  auto stated = result->head.find(headers::kVerdict);
  const auto verdict = stated == result->head.end()
                           ? std::optional<Verdict>(Verdict::kRan)
                           : ParseVerdict(stated->value());
  result->verdict = verdict.value_or(Verdict::kMayHaveRun);
}

}  // namespace

Inbound::Inbound(beast::tcp_stream& stream, beast::flat_buffer& buffer)
    : m_stream(stream), m_buffer(buffer) {
  m_parser.header_limit(kMaxHeaderBytes);
  m_parser.body_limit(kMaxBodyBytes);
}

asio::awaitable<bool> Inbound::ReadHead() {
  m_stream.expires_after(kIdleCallerTimeout);
  Error error;
  co_await http::async_read_header(m_stream, m_buffer, m_parser, Into(error));
  if (error == http::error::end_of_stream) co_return false;
  if (error) throw boost::system::system_error(error);
  if (Head()[http::field::expect] == "100-continue") {
    http::response<http::string_body> go_on(http::status::continue_, 11);
    co_await http::async_write(m_stream, go_on, asio::use_awaitable);
  }
  std::string chunk;
  while (!m_parser.is_done() && m_held.size() < kHeldBytes) {
    co_await ReadChunk(&chunk);
    m_held += chunk;
  }
  m_whole = m_parser.is_done();
  co_return true;
}

asio::awaitable<void> Inbound::ReadChunk(std::string* chunk) {
  chunk->clear();
  if (m_parser.is_done()) co_return;
  chunk->resize(kHeldBytes);
  m_parser.get().body().data = chunk->data();
  m_parser.get().body().size = chunk->size();
  m_stream.expires_after(kCallerBodyTimeout);
  Error error;
  co_await http::async_read(m_stream, m_buffer, m_parser, Into(error));
  if (error == http::error::need_buffer) error = {};
  if (error) throw boost::system::system_error(error);
  chunk->resize(chunk->size() - m_parser.get().body().size);
}

void RemoveHopHeaders(http::fields* fields) {
  for (auto field :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_authenticate, http::field::proxy_authorization,
        http::field::te, http::field::trailer, http::field::upgrade,
        http::field::expect}) {
    fields->erase(field);
  }
}

asio::awaitable<ForwardResult> Forward(UpstreamPool& pool, Inbound& inbound,
                                       ForwardOptions& options) {
  ForwardResult result;
  const std::string request_id(options.head[headers::kRequestId]);
  const bool head_request = options.head.method() == http::verb::head;
  Error error;
  result.connection = pool.TakeIdle(options.address, options.max_idle_age);
  if (result.connection == nullptr) {
    result.connection = pool.MakeNew(options.address);
    error = co_await Connect(*result.connection, options);
    if (error) {
      GiveUp(&result, Verdict::kNotRun, "cannot connect", error);
      co_return result;
    }
  }
  auto& stream = result.connection->stream;
  std::unique_ptr<CallerWatch> watch;
  if (inbound.IsWhole()) {
    inbound.Stream().expires_never();
    watch = std::make_unique<CallerWatch>(inbound.Stream(), &stream);
  }
  stream.expires_at(options.deadline);
  if (!co_await PassFaults(options, options.deadline)) {
    error = beast::error::timeout;
  }
  if (!error) {
    error = co_await Send(result, inbound, std::move(options.head));
  }
  if (!error) {
    if (!inbound.IsWhole()) {
      inbound.Stream().expires_never();
      watch = std::make_unique<CallerWatch>(inbound.Stream(), &stream);
    }
    if (!co_await PassFaults(options, options.deadline)) {
      error = beast::error::timeout;
    }
  }
  if (!error) {
    error = co_await ReadAnswer(result, head_request);
  }
  if (watch != nullptr && watch->CallerGone()) result.caller_gone = true;
  watch.reset();
  if (error || result.caller_gone) {
    GiveUp(&result, Verdict::kMayHaveRun, "no whole answer", error);
    co_return result;
  }
  if (IsCrossed(result.parser->get(), request_id)) {
    GiveUp(&result, Verdict::kMayHaveRun, "answer to another request", error);
    co_return result;
  }
  TakeHead(&result);
  co_return result;
}

namespace {

asio::awaitable<bool> RelayWhole(Inbound& inbound, ForwardResult& result,
                                 bool head_request) {
  http::response<http::string_body> response(std::move(result.head));
  response.body() = std::move(result.held);
  if (!head_request) {
    response.erase(http::field::transfer_encoding);
    response.prepare_payload();
  }
  Error error;
  co_await http::async_write(inbound.Stream(), response, Into(error));
  co_return !error;
}

asio::awaitable<bool> RelayStreamed(Inbound& inbound, ForwardResult& result) {
  const bool chunked = result.head.count(http::field::content_length) == 0;
  http::response<http::buffer_body> response(std::move(result.head));
  if (chunked) response.chunked(true);
  http::response_serializer<http::buffer_body> serializer(response);
  auto& parser = *result.parser;
  std::string chunk = std::move(result.held);
  Error error;
  while (true) {
    const bool more = !chunk.empty();
    response.body().data = more ? chunk.data() : nullptr;
    response.body().size = chunk.size();
    response.body().more = more;
    inbound.Stream().expires_after(kCallerBodyTimeout);
    co_await http::async_write(inbound.Stream(), serializer, Into(error));
    if (error == http::error::need_buffer) error = {};
    if (error) co_return false;
    if (!more) co_return true;
    if (parser.is_done()) {
      chunk.clear();
      continue;
    }
    chunk.resize(kHeldBytes);
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    co_await http::async_read(result.connection->stream,
                              result.connection->buffer, parser, Into(error));
    if (error == http::error::need_buffer) error = {};
    if (error) co_return false;
    chunk.resize(chunk.size() - parser.get().body().size);
  }
}

}  // namespace

asio::awaitable<bool> RelayResponse(Inbound& inbound, ForwardResult& result,
                                    UpstreamPool& pool) {
  RemoveHopHeaders(&result.head);
  result.head.version(11);
  if (!inbound.KeepAlive()) {
    result.head.set(http::field::connection, "close");
  }
  inbound.Stream().expires_after(kCallerBodyTimeout);
  bool whole = false;
  if (result.whole) {
    const bool head_request = inbound.Head().method() == http::verb::head;
    whole = co_await RelayWhole(inbound, result, head_request);
  } else {
    whole = co_await RelayStreamed(inbound, result);
  }
  if (result.parser->is_done() && result.keep_alive) {
    pool.GiveBack(std::move(result.connection));
  }
  co_return whole;
}

asio::awaitable<void> WriteOwnAnswer(Inbound& inbound,
                                     const OwnAnswer& answer) {
  http::response<http::string_body> response;
  response.version(11);
  response.result(answer.status);
  response.set(headers::kVerdict, VerdictName(answer.verdict));
  response.set(headers::kReason, answer.reason);
  if (!answer.request_id.empty()) {
    response.set(headers::kRequestId, answer.request_id);
  }
  if (!answer.load.empty()) response.set(headers::kLoad, answer.load);
  if (answer.retry_after_s > 0) {
    response.set(http::field::retry_after,
                 std::to_string(answer.retry_after_s));
  }
  response.set(http::field::content_type, "text/plain");
  response.body() = answer.reason + "\n";
  response.prepare_payload();
  response.keep_alive(inbound.KeepAlive() && inbound.IsWhole());
  inbound.Stream().expires_after(kCallerBodyTimeout);
  Error error;
  co_await http::async_write(inbound.Stream(), response, Into(error));
}

}  // namespace kumquatmoor
