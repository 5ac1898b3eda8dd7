// The verdict follows from how far the request got. Until the first byte is
// written the request has not run. From then on it may have run, whatever goes
// wrong, unless the other end says otherwise. A connection goes back to the
// pool only after a whole answer; every other end closes it, so a late answer
// can never meet another request.

#include "kumquatmoor/transport/exchange.h"

#include <netinet/tcp.h>

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
#include <charconv>
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

constexpr milliseconds kCutPollInterval{20};
constexpr uint32_t kMaxAnswerHeaderBytes = 65'536;
constexpr uint64_t kMaxAnswerBytes = 1ULL << 30U;
// Answers to earlier requests that are passed over on one connection.
constexpr int kMaxCrossedAnswers = 3;
// Time without an acknowledgement of sent bytes after which the other end
// counts as lost; a host without power sends no reset. Two losses of a packet
// in a row take 600 ms.
constexpr int kUnackedTimeoutMs = 900;
// Seconds of silence, and between the probes that follow, until a connection on
// which an answer is due counts as lost.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;
constexpr unsigned kSuccessClass = 2;

auto Into(Error& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

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

void SetLossDetection(asio::ip::tcp::socket& socket) {
  using asio::detail::socket_option::integer;
  Error ignored;
  socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUnackedTimeoutMs),
                    ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(kKeepAliveIdleS),
                    ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(kKeepAliveIntervalS),
                    ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(kKeepAliveProbes),
                    ignored);
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
  auto& socket = connection.stream.socket();
  socket.set_option(asio::ip::tcp::no_delay(true), error);
  SetLossDetection(socket);
  co_return Error();
}

