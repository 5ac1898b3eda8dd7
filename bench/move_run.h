#ifndef KUMQUATMOOR_BENCH_MOVE_RUN_H_
#define KUMQUATMOOR_BENCH_MOVE_RUN_H_

// MoveRun: one move on a virtual clock, decided by `Analyzer` (CanaryAnalyzer
// or a reference with the same interface).
//
//   CaseResult result = MoveRun<CanaryAnalyzer>(c).Run();
//
// It is no simulation of a cluster: requests end as the fault determines,
// reports and marks are delayed by a random time, and each zone has its own
// routes and marks. Nothing else is modelled.

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "kumquatmoor/coordination/canary_analyzer.h"
#include "kumquatmoor/node/move_controller.h"
#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/picker.h"
#include "kumquatmoor/state/routes.h"
#include "move_cases.h"

namespace kumquatmoor {

// Interval at which targets report and analyzers decide.
inline constexpr double kTickSeconds = 0.25;
inline constexpr double kWatchedSeconds = 100;  // Duration of a run.
inline constexpr double kTimeoutSeconds = 2;
inline constexpr double kBaseLatencyMs = 5;
// The time in which the last zone is partitioned, if it is.
inline constexpr double kPartitionStartSeconds = 10;
inline constexpr double kPartitionEndSeconds = 50;
inline constexpr uint32_t kSlotsPerTarget = 10;

// A kind of request and its fraction of the traffic.
struct Route {
  const char* name;
  bool idempotent;
  double fraction;
};
inline constexpr Route kRoutes[] = {{"GET /check", true, 0.5},
                                    {"POST /reserve", false, 0.25},
                                    {"POST /pay", false, 0.25}};

struct CaseResult {
  bool full_in_time = false;  // At full stage in every zone by the deadline.
  bool recalled = false;
  std::string reason;          // Time and reason of the first recall.
  bool excluded = false;       // A target was excluded.
  uint64_t calls = 0;          // Requests to the service during the run.
  uint64_t calls_on_bad = 0;   // Requests to the bad version.
  uint64_t writes_on_bad = 0;  // Those of them with side effects.
  uint64_t writes_harmed = 0;  // Those of the writes that the fault affected.
  double last_harm_s = 0;      // From the first harm to the last such request.
  uint64_t report_bytes = 0;   // Of all reports to all analyzers.
};

// Returns the configuration that moves service "s" from v1 to v2.
inline ServiceConfig MakeConfig(double deadline_s) {
  const Batch first =
      BuildBatch({}, std::vector<TableRow>{{"s", "v1", 100}}, {}, {});
  const auto deadline_ms = static_cast<int64_t>(deadline_s * 1'000);
  const Batch second =
      BuildBatch(first,
                 std::vector<TableRow>{{"s", "v1", 0},
                                       {"s", "v2", 100, 0, 0, deadline_ms}},
                 {}, {});
  return second.services(0);
}

template <typename Analyzer>
class MoveRun {
 public:
  explicit MoveRun(const Case& c)
      : m_case(c),
        m_rng(c.seed),
        m_config(MakeConfig(c.condition->deadline_s)) {
    const auto& zones = c.deployment->zones;
    const double max_skew_s = c.condition->max_clock_skew_s;
    for (const auto& zone : zones) {
      m_marks_by_zone[zone];
      m_clock_skew_s[zone] = max_skew_s * (2 * Uniform() - 1);
    }
    m_kill_at_s = 5 + 40 * Uniform();
    StartAnalyzers();
    for (size_t i = 0; i < c.deployment->targets; ++i) {
      AddMember("v1", i, zones[i % zones.size()]);
      AddMember("v2", i, zones[i % zones.size()]);
    }
    *m_batch.add_services() = m_config;
    m_batch.set_revision(m_config.move_revision());
  }

  CaseResult Run() {
    while (m_seconds < kWatchedSeconds) {
      m_seconds += kTickSeconds;
      if (m_case.condition->analyzers_killed && m_seconds >= m_kill_at_s) {
        m_kill_at_s = kWatchedSeconds + 1;
        StartAnalyzers();
      }
      Serve();
      SendReports();
      RunAnalyzers();
      Deliver();
      if (m_seconds <= m_case.condition->deadline_s && IsFull()) {
        m_result.full_in_time = true;
      }
    }
    m_result.recalled = std::any_of(
        m_marks_by_zone.begin(), m_marks_by_zone.end(), [&](const auto& item) {
          return item.second.IsRecalled("s", m_config.move_revision());
        });
    return m_result;
  }

 private:
  // Key of the analyzer of the whole mesh, which runs in the first zone.
  static constexpr char kMeshAnalyzer[] = "";

  // A report or mark on its way.
  struct Pending {
    double due_s = 0;
    std::string from;  // Zone.
    std::string to;    // Zone.
    std::string analyzer;
    std::string reporter;
    Evidence counts;
    MoveMark mark;
    bool is_mark = false;
  };

  void StartAnalyzers() {
    m_analyzers.clear();
    for (const auto& zone : m_case.deployment->zones) {
      m_analyzers.emplace(
          zone,
          Analyzer(m_config, CanaryAnalyzerOptions{.zone = zone}, Time(zone)));
    }
    m_analyzers.emplace(
        kMeshAnalyzer,
        Analyzer(m_config, CanaryAnalyzerOptions{}, Time(kMeshAnalyzer)));
  }

  void AddMember(const std::string& version, size_t number,
                 const std::string& zone) {
    MemberRecord member;
    member.set_id(fmt::format("{}-{}", version, number));
    member.set_zone(zone);
    Endpoint* endpoint = member.add_endpoints();
    endpoint->set_service("s");
    endpoint->set_version(version);
    endpoint->set_slots(kSlotsPerTarget);
    m_members.push_back(std::move(member));
  }

  const std::string& ZoneOf(const std::string& analyzer) const {
    return analyzer == kMeshAnalyzer ? m_case.deployment->zones.front()
                                     : analyzer;
  }

  // True if the zones are partitioned from each other now.
  bool IsCut(const std::string& a, const std::string& b) const {
    if (!m_case.condition->zone_partitioned || a == b) return false;
    if (m_seconds < kPartitionStartSeconds || m_seconds >= kPartitionEndSeconds)
      return false;
    const std::string& partitioned = m_case.deployment->zones.back();
    return a == partitioned || b == partitioned;
  }

  std::vector<MemberRecord> Reachable(const std::string& zone) const {
    std::vector<MemberRecord> members = m_members;
    std::erase_if(members, [&](const MemberRecord& member) {
      return IsCut(zone, member.zone());
    });
    return members;
  }

  ClockReading Time(const std::string& analyzer) const {
    const milliseconds passed(static_cast<int64_t>(m_seconds * 1'000));
    const auto skew = m_clock_skew_s.find(ZoneOf(analyzer));
    const double clock_s =
        m_seconds + (skew == m_clock_skew_s.end() ? 0 : skew->second);
    return {.now = TimePoint() + std::chrono::hours(1) + passed,
            .unix_ms = static_cast<int64_t>(clock_s * 1'000)};
  }
  TimePoint Now() const { return Time(kMeshAnalyzer).now; }

  const MoveProgress& Progress(const std::string& zone) const {
    return m_marks_by_zone.at(zone).Progress("s", m_config.move_revision());
  }

  bool IsFull() const {
    const auto& zones = m_case.deployment->zones;
    return std::all_of(zones.begin(), zones.end(), [&](const auto& zone) {
      return Progress(zone).StageOf(zone) >= kFullStage;
    });
  }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_rng);
  }

  void Serve() {
    const auto& zones = m_case.deployment->zones;
    std::poisson_distribution<int> draw(m_case.calls_per_s * kTickSeconds);
    const int calls = draw(m_rng);
    std::map<std::string, std::shared_ptr<const RouteTable>> tables;
    for (int i = 0; i < calls; ++i) {
      const std::string& zone = zones[m_rng() % zones.size()];
      auto& table = tables[zone];
      if (table == nullptr) {
        table = BuildRoutes(m_batch, m_marks_by_zone.at(zone), Reachable(zone),
                            zone);
      }
      if (const auto* service = table->Find("s")) ServeOne(*service, zone);
    }
  }

  const Route& DrawRoute() {
    while (true) {
      double remaining = Uniform();
      const Route* route = &kRoutes[0];
      for (const auto& candidate : kRoutes) {
        route = &candidate;
        remaining -= candidate.fraction;
        if (remaining < 0) break;
      }
      if (!m_case.condition->writes_only || !route->idempotent) return *route;
    }
  }

  void ServeOne(const ServiceRoutes& service, const std::string& zone) {
    const Route& route = DrawRoute();
    TargetLoads& loads = m_loads[zone];
    const Pick pick =
        PickTarget(service, {.zone = zone, .idempotent = route.idempotent},
                   loads, Now(), m_rng);
    if (pick.target == nullptr) return;
    ++m_result.calls;
    const std::string& version = pick.version->version;
    const std::string& target = pick.target->member_id;
    bool harmed = false;
    const Outcome outcome = EndRequest(version, target, route, &harmed);
    loads.OnSent(target, Now());
    loads.OnDone(target, outcome.error, Now());
    if (outcome.latency_ms >= kTimeoutSeconds * 1'000) {
      m_timeouts.push_back({m_seconds + kTimeoutSeconds, {target, outcome}});
    } else {
      m_counters[target].Add(outcome);
    }
    if (version != "v2" || !m_case.fault->bad) return;
    ++m_result.calls_on_bad;
    if (!route.idempotent) {
      ++m_result.writes_on_bad;
      if (harmed) ++m_result.writes_harmed;
    }
    if (m_first_harm_s > 0) m_result.last_harm_s = m_seconds - m_first_harm_s;
  }

  // Returns how a request to this target ends. `harmed` is set if the fault
  // affected it.
  Outcome EndRequest(const std::string& version, const std::string& target,
                     const Route& route, bool* harmed) {
    const Fault& fault = *m_case.fault;
    std::lognormal_distribution<double> latency_factor(0, 0.3);
    Outcome outcome{.service = "s",
                    .version = version,
                    .route = route.name,
                    .idempotent = route.idempotent,
                    .latency_ms = kBaseLatencyMs * latency_factor(m_rng)};
    double& first_s = m_first_request_s[target];
    if (first_s == 0) first_s = m_seconds;
    outcome.warm = m_seconds - first_s >= 3;
    if (!FaultApplies(fault, version, target, route)) return outcome;
    double error_rate = fault.error_rate;
    if (fault.grows_over_s > 0) {
      error_rate *= std::min(1.0, (m_seconds - first_s) / fault.grows_over_s);
    }
    outcome.error = Uniform() < error_rate;
    const bool slowed = Uniform() < fault.slow_rate;
    if (slowed) outcome.latency_ms *= fault.slow_factor;
    if (outcome.error && fault.hangs) {
      outcome.latency_ms = kTimeoutSeconds * 1'000;
    }
    *harmed = outcome.error || (slowed && fault.slow_factor > 1);
    if (*harmed && m_first_harm_s == 0) m_first_harm_s = m_seconds;
    return outcome;
  }

  // True if the fault can affect this request.
  bool FaultApplies(const Fault& fault, const std::string& version,
                    const std::string& target, const Route& route) const {
    if (!fault.every_version && version != "v2") return false;
    if (fault.one_target && target != "v2-0") return false;
    if (!fault.route.empty() && fault.route != route.name) return false;
    if (m_seconds < fault.after_s) return false;
    if (fault.cold_s > 0 &&
        m_seconds - m_first_request_s.at(target) > fault.cold_s) {
      return false;
    }
    const std::string& zone = m_case.deployment->zones.front();
    return Progress(zone).StageOf(zone) >= fault.above_share * kFullStage;
  }

  // Sends the outcome counts that are due, after counting requests that have
  // timed out by now.
  void SendReports() {
    for (auto it = m_timeouts.begin(); it != m_timeouts.end();) {
      if (it->first > m_seconds) {
        ++it;
        continue;
      }
      m_counters[it->second.first].Add(it->second.second);
      it = m_timeouts.erase(it);
    }
    const Condition& condition = *m_case.condition;
    for (const auto& member : m_members) {
      const std::string& version = member.endpoints(0).version();
      Evidence counts = m_counters[member.id()].Report("s", version);
      counts.set_slots(kSlotsPerTarget);
      auto [pacer, is_new] = m_pacers.try_emplace(member.id());
      std::vector<std::string> analyzers;
      if (pacer->second.zone.Take(counts, Now())) {
        analyzers.push_back(member.zone());
      }
      if (pacer->second.mesh.Take(counts, Now())) {
        analyzers.emplace_back(kMeshAnalyzer);
      }
      for (const std::string& analyzer : analyzers) {
        m_result.report_bytes += counts.ByteSizeLong();
        // Reports may be late, lost or reordered.
        const bool is_cut = IsCut(member.zone(), ZoneOf(analyzer));
        if (Uniform() < condition.report_loss || is_cut) continue;
        m_pending.push_back(
            {.due_s = m_seconds + condition.report_delay_s * Uniform(),
             .from = member.zone(),
             .to = ZoneOf(analyzer),
             .analyzer = analyzer,
             .reporter = member.id(),
             .counts = counts});
      }
    }
  }

  void RunAnalyzers() {
    for (auto& [key, analyzer] : m_analyzers) {
      const std::string& zone = ZoneOf(key);
      const auto& progress = Progress(zone);
      const auto targets = CountTargets(m_config, progress, Reachable(zone));
      for (const auto& decision : analyzer.Tick(Time(key), progress, targets)) {
        Publish(key, decision);
      }
    }
  }

  void Publish(const std::string& analyzer, const CanaryDecision& decision) {
    MoveMark mark;
    mark.set_service("s");
    mark.set_move_revision(m_config.move_revision());
    if (const auto* raise = std::get_if<RaiseStage>(&decision)) {
      if (analyzer == kMeshAnalyzer) return;
      (*mark.mutable_stage_permille())[analyzer] = raise->stage_permille;
    } else if (const auto* recall = std::get_if<RecallVersion>(&decision)) {
      mark.add_recalls()->set_version(recall->version);
      if (m_result.reason.empty()) {
        m_result.reason =
            fmt::format("{:.2f} s: {}", m_seconds, recall->reason);
      }
    } else if (const auto* exclusion = std::get_if<ExcludeTarget>(&decision)) {
      m_result.excluded = true;
      mark.add_blamed(exclusion->member_id);
    } else if (analyzer != kMeshAnalyzer) {
      (*mark.mutable_settled())[analyzer] = true;
    }
    for (const auto& zone : m_case.deployment->zones) {
      m_pending.push_back({.due_s = m_seconds + 0.5 * Uniform(),
                           .from = ZoneOf(analyzer),
                           .to = zone,
                           .mark = mark,
                           .is_mark = true});
    }
  }

  void Deliver() {
    std::vector<Pending> later;
    for (auto& pending : m_pending) {
      // Marks that a partition delays arrive with the digests afterwards.
      const bool is_delayed =
          pending.is_mark && IsCut(pending.from, pending.to);
      if (pending.due_s > m_seconds + kTickSeconds || is_delayed) {
        later.push_back(std::move(pending));
      } else if (pending.is_mark) {
        m_marks_by_zone.at(pending.to).Join(pending.mark);
      } else {
        m_analyzers.at(pending.analyzer)
            .OnOutcomeCounts(pending.reporter, 1, pending.counts);
      }
    }
    m_pending = std::move(later);
  }

  using milliseconds = std::chrono::milliseconds;

  const Case& m_case;
  std::mt19937_64 m_rng;
  ServiceConfig m_config;
  Batch m_batch;
  std::vector<MemberRecord> m_members;
  std::map<std::string, Analyzer> m_analyzers;   // By zone, or kMeshAnalyzer.
  std::map<std::string, double> m_clock_skew_s;  // Clock skew, by zone.
  struct Pacers {
    ReportPacer zone{kZoneReportInterval};
    ReportPacer mesh{kMeshReportInterval};
  };
  std::map<std::string, Pacers> m_pacers;  // By target.
  std::map<std::string, OutcomeCounters> m_counters;
  std::map<std::string, TargetLoads> m_loads;  // By caller's zone.
  // Time of a target's first request.
  std::map<std::string, double> m_first_request_s;
  // Requests that will time out: when, and at which target.
  std::vector<std::pair<double, std::pair<std::string, Outcome>>> m_timeouts;
  std::vector<Pending> m_pending;
  std::map<std::string, MarkSet> m_marks_by_zone;
  double m_seconds = 0;
  double m_kill_at_s =
      0;  // When the analyzers restart, if the condition says so.
  double m_first_harm_s = 0;  // When the fault first affected a request.
  CaseResult m_result;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_BENCH_MOVE_RUN_H_
