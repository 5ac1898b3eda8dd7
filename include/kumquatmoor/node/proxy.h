#ifndef KUMQUATMOOR_NODE_PROXY_H_
#define KUMQUATMOOR_NODE_PROXY_H_

// Proxy: the data plane of a node. It receives HTTP requests from callers,
// selects a target for each, and forwards the request to the node on the
// target's host. That node passes it to its backend server. Failed requests are
// retried at other targets where that is safe.
//
//   Proxy proxy(context, options, &faults, &outcomes);
//   if (auto error = proxy.Start()) return error;
//   proxy.SetRoutes(routes);      // When a new routing table is in force.
//   proxy.SetBackends(backends);  // When the local backend servers change.
//   ...
//   proxy.StartDrain([] { ... });
//
// Everything runs on the one thread of `context`. SetRoutes and the functions
// declared after it post their work to that thread and may be called from any
// thread. The outcomes of requests to the local backend servers are pushed
// to `outcomes`. `faults` (may be nullptr) and `outcomes` must outlive the
// proxy.

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

#include "kumquatmoor/coordination/quota_limits.h"
#include "kumquatmoor/node/admission.h"
#include "kumquatmoor/node/call_metrics.h"
#include "kumquatmoor/node/log_budget.h"
#include "kumquatmoor/node/proxy_options.h"
#include "kumquatmoor/node/remembered_notices.h"
#include "kumquatmoor/protocol/verdict.h"
#include "kumquatmoor/state/boot_clock.h"
#include "kumquatmoor/state/crash_suspects.h"
#include "kumquatmoor/state/hand_backs.h"
#include "kumquatmoor/state/hedge_policy.h"
#include "kumquatmoor/state/outcome_counters.h"
#include "kumquatmoor/state/picker.h"
#include "kumquatmoor/state/routes.h"
#include "kumquatmoor/state/run_times.h"
#include "kumquatmoor/state/typical_deadlines.h"
#include "kumquatmoor/transport/bounded_ring.h"
#include "kumquatmoor/transport/exchange.h"
#include "kumquatmoor/transport/http_server.h"
#include "kumquatmoor/transport/upstream_pool.h"

namespace kumquatmoor {

class LocalRunner;
class QuotaGate;
struct Call;
struct QuotaDenied;

class Proxy {
 public:
  Proxy(boost::asio::io_context& context, ProxyOptions options,
        const FaultPlan* faults, BoundedRing<Outcome>* outcomes);
  ~Proxy();

  // Binds both addresses. Call before the context runs.
  boost::system::error_code Start();

  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  // Since when this node has known of a newer configuration than that of its
  // routes; empty if it knows of none. While it does, no request is denied by
  // its own, and after `max_time_behind_serving` every request of a caller is
  // refused.
  void SetBehindSince(std::optional<TimePoint> since);
  // Until when this node may decide requests of callers without another call of
  // this function. A process that was stopped finds the time expired and thus
  // refuses what arrived meanwhile. Without a call there is no limit.
  void SetDecidesUntil(TimePoint until);
  // The configuration of the routes was the newest one of the store at `at`,
  // and has been set before.
  void SetConfirmedAt(BootTime at);
  // True if callers are refused at `now` by a node that has been behind since
  // `since`. Safe from any thread.
  bool IsTooFarBehind(std::optional<TimePoint> since, TimePoint now) const;
  void SetBackends(std::vector<LocalBackend> backends);
  // Counts bytes of control traffic that this host sends, to which messages to
  // other nodes yield the link.
  void ChargeLink(size_t bytes);
  // Calls `handler` on the proxy's thread when a local backend server says in a
  // response that it leaves. Call before the context runs.
  void SetLeavingHandler(std::function<void(const LocalBackend&)> handler);
  // Calls `handler` on the proxy's thread when a local backend server counts as
  // cold from a time on, as it cannot be reached or has crashed. Call before
  // the context runs.
  void SetColdUnknownHandler(
      std::function<void(const LocalBackend&, TimePoint)> handler);
  // Replaces what is known of requests that crash backend servers.
  void SetCrashes(std::shared_ptr<const CrashSuspects> crashes);
  // Calls `on_crash` on the proxy's thread when a local backend server has
  // crashed, and `on_response` when one responded to a request that is known
  // from a crash. Call before the context runs.
  void SetCrashHandlers(
      std::function<void(const BackendCrash&)> on_crash,
      std::function<void(const std::string& key, const std::string& service,
                         const std::string& version)>
          on_response);
  // Replaces the quotas of organisations and the number of members that share
  // them. Call it also when authorities of quotas may have changed.
  void SetQuotas(std::shared_ptr<const QuotaLimits> limits,
                 size_t known_members);
  // Calls `handler` on the proxy's thread with requests for tokens of quotas
  // and the time, by BootTimePoint(), at which they were made. Call before the
  // context runs.
  void SetQuotaHandler(
      std::function<void(std::vector<QuotaRequest>, TimePoint)> handler);
  // The tokens of this node. Use it on the proxy's thread.
  QuotaGate& Quotas() { return *m_quotas; }
  // Takes over the replies to requests for tokens that were made at `sent`.
  void OnQuotaGrants(std::vector<QuotaGrant> grants, TimePoint sent);
  // Refuses new requests for a version that has lost its share. Calls `closed`
  // once no request for the version is left.
  void CloseVersion(std::string service, std::string version,
                    std::function<void()> closed);
  // Reverses CloseVersion.
  void OpenVersion(std::string service, std::string version);
  // Refuses new requests for the local backend servers. Calls `drained` once
  // none of their requests and no request of a caller is left. The requests
  // that are left at the drain timeout are aborted, and responses that are left
  // at the reply timeout are cut short. Requests of callers that may not end by
  // then are refused.
  void StartDrain(std::function<void()> drained);
  // What a drain still waits for, as KEY=VALUE: numbers of requests and
  // connections, and the first requests with their ids and states. Call on the
  // proxy's thread.
  std::string DescribePending() const;
  // Calls `reader` with the current metrics on the proxy's thread.
  void ReadMetrics(std::function<void(const CallMetrics&)> reader);

