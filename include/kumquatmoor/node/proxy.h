#ifndef KUMQUATMOOR_NODE_PROXY_H_
#define KUMQUATMOOR_NODE_PROXY_H_

// Proxy: the path of a request. Callers' HTTP comes in, a target is chosen,
// and the node beside the target hands the request to its backend server.
//
//   Proxy proxy(context, options, &faults);
//   proxy.Start();
//   proxy.SetRoutes(routes);      // Whenever a new snapshot is in force.
//   proxy.SetBackends(backends);  // Whenever the local ones change.
//
// Everything runs on the one thread of `context`; SetRoutes, SetBackends,
// StartDrain and Snapshot are posted there and may be called from any thread.
// Outcomes of local requests go to `outcomes`, which must outlive the proxy.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "kumquatmoor/node/admission.h"
#include "kumquatmoor/node/call_metrics.h"
#include "kumquatmoor/node/log_budget.h"
#include "kumquatmoor/protocol/verdict.h"
#include "kumquatmoor/state/outcome_counters.h"
#include "kumquatmoor/state/picker.h"
#include "kumquatmoor/state/routes.h"
#include "kumquatmoor/state/typical_deadlines.h"
#include "kumquatmoor/transport/bounded_ring.h"
#include "kumquatmoor/transport/exchange.h"
#include "kumquatmoor/transport/http_server.h"
#include "kumquatmoor/transport/upstream_pool.h"

namespace kumquatmoor {

class LocalRunner;
struct Call;

struct ProxyOptions {
  std::string id;
  std::string zone;
  std::string caller_address;
  std::string data_address;
  std::string service;  // Of this host's backend server, told along with calls.
  CallHeaders headers;  // Those of callers and backend servers.
  std::chrono::milliseconds default_deadline{2'000};
  int64_t max_attempts = 3;  // Where no route says otherwise.
  AdmissionOptions admission;
  RetryBudgetOptions retry_budget;  // Of each service.
  // Time for which callers are served after the start of a drain, until they
  // have moved to other nodes.
  std::chrono::milliseconds caller_grace{1'500};
  // Time after the start of a drain at which whoever still waits is answered
  // that the outcome is not known.
  std::chrono::milliseconds drain_timeout{10'000};
  uint64_t seed = 1;
};

class Proxy {
 public:
  Proxy(boost::asio::io_context& context, ProxyOptions options,
        const FaultPlan* faults, BoundedRing<Outcome>* outcomes);
  ~Proxy();

  // Binds both addresses. Call before the context runs.
  boost::system::error_code Start();

  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  void SetBackends(std::vector<LocalBackend> backends);
  // The nodes that share the retry budget of a service.
  void SetLiveNodes(size_t count);
  // Refuses new requests for a version that has lost its share; `closed` is
  // called once none of its requests is left.
  void CloseVersion(std::string service, std::string version,
                    std::function<void()> closed);
  // Takes the above back.
  void OpenVersion(std::string service, std::string version);
  // Refuses new work for the local backend servers; `drained` is called once
  // none of their requests, and no request of a caller, is left, or was cut
  // off by the drain timeout.
  void StartDrain(std::function<void()> drained);
  // Calls `take` with the metrics as they are.
  void ReadMetrics(std::function<void(const CallMetrics&)> take);

 private:
  struct Attempt;
  struct CallerConnection;

  boost::asio::awaitable<void> CallerSession(
      boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> DataSession(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<bool> ServeCaller(InboundRequest& inbound);
  boost::asio::awaitable<bool> ServeNode(InboundRequest& inbound);
  boost::asio::awaitable<void> Reject(InboundRequest& inbound, unsigned status,
                                      std::string reason);
  boost::asio::awaitable<void> TryTargets(InboundRequest& inbound,
                                          const Call& call, Attempt& attempt);
  boost::asio::awaitable<void> TryTarget(InboundRequest& inbound,
                                         const Pick& pick, Attempt& attempt);
  boost::asio::awaitable<bool> Answer(InboundRequest& inbound,
                                      Attempt& attempt);
  boost::asio::awaitable<bool> GiveUp(InboundRequest& inbound, const Call& call,
                                      const Attempt& attempt);

  // What is wrong with a caller's request: an own answer's status and reason.
  struct Rejection {
    unsigned status = 0;
    std::string reason;
  };
  std::optional<Rejection> ReadCallerCall(const InboundRequest& inbound,
                                          Call* call);
  Call ReadCall(const InboundRequest& inbound, const CallHeaders& names);
  void ApplyRoute(const HttpRoute& route, Call* call);
  RequestHead HeadForNode(const InboundRequest& inbound,
                          const Call& call) const;
  Pick PickFor(const Call& call, const std::set<std::string>& tried);
  bool ShouldRetry(const InboundRequest& inbound, const Attempt& attempt);
  RetryBudget& RetryBudgetFor(const std::string& service);
  void RecordAttempt(const Pick& pick, const Attempt& attempt);
  std::string NewRequestId();
  void CloseIdleCallers();
  void LogLeftOut();
  boost::asio::awaitable<void> CloseOldConnections();
  boost::asio::awaitable<void> WaitUntilDrained(std::function<void()> drained);
  boost::asio::awaitable<void> WaitUntilClosed(std::string service,
                                               std::string version,
                                               std::function<void()> closed);

  boost::asio::io_context& m_context;
  ProxyOptions m_options;
  const FaultPlan* m_faults;
  HttpServer m_caller_server;
  HttpServer m_data_server;
  UpstreamPool m_pool;  // Connections to other nodes.
  std::shared_ptr<const RouteTable> m_routes;
  CallerBounds m_bounds;
  CallMetrics m_metrics;
  std::unique_ptr<LocalRunner> m_runner;
  LogBudget m_log_budget;
  TargetLoads m_loads;
  TypicalDeadlines m_typical_deadlines;
  std::map<std::string, RetryBudget> m_retry_budgets;  // By service.
  size_t m_live_nodes = 1;
  std::mt19937_64 m_rng;
  // Shared with the sessions, whose frames may outlive the proxy.
  using CallerConnections = std::set<CallerConnection*>;
  std::shared_ptr<CallerConnections> m_callers =
      std::make_shared<CallerConnections>();
  // To other nodes.
  std::shared_ptr<ActiveStreams> m_active = std::make_shared<ActiveStreams>();
  bool m_draining = false;
  bool m_grace_over = false;  // Of the drain.
  TimePoint m_drain_end = TimePoint::max();
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_PROXY_H_
