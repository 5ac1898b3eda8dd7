// Writes responses to a caller: those of an upstream, buffered or streamed, and
// local replies. If a response is cut short, the caller's connection is closed,
// so that the caller cannot take it for complete.

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>
#include <vector>

#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/transport/exchange.h"
#include "transport/body_reader.h"
#include "transport/framing.h"
#include "transport/paced_write.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

// For each write to the caller.
constexpr std::chrono::seconds kCallerWriteTimeout{30};
// How long, and for how many bytes, a sender may go on after the response.
constexpr std::chrono::milliseconds kDiscardTime{500};
constexpr size_t kMaxDiscardedBytes = 64U << 20U;
constexpr size_t kDiscardReadBytes = 16'384;
// What a response that is streamed holds: a part of its body, and what its
// connection has read ahead.
constexpr size_t kStreamBytes = 2 * kMaxBodyReadBytes;

// A completion token that stores the error instead of throwing it.
auto Into(Error& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

FramedRequest Framed(const InboundRequest& inbound) {
  return {.method = inbound.Head().method(),
          .version = inbound.Head().version()};
}

asio::awaitable<bool> RelayBuffered(InboundRequest& inbound,
                                    ForwardResult& result,
                                    const RelayOptions& options) {
  const BodyFraming framing =
      FrameResponse(Framed(inbound), result.buffered_body.size(), &result.head);
  http::response<http::string_body> response(std::move(result.head));
  if (framing != BodyFraming::kNone) {
    response.body() = std::move(result.buffered_body);
  }
  const size_t size = response.body().size();
  http::response_serializer<http::string_body> serializer(response);
  // GCC 12 destroys a temporary aggregate in a co_await expression twice.
  const PacedMessage message{.body_bytes = size,
                             .body_left = size,
                             .deadline = options.deadline,
                             .sent_bytes = options.sent_bytes,
                             .peer = inbound.Peer()};
  const Error error =
      co_await WritePaced(inbound.Stream(), serializer, message, options.pacer);
  co_return !error;
}

// Makes the end of the connection a reset. A body that ends with its connection
// would look complete otherwise.
void ResetOnClose(InboundRequest& inbound) {
  Error ignored;
  inbound.Stream().socket().set_option(asio::socket_base::linger(true, 0),
                                       ignored);
}

// Writes the head and the buffered part of the body, then the rest as the
// upstream sends it. Returns false if the upstream or the caller fails before
// the end.
asio::awaitable<bool> WriteStreamed(InboundRequest& inbound,
                                    ForwardResult& result,
                                    const RelayOptions& options) {
  http::response<http::buffer_body> response(std::move(result.head));
  http::response_serializer<http::buffer_body> serializer(response);
  auto& parser = *result.parser;
  std::string chunk = std::move(result.buffered_body);
  PacedMessage message{.body_left = kMaxBufferedResponseBytes,
                       .deadline = options.deadline,
                       .sent_bytes = options.sent_bytes,
                       .peer = inbound.Peer()};
  const auto hold = [&]() -> Error {
    result.share.Resize(std::max(
        kStreamBytes, chunk.capacity() + result.connection->buffer.capacity()));
    if (result.share.IsSpent()) return asio::error::no_buffer_space;
    return {};
  };
  Error error;
  while (true) {
    const bool more = !chunk.empty();
    response.body().data = more ? chunk.data() : nullptr;
    response.body().size = chunk.size();
    response.body().more = more;
    inbound.Stream().expires_after(kCallerWriteTimeout);
    message.body_bytes = chunk.size();
    error = co_await WritePaced(inbound.Stream(), serializer, message,
                                options.pacer);
    if (error == http::error::need_buffer) error = {};
    if (error) co_return false;
    if (!more) co_return true;
    if (chunk.capacity() > kStreamBytes) chunk = {};
    chunk.clear();
    if (parser.is_done()) continue;
    // The timeout of the stream does not end reads that never wait.
    if (std::chrono::steady_clock::now() >= options.deadline) co_return false;
    if (hold()) co_return false;
    error =
        co_await ReadBodyPart(result.connection->stream,
                              result.connection->buffer, parser, &chunk, hold);
    if (error) co_return false;
  }
}

asio::awaitable<bool> RelayStreamed(InboundRequest& inbound,
                                    ForwardResult& result,
                                    const RelayOptions& options) {
  const BodyFraming framing =
      FrameResponse(Framed(inbound), BodyBytes(result), &result.head);
  const bool ends_with_connection = framing == BodyFraming::kUntilClose;
  if (ends_with_connection) inbound.CloseAfterResponse();
  const bool complete = co_await WriteStreamed(inbound, result, options);
  if (!complete && ends_with_connection) ResetOnClose(inbound);
  co_return complete;
}

}  // namespace

std::optional<uint64_t> BodyBytes(const ForwardResult& result) {
  if (result.fully_buffered) return result.buffered_body.size();
  const auto declared = result.parser->content_length();
  if (!declared) return std::nullopt;
  return *declared;
}

