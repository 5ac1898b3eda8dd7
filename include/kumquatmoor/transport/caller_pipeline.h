#ifndef KUMQUATMOOR_TRANSPORT_CALLER_PIPELINE_H_
#define KUMQUATMOOR_TRANSPORT_CALLER_PIPELINE_H_

// CallerPipeline: runs several requests of one caller's connection at a time
// and keeps their responses in order. One coroutine, the reader, reads the
// requests. Each request that it starts has a coroutine of its own.
//
//   // The reader:
//   while (co_await pipeline->AwaitNext(max_request_bytes, may_read_ahead)) {
//     ... read a request ...
//     if (may run beside others) {
//       const auto ticket = pipeline->Add(bytes);
//       co_spawn(..., Serve(pipeline, ticket), ...);
//     } else if (co_await pipeline->AwaitIdle()) {
//       ... serve it ...
//     }
//   }
//
//   // A request:
//   if (co_await pipeline->AwaitTurn(ticket)) ... write the response ...
//   pipeline->Remove(ticket);
//
// While requests are in flight and nothing is read, the pipeline watches for
// the end of the connection, which cancels all of them. A connection without
// requests in flight is only read.
//
// Not thread-safe. Held by std::shared_ptr. The stream and the buffer must
// exist while a member function runs.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "kumquatmoor/transport/request_order.h"

namespace kumquatmoor {

// What a CallerWatch shares with those that detect the end of a connection.
struct CallerWatchState {
  std::function<void()> on_gone;
  bool gone = false;
};

class CallerPipeline : public std::enable_shared_from_this<CallerPipeline> {
 public:
  using Ticket = RequestOrder::Ticket;

  CallerPipeline(boost::beast::tcp_stream& stream,
                 boost::beast::flat_buffer& buffer);

  // Waits until the next request may be read: at once if none is in flight,
  // else when its first byte has arrived, there is room for a request of up to
  // `max_bytes`, and `may_read_ahead` returns true. It is called again whenever
  // a request ends. Returns false if no request may be read any more.
  boost::asio::awaitable<bool> AwaitNext(size_t max_bytes,
                                         std::function<bool()> may_read_ahead);
  // Waits until no request is in flight. Returns false if no request may run
  // any more.
  boost::asio::awaitable<bool> AwaitIdle();

  Ticket Add(size_t bytes) { return m_order.Add(bytes); }
  void Remove(Ticket ticket);
  // Waits until the responses to all earlier requests are written. Returns
  // false if the request is cancelled.
  boost::asio::awaitable<bool> AwaitTurn(Ticket ticket);
  // The response to this request closes the connection: cancels the requests
  // behind it.
  void CloseAfter(Ticket ticket);
  // Cancels all requests: the caller has left.
  void Close() { CloseAfter(0); }
  // Cancels all requests and the read of the next one. Call when no response is
  // being written.
  void CloseAndStopReading();

  bool IsIdle() const { return m_order.IsEmpty(); }
  // True if no request is cancelled.
  bool IsOpen() const { return m_order.IsOpen(); }
  bool IsLast(Ticket ticket) const { return m_order.IsLast(ticket); }
  bool IsCancelled(Ticket ticket) const { return m_order.IsCancelled(ticket); }

  // Calls `on_gone` of `watch` once the request is cancelled, while the state
  // exists.
  void Watch(Ticket ticket, const std::shared_ptr<CallerWatchState>& watch);

 private:
  // Waits until a request ends, is cancelled, or the connection is readable.
  boost::asio::awaitable<void> AwaitChange();
  void StartWatch();
  void OnReadable();
  // Takes the bytes that have arrived. True if the next request has begun.
  bool HasNextRequest();

  boost::beast::tcp_stream& m_stream;
  boost::beast::flat_buffer& m_buffer;
  RequestOrder m_order;
  // Cancelled at each change that a coroutine may wait for.
  boost::asio::steady_timer m_change;
  std::vector<std::pair<Ticket, std::weak_ptr<CallerWatchState>>> m_watches;
  // A wait for the connection to become readable is pending. It is not
  // cancelled when it is no longer wanted, since that would also end the write
  // of a response; its result is ignored instead.
  bool m_wait_is_pending = false;
  bool m_wait_is_wanted = false;
};

// The place of a request on its connection.
struct PipelinePlace {
  std::shared_ptr<CallerPipeline> pipeline;
  CallerPipeline::Ticket ticket = 0;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_CALLER_PIPELINE_H_
