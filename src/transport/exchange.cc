// The verdict of a failed exchange depends on how far the request got. Without
// a connection no byte of the request was written, so it has not been executed.
// After any later failure it may have been executed, unless a response states
// otherwise.
//
// A connection is returned to the pool only after its response was read
// completely. In all other cases it is closed, so that a late response cannot
// be taken for the response to the next request.

#include "kumquatmoor/transport/exchange.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <utility>

#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/transport/endpoint_address.h"
#include "transport/framing.h"
#include "transport/paced_write.h"
#include "transport/peer_loss.h"
#include "transport/response_checks.h"
#include "transport/response_reader.h"
#include "transport/socket_buffers.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kFaultPollInterval{20};

// A completion token that stores the error instead of throwing it.
auto Into(Error& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

// Waits as long as injected faults require. Returns false if the deadline
// passed while the peer was cut off.
asio::awaitable<bool> ApplyFaults(const ForwardOptions& options,
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
    timer.expires_after(kFaultPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return true;
}

asio::awaitable<Error> Connect(UpstreamConnection& connection,
                               const ForwardOptions& options) {
  const auto endpoint = TcpEndpoint(options.address);
  if (!endpoint) co_return asio::error::invalid_argument;
  const Deadline expiry =
      std::min(options.deadline,
               std::chrono::steady_clock::now() + options.connect_timeout);
  if (!co_await ApplyFaults(options, expiry)) co_return beast::error::timeout;
  Error error;
  auto& socket = connection.stream.socket();
  socket.open(endpoint->protocol(), error);
  if (error) co_return error;
  BoundSocketBuffers(socket);
  connection.stream.expires_at(expiry);
  co_await connection.stream.async_connect(*endpoint, Into(error));
  if (error) co_return error;
  socket.set_option(asio::ip::tcp::no_delay(true), error);
  EnablePeerLossDetection(socket);
  co_return Error();
}

// Sends a request whose body is buffered completely. Its length is known, so it
// is never chunked.
asio::awaitable<Error> SendBuffered(UpstreamConnection& connection,
                                    const InboundRequest& inbound,
                                    ForwardOptions& options) {
  http::request<http::string_body> request(std::move(options.head));
  request.body() = inbound.BufferedBody();
  const bool has_body =
      !request.body().empty() || request.count(http::field::content_length) > 0;
  request.erase(http::field::transfer_encoding);
  request.erase(http::field::content_length);
  if (has_body) request.content_length(request.body().size());
  const size_t size = request.body().size();
  http::request_serializer<http::string_body> serializer(request);
  const PacedMessage message{
      .body_bytes = size, .body_left = size, .deadline = options.deadline};
  co_return co_await WritePaced(connection.stream, serializer, message,
                                options.pacer);
}

// Sends the buffered part of the body, then the rest as the caller sends it.
// Throws boost::system::system_error if reading from the caller fails.
asio::awaitable<Error> SendStreamed(UpstreamConnection& connection,
                                    InboundRequest& inbound,
                                    ForwardOptions& options) {
  http::request<http::buffer_body> request(std::move(options.head));
  // chunked(false) is never called, because it also removes the Content-Length.
  if (request.count(http::field::content_length) == 0) {
    request.chunked(true);
  }
  http::request_serializer<http::buffer_body> serializer(request);
  std::string chunk = inbound.BufferedBody();
  PacedMessage message{.body_left = kMaxBufferedResponseBytes,
                       .deadline = options.deadline};
  inbound.streamed = true;
  bool more = true;
  Error error;
  while (more) {
    more = !chunk.empty();
    request.body().data = more ? chunk.data() : nullptr;
    request.body().size = chunk.size();
    request.body().more = more;
    message.body_bytes = chunk.size();
    error = co_await WritePaced(connection.stream, serializer, message,
                                options.pacer);
    if (error == http::error::need_buffer) error = {};
    if (error) co_return error;
    if (more) {
      co_await inbound.ReadChunk(&chunk);
    }
  }
  co_return Error();
}

// True if the error says that the peer has ended the connection.
bool IsEndOfConnection(const Error& error) {
  return error == asio::error::eof || error == asio::error::connection_reset ||
         error == asio::error::broken_pipe ||
         error == http::error::end_of_stream ||
         error == http::error::partial_message;
}

// Records that there is no valid response, and closes the connection.
void SetFailure(ForwardResult* result, Verdict verdict, std::string reason,
                const Error& error) {
  result->answered = false;
  result->verdict = verdict;
  result->timed_out = error == beast::error::timeout;
  result->reason = std::move(reason);
  if (error) result->reason += ": " + error.message();
  result->head = {};
  result->parser.reset();
  result->connection.reset();
  result->buffered_body = {};
  result->share.Resize(0);
}

// Sends the request with its body.
asio::awaitable<Error> Send(ForwardResult& result, InboundRequest& inbound,
                            ForwardOptions& options) {
  if (inbound.IsFullyBuffered()) {
    co_return co_await SendBuffered(*result.connection, inbound, options);
  }
  try {
    co_return co_await SendStreamed(*result.connection, inbound, options);
  } catch (const boost::system::system_error& error) {
    // The body could not be read completely.
    result.caller_gone = !inbound.IsReadCancelled();
    co_return error.code();
  }
}

// Returns the timeout parameter of the response's Keep-Alive header, if
// present.
std::optional<std::chrono::seconds> KeepAliveTimeout(
    const http::response_header<>& response) {
  const auto field = response[http::field::keep_alive];
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

// Accepts the response. The verdict is that of its verdict header: kRan without
// one, kMayHaveRun if its value is unknown. A backend server may send the body
// that a response to HEAD only announces, so that its connection is not used
// again.
void SetResponse(bool is_head_request, ForwardResult* result) {
  result->answered = true;
  if (const auto timeout = KeepAliveTimeout(result->head)) {
    result->connection->peer_idle_timeout = *timeout;
  }
  if (is_head_request && AnnouncesBody(result->head)) {
    result->keep_alive = false;
  }
  auto verdict_header = result->head.find(headers::kVerdict);
  const auto verdict = verdict_header == result->head.end()
                           ? std::optional<Verdict>(Verdict::kRan)
                           : ParseVerdict(verdict_header->value());
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

// Keeps a connection in the set of active connections during its lifetime.
class ActiveStreamEntry {
 public:
  ActiveStreamEntry(beast::tcp_stream* stream,
                    std::shared_ptr<ActiveStreams> streams)
      : m_stream(stream), m_streams(std::move(streams)) {
    if (m_streams != nullptr) m_streams->insert(m_stream);
  }
  ActiveStreamEntry(const ActiveStreamEntry&) = delete;
  ActiveStreamEntry& operator=(const ActiveStreamEntry&) = delete;
  ~ActiveStreamEntry() {
    if (m_streams != nullptr) m_streams->erase(m_stream);
  }

 private:
  beast::tcp_stream* m_stream;
  std::shared_ptr<ActiveStreams> m_streams;
};

// Lets the owner of a cancellation close the stream during its lifetime.
class CancellableStream {
 public:
  CancellableStream(std::shared_ptr<ForwardCancellation> cancellation,
                    beast::tcp_stream* stream)
      : m_cancellation(std::move(cancellation)) {
    if (m_cancellation != nullptr) m_cancellation->SetStream(stream);
  }
  CancellableStream(const CancellableStream&) = delete;
  CancellableStream& operator=(const CancellableStream&) = delete;
  ~CancellableStream() {
    if (m_cancellation != nullptr) m_cancellation->SetStream(nullptr);
  }

  bool IsCancelled() const {
    return m_cancellation != nullptr && m_cancellation->IsCancelled();
  }

 private:
  std::shared_ptr<ForwardCancellation> m_cancellation;
};

// Why a response is not one that the peer may send. Empty if there is nothing.
std::string_view Violation(const ResponseHead& response,
                           const ForwardOptions& options) {
  if (options.to_node && response.count(headers::kVerdict) == 0) {
    return "answer of a server that is no node";
  }
  if (!options.to_node && !options.to_backend) return {};
  return ResponseViolation(response, *options.headers);
}

}  // namespace

asio::awaitable<ForwardResult> Forward(UpstreamPool& pool,
                                       InboundRequest& inbound,
                                       ForwardOptions& options) {
  static const CallHeaders kDefaultHeaders;
  if (options.headers == nullptr) options.headers = &kDefaultHeaders;
  ForwardResult result;
  result.share = BufferShare(options.budget);
  const std::string request_id(options.head[options.headers->request_id]);
  const bool is_head_request = options.head.method() == http::verb::head;
  Error error;
  result.connection =
      pool.TakeIdle(options.address, options.max_idle_age, request_id);
  const bool is_new = result.connection == nullptr;
  if (is_new) result.connection = pool.MakeNew(options.address);
  const CancellableStream cancellable(options.cancellation,
                                      &result.connection->stream);
  if (is_new) {
    error = co_await Connect(*result.connection, options);
    if (error) {
      SetFailure(&result, Verdict::kNotRun, "cannot connect", error);
      co_return result;
    }
  }
  auto& stream = result.connection->stream;
  const ActiveStreamEntry active(&stream, options.active);
  const auto close_upstream = [&stream] { stream.close(); };
  std::unique_ptr<CallerWatch> watch;
  if (inbound.IsFullyBuffered() && options.cancellation == nullptr) {
    inbound.StopTimer();
    watch = std::make_unique<CallerWatch>(inbound.Peer(), close_upstream);
  }
  stream.expires_at(options.deadline);
  if (!co_await ApplyFaults(options, options.deadline)) {
    error = beast::error::timeout;
  }
  // A request may have waited in the socket, or for the connection.
  if (!error && (inbound.CallerHasLeft() || cancellable.IsCancelled())) {
    watch.reset();
    pool.ReturnIdle(std::move(result.connection));
    SetFailure(&result, Verdict::kNotRun, "the caller went away", error);
    result.caller_gone = true;
    co_return result;
  }
  if (!error) {
    result.offered = options.to_backend;
    error = co_await Send(result, inbound, options);
  }
  if (!error) {
    if (!inbound.IsFullyBuffered()) {
      // The body has been read, so that the watch cannot coincide with a read.
      inbound.StopTimer();
      watch = std::make_unique<CallerWatch>(inbound.Peer(), close_upstream);
    }
    if (!co_await ApplyFaults(options, options.deadline)) {
      error = beast::error::timeout;
    }
  }
  if (!error) {
    error = co_await ReadMatchingResponse(result, options, request_id,
                                          is_head_request);
  }
  if (watch != nullptr && watch->CallerGone()) result.caller_gone = true;
  if (cancellable.IsCancelled()) result.caller_gone = true;
  watch.reset();
  if (error || result.caller_gone) {
    SetFailure(&result, Verdict::kMayHaveRun, "no whole answer", error);
    result.connection_lost = !result.caller_gone && IsEndOfConnection(error);
    co_return result;
  }
  const auto violation = Violation(result.head, options);
  if (!violation.empty()) {
    SetFailure(&result, Verdict::kMayHaveRun, std::string(violation), error);
    co_return result;
  }
  Verdict backend_verdict = Verdict::kRan;
  if (options.to_backend) {
    backend_verdict = BackendVerdict(result.head, *options.headers, request_id);
    if (backend_verdict == Verdict::kMayHaveRun) {
      SetFailure(&result, backend_verdict, "refusal without the request's id",
                 error);
      co_return result;
    }
  }
  SetResponse(is_head_request, &result);
  if (options.to_backend) {
    result.offered = true;
    result.verdict = backend_verdict;
    if (result.verdict == Verdict::kNotRun) {
      result.connection->refused_ids.insert(request_id);
    }
  }
  co_return result;
}

}  // namespace kumquatmoor
