// The drain has three phases. In the caller grace, new connections and requests
// are served. Until the drain timeout, requests on open connections are served.
// Then the requests that are left are aborted, and there is some time to write
// the responses.
//
// To abort a request at which a backend server works is the last resort, and it
// must not hit a request that was sent after the caller grace, when the caller
// could know better. So a request is not passed on if it may not end in time:
// see EndsInGrace.

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kumquatmoor/node/proxy.h"
#include "node/call.h"
#include "node/caller_connection.h"
#include "node/local_runner.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kDrainPollInterval{20};
// After the grace of a drain, connections that have been idle for this time are
// closed. A caller that has just connected needs some time to send its request.
constexpr milliseconds kIdleTimeAfterGrace{500};
// Bounds the time from the signal to the start of the drain on a slow host.
constexpr milliseconds kMaxSignalDelay{500};
constexpr size_t kMaxDescribedRequests = 8;
constexpr size_t kMaxDescribedIdBytes = 64;

std::string_view StateOf(const InboundRequest& inbound) {
  if (inbound.responding) return "responding";
  if (inbound.IsReading()) return "reading";
  return inbound.streamed ? "streaming" : "awaiting";
}

}  // namespace

void Proxy::StartDrain(std::function<void()> drained) {
  const TimePoint start = Clock::now();
  asio::post(m_context, [this, start, drained = std::move(drained)]() mutable {
    m_draining = true;
    m_caller_grace_end = start + m_options.caller_grace;
    m_drain_end = start + m_options.drain_timeout;
    m_runner->GetAdmission().StartDrain();
    m_runner->WakeWaiting();
    asio::co_spawn(m_context, WaitUntilDrained(std::move(drained)),
                   asio::detached);
  });
}

bool Proxy::EndsInGrace(const Call& call) const {
  // The deadline of a request that was taken during the drain is at most the
  // end of the drain.
  if (!m_draining || call.deadline < m_drain_end) return true;
  const TimePoint now = Clock::now();
  if (now >= m_caller_grace_end - kMaxSignalDelay) return false;
  return now + m_call_times.Expected(call.route) < m_drain_end;
}

bool Proxy::IsBusy() const {
  return m_runner->GetAdmission().TotalInFlight() > 0 ||
         m_caller_server.Connections() > 0 || !m_node_requests->empty();
}

asio::awaitable<void> Proxy::WaitUntilDrained(std::function<void()> drained) {
  asio::steady_timer timer(m_context);
  timer.expires_at(m_caller_grace_end);
  co_await timer.async_wait(asio::use_awaitable);
  m_caller_server.StopAccepting();
  do {
    CloseIdleCallers(kIdleTimeAfterGrace);
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  } while (IsBusy() && Clock::now() < m_drain_end);
  if (IsBusy()) {
    spdlog::warn("node: event=aborted callers={} local_requests={}",
                 m_callers->size(), m_runner->GetAdmission().TotalInFlight());
  }
  while (IsBusy() && Clock::now() < m_drain_end + m_options.reply_timeout) {
    AbortRequests();
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (IsBusy()) {
    spdlog::warn("node: event=cut_off callers={} node_requests={}",
                 m_callers->size(), m_node_requests->size());
  }
  m_data_server.StopAccepting();
  drained();
}

std::string Proxy::DescribePending() const {
  std::vector<std::string> requests;
  const auto add = [&](std::string_view from, const InboundRequest& inbound,
                       std::string_view state) {
    if (requests.size() >= kMaxDescribedRequests) return;
    const auto id = inbound.Head()[m_options.headers.request_id];
    const std::string_view shown(id.data(), id.size());
    requests.push_back(fmt::format(
        "{}/{}/{}", from, shown.substr(0, kMaxDescribedIdBytes), state));
  };
  for (const InboundRequest* inbound : *m_node_requests) {
    add("node", *inbound, StateOf(*inbound));
  }
  size_t idle = 0;
  for (const CallerConnection* caller : *m_callers) {
    for (const InboundRequest* inbound : caller->in_flight) {
      add("caller", *inbound, StateOf(*inbound));
    }
    if (!caller->idle_since && caller->inbound != nullptr) {
      add("caller", *caller->inbound, StateOf(*caller->inbound));
    } else if (caller->in_flight.empty()) {
      ++idle;
    }
  }
  return fmt::format(
      "callers={} idle_callers={} node_requests={} local_requests={} "
      "node_connections={} requests=\"{}\"",
      m_callers->size(), idle, m_node_requests->size(),
      m_runner->GetAdmission().TotalInFlight(), m_active->size(),
      fmt::join(requests, " "));
}

// A request may begin to use a connection after an earlier call.
void Proxy::AbortRequests() {
  m_runner->AbortAll();
  for (auto* stream : *m_active) stream->close();
  for (CallerConnection* caller : *m_callers) {
    // The last response of a pipelined connection ends the read, too.
    if (caller->inbound != nullptr && caller->pipeline->IsIdle()) {
      caller->inbound->CancelRead();
    }
  }
  for (InboundRequest* request : *m_node_requests) request->CancelRead();
  CloseIdleCallers(milliseconds(0));
}

// Cancels the wait for the next request, which ends the session unless bytes of
// a request have arrived by then.
void Proxy::CloseIdleCallers(milliseconds idle_time) {
  const auto now = Clock::now();
  for (CallerConnection* caller : *m_callers) {
    if (caller->idle_since && now - *caller->idle_since >= idle_time) {
      caller->stream.cancel();
    }
  }
}

}  // namespace kumquatmoor
