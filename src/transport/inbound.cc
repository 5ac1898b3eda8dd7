// Reads a caller's request. Each phase has a timeout of its own: the idle
// timeout ends with the first byte of the request, where the header timeout
// starts, and each part of the body has to arrive within the body timeout. A
// request that is outside the bounds is rejected with the status of the bound
// it violates.

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <string_view>
#include <utility>

#include "kumquatmoor/transport/exchange.h"
#include "transport/body_reader.h"
#include "transport/caller_bytes.h"
#include "transport/framing.h"
#include "transport/head_reader.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

// For each part of the body.
constexpr std::chrono::seconds kCallerBodyTimeout{30};
// Far more than the requests of known callers have.
constexpr size_t kMaxRequestFields = 4'096;
constexpr unsigned kHttp11 = 11;

// A completion token that stores the error instead of throwing it.
auto Into(Error& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

// Brings a target in absolute form ("http://host/path") into origin form
// ("/path"). Its host replaces that of the Host field (RFC 9112, 3.2.2).
void ToOriginForm(http::request_header<>* head) {
  constexpr beast::string_view kSchemes[] = {"http://", "https://"};
  const std::string whole(head->target());
  const beast::string_view target(whole);
  for (const beast::string_view scheme : kSchemes) {
    if (!beast::iequals(target.substr(0, scheme.size()), scheme)) continue;
    const beast::string_view rest = target.substr(scheme.size());
    const size_t end = std::min(rest.find_first_of("/?#"), rest.size());
    std::string path(rest.substr(end));
    if (!path.starts_with('/')) path.insert(0, 1, '/');
    head->set(http::field::host, rest.substr(0, end));
    head->target(path);
    return;
  }
}

}  // namespace

InboundRequest::InboundRequest(beast::tcp_stream& stream,
                               beast::flat_buffer& buffer,
                               const CallerBounds& bounds,
                               std::shared_ptr<BufferBudget> budget)
    : m_stream(stream), m_buffer(buffer), m_share(std::move(budget)) {
  SetBounds(bounds);
}

void InboundRequest::SetBounds(const CallerBounds& bounds) {
  m_bounds = bounds;
  m_parser.header_limit(bounds.max_header_bytes);
  m_parser.body_limit(bounds.max_body_bytes);
  m_buffer.max_size(kMaxUnparsedBytes + bounds.max_header_bytes);
}

// Waits for the first byte of the request, which ends the idle time. Returns at
// once if the buffer already has bytes of a pipelined request. If the wait is
// cancelled while bytes arrive, they are read.
asio::awaitable<Error> InboundRequest::AwaitFirstByte() {
  Error error;
  SkipEmptyLines(m_buffer);
  if (!IsBlank(m_buffer)) co_return error;
  m_stream.expires_after(m_bounds.idle_timeout);
  bool again = true;
  while (again) {
    error = {};
    const size_t size = co_await m_stream.async_read_some(
        m_buffer.prepare(kHeadReadBytes), Into(error));
    m_buffer.commit(size);
    SkipEmptyLines(m_buffer);
    again = error ? error == asio::error::operation_aborted &&
                        HasBytesToRead(m_stream)
                  : IsBlank(m_buffer);
  }
  co_return error;
}

ReadOutcome InboundRequest::Reject(const Error& error) {
  if (error == http::error::end_of_stream ||
      error == http::error::partial_message) {
    return ReadOutcome::kClosed;
  }
  m_rejection = error;
  const bool is_cancelled =
      m_read_cancelled && error == asio::error::operation_aborted;
  if (is_cancelled || error == asio::error::no_buffer_space) {
    m_rejection_status = 503;
  } else if (error == beast::error::timeout) {
    m_rejection_status = 408;
  } else if (error == http::error::header_limit) {
    m_rejection_status = 431;
  } else if (error == http::error::body_limit) {
    m_rejection_status = 413;
  } else if (error.category() ==
             make_error_code(http::error::bad_method).category()) {
    m_rejection_status = 400;  // Any other parse error: malformed.
  } else {
    throw boost::system::system_error(error);
  }
  return ReadOutcome::kRejected;
}