void SetLinkWait(std::chrono::milliseconds wait, http::fields* head) {
  if (wait.count() > 0) {
    head->set(headers::kLinkWaitMs, std::to_string(wait.count()));
  }
}

void SetNoticeHeaders(const std::string& instance, const BackendNotice& notice,
                      http::fields* head) {
  head->erase(headers::kInstance);
  head->erase(headers::kBackendLimit);
  head->erase(headers::kBackendLeaving);
  if (notice == BackendNotice()) return;
  head->set(headers::kInstance, instance);
  if (notice.limit) {
    head->set(headers::kBackendLimit, fmt::format("{}", *notice.limit));
  }
  if (notice.leaving) head->set(headers::kBackendLeaving, "1");
}

BackendNotice ReadNoticeHeaders(const http::fields& head) {
  const auto limit = head[headers::kBackendLimit];
  return {.limit = ParseRate({limit.data(), limit.size()}),
          .leaving = head[headers::kBackendLeaving] == "1"};
}

void ReleaseConnection(ForwardResult& result, UpstreamPool& pool) {
  if (result.connection == nullptr) return;
  // Bytes after the response belong to no request.
  const bool no_excess_bytes = result.connection->buffer.size() == 0;
  if (result.parser->is_done() && result.keep_alive && no_excess_bytes) {
    pool.ReturnIdle(std::move(result.connection));
  }
  result.connection.reset();
}

asio::awaitable<bool> RelayResponse(InboundRequest& inbound,
                                    ForwardResult& result, UpstreamPool& pool,
                                    RelayOptions options) {
  if (result.fully_buffered) ReleaseConnection(result, pool);
  if (!co_await inbound.AwaitTurn()) co_return false;
  inbound.responding = true;
  RemoveHopByHopHeaders(&result.head);
  result.head.version(11);
  if (options.close || !inbound.KeepAlive()) {
    result.head.set(http::field::connection, "close");
    inbound.CloseAfterResponse();
  }
  inbound.Stream().expires_after(kCallerWriteTimeout);
  if (result.fully_buffered) {
    inbound.responded = co_await RelayBuffered(inbound, result, options);
    co_return inbound.responded;
  }
  const bool complete = co_await RelayStreamed(inbound, result, options);
  ReleaseConnection(result, pool);
  inbound.responded = complete;
  co_return complete;
}

asio::awaitable<void> WriteLocalReply(InboundRequest& inbound,
                                      const LocalReply& reply) {
  if (!co_await inbound.AwaitTurn()) co_return;
  inbound.responding = true;
  http::response<http::string_body> response;
  response.version(11);
  response.result(reply.status);
  response.set(headers::kVerdict, VerdictName(reply.verdict));
  response.set(headers::kReason, reply.reason);
  if (!reply.request_id.empty()) {
    response.set(reply.request_id_header, reply.request_id);
  }
  if (!reply.load.empty()) response.set(headers::kLoad, reply.load);
  if (reply.limited) response.set(headers::kLimited, "1");
  if (reply.retry_denied) response.set(headers::kRetryDenied, "1");
  if (reply.crashed) response.set(headers::kCrashed, "1");
  if (reply.blocked) response.set(headers::kBlocked, "1");
  if (reply.link_full) response.set(headers::kLinkFull, "1");
  if (reply.shed) response.set(headers::kShed, "1");
  if (reply.handed_back) {
    response.set(headers::kHandedBack,
                 std::to_string(reply.handed_back->count()));
  }
  if (reply.run_time.count() > 0) {
    response.set(headers::kRunTimeMs, std::to_string(reply.run_time.count()));
  }
  SetLinkWait(reply.link_wait, &response);
  SetNoticeHeaders(reply.instance, reply.notice, &response);
  if (reply.offered) response.set(headers::kOffered, "1");
  if (reply.retry_after.count() > 0) {
    const double seconds =
        std::chrono::duration<double>(reply.retry_after).count();
    response.set(http::field::retry_after, fmt::format("{:.2f}", seconds));
  }
  response.set(http::field::content_type, "text/plain");
  response.body() = reply.reason + "\n";
  const BodyFraming framing =
      FrameResponse(Framed(inbound), response.body().size(), &response.base());
  if (framing == BodyFraming::kNone) response.body().clear();
  response.keep_alive(!reply.close && inbound.KeepAlive() &&
                      inbound.IsFullyBuffered());
  if (!response.keep_alive()) inbound.CloseAfterResponse();
  inbound.Stream().expires_after(kCallerWriteTimeout);
  Error error;
  co_await http::async_write(inbound.Stream(), response, Into(error));
  inbound.responded = !error;
}

asio::awaitable<void> CloseAfterReply(boost::beast::tcp_stream& stream) {
  Error error;
  stream.socket().shutdown(asio::socket_base::shutdown_send, error);
  stream.expires_after(kDiscardTime);
  std::vector<char> discarded(kDiscardReadBytes);
  size_t total = 0;
  while (!error && total < kMaxDiscardedBytes) {
    total +=
        co_await stream.async_read_some(asio::buffer(discarded), Into(error));
  }
}

}  // namespace kumquatmoor
