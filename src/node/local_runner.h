#ifndef KUMQUATMOOR_SRC_NODE_LOCAL_RUNNER_H_
#define KUMQUATMOOR_SRC_NODE_LOCAL_RUNNER_H_

// LocalRunner: hands requests to the backend servers of this host.
//
//   LocalRun run;
//   co_await runner.Run(inbound, head, call, run);
//   if (run.result.answered) Relay(run.result);
//   runner.Finish(call, run, whole);
//
// A request waits here for a slot, in the order of SlotQueue, so a backend
// server never queues and whoever is refused has not run. Used from the one
// thread of the proxy's io_context.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kumquatmoor/node/admission.h"
#include "kumquatmoor/node/call_metrics.h"
#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/state/outcome_counters.h"
#include "kumquatmoor/transport/bounded_ring.h"
#include "kumquatmoor/transport/exchange.h"
#include "kumquatmoor/transport/upstream_pool.h"
#include "node/call.h"

namespace kumquatmoor {

// A run at a backend server of this node.
struct LocalRun {
  AdmissionAnswer admission;
  ForwardResult result;
  TimePoint started;
  bool finished = false;
};

// Requests in flight and slots, as "3/10".
std::string LoadText(const AdmissionAnswer& admission);

class LocalRunner {
 public:
  LocalRunner(boost::asio::io_context& context, const CallHeaders& headers,
              AdmissionOptions options, BoundedRing<Outcome>* outcomes,
              CallMetrics* metrics);

  // `head` is the request's, as callers send it.
  boost::asio::awaitable<void> Run(InboundRequest& inbound, RequestHead head,
                                   const Call& call, LocalRun& run);
  // Frees the slot and reports how the request ended. Only the first call for
  // a run counts.
  void Finish(const Call& call, LocalRun& run, bool whole);
  // Starts waiting requests that got a slot, refuses those that are too late.
  void WakeWaiting();

  // Gives up every request that waits or runs.
  void AbortAll();

  Admission& GetAdmission() { return m_admission; }
  UpstreamPool& Pool() { return m_pool; }

 private:
  struct Waiter {
    explicit Waiter(boost::asio::io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    std::optional<AdmissionAnswer> answer;
    bool caller_gone = false;
  };

  boost::asio::awaitable<void> AwaitSlot(InboundRequest& inbound,
                                         const Call& call, LocalRun& run);
  void SetRequestHeaders(const Call& call, const AdmissionAnswer& admission,
                         RequestHead* head) const;
  void ReportOutcome(const Call& call, const LocalRun& run, bool whole);

  boost::asio::io_context& m_context;
  const CallHeaders& m_headers;
  Admission m_admission;
  UpstreamPool m_pool;
  BoundedRing<Outcome>* m_outcomes;
  CallMetrics* m_metrics;
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;  // By ticket.
  std::shared_ptr<ActiveStreams> m_active = std::make_shared<ActiveStreams>();
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_LOCAL_RUNNER_H_
