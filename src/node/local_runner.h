#ifndef KUMQUATMOOR_SRC_NODE_LOCAL_RUNNER_H_
#define KUMQUATMOOR_SRC_NODE_LOCAL_RUNNER_H_

// LocalRunner: sends requests to the backend servers of this host, within the
// slots that Admission grants.
//
//   LocalRun run;
//   co_await runner.Run(inbound, head, call, run);
//   bool complete = run.result.answered && co_await Relay(run.result);
//   runner.Finish(call, run, complete);
//
// Requests wait for a slot here, in the order of SlotQueue, so a backend server
// needs no queue and a refused request has not run. Used from the one thread of
// the proxy's io_context.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kumquatmoor/node/admission.h"
#include "kumquatmoor/node/call_metrics.h"
#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/state/outcome_counters.h"
#include "kumquatmoor/state/recent_ids.h"
#include "kumquatmoor/transport/bounded_ring.h"
#include "kumquatmoor/transport/exchange.h"
#include "kumquatmoor/transport/upstream_pool.h"
#include "node/call.h"
#include "node/crash_detector.h"
#include "node/running_requests.h"

namespace kumquatmoor {

// One request at a backend server of this host.
struct LocalRun {
  AdmissionResult admission;
  ForwardResult result;
  TimePoint started;
  bool finished = false;
  bool crashed = false;  // The backend server crashed while it ran the request.
  LinkReservation link;  // For the response, if it goes to another host.
  // Held while a request runs apart from others that may crash the backend
  // server.
  std::shared_ptr<void> isolation;
  RunningRequests::Entry running;  // Held while the backend server runs it.
};

// The value of the load header: requests in flight and slots, as "3/10".
std::string LoadText(const AdmissionResult& admission);

// What a backend server says of itself in the head of a response.
BackendNotice NoticeOf(const boost::beast::http::fields& head,
                       const CallHeaders& names);

class LocalRunner {
 public:
  LocalRunner(boost::asio::io_context& context, const CallHeaders& headers,
              AdmissionOptions options, BoundedRing<Outcome>* outcomes,
              CallMetrics* metrics,
              std::shared_ptr<BufferBudget> budget = nullptr);

  // Waits for a slot, sends the request and reads the head of the response into
  // `run.result`. If the request is refused, `run.result` has no response and
  // `run.admission` has the reason. Headers that only nodes use are removed
  // from `head` before the request is sent.
  boost::asio::awaitable<void> Run(InboundRequest& inbound, RequestHead head,
                                   const Call& call, LocalRun& run);
  // Frees the slot and reports the outcome of the request. `complete` is true
  // if the complete response was relayed. Only the first call for a run has an
  // effect.
  void Finish(const Call& call, LocalRun& run, bool complete);
  // Resumes the waiting requests that got a slot or are refused. Must be called
  // when a slot may have become free or requests may no longer be admitted.
  void WakeWaiting();

  // True if a backend server of this host makes the call with this id while it
  // runs a retry.
  bool IsCallOfRetry(const std::string& request_id) const;
  // The request during which a backend server of this host makes the call with
  // this id. Returns nullptr if it is no such call.
  const Call* FindParent(std::string_view request_id) const {
    return m_running.FindParent(request_id);
  }

  // The requests that the backend servers of this host run.
  const RunningRequests& Running() const { return m_running; }
  // If set, no credentials are passed to backend servers.
  void SetRemovesCredentials(bool removes) { m_removes_credentials = removes; }

  // Calls `handler` when a backend server says that it leaves.
  void SetLeavingHandler(std::function<void(const LocalBackend&)> handler) {
    m_on_leaving = std::move(handler);
  }

  // What is known of requests that crash backend servers. Never null.
  void SetCrashes(std::shared_ptr<const CrashSuspects> crashes) {
    m_crashes = std::move(crashes);
  }
  // Calls `on_crash` when a backend server of this host has crashed, and
  // `on_response` when one responded to a request that is known from a crash.
  void SetCrashHandlers(std::function<void(const BackendCrash&)> on_crash,
                        std::function<void(const Call&)> on_response);

  // Calls `handler` when a backend server of this host counts as cold because
  // it cannot be reached or has crashed.
  void SetColdUnknownHandler(
      std::function<void(const LocalBackend&, TimePoint)> handler) {
    m_on_cold_unknown = std::move(handler);
  }

  // Aborts every request that waits or runs, at the end of the drain timeout.
  void AbortAll();

  Admission& GetAdmission() { return m_admission; }
  UpstreamPool& Pool() { return m_pool; }

 private:
  // Far more than the requests that a backend server runs at once.
  static constexpr size_t kMaxRetriedRuns = 4'096;

  // A request that waits for a slot.
  struct Waiter {
    explicit Waiter(boost::asio::io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    std::optional<AdmissionResult> result;  // Set once there is a decision.
    bool caller_gone = false;
  };

  boost::asio::awaitable<void> AwaitSlot(InboundRequest& inbound,
                                         const Call& call, LocalRun& run);
  void SetRequestHeaders(const Call& call, const AdmissionResult& admission,
                         RequestHead* head) const;
  // Sets `run.admission` and returns true if the request must not run now
  // because of crashes. Otherwise keeps it apart if necessary.
  bool IsBlocked(const Call& call, LocalRun& run);
  // Records the size of a successful response.
  void MeasureResponse(const Call& call, LocalRun& run);
  void ReadServerLoad(const Call& call, const LocalRun& run);
  // Records what the backend server says of itself in its response.
  void ReadNotice(const Call& call, LocalRun& run);
  // Treats the backend server as cold if it cannot be reached or has crashed.
  void NoteLostBackend(const Call& call, const LocalRun& run);
  // Counts a refusal by Admission.
  void CountRefusal(const AdmissionResult& admission);
  void ReportOutcome(const Call& call, const LocalRun& run, bool complete);

  boost::asio::io_context& m_context;
  const CallHeaders& m_headers;
  RunningRequests m_running;
  bool m_removes_credentials = false;
  Admission m_admission;
  UpstreamPool m_pool;
  BoundedRing<Outcome>* m_outcomes;
  CallMetrics* m_metrics;
  std::shared_ptr<BufferBudget> m_budget;
  std::function<void(const LocalBackend&)> m_on_leaving;
  std::function<void(const LocalBackend&, TimePoint)> m_on_cold_unknown;
  CrashDetector m_crash_detector;
  std::shared_ptr<const CrashSuspects> m_crashes =
      std::make_shared<const CrashSuspects>();
  std::function<void(const Call&)> m_on_response;
  // The isolated run of each service and version.
  std::map<std::pair<std::string, std::string>, std::weak_ptr<void>> m_isolated;
  // Ids of retries that were sent to a backend server.
  RecentIds m_retried_runs{kMaxRetriedRuns};
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;  // By ticket.
  // Connections to backend servers that carry a request.
  std::shared_ptr<ActiveStreams> m_active = std::make_shared<ActiveStreams>();
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_LOCAL_RUNNER_H_
