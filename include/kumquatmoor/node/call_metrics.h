#ifndef KUMQUATMOOR_NODE_CALL_METRICS_H_
#define KUMQUATMOOR_NODE_CALL_METRICS_H_

// CallMetrics: counters and a latency histogram of the calls of one node.
//
//   CallMetrics metrics;
//   metrics.OnCall(Verdict::kRan, 3.2);
//   std::string text = metrics.ToPrometheus();
//
// Not thread-safe; owned by the proxy thread.

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "kumquatmoor/protocol/attempt_kind.h"
#include "kumquatmoor/protocol/verdict.h"
#include "kumquatmoor/state/hedge_policy.h"
#include "kumquatmoor/state/organisations.h"

namespace kumquatmoor {

class CallMetrics {
 public:
  using Runs = std::array<uint64_t, 3>;  // Indexed by AttemptKind.

  enum class Origin { kNode, kBackend };  // What made a response.
  // What a request of an organisation with a quota got: a token of the
  // authority, one of the fallback, or a denial.
  enum class Quota { kGranted, kFallback, kDenied };
  // Organisations with counters of their own. Others are counted together.
  static constexpr size_t kMaxOrganisations = 100;

  CallMetrics();

  // Counts a caller's request that ended, with all its retries.
  void OnCall(Verdict verdict, double latency_ms);
  void OnRetry() { ++m_retries; }
  // Counts a request that had no response in the usual time, by whether it was
  // hedged, and one whose second attempt responded first.
  void OnHedge(HedgeVerdict verdict) {
    ++m_hedges[static_cast<size_t>(verdict)];
  }
  void OnHedgeWon() { ++m_hedges_won; }
  // Counts a request for a local backend server that this node refused.
  void OnRefusal() { ++m_refusals; }
  // Counts such a request that was refused because the zone is evacuated, or
  // because the backend server is cold.
  void OnEvacuatedRefusal() { ++m_evacuated_refusals; }
  void OnColdRefusal() { ++m_cold_refusals; }
  // Counts a request that was passed on to a local backend server.
  void OnLocalRun(AttemptKind kind) {
    ++m_local_runs[static_cast<size_t>(kind)];
  }
  // Counts a crash of a local backend server.
  void OnCrash() { ++m_crashes; }
  // Counts a request that was refused because it crashes backend servers.
  void OnBlocked() { ++m_blocked; }
  // Counts a request whose response would not have got through the host's link
  // in time.
  void OnLinkRefusal() { ++m_link_refusals; }
  // Counts a request that was refused because its calls would probably fail.
  void OnShed() { ++m_shed; }
  // Counts a request that was refused because another target is probably
  // faster.
  void OnHandedBack() { ++m_handed_back; }
  // Counts a request that was refused since the buffers of all connections
  // together are full.
  void OnBufferRefusal() { ++m_buffer_refusals; }
  // Counts a response with a status of 3xx or 4xx to a caller.
  void OnDenied(unsigned status, Origin origin) {
    ++m_denied[{status, origin}];
  }
  // Counts a caller's request that was routed while the node had known for
  // `behind` of a newer configuration than its own.
  void OnDecidedBehind(std::chrono::nanoseconds behind) {
    ++m_decided_behind;
    m_longest_behind = std::max(m_longest_behind, behind);
  }
  // Counts a caller's request that was refused since the node knows that its
  // configuration is not the newest.
  void OnRefusedBehind() { ++m_refused_behind; }
  // Counts a caller's request where the configuration has organisations.
  void OnAuthentication(Authentication::Outcome outcome) {
    ++m_authentications[outcome];
  }
  // Counts a caller's request that was refused since its key could not be
  // decided by a configuration that may have been replaced.
  void OnRefusedUnconfirmed() { ++m_refused_unconfirmed; }
  // Counts bytes that the link carried of a response that was not completed.
  void OnWastedBytes(size_t bytes) { m_wasted_bytes += bytes; }
  void OnQuota(const std::string& organisation, Quota outcome);
  // Counts an outcome that was dropped because the ring to the control thread
  // was full.
  void OnLostOutcome() { ++m_lost_outcomes; }

  const Runs& LocalRuns() const { return m_local_runs; }
  // All metrics in the Prometheus text format.
  std::string ToPrometheus() const;

 private:
  std::string QuotaText() const;

  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  std::array<uint64_t, 3> m_calls{};  // Indexed by Verdict.
  uint64_t m_retries = 0;
  std::array<uint64_t, kHedgeVerdicts> m_hedges{};  // Indexed by HedgeVerdict.
  uint64_t m_hedges_won = 0;
  uint64_t m_refusals = 0;
  uint64_t m_evacuated_refusals = 0;
  uint64_t m_cold_refusals = 0;
  Runs m_local_runs{};
  uint64_t m_lost_outcomes = 0;
  uint64_t m_crashes = 0;
  uint64_t m_blocked = 0;
  uint64_t m_link_refusals = 0;
  uint64_t m_shed = 0;
  uint64_t m_handed_back = 0;
  uint64_t m_buffer_refusals = 0;
  uint64_t m_wasted_bytes = 0;
  uint64_t m_decided_behind = 0;
  uint64_t m_refused_behind = 0;
  uint64_t m_refused_unconfirmed = 0;
  std::chrono::nanoseconds m_longest_behind{0};
  std::map<std::pair<unsigned, Origin>, uint64_t> m_denied;
  std::map<Authentication::Outcome, uint64_t> m_authentications;
  using QuotaCounts = std::array<uint64_t, 3>;  // Indexed by Quota.
  std::map<std::string, QuotaCounts> m_quotas;  // By organisation.
  QuotaCounts m_other_quotas{};
  boost::histogram::histogram<std::tuple<Axis>> m_latency;
  double m_latency_sum_ms = 0;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_CALL_METRICS_H_