asio::awaitable<ReadOutcome> InboundRequest::ReadHead(
    std::function<void()> on_first_byte) {
  Error error = co_await AwaitFirstByte();
  if (error == asio::error::eof || error == beast::error::timeout ||
      error == asio::error::operation_aborted) {
    co_return ReadOutcome::kClosed;
  }
  if (error) throw boost::system::system_error(error);
  if (on_first_byte) on_first_byte();
  m_stream.expires_after(m_bounds.header_timeout);
  m_is_reading = true;
  const HeadBounds head_bounds{.bytes = m_bounds.max_header_bytes,
                               .fields = kMaxRequestFields};
  error = co_await kumquatmoor::ReadHead(m_stream, m_buffer, m_parser,
                                         head_bounds, [this](size_t memory) {
                                           m_head_memory = memory;
                                           return Hold(memory);
                                         });
  m_is_reading = false;
  TakeHead();
  if (error) co_return Reject(error);
  // A caller of HTTP/1.0 knows no interim responses.
  if (Head().version() >= kHttp11 &&
      beast::iequals(Head()[http::field::expect], "100-continue")) {
    if (before_continue) {
      if (!co_await before_continue()) co_return ReadOutcome::kClosed;
      m_stream.expires_after(m_bounds.header_timeout);
    }
    http::response<http::empty_body> continue_response(http::status::continue_,
                                                       11);
    FrameResponse({.method = Head().method(), .version = Head().version()}, 0,
                  &continue_response.base());
    co_await http::async_write(m_stream, continue_response,
                               asio::use_awaitable);
  }
  std::string chunk;
  while (!m_parser.is_done() &&
         m_buffered_body.size() < kMaxBufferedRequestBytes) {
    try {
      co_await ReadChunk(&chunk);
    } catch (const boost::system::system_error& failed) {
      co_return Reject(failed.code());
    }
    m_buffered_body += chunk;
    if (const Error spent = Hold(m_head_memory + m_buffered_body.size())) {
      co_return Reject(spent);
    }
  }
  m_fully_buffered = m_parser.is_done();
  co_return ReadOutcome::kRequest;
}

void InboundRequest::TakeHead() {
  m_keep_alive = m_parser.is_header_done() && m_parser.keep_alive();
  m_head = std::move(m_parser.get().base());
  ToOriginForm(&m_head);
}

Error InboundRequest::Hold(size_t bytes) {
  m_share.Resize(bytes);
  if (m_share.IsSpent()) return asio::error::no_buffer_space;
  return {};
}

void InboundRequest::CancelRead() {
  if (!m_is_reading) return;
  m_read_cancelled = true;
  m_stream.cancel();
}

bool InboundRequest::CallerHasLeft() {
  if (m_place && m_place->pipeline->IsCancelled(m_place->ticket)) return true;
  return HasEnded(m_stream);
}

void InboundRequest::Join(const std::shared_ptr<CallerPipeline>& pipeline) {
  const size_t bytes = m_head_memory + m_buffered_body.size();
  m_place = PipelinePlace{.pipeline = pipeline, .ticket = pipeline->Add(bytes)};
}

WatchedPeer InboundRequest::Peer() {
  if (m_place) return *m_place;
  return &m_stream;
}

asio::awaitable<bool> InboundRequest::AwaitTurn() {
  if (!m_place) co_return true;
  co_return co_await m_place->pipeline->AwaitTurn(m_place->ticket);
}

bool InboundRequest::IsLastRead() const {
  return !m_place || m_place->pipeline->IsLast(m_place->ticket);
}

void InboundRequest::CloseAfterResponse() {
  close_after_response = true;
  if (m_place) m_place->pipeline->CloseAfter(m_place->ticket);
}

void InboundRequest::StopTimer() {
  // The timer of a pipelined connection belongs to its reader and to the
  // response that is written.
  if (!m_place) m_stream.expires_never();
}

asio::awaitable<void> InboundRequest::ReadChunk(std::string* chunk) {
  chunk->clear();
  if (m_parser.is_done()) co_return;
  m_stream.expires_after(kCallerBodyTimeout);
  m_is_reading = true;
  const Error error =
      co_await ReadBodyPart(m_stream, m_buffer, m_parser, chunk, [this] {
        return Hold(m_head_memory + m_buffered_body.size() +
                    m_buffer.capacity());
      });
  m_is_reading = false;
  if (error) throw boost::system::system_error(error);
}

}  // namespace kumquatmoor