 private:
  struct Attempt;
  struct HedgeEntrant;
  struct HedgeRace;
  struct CallerConnection;
  // Status and reason of the response to a request that is not routed.
  struct Rejection {
    unsigned status = 0;
    std::string reason;
    // The node knows that it does not hold the newest configuration.
    bool is_behind = false;
  };

  // Serves one connection: CallerSession from a caller, DataSession from
  // another node.
  boost::asio::awaitable<void> CallerSession(
      boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> DataSession(boost::asio::ip::tcp::socket socket);
  // Reads the requests of a caller's connection, and serves them or starts a
  // coroutine for them.
  boost::asio::awaitable<void> ReadRequests(
      std::shared_ptr<CallerConnection> caller);
  boost::asio::awaitable<ReadOutcome> ReadRequest(CallerConnection& caller,
                                                  InboundRequest& inbound);
  // Serves a request while no other one of its connection is in flight. False
  // if the connection must be closed.
  boost::asio::awaitable<bool> ServeAlone(CallerConnection& caller,
                                          InboundRequest& inbound,
                                          ReadOutcome read);
  // Serves a request while others of its connection may be in flight.
  boost::asio::awaitable<void> ServeBesideOthers(
      std::shared_ptr<CallerConnection> caller,
      std::shared_ptr<InboundRequest> inbound);
  // True if the request is complete and idempotent, and leaves the connection
  // open.
  bool MayRunBesideOthers(const InboundRequest& inbound) const;
  // True if a drain closes the connection after the response to this request.
  bool ClosesAfter(const InboundRequest& inbound) const;
  // Serves one request, from a caller or from another node. False if the
  // connection must be closed.
  boost::asio::awaitable<bool> ServeCaller(InboundRequest& inbound);
  boost::asio::awaitable<bool> ServeNode(InboundRequest& inbound);
  // Answers a request of another node that could not be read.
  boost::asio::awaitable<void> RejectNode(InboundRequest& inbound);
  // Refuses a request of another node since the buffers are full.
  boost::asio::awaitable<bool> RefuseNode(InboundRequest& inbound,
                                          const Call& call);
  // Responds to a request that cannot be routed. False if the connection must
  // be closed.
  boost::asio::awaitable<bool> Reject(InboundRequest& inbound,
                                      Rejection rejection);
  // Log a response with a status of 3xx or 4xx to a caller, and count it by who
  // made it: this node, or a backend server.
  void ReportRejection(const InboundRequest& inbound, unsigned status,
                       std::string_view reason);
  void ReportBackendDenial(const InboundRequest& inbound,
                           const Attempt& attempt);
  // The configuration by which a request is routed, for the log.
  std::string ConfigurationText() const;
  // Takes a token if the request's organisation has a quota. Returns the denial
  // if there is none. `taken` is set to the time of the token, if one was
  // taken.
  boost::asio::awaitable<std::optional<QuotaDenied>> TakeQuotaToken(
      const Call& call, std::optional<TimePoint>* taken);
  // Responds that the quota is used up. False if the connection must be closed.
  boost::asio::awaitable<bool> RefuseByQuota(InboundRequest& inbound,
                                             const Call& call,
                                             QuotaDenied denied);
  // Returns the token that was taken at `taken`, if the request has not run.
  void ReturnUnusedToken(const Call& call, std::optional<TimePoint> taken,
                         Verdict verdict);
  // Sends the request to one target after another until an attempt succeeds or
  // no retry is allowed. `attempt` has the result of the last attempt.
  boost::asio::awaitable<void> TryTargets(InboundRequest& inbound,
                                          const Call& call, Attempt& attempt);
  boost::asio::awaitable<void> TryTarget(InboundRequest& inbound,
                                         const Pick& pick, Attempt& attempt);
  // Sends the request to the target, and to a second one if the first does not
  // respond in the usual time. `attempt` has the result that is used. Adds the
  // second target to `tried` and records both attempts.
  boost::asio::awaitable<void> TryHedged(InboundRequest& inbound,
                                         const Pick& pick,
                                         std::set<std::string>* tried,
                                         Attempt& attempt);
  // Time after which the request may be hedged; empty if it is not.
  std::optional<std::chrono::milliseconds> HedgeDelay(
      const InboundRequest& inbound, const Pick& pick,
      const Attempt& attempt) const;
  // Starts an attempt of the race, if the second one may be sent.
  void StartEntrant(InboundRequest& inbound, HedgeRace* race,
                    HedgeEntrant* entrant);
  bool PrepareSecond(const HedgeEntrant& first, std::set<std::string>* tried,
                     HedgeEntrant* second);
  // Relays the response of the last attempt. False if the connection must be
  // closed.
  boost::asio::awaitable<bool> Answer(InboundRequest& inbound,
                                      Attempt& attempt);
  // Responds that no attempt succeeded. False if the connection must be closed.
  boost::asio::awaitable<bool> GiveUp(InboundRequest& inbound, const Call& call,
                                      const Attempt& attempt);

  // Reads a caller's request into `call`. Returns what is wrong with it, if
  // anything.
  std::optional<Rejection> ReadCallerCall(const InboundRequest& inbound,
                                          Call* call);
  // True if the configuration has organisations, so that requests need keys.
  bool RequiresKeys() const;
  CallerCredentials CredentialsOf(const InboundRequest& inbound,
                                  const HttpRoute& route,
                                  const Call& call) const;
  // False if the configuration may have been replaced for so long that keys
  // must not be decided by it.
  bool IsConfirmed() const;
  // True if the key of the call is still valid; for another attempt.
  bool MayUseKey(const Call& call) const;
  // Sets the organisation of `call` by the caller's key. Returns why the
  // request must not be routed, if so.
  std::optional<Rejection> Authenticate(const InboundRequest& inbound,
                                        const HttpRoute& route, Call* call);
  // Reads what requests from callers and from other nodes have in common.
  Call ReadCall(const InboundRequest& inbound, const CallHeaders& names);
  // Refuses the request if the node has been behind for too long, or has just
  // been stopped.
  std::optional<Rejection> RefuseWhileBehind() const;
  // False until the routes of a batch are in force. A node that has joined a
  // mesh without a batch has routes of revision 0.
  bool HasConfiguration() const {
    return m_routes != nullptr && m_routes->revision > 0;
  }
  // The rejection to send in the place of one that follows from a configuration
  // which is known to be replaced, from no configuration, or from limits that
  // were replaced while the request was read.
  Rejection WithoutDenialWhileBehind(Rejection rejection) const;
  Rejection WithoutDenialByDefaults(Rejection rejection) const;
  Rejection WithoutDenialByReplacedLimits(const InboundRequest& inbound,
                                          Rejection rejection) const;
  void ApplyRoute(const HttpRoute& route, Call* call);
  // Expected time to pass on a response, which is received completely before it
  // is sent to the caller.
  std::chrono::milliseconds RelayTime(const std::string& route) const;
  RequestHead HeadForNode(const InboundRequest& inbound,
                          const Call& call) const;
  Pick PickFor(const Call& call, AttemptKind kind,
               const std::set<std::string>& tried);
  // The next target: one that was not tried or, once no other one may hand the
  // request back, the best of those that did.
  Pick PickOrReturn(const Call& call, AttemptKind kind,
                    const std::set<std::string>& tried, HandBacks* hand_backs);
  // Whether the next target may hand the request back.
  bool MayHandBack(const InboundRequest& inbound, const Call& call,
                   const HandBacks& hand_backs) const;
  // Records how a call ended that a backend server of this host made.
  void ReportNestedCall(const Call& call, const Attempt& attempt);
  // The key of a caller's request. A body that is streamed counts by its
  // buffered beginning and its length.
  std::string KeyOf(const InboundRequest& inbound, const Call& call) const;
  // True if every version of the request's service must not run it.
  bool IsBlockedEverywhere(const Call& call) const;
  // Whether another target may be tried.
  bool ShouldRetry(const InboundRequest& inbound, const Attempt& attempt);
  // Updates the load figures of the target and logs the attempt.
  void RecordAttempt(const Pick& pick, const Attempt& attempt);
  // Reads what the node beside a target says of its load.
  void ReadLoad(const std::string& member_id, const std::string& route,
                const boost::beast::http::fields& response);
  // Remembers what a response of a target's node says of the backend server.
  void RememberNotice(const std::string& member_id,
                      const ForwardResult& result);
  std::string NewRequestId();
  // Ends sessions that have been idle for this time.
  void CloseIdleCallers(std::chrono::milliseconds idle_time);
  // False if the request may not end before the drain does.
  bool EndsInGrace(const Call& call) const;
  // True if a request is in progress, or a caller is connected.
  bool IsBusy() const;
  // Ends the requests in progress, other than responses that are written.
  void AbortRequests();
  // Logs the numbers of suppressed log lines.
  void LogSuppressed();
  // Logs the requests to the local backend servers since the last call, by
  // AttemptKind, if there were others than first attempts.
  void LogRetries();
  // Closes pooled connections that were idle for too long, at an interval.
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
  std::shared_ptr<BufferBudget> m_budget;
  UpstreamPool m_pool;  // Connections to other nodes.
  LinkPacer m_pacer;    // Of messages that leave by the host's link.
  std::shared_ptr<const RouteTable> m_routes;
  std::optional<TimePoint> m_behind_since;
  TimePoint m_decides_until = TimePoint::max();
  std::optional<BootTime> m_confirmed_at;
  TimePoint m_started = Clock::now();
  TimePoint m_revision_since;  // Since when the revision is in force.
  std::shared_ptr<const CrashSuspects> m_crashes =
      std::make_shared<const CrashSuspects>();
  CallerBounds m_bounds;
  CallMetrics m_metrics;
  CallMetrics::Runs m_logged_runs{};  // As of the last LogRetries().
  std::unique_ptr<LocalRunner> m_runner;
  std::unique_ptr<QuotaGate> m_quotas;
  LogBudget m_log_budget;
  TargetLoads m_loads;
  HedgePolicy m_hedges{{.percent = m_options.hedge_percent}};
  ResponseSizes m_response_sizes;  // Of responses to callers.
  RememberedNotices m_notices;     // Of the backend servers of other hosts.
  TypicalDeadlines m_typical_deadlines;
  HandBackPolicy m_hand_back_policy;
  std::mt19937_64 m_rng;
  // Connections of callers. Shared with the sessions, whose coroutine frames
  // may outlive the proxy.
  using CallerConnections = std::set<CallerConnection*>;
  std::shared_ptr<CallerConnections> m_callers =
      std::make_shared<CallerConnections>();
  // Connections to other nodes that carry a request.
  std::shared_ptr<ActiveStreams> m_active = std::make_shared<ActiveStreams>();
  // Requests of other nodes, from their first byte on. Shared with the
  // sessions.
  using NodeRequests = std::set<InboundRequest*>;
  std::shared_ptr<NodeRequests> m_node_requests =
      std::make_shared<NodeRequests>();
  // Times from a request of a caller to the end of its response.
  RunTimes m_call_times;
  bool m_draining = false;
  TimePoint m_caller_grace_end = TimePoint::max();
  TimePoint m_drain_end = TimePoint::max();
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_PROXY_H_
