#ifndef KUMQUATMOOR_TRANSPORT_EXCHANGE_H_
#define KUMQUATMOOR_TRANSPORT_EXCHANGE_H_

// One HTTP exchange of a proxy: reads a request from a caller, forwards it to
// another node or a backend server, and relays the response.
//
//   InboundRequest inbound(stream, buffer, bounds);
//   if (co_await inbound.ReadHead() != ReadOutcome::kRequest) ...
//   ForwardResult result = co_await Forward(pool, inbound, options);
//   if (result.answered) {
//     co_await RelayResponse(inbound, result, pool);
//   } else {
//     co_await WriteLocalReply(inbound, {.verdict = result.verdict, ...});
//   }
//
// Small bodies are buffered completely: a request of up to
// kMaxBufferedRequestBytes can be retried, and a response of up to
// kMaxBufferedResponseBytes that is truncated can still be replaced by an
// error. Larger bodies are streamed, so that the memory per exchange is
// bounded.
//
// Not thread-safe: use it only from the thread that runs the io_context, which
// must have only one.

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "kumquatmoor/protocol/backend_notice.h"
#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/protocol/verdict.h"
#include "kumquatmoor/transport/buffer_budget.h"
#include "kumquatmoor/transport/caller_pipeline.h"
#include "kumquatmoor/transport/caller_watch.h"
#include "kumquatmoor/transport/fault_plan.h"
#include "kumquatmoor/transport/link_pacer.h"
#include "kumquatmoor/transport/upstream_pool.h"