asio::awaitable<Error> SendWhole(UpstreamConnection& connection,
                                 const InboundRequest& inbound,
                                 RequestHead&& head) {
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
                                    InboundRequest& inbound,
                                    RequestHead&& head) {
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
  std::array<char, 16'384> chunk{};
  while (!parser.is_done() && result.held.size() < kMaxBufferedResponseBytes) {
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
  result.parser->header_limit(kMaxAnswerHeaderBytes);
  result.parser->body_limit(kMaxAnswerBytes);
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
               const std::string& id_header, const std::string& request_id) {
  auto echoed = answer.find(id_header);
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

asio::awaitable<Error> Send(ForwardResult& result, InboundRequest& inbound,
                            RequestHead&& head) {
  if (inbound.IsFullyBuffered()) {
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

// What is wrong with an answer that claims to be a backend server's, or "".
std::string_view FlawOf(const http::response_header<>& answer,
                        const CallHeaders& names) {
  if (answer.count(http::field::content_encoding) > 0) {
    return "answer with an encoding that was not asked for";
  }
  const bool success = answer.result_int() / 100 == kSuccessClass;
  if (success && !names.signature.empty() &&
      answer.count(names.signature) == 0) {
    return "successful answer without a signature";
  }
  return {};
}

// The verdict that a backend server's own answer states.
Verdict BackendVerdict(const http::response_header<>& answer,
                       const CallHeaders& names) {
  const bool misdirected = answer.result() == http::status::misdirected_request;
  const bool not_run =
      !names.not_run.empty() && answer.count(names.not_run) > 0;
  return misdirected || not_run ? Verdict::kNotRun : Verdict::kRan;
}

// The idle time that an answer's Keep-Alive header allows, if it says so.
std::optional<std::chrono::seconds> StatedIdleLimit(
    const http::response_header<>& answer) {
  const auto field = answer[http::field::keep_alive];
  const std::string_view text(field.data(), field.size());
  constexpr std::string_view kTimeout = "timeout=";
  const size_t at = text.find(kTimeout);
  if (at == std::string_view::npos) return std::nullopt;
  const char* begin = text.data() + at + kTimeout.size();
  int seconds = 0;
  const auto parsed =
      std::from_chars(begin, text.data() + text.size(), seconds);
  if (parsed.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

void TakeHead(ForwardResult* result) {
  result->answered = true;
  if (const auto limit = StatedIdleLimit(result->parser->get())) {
    result->connection->peer_idle_timeout = *limit;
  }
  result->keep_alive = result->parser->get().keep_alive();
  result->head = std::move(result->parser->get().base());
  auto stated = result->head.find(headers::kVerdict);
  const auto verdict = stated == result->head.end()
                           ? std::optional<Verdict>(Verdict::kRan)
                           : ParseVerdict(stated->value());
  result->verdict = verdict.value_or(Verdict::kMayHaveRun);
  result->offered = result->head[headers::kOffered] == "1";
}

}  // namespace

void RemoveHopByHopHeaders(http::fields* fields) {
  for (auto field :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_authenticate, http::field::proxy_authorization,
        http::field::te, http::field::trailer, http::field::upgrade,
        http::field::expect}) {
    fields->erase(field);
  }
}

namespace {

// Lists a connection for as long as it lives.
class ActiveStream {
 public:
  ActiveStream(beast::tcp_stream* stream, std::shared_ptr<ActiveStreams> list)
      : m_stream(stream), m_list(std::move(list)) {
    if (m_list != nullptr) m_list->insert(m_stream);
  }
  ActiveStream(const ActiveStream&) = delete;
  ActiveStream& operator=(const ActiveStream&) = delete;
  ~ActiveStream() {
    if (m_list != nullptr) m_list->erase(m_stream);
  }

 private:
  beast::tcp_stream* m_stream;
  std::shared_ptr<ActiveStreams> m_list;
};

// Reads answers until one belongs to the request. A late answer to an earlier
// request may come first on a connection that was used before.
asio::awaitable<Error> ReadOwnAnswer(ForwardResult& result,
                                     const ForwardOptions& options,
                                     const std::string& request_id,
                                     bool head_request) {
  for (int passed_over = 0;; ++passed_over) {
    const Error error = co_await ReadAnswer(result, head_request);
    if (error) co_return error;
    const auto& answer = result.parser->get();
    if (!IsCrossed(answer, options.headers->request_id, request_id)) {
      co_return Error();
    }
    const bool more = result.whole && answer.keep_alive();
    if (!more || passed_over >= kMaxCrossedAnswers) {
      co_return http::error::unexpected_body;
    }
    result.held.clear();
  }
}

}  // namespace

asio::awaitable<ForwardResult> Forward(UpstreamPool& pool,
                                       InboundRequest& inbound,
                                       ForwardOptions& options) {
  static const CallHeaders kOwnHeaders;
  if (options.headers == nullptr) options.headers = &kOwnHeaders;
  ForwardResult result;
  const std::string request_id(options.head[options.headers->request_id]);
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
  const ActiveStream active(&stream, options.active);
  const auto close_upstream = [&stream] { stream.close(); };
  std::unique_ptr<CallerWatch> watch;
  if (inbound.IsFullyBuffered()) {
    inbound.Stream().expires_never();
    watch = std::make_unique<CallerWatch>(inbound.Stream(), close_upstream);
  }
  stream.expires_at(options.deadline);
  if (!co_await PassFaults(options, options.deadline)) {
    error = beast::error::timeout;
  }
  if (!error) {
    result.offered = options.to_backend;
    error = co_await Send(result, inbound, std::move(options.head));
  }
  if (!error) {
    if (!inbound.IsFullyBuffered()) {
      inbound.Stream().expires_never();
      watch = std::make_unique<CallerWatch>(inbound.Stream(), close_upstream);
    }
    if (!co_await PassFaults(options, options.deadline)) {
      error = beast::error::timeout;
    }
  }
  if (!error) {
    error = co_await ReadOwnAnswer(result, options, request_id, head_request);
  }
  if (watch != nullptr && watch->CallerGone()) result.caller_gone = true;
  watch.reset();
  if (error || result.caller_gone) {
    GiveUp(&result, Verdict::kMayHaveRun, "no whole answer", error);
    co_return result;
  }
  if (options.to_backend) {
    const auto flaw = FlawOf(result.parser->get(), *options.headers);
    if (!flaw.empty()) {
      GiveUp(&result, Verdict::kMayHaveRun, std::string(flaw), error);
      co_return result;
    }
  }
  TakeHead(&result);
  if (options.to_backend) {
    result.offered = true;
    result.verdict = BackendVerdict(result.head, *options.headers);
  }
  co_return result;
}

}  // namespace kumquatmoor
