// The connection of a caller. One coroutine reads the requests. A request that
// may run beside others gets a coroutine of its own, and the next one is read
// while it runs. Any other request is served by the reader itself, after all
// earlier responses: nothing behind it is read until it has its response.
//
// The session ends after the last of its requests, so that a drain waits for
// all of them.

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "kumquatmoor/node/proxy.h"
#include "node/caller_connection.h"
#include "node/header_values.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::seconds;

// For each write to the caller, as in RelayResponse. A timer that was set for
// reading applies to parts of a response that is written meanwhile.
constexpr seconds kCallerWriteTimeout{30};

}  // namespace

// A request that has no route is not run, but it may get one before its turn.
bool Proxy::MayRunBesideOthers(const InboundRequest& inbound) const {
  if (!inbound.IsFullyBuffered() || !inbound.KeepAlive()) return false;
  if (!HasConfiguration()) return false;
  const RequestHead& head = inbound.Head();
  const HttpRouteIndex* index = m_routes->http_routes.get();
  if (index == nullptr || !index->IsInUse()) {
    return IsIdempotent(Text(head.method_string()));
  }
  const HttpRoute* route = index->Find(
      Text(head[boost::beast::http::field::host]), Text(head.target()));
  return route != nullptr && route->kind() != NON_IDEMPOTENT;
}

bool Proxy::ClosesAfter(const InboundRequest& inbound) const {
  return m_draining && inbound.IsLastRead();
}

asio::awaitable<void> Proxy::CallerSession(asio::ip::tcp::socket socket) {
  const auto caller = std::make_shared<CallerConnection>(std::move(socket));
  const auto unregister = [callers = m_callers](CallerConnection* gone) {
    callers->erase(gone);
  };
  const std::unique_ptr<CallerConnection, decltype(unregister)> registration(
      caller.get(), unregister);
  m_callers->insert(caller.get());
  try {
    co_await ReadRequests(caller);
  } catch (const std::exception&) {
    // The connection failed, and the request that was read is gone.
    caller->inbound = nullptr;
    caller->pipeline->Close();
  }
  co_await caller->pipeline->AwaitIdle();
  boost::system::error_code error;
  const bool has_unread =
      caller->buffer.size() > 0 || caller->stream.socket().available(error) > 0;
  if (caller->ended_by_response && has_unread) {
    co_await CloseAfterReply(caller->stream);
  }
}

asio::awaitable<void> Proxy::ReadRequests(
    std::shared_ptr<CallerConnection> caller) {
  const std::shared_ptr<CallerPipeline> pipeline = caller->pipeline;
  const std::function<bool()> may_read_ahead = [this] {
    return !m_draining && !m_budget->IsScarce();
  };
  while (co_await pipeline->AwaitNext(
      m_bounds.max_header_bytes + kMaxBufferedRequestBytes, may_read_ahead)) {
    const auto inbound = std::make_shared<InboundRequest>(
        caller->stream, caller->buffer, m_bounds, m_budget);
    const ReadOutcome read = co_await ReadRequest(*caller, *inbound);
    if (read == ReadOutcome::kClosed) pipeline->Close();
    if (read == ReadOutcome::kRequest && MayRunBesideOthers(*inbound)) {
      caller->inbound = nullptr;
      // Began to be read before an earlier response closed the connection.
      if (!pipeline->IsOpen()) break;
      inbound->Join(pipeline);
      asio::co_spawn(m_context, ServeBesideOthers(caller, inbound),
                     asio::detached);
      continue;
    }
    if (!co_await pipeline->AwaitIdle()) break;
    const bool keep_open = co_await ServeAlone(*caller, *inbound, read);
    caller->inbound = nullptr;
    if (!keep_open) break;
  }
  caller->inbound = nullptr;
}

asio::awaitable<ReadOutcome> Proxy::ReadRequest(CallerConnection& caller,
                                                InboundRequest& inbound) {
  CallerPipeline* const pipeline = caller.pipeline.get();
  caller.inbound = &inbound;
  if (pipeline->IsIdle()) {
    caller.idle_since = Clock::now();
  } else {
    inbound.before_continue = [pipeline] { return pipeline->AwaitIdle(); };
  }
  const ReadOutcome read = co_await inbound.ReadHead([this, &caller, &inbound] {
    caller.idle_since.reset();
    inbound.SetBounds(m_bounds);
  });
  if (pipeline->IsIdle()) co_return read;
  // A timeout of the read has closed the connection.
  if (!caller.stream.socket().is_open()) co_return ReadOutcome::kClosed;
  caller.stream.expires_after(kCallerWriteTimeout);
  co_return read;
}

asio::awaitable<bool> Proxy::ServeAlone(CallerConnection& caller,
                                        InboundRequest& inbound,
                                        ReadOutcome read) {
  if (read == ReadOutcome::kRejected) {
    Rejection rejection;
    rejection.status = inbound.RejectionStatus();
    rejection.reason =
        "the request is not accepted: " + inbound.RejectionReason();
    co_await Reject(inbound, std::move(rejection));
    co_await CloseAfterReply(caller.stream);
    co_return false;
  }
  bool keep_open = false;
  try {
    keep_open = co_await ServeCaller(inbound);
  } catch (const std::exception& error) {
    spdlog::info("route: event=caller_lost reason=\"{}\"", error.what());
  }
  caller.ended_by_response = !keep_open && inbound.responded;
  co_return keep_open;
}

asio::awaitable<void> Proxy::ServeBesideOthers(
    std::shared_ptr<CallerConnection> caller,
    std::shared_ptr<InboundRequest> inbound) {
  const PipelinePlace place = *inbound->Place();
  caller->in_flight.insert(inbound.get());
  bool keep_open = false;
  try {
    keep_open = co_await ServeCaller(*inbound);
  } catch (const std::exception& error) {
    spdlog::info("route: event=caller_lost reason=\"{}\"", error.what());
  }
  caller->in_flight.erase(inbound.get());
  // The responses before this one are written first.
  if (!keep_open && co_await place.pipeline->AwaitTurn(place.ticket)) {
    caller->ended_by_response = inbound->responded;
    place.pipeline->CloseAndStopReading();
  }
  place.pipeline->Remove(place.ticket);
}

}  // namespace kumquatmoor