namespace kumquatmoor {

// Request bodies of up to this size are buffered completely, so that the
// request can be retried. Also the size of the chunks in which larger bodies
// are read.
inline constexpr size_t kMaxBufferedRequestBytes = 65'536;
// Response bodies of up to this size are received completely before the head is
// relayed, so that the caller never sees a truncated one.
inline constexpr size_t kMaxBufferedResponseBytes = 1U << 20U;

// Limits on the size of a caller's request and on the time to send it.
struct CallerBounds {
  uint32_t max_header_bytes = 16'384;
  uint64_t max_body_bytes = 256ULL << 20U;
  // From the first byte of the request to the end of its head.
  std::chrono::milliseconds header_timeout{10'000};
  // For the first byte of the request.
  std::chrono::milliseconds idle_timeout{60'000};

  bool operator==(const CallerBounds&) const = default;
};

using RequestHead = boost::beast::http::request_header<>;
using Deadline = std::chrono::steady_clock::time_point;

enum class ReadOutcome {
  kRequest,
  kClosed,    // The caller closed the connection, or the idle timeout passed.
  kRejected,  // Malformed, or outside the bounds; see RejectionStatus.
};

// A request that is read from a caller's connection. Keeps references to
// `stream` and `buffer`, which must outlive it.
class InboundRequest {
 public:
  // Counts what it holds in `budget`, if there is one.
  InboundRequest(boost::beast::tcp_stream& stream,
                 boost::beast::flat_buffer& buffer,
                 const CallerBounds& bounds = {},
                 std::shared_ptr<BufferBudget> budget = nullptr);

  // Replaces the bounds, and the maximum size of the buffer, which exceeds the
  // largest head. Call before ReadHead, or in its `on_first_byte`.
  void SetBounds(const CallerBounds& bounds);
  // Reads the head and the buffered part of the body: all of it if it is small.
  // Calls `on_first_byte` once the first byte has arrived, and sends 100
  // Continue if the caller expects it. Throws boost::system::system_error if
  // the connection fails.
  boost::asio::awaitable<ReadOutcome> ReadHead(
      std::function<void()> on_first_byte = {});
  // Ends the wait for the rest of a request that has begun, if there is one:
  // ReadHead rejects the request with 503, ReadChunk fails.
  void CancelRead();
  bool IsReadCancelled() const { return m_read_cancelled; }
  // True while the rest of a request that has begun is awaited.
  bool IsReading() const { return m_is_reading; }
  // The HTTP status for a rejected request: 400, 408, 413, 431, or 503 if the
  // read was cancelled or the budget is spent.
  unsigned RejectionStatus() const { return m_rejection_status; }
  // The error that caused the rejection.
  std::string RejectionReason() const { return m_rejection.message(); }
  const CallerBounds& Bounds() const { return m_bounds; }
  // Reads the next part of the body into `chunk`, which is empty at the end of
  // the body. Throws boost::system::system_error on failure.
  boost::asio::awaitable<void> ReadChunk(std::string* chunk);

  // Without the fields of trailers. Empty until ReadHead has read it.
  const RequestHead& Head() const { return m_head; }
  // The part of the body that ReadHead has read.
  const std::string& BufferedBody() const { return m_buffered_body; }
  // Returns true if BufferedBody is the complete body.
  bool IsFullyBuffered() const { return m_fully_buffered; }
  // True if the connection may carry another request.
  bool KeepAlive() const { return !close_after_response && m_keep_alive; }
  // True if the caller has closed its connection by now, or the request is
  // cancelled. CallerWatch reports this, too, but not before the io_context has
  // polled the socket.
  bool CallerHasLeft();
  // Makes the request one of several on its connection. Call after ReadHead,
  // with a complete body. Without a call, it is the only one.
  void Join(const std::shared_ptr<CallerPipeline>& pipeline);
  // The place on the connection, if the request is one of several.
  const std::optional<PipelinePlace>& Place() const { return m_place; }
  // What a CallerWatch watches for the end of this request.
  WatchedPeer Peer();
  // Waits until the response may be written. Returns false if the request is
  // cancelled. Writing a response awaits this, too.
  boost::asio::awaitable<bool> AwaitTurn();
  // False if requests behind this one are in flight.
  bool IsLastRead() const;
  // The response that is written next closes the connection.
  void CloseAfterResponse();
  // Ends the timeout of the connection while a response is awaited.
  void StopTimer();
  boost::beast::tcp_stream& Stream() { return m_stream; }
  // True once Forward has begun to stream the body, so that the request
  // cannot be retried.
  bool streamed = false;
  // True once a response is written.
  bool responding = false;
  // The response ends with the connection.
  bool close_after_response = false;
  // A complete response was written.
  bool responded = false;
  // Awaited before 100 Continue is sent, if it is set. If it returns false, the
  // connection counts as closed.
  std::function<boost::asio::awaitable<bool>()> before_continue;

 private:
  boost::beast::tcp_stream& m_stream;
  boost::beast::flat_buffer& m_buffer;
  boost::beast::http::request_parser<boost::beast::http::buffer_body> m_parser;
  boost::asio::awaitable<boost::system::error_code> AwaitFirstByte();
  ReadOutcome Reject(const boost::system::error_code& error);
  // Moves what has been read of the head out of the parser.
  void TakeHead();
  // Counts what the request holds. Fails if the budget is spent.
  boost::system::error_code Hold(size_t bytes);

  CallerBounds m_bounds;
  std::optional<PipelinePlace> m_place;
  RequestHead m_head;
  bool m_keep_alive = false;
  BufferShare m_share;
  size_t m_head_memory = 0;
  std::string m_buffered_body;
  bool m_fully_buffered = false;
  bool m_is_reading = false;  // The rest of a request that has begun.
  bool m_read_cancelled = false;
  unsigned m_rejection_status = 0;
  boost::system::error_code m_rejection;
};

// The upstream connections that have a request in flight. Closing one of them
// ends its request.
using ActiveStreams = std::set<boost::beast::tcp_stream*>;

// Ends an exchange early, for one of several exchanges of the same request.
//
//   const auto cancellation = std::make_shared<ForwardCancellation>();
//   options.cancellation = cancellation;
//   ...
//   cancellation->Cancel();  // Forward ends soon, with `caller_gone` set.
class ForwardCancellation {
 public:
  // Closes the connection. What has not been sent yet will not be.
  void Cancel() {
    m_cancelled = true;
    if (m_stream != nullptr) m_stream->close();
  }
  bool IsCancelled() const { return m_cancelled; }
  // The connection of the exchange, null if there is none. Called by Forward.
  void SetStream(boost::beast::tcp_stream* stream) { m_stream = stream; }

 private:
  bool m_cancelled = false;
  boost::beast::tcp_stream* m_stream = nullptr;
};

struct ForwardOptions {
  std::string address;  // "IP:PORT" of the node or the backend server.
  std::string zone;     // Zone of the node, to match injected faults.
  RequestHead head;     // The head to send; Forward moves it out.
  Deadline deadline;
  std::chrono::milliseconds connect_timeout{300};
  // Connections that were idle for longer are not used for this request.
  std::chrono::milliseconds max_idle_age{5'000};
  const FaultPlan* faults = nullptr;
  const CallHeaders* headers = nullptr;  // Null: the default names.
  // Contains the connection while the request is in flight. May be null.
  std::shared_ptr<ActiveStreams> active;
  // If set, Forward does not watch the caller's connection: several exchanges
  // cannot. Their owner watches it and cancels them.
  std::shared_ptr<ForwardCancellation> cancellation;
  // Paces the body of the request to another node. May be null.
  LinkPacer* pacer = nullptr;
  // Counts what is held of the response. While it is scarce, no more of a body
  // is buffered than what is relayed next; once it is spent, the exchange
  // fails. May be null.
  std::shared_ptr<BufferBudget> budget;
  // The address is that of a backend server. Its response is validated, and the
  // verdict is derived from the headers that only backend servers send.
  bool to_backend = false;
  // The address is that of a node. Its response is validated as well, and has
  // to state a verdict: another server may have taken over the address.
  bool to_node = false;
};

struct ForwardResult {
  bool answered = false;  // A valid response was received.
  Verdict verdict = Verdict::kNotRun;
  std::string reason;  // Why there is no response.
  // The caller closed its connection, or its body could not be read.
  bool caller_gone = false;
  bool timed_out = false;  // The connect timeout or the deadline passed.
  // The peer ended the connection after the request was sent.
  bool connection_lost = false;
  bool offered = false;  // The request was sent to a backend server.

  BufferShare share;  // Of the response.

  // The members below are meaningful only if `answered` is true.
  boost::beast::http::response_header<> head;
  std::string buffered_body;    // The part of the body that has been read.
  bool fully_buffered = false;  // `buffered_body` is the complete body.
  bool keep_alive = false;      // The peer allows reuse of the connection.
  // The source of the rest of the body.
  std::unique_ptr<UpstreamConnection> connection;
  std::unique_ptr<
      boost::beast::http::response_parser<boost::beast::http::buffer_body>>
      parser;
};

// The size of the response's body, if it is known.
std::optional<uint64_t> BodyBytes(const ForwardResult& result);

// Sets the header kLinkWaitMs.
void SetLinkWait(std::chrono::milliseconds wait,
                 boost::beast::http::fields* head);

// Sets the headers that tell another node what the process `instance` of a
// backend server last said of itself, and removes those that say nothing.
void SetNoticeHeaders(const std::string& instance, const BackendNotice& notice,
                      boost::beast::http::fields* head);
// Reads the notice from these headers.
BackendNotice ReadNoticeHeaders(const boost::beast::http::fields& head);

// Sends the request and reads the head of the response and the buffered part of
// its body. Ends early if the caller closes its connection. Failures of a
// connection are reported in the result.
boost::asio::awaitable<ForwardResult> Forward(UpstreamPool& pool,
                                              InboundRequest& inbound,
                                              ForwardOptions& options);

// Returns the connection to the pool if the response was read completely and
// the connection can be reused; closes it otherwise. Called before a buffered
// response is written, so that a slow caller does not occupy the connection.
void ReleaseConnection(ForwardResult& result, UpstreamPool& pool);

struct RelayOptions {
  bool close = false;  // Close the caller's connection after the response.
  // Paces the body if the caller is another node. May be null.
  LinkPacer* pacer = nullptr;
  // A response that is not complete by then is cut short.
  Deadline deadline = Deadline::max();
  // Counts the bytes that were written, if they are paced. May be null.
  size_t* sent_bytes = nullptr;
};

// Writes the head and the body of the response to the caller. Returns false if
// the body was not relayed completely; the caller's connection must then be
// closed. The response has a "Connection: close" header if the connection is
// closed after it.
boost::asio::awaitable<bool> RelayResponse(InboundRequest& inbound,
                                           ForwardResult& result,
                                           UpstreamPool& pool,
                                           RelayOptions options = {});

// Removes the hop-by-hop headers, which apply to a single connection, and
// Expect, which this node handles itself. Transfer-Encoding stays: it depends
// on how the body is written.
void RemoveHopByHopHeaders(boost::beast::http::fields* fields);

// A response that this node generates itself.
struct LocalReply {
  unsigned status = 503;
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  std::string request_id;
  std::string_view request_id_header = headers::kRequestId;
  std::chrono::milliseconds retry_after{0};  // 0: no Retry-After header.
  std::string load;           // "IN_FLIGHT/SLOTS" if sent to a node, or empty.
  bool offered = false;       // The request was sent to a backend server.
  bool limited = false;       // The backend server's own limit is reached.
  bool retry_denied = false;  // The retry budget is used up.
  bool crashed = false;       // The backend server crashed.
  bool blocked = false;       // The request crashes backend servers.
  bool link_full = false;     // The host's link has no room in time.
  bool shed = false;          // Calls of the request would probably fail.
  // Expected time until the response, if the request is handed back.
  std::optional<std::chrono::milliseconds> handed_back;
  std::chrono::milliseconds run_time{0};  // Expected; 0 if not known.
  // As in headers::kLinkWaitMs.
  std::chrono::milliseconds link_wait{0};
  // What the process `instance` of the backend server last said of itself.
  std::string instance;
  BackendNotice notice;
  bool close = false;  // Close the connection after the reply.
};

// Writes `reply` to the caller. Write errors are ignored.
boost::asio::awaitable<void> WriteLocalReply(InboundRequest& inbound,
                                             const LocalReply& reply);

// Ends the connection of a request that was not read to its end, so that its
// sender gets the response: a connection that is closed with unread bytes is
// reset, which discards what the peer has not read yet. Discards what arrives,
// up to a bound and for a short time. Does not throw.
boost::asio::awaitable<void> CloseAfterReply(boost::beast::tcp_stream& stream);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_EXCHANGE_H_
