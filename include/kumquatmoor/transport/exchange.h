#ifndef KUMQUATMOOR_TRANSPORT_EXCHANGE_H_
#define KUMQUATMOOR_TRANSPORT_EXCHANGE_H_

// Forwards one HTTP request to another node or a backend server and relays
// the answer.
//
//   Inbound inbound(stream, buffer, limits);
//   co_await inbound.ReadHead();
//   ForwardResult result = co_await Forward(pool, inbound, options);
//   if (result.answered) co_await RelayResponse(inbound, result, pool);
//
// Bodies of up to kMaxBufferedRequestBytes are held whole, so that a request
// can be sent again and a truncated answer can still become an error. Larger
// ones are streamed; memory per call is bounded either way. Used from the
// io_context's one thread only.

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

#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/protocol/verdict.h"
#include "kumquatmoor/transport/fault_plan.h"
#include "kumquatmoor/transport/upstream_pool.h"

namespace kumquatmoor {

// A request body up to this size is held whole, so that it can be sent again.
inline constexpr size_t kMaxBufferedRequestBytes = 65'536;
// Likewise for answers: those that are held whole cannot end early.
inline constexpr size_t kMaxBufferedResponseBytes = 1U << 20U;

// What a caller may send and how long it may take.
struct CallerBounds {
  uint32_t max_header_bytes = 16'384;
  uint64_t max_body_bytes = 256ULL << 20U;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds idle_timeout{60'000};
};

using RequestHead = boost::beast::http::request_header<>;
using Deadline = std::chrono::steady_clock::time_point;

enum class ReadOutcome {
  kRequest,
  kClosed,    // The other end closed the connection, or it was idle too long.
  kRejected,  // Not a request within the bounds; see RejectionStatus.
};

// A request that is being read from a caller.
class InboundRequest {
 public:
  InboundRequest(boost::beast::tcp_stream& stream,
                 boost::beast::flat_buffer& buffer,
                 const CallerBounds& bounds = {});

  // Reads the head and, if it is small, the body. Throws if the connection
  // fails. `on_begin` is called when the first byte is there.
  boost::asio::awaitable<ReadOutcome> ReadHead(
      std::function<void()> on_begin = {});
  // 400, 408, 413 or 431.
  unsigned RejectionStatus() const { return m_rejection_status; }
  // Reads the next part of the body into `chunk`; empty at its end.
  boost::asio::awaitable<void> ReadChunk(std::string* chunk);

  const RequestHead& Head() const { return m_parser.get(); }
  // The first part of the body, or all of it.
  const std::string& Held() const { return m_held; }
  bool IsFullyBuffered() const { return m_whole; }
  bool KeepAlive() const { return m_parser.get().keep_alive(); }
  boost::beast::tcp_stream& Stream() { return m_stream; }
  // Set once part of the body went out without being held.
  bool streamed = false;

 private:
  boost::beast::tcp_stream& m_stream;
  boost::beast::flat_buffer& m_buffer;
  boost::beast::http::request_parser<boost::beast::http::buffer_body> m_parser;
  boost::asio::awaitable<boost::system::error_code> AwaitFirstByte();
  ReadOutcome Reject(const boost::system::error_code& error);

  CallerBounds m_bounds;
  std::string m_held;
  bool m_whole = false;
  unsigned m_rejection_status = 0;
};

// Calls `on_gone` once if the caller closes its connection. Only while the body
// of the request is complete, so that the wait never meets a read of the same
// socket; bytes of a next request end the watch.
class CallerWatch {
 public:
  CallerWatch(boost::beast::tcp_stream& caller, std::function<void()> on_gone);
  CallerWatch(const CallerWatch&) = delete;
  CallerWatch& operator=(const CallerWatch&) = delete;
  ~CallerWatch();

  bool CallerGone() const { return m_state->gone; }

 private:
  struct State {
    std::function<void()> on_gone;
    bool gone = false;
  };
  boost::beast::tcp_stream& m_caller;
  std::shared_ptr<State> m_state;
};

// Connections on which a request is on its way; closing one ends the request.
using ActiveStreams = std::set<boost::beast::tcp_stream*>;

struct ForwardOptions {
  std::string address;  // "IP:PORT" of the node or the backend server.
  std::string zone;     // Of the node, for injected faults.
  RequestHead head;     // As it is to be sent.
  Deadline deadline;
  std::chrono::milliseconds connect_timeout{300};
  // An idle connection older than this is not used for this request.
  std::chrono::milliseconds max_idle_age{5'000};
  const FaultPlan* faults = nullptr;
  const CallHeaders* headers = nullptr;   // Those of the deployment.
  std::shared_ptr<ActiveStreams> active;  // Lists the connection meanwhile.
  bool to_backend = false;  // Checks what only backend servers send.
};

struct ForwardResult {
  bool answered = false;  // The head of an answer is there.
  Verdict verdict = Verdict::kNotRun;
  std::string reason;  // Why there is no answer.
  bool caller_gone = false;
  bool timed_out = false;
  bool offered = false;  // A backend server was handed the request.

  // Of the answer.
  boost::beast::http::response_header<> head;
  std::string held;         // The first part of its body, or all of it.
  bool whole = false;       // `held` is all of it.
  bool keep_alive = false;  // The connection can be used again.
  std::unique_ptr<UpstreamConnection> connection;
  std::unique_ptr<
      boost::beast::http::response_parser<boost::beast::http::buffer_body>>
      parser;
};

// Sends the request and reads the head of the answer, and its body if that is
// small. Stops early when the caller closes its connection. Takes the head
// out of `options`.
boost::asio::awaitable<ForwardResult> Forward(UpstreamPool& pool,
                                              InboundRequest& inbound,
                                              ForwardOptions& options);

// Gives the connection of a whole answer back to the pool, so that a slow
// caller does not hold it; closes any other.
void ReleaseConnection(ForwardResult& result, UpstreamPool& pool);

// Writes `result.head` and the body to the caller. False if the body could not
// be passed on whole; the caller's connection must then be closed. `close` says
// that no further request will be read.
boost::asio::awaitable<bool> RelayResponse(InboundRequest& inbound,
                                           ForwardResult& result,
                                           UpstreamPool& pool,
                                           bool close = false);

// Removes the headers that belong to one connection only.
void RemoveHopByHopHeaders(boost::beast::http::fields* fields);

// An answer of this node's own.
struct LocalReply {
  unsigned status = 503;
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  std::string request_id;
  std::string_view request_id_header = headers::kRequestId;
  std::chrono::milliseconds retry_after{0};  // 0: no such header.
  std::string load;  // "IN_FLIGHT/SLOTS" between nodes, or "".
  bool offered = false;
  bool close = false;
};
boost::asio::awaitable<void> WriteLocalReply(InboundRequest& inbound,
                                             const LocalReply& answer);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_EXCHANGE_H_
