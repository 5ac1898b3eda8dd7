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
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "kumquatmoor/node/admission.h"
#include "kumquatmoor/node/call_metrics.h"
#include "kumquatmoor/protocol/verdict.h"
#include "kumquatmoor/state/evidence.h"
#include "kumquatmoor/state/picker.h"
#include "kumquatmoor/state/routes.h"
#include "kumquatmoor/transport/bounded_ring.h"
#include "kumquatmoor/transport/exchange.h"
#include "kumquatmoor/transport/http_server.h"
#include "kumquatmoor/transport/upstream_pool.h"

namespace kumquatmoor {

struct ProxyOptions {
  std::string id;
  std::string zone;
  std::string caller_address;
  std::string data_address;
  std::chrono::milliseconds default_deadline{2'000};
  int64_t max_attempts = 3;
  RetryBudgetOptions retry_budget;
  uint64_t seed = 1;
};

class Proxy {
 public:
  Proxy(boost::asio::io_context& context, ProxyOptions options,
        const FaultPlan* faults, BoundedRing<Outcome>* outcomes);

  // Binds both addresses. Call before the context runs.
  boost::system::error_code Start();

  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  void SetBackends(std::vector<LocalBackend> backends);
  // Refuses new work for the local backend servers; `drained` is called once
  // none of their requests, and no request of a caller, is left.
  void StartDrain(std::function<void()> drained);
  // Calls `take` with the metrics as they are.
  void Snapshot(std::function<void(const CallMetrics&)> take);

 private:
  struct Call;
  struct Attempt;
  struct LocalRun;

  boost::asio::awaitable<void> CallerSession(
      boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> DataSession(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<bool> ServeCaller(Inbound& inbound);
  boost::asio::awaitable<bool> ServeNode(Inbound& inbound);
  boost::asio::awaitable<void> TryTarget(Inbound& inbound, const Call& call,
                                         const Pick& pick, Attempt& attempt);
  boost::asio::awaitable<void> RunLocally(Inbound& inbound, const Call& call,
                                          LocalRun& run);
  void FinishLocalRun(const Call& call, LocalRun& run, bool whole);
  boost::asio::awaitable<bool> Answer(Inbound& inbound, const Call& call,
                                      Attempt& attempt);
  boost::asio::awaitable<bool> GiveUp(Inbound& inbound, const Call& call,
                                      const Attempt& attempt);

  Call ReadCall(const Inbound& inbound);
  Pick PickFor(const Call& call, const std::set<std::string>& tried);
  bool ShouldRetry(const Inbound& inbound, const Call& call,
                   const Attempt& attempt, int64_t made);
  void NoteAttempt(const Call& call, const Pick& pick, const Attempt& attempt);
  std::string NewRequestId();
  boost::asio::awaitable<void> CloseOldConnections();
  boost::asio::awaitable<void> WaitUntilDrained(std::function<void()> drained);

  boost::asio::io_context& m_context;
  ProxyOptions m_options;
  const FaultPlan* m_faults;
  BoundedRing<Outcome>* m_outcomes;
  HttpServer m_caller_server;
  HttpServer m_data_server;
  UpstreamPool m_pool;
  std::shared_ptr<const RouteTable> m_routes;
  Admission m_admission;
  TargetLoads m_loads;
  RetryBudget m_retry_budget;
  CallMetrics m_metrics;
  std::mt19937_64 m_rng;
  uint32_t m_calls_in_progress = 0;
  bool m_draining = false;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_PROXY_H_
