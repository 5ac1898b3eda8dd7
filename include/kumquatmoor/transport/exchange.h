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
// Bodies of up to kHeldBytes are held whole, so that a request can be sent
// again and a truncated answer can still become an error. Larger ones are
// streamed; memory per call is bounded either way. Used from the io_context's
// one thread only.

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "kumquatmoor/protocol/verdict.h"
#include "kumquatmoor/transport/fault_plan.h"
#include "kumquatmoor/transport/upstream_pool.h"

namespace kumquatmoor {

inline constexpr size_t kHeldBytes = 65'536;
inline constexpr uint32_t kMaxHeaderBytes = 16'384;
inline constexpr uint64_t kMaxBodyBytes = 256ULL << 20U;

using RequestHead = boost::beast::http::request_header<>;
using Deadline = std::chrono::steady_clock::time_point;

// A request that is being read from a caller.
class Inbound {
 public:
  Inbound(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer);

  // Reads the head and, if it is small, the body. Throws if the connection
  // fails; false if the other end closed it between requests.
  boost::asio::awaitable<bool> ReadHead();
  // Reads the next part of the body into `chunk`; empty at its end.
  boost::asio::awaitable<void> ReadChunk(std::string* chunk);

  const RequestHead& Head() const { return m_parser.get(); }
  // The first part of the body, or all of it.
  const std::string& Held() const { return m_held; }
  bool IsWhole() const { return m_whole; }
  bool KeepAlive() const { return m_parser.get().keep_alive(); }
  boost::beast::tcp_stream& Stream() { return m_stream; }
  // Set once part of the body went out without being held.
  bool streamed = false;

 private:
  boost::beast::tcp_stream& m_stream;
  boost::beast::flat_buffer& m_buffer;
  boost::beast::http::request_parser<boost::beast::http::buffer_body> m_parser;
  std::string m_held;
  bool m_whole = false;
};

struct ForwardOptions {
  std::string address;  // "IP:PORT" of the node or the backend server.
  std::string zone;     // Of the node, for injected faults.
  RequestHead head;     // As it is to be sent.
  Deadline deadline;
  std::chrono::milliseconds connect_timeout{300};
  // An idle connection older than this is not used for this request.
  std::chrono::milliseconds max_idle_age{5'000};
  const FaultPlan* faults = nullptr;
};

struct ForwardResult {
  bool answered = false;  // The head of an answer is there.
  Verdict verdict = Verdict::kNotRun;
  std::string reason;  // Why there is no answer.
  bool caller_gone = false;
  bool timed_out = false;

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
                                              Inbound& inbound,
                                              ForwardOptions& options);

// Writes `result.head` and the body to the caller. False if the body could not
// be passed on whole; the caller's connection must then be closed.
boost::asio::awaitable<bool> RelayResponse(Inbound& inbound,
                                           ForwardResult& result,
                                           UpstreamPool& pool);

// Removes the headers that belong to one connection only.
void RemoveHopHeaders(boost::beast::http::fields* fields);

// An answer of this node's own.
struct OwnAnswer {
  unsigned status = 503;
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  std::string request_id;
  uint32_t retry_after_s = 0;  // 0: no such header.
  std::string load;            // "IN_FLIGHT/SLOTS" between nodes, or "".
};
boost::asio::awaitable<void> WriteOwnAnswer(Inbound& inbound,
                                            const OwnAnswer& answer);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_EXCHANGE_H_
