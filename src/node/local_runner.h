#ifndef KUMQUATMOOR_SRC_NODE_LOCAL_RUNNER_H_
#define KUMQUATMOOR_SRC_NODE_LOCAL_RUNNER_H_

// LocalRunner: sends requests to the backend servers of this host, within the
// slots that Admission grants.
//
//   LocalRun run;
//   co_await runner.Run(inbound, head, call, run);
//   bool whole = run.result.answered && co_await Relay(run.result);
//   runner.Finish(call, run, whole);
//
// Requests wait for a slot here, in the order of SlotQueue, so a backend server
// needs no queue and a refused request has not run. Used from the one thread of
// the proxy's io_context.

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

// One request at a backend server of this host.
struct LocalRun {
  AdmissionAnswer admission;
  ForwardResult result;
  TimePoint started;
  bool finished = false;
};

// The value of the load header: requests in flight and slots, as "3/10".
std::string LoadText(const AdmissionAnswer& admission);

class LocalRunner {
 public:
  LocalRunner(boost::asio::io_context& context, const CallHeaders& headers,
              AdmissionOptions options, BoundedRing<Outcome>* outcomes,
              CallMetrics* metrics);

  // Waits for a slot, sends the request and reads the head of the response into
  // `run.result`. If the request is refused, `run.result` has no response and
  // `run.admission` has the reason. Headers that only nodes use are removed
  // from `head` before the request is sent.
  boost::asio::awaitable<void> Run(Inbound& inbound, RequestHead head,
                                   const Call& call, LocalRun& run);
  // Frees the slot and reports the outcome of the request. `whole` is true if
  // the complete response was relayed. Only the first call for a run has an
  // effect.
  void Finish(const Call& call, LocalRun& run, bool whole);
  // Resumes the waiting requests that got a slot or are refused. Must be called
  // when a slot may have become free or requests may no longer be admitted.
  void WakeWaiting();

  // Aborts every request that waits or runs, at the end of the drain timeout.
  void AbortAll();

  Admission& GetAdmission() { return m_admission; }
  UpstreamPool& Pool() { return m_pool; }

 private:
  // A request that waits for a slot.
  struct Waiter {
    explicit Waiter(boost::asio::io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    std::optional<AdmissionAnswer> answer;  // Set once there is a decision.
    bool caller_gone = false;
  };

  boost::asio::awaitable<void> AwaitSlot(Inbound& inbound, const Call& call,
                                         LocalRun& run);
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
  // Connections to backend servers that carry a request.
  std::shared_ptr<ActiveStreams> m_active = std::make_shared<ActiveStreams>();
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_LOCAL_RUNNER_H_
