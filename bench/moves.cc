// moves: runs the decision code of a move (judges, stages, choice of target)
// over seeds and kinds of fault on a virtual clock, and counts how often a good
// version is in full by its deadline and a bad one is taken back.
//
// It is no simulator of a cluster: requests end as the fault says, evidence and
// rulings take a random time, and nothing else is modelled. Two ways to judge
// run on the same seeds: the product's sequential comparison, and fixed
// thresholds, which it was weighed against.

#include <gflags/gflags.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <cmath>
#include <fstream>
#include <future>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "kumquatmoor/coordination/judge.h"
#include "kumquatmoor/node/mover.h"
#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/picker.h"
#include "kumquatmoor/state/routes.h"

DEFINE_uint64(seeds, 12, "Seeds for each deployment, rate and kind.");
DEFINE_uint64(first_seed, 1, "The first of them.");
DEFINE_string(output, "", "File for the JSON report.");
DEFINE_string(only, "", "Only this kind of fault.");
DEFINE_bool(show_misses, true, "Print each case that missed, with its seed.");

namespace kumquatmoor {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr double kTickSeconds = 0.25;  // Of reports and judges.
constexpr double kDeadlineSeconds = 60;
constexpr double kWatchedSeconds = 100;
constexpr double kTimeoutSeconds = 2;
constexpr double kBaseLatencyMs = 5;

struct Deployment {
  std::string name;
  std::vector<std::string> zones;
  size_t targets = 0;  // Of the service that moves, for each version.
};

const Deployment kDeployments[] = {
    {"sagarmatha", {"l1", "l2", "l3", "l4"}, 4},
    {"otopark", {"c1", "c2", "c3"}, 3},
};

// What is wrong with the new version, or with everything.
struct Fault {
  std::string name;
  bool bad = true;  // The version is to be taken back.
  double error_rate = 0;
  double slow_factor = 1;
  double slow_rate = 1;     // Part of the requests that are slow.
  std::string route;        // Only this one; "": all.
  double after_s = 0;       // From the version's first request on.
  double above_share = 0;   // Only once its share is above this.
  double grows_over_s = 0;  // The error rate rises from 0 over this time.
  bool hangs = false;       // Errors take the whole timeout.
  bool one_target = false;  // Only on one target of the version.
  bool every_version = false;
  double cold_s = 0;  // Slow only in the first seconds.
};

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> kFaults = {
      {.name = "none", .bad = false},
      {.name = "noise",
       .bad = false,
       .error_rate = 0.002,
       .every_version = true},
      {.name = "cold start", .bad = false, .slow_factor = 10, .cold_s = 3},
      {.name = "one bad target",
       .bad = false,
       .error_rate = 1,
       .after_s = 5,
       .one_target = true},
      {.name = "one slow target",
       .bad = false,
       .slow_factor = 10,
       .after_s = 5,
       .one_target = true},
      {.name = "common cause",
       .bad = false,
       .error_rate = 0.5,
       .after_s = 20,
       .every_version = true},
      {.name = "everything slow",
       .bad = false,
       .slow_factor = 10,
       .after_s = 20,
       .every_version = true},
      {.name = "all fail", .error_rate = 1},
      {.name = "half fail", .error_rate = 0.5},
      {.name = "one in ten fails", .error_rate = 0.1},
      {.name = "one route fails", .error_rate = 1, .route = "POST /pay"},
      {.name = "hangs", .error_rate = 1, .hangs = true},
      {.name = "fails later", .error_rate = 1, .after_s = 15},
      {.name = "fails after the move", .error_rate = 0.5, .after_s = 62},
      {.name = "fails under load", .error_rate = 0.5, .above_share = 0.3},
      {.name = "leaks", .error_rate = 1, .grows_over_s = 60},
      {.name = "ten times slower", .slow_factor = 10},
      {.name = "twice as slow", .slow_factor = 2.5},
      {.name = "slow tail", .slow_factor = 10, .slow_rate = 0.1},
  };
  return kFaults;
}

struct Route {
  const char* name;
  bool idempotent;
  double part;
};
constexpr Route kRoutes[] = {{"GET /check", true, 0.5},
                             {"POST /reserve", false, 0.25},
                             {"POST /pay", false, 0.25}};

struct Case {
  const Deployment* deployment = nullptr;
  const Fault* fault = nullptr;
  double calls_per_s = 0;
  uint64_t seed = 0;
};

struct CaseResult {
  bool full_in_time = false;
  bool recalled = false;
  std::string reason;  // Of the first recall, and when.
  bool blamed = false;
  uint64_t calls = 0;           // Of the service while it was watched.
  uint64_t met_bad = 0;         // Of those, on the bad version.
  uint64_t writes_met_bad = 0;  // Reservations and payments among them.
  uint64_t writes_harmed = 0;   // Of those, failed or slowed by the fault.
  double last_harm_s = 0;       // From the fault's first showing.
};

// The way that was weighed against the sequential comparison: more than 5%
// errors, or a mean latency of more than twice the old one, over all routes,
// once 50 requests were counted; stages at fixed times.
class FixedThresholds {
 public:
  FixedThresholds(const ServiceConfig& /*config*/, JudgeOptions options,
                  JudgeTime time)
      : m_options(std::move(options)), m_start(time.now) {}

  void OnEvidence(const std::string& reporter, int64_t /*incarnation*/,
                  const Evidence& evidence) {
    OutcomeTally& tally = m_tallies[{evidence.version(), reporter}];
    tally = OutcomeTally();
    for (const auto& route : evidence.routes()) {
      tally.Add(OutcomeTally::FromCounts(route));
    }
  }

  std::vector<Ruling> Tick(JudgeTime time, const MoveProgress& progress,
                           MeshTargets /*targets*/) {
    std::vector<Ruling> rulings;
    if (progress.IsRecalled()) return rulings;
    OutcomeTally old_tally;
    OutcomeTally new_tally;
    for (const auto& [key, tally] : m_tallies) {
      (key.first == "v1" ? old_tally : new_tally).Add(tally);
    }
    if (new_tally.total >= kFewestCalls) {
      const double errors = static_cast<double>(new_tally.errors) /
                            static_cast<double>(new_tally.total);
      const double slower = Mean(new_tally) / std::max(0.1, Mean(old_tally));
      if (errors > 0.05 || slower > 2) {
        rulings.emplace_back(
            RecallVersion{.version = "v2", .reason = "threshold"});
        return rulings;
      }
    }
    const uint32_t stage = progress.StageOf(m_options.zone);
    const double passed =
        std::chrono::duration<double>(time.now - m_start).count();
    const double step = kDeadlineSeconds * m_options.planned_part / 5;
    const auto due = static_cast<size_t>(passed / step) + 1;
    const uint32_t wanted = kStages[std::min<size_t>(due, 5)];
    if (stage < wanted) {
      rulings.emplace_back(RaiseStage{.stage_permille = NextStage(stage)});
    }
    return rulings;
  }

 private:
  static constexpr uint64_t kFewestCalls = 50;

  static double Mean(const OutcomeTally& tally) {
    double sum = 0;
    for (size_t i = 0; i < tally.latency.size(); ++i) {
      sum += static_cast<double>(tally.latency[i]) * kLowestLatencyMs *
             std::exp2(static_cast<double>(i) / 2);
    }
    return tally.warm_total == 0 ? 0
                                 : sum / static_cast<double>(tally.warm_total);
  }

  JudgeOptions m_options;
  TimePoint m_start;
  std::map<std::pair<std::string, std::string>, OutcomeTally> m_tallies;
};

ServiceConfig MakeConfig() {
  const Batch first =
      BuildBatch({}, std::vector<TableRow>{{"s", "v1", 100}}, {}, {});
  const auto deadline_ms = static_cast<int64_t>(kDeadlineSeconds * 1'000);
  const Batch second =
      BuildBatch(first,
                 std::vector<TableRow>{{"s", "v1", 0},
                                       {"s", "v2", 100, 0, 0, deadline_ms}},
                 {}, {});
  return second.services(0);
}

// One move from its start until `kWatchedSeconds`.
template <typename Judge>
class Run {
 public:
  explicit Run(const Case& c) : m_case(c), m_rng(c.seed) {
    const auto& zones = c.deployment->zones;
    for (const auto& zone : zones) {
      m_judges.emplace(zone,
                       Judge(m_config, JudgeOptions{.zone = zone}, Time()));
    }
    m_judges.emplace("", Judge(m_config, JudgeOptions{}, Time()));
    for (size_t i = 0; i < c.deployment->targets; ++i) {
      for (const char* version : {"v1", "v2"}) {
        MemberRecord member;
        member.set_id(fmt::format("{}-{}", version, i));
        member.set_zone(zones[i % zones.size()]);
        Endpoint* endpoint = member.add_endpoints();
        endpoint->set_service("s");
        endpoint->set_version(version);
        endpoint->set_slots(10);
        m_members.push_back(std::move(member));
      }
    }
    *m_batch.add_services() = m_config;
    m_batch.set_revision(m_config.move_revision());
  }

  CaseResult Watch() {
    while (m_seconds < kWatchedSeconds) {
      m_seconds += kTickSeconds;
      Serve();
      Report();
      Judgement();
      Deliver();
      if (!m_result.full_in_time && m_seconds <= kDeadlineSeconds) {
        m_result.full_in_time = IsFull();
      }
    }
    m_result.recalled = m_known.IsRecalled("s", m_config.move_revision());
    return m_result;
  }

 private:
  struct Pending {
    double due = 0;
    std::string judge;  // "": for every judge's node.
    std::string reporter;
    Evidence evidence;
    MoveMark mark;
    bool is_mark = false;
  };

  JudgeTime Time() const {
    const milliseconds passed(static_cast<int64_t>(m_seconds * 1'000));
    return {.now = TimePoint() + std::chrono::hours(1) + passed,
            .unix_ms = passed.count()};
  }

  bool IsFull() const {
    const auto& progress = m_known.Progress("s", m_config.move_revision());
    return std::all_of(
        m_case.deployment->zones.begin(), m_case.deployment->zones.end(),
        [&](const auto& zone) { return progress.StageOf(zone) >= kFullStage; });
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
        table = BuildRoutes(m_batch, m_known, m_members, zone);
      }
      ServeOne(*table->Find("s"), zone);
    }
  }

  void ServeOne(const ServiceRoutes& service, const std::string& zone) {
    double at = Uniform();
    const Route* route = &kRoutes[0];
    for (const auto& candidate : kRoutes) {
      route = &candidate;
      at -= candidate.part;
      if (at < 0) break;
    }
    const TimePoint now = Time().now;
    TargetLoads& loads = m_loads[zone];
    const Pick pick =
        PickTarget(service, {.zone = zone, .idempotent = route->idempotent},
                   loads, now, m_rng);
    if (pick.target == nullptr) return;
    ++m_result.calls;
    const std::string& version = pick.version->version;
    bool harmed = false;
    const Outcome outcome =
        End(version, pick.target->member_id, *route, &harmed);
    loads.OnSent(pick.target->member_id, now);
    loads.OnDone(pick.target->member_id, outcome.error, now);
    if (outcome.latency_ms >= kTimeoutSeconds * 1'000) {
      m_late.push_back(
          {m_seconds + kTimeoutSeconds, {pick.target->member_id, outcome}});
    } else {
      m_ledgers[pick.target->member_id].Add(outcome);
    }
    if (version != "v2" || !m_case.fault->bad) return;
    ++m_result.met_bad;
    if (!route->idempotent) {
      ++m_result.writes_met_bad;
      if (harmed) ++m_result.writes_harmed;
    }
    if (m_shown_s > 0) m_result.last_harm_s = m_seconds - m_shown_s;
  }

  // How a request ends on this target, and if the fault had a part in it.
  Outcome End(const std::string& version, const std::string& target,
              const Route& route, bool* harmed) {
    const Fault& fault = *m_case.fault;
    std::lognormal_distribution<double> spread(0, 0.3);
    Outcome outcome{.service = "s",
                    .version = version,
                    .route = route.name,
                    .idempotent = route.idempotent,
                    .latency_ms = kBaseLatencyMs * spread(m_rng)};
    double& first = m_first_s[target];
    if (first == 0) first = m_seconds;
    outcome.warm = m_seconds - first >= 3;
    if (!Shows(fault, version, target, route)) return outcome;
    double error_rate = fault.error_rate;
    if (fault.grows_over_s > 0) {
      error_rate *= std::min(1.0, (m_seconds - first) / fault.grows_over_s);
    }
    outcome.error = Uniform() < error_rate;
    const bool slowed = Uniform() < fault.slow_rate;
    if (slowed) outcome.latency_ms *= fault.slow_factor;
    if (outcome.error && fault.hangs) {
      outcome.latency_ms = kTimeoutSeconds * 1'000;
    }
    *harmed = outcome.error || (slowed && fault.slow_factor > 1);
    if (*harmed && m_shown_s == 0) m_shown_s = m_seconds;
    return outcome;
  }

  bool Shows(const Fault& fault, const std::string& version,
             const std::string& target, const Route& route) const {
    if (!fault.every_version && version != "v2") return false;
    if (fault.one_target && target != "v2-0") return false;
    if (!fault.route.empty() && fault.route != route.name) return false;
    if (m_seconds < fault.after_s) return false;
    if (fault.cold_s > 0 && m_seconds - m_first_s.at(target) > fault.cold_s) {
      return false;
    }
    const auto& progress = m_known.Progress("s", m_config.move_revision());
    const std::string& zone = m_case.deployment->zones.front();
    return progress.StageOf(zone) >= fault.above_share * kFullStage;
  }

  void Report() {
    for (auto it = m_late.begin(); it != m_late.end();) {
      if (it->first > m_seconds) {
        ++it;
        continue;
      }
      m_ledgers[it->second.first].Add(it->second.second);
      it = m_late.erase(it);
    }
    for (const auto& member : m_members) {
      const std::string& version = member.endpoints(0).version();
      Evidence evidence = m_ledgers[member.id()].Report("s", version);
      evidence.set_slots(10);
      for (const std::string& judge : {member.zone(), std::string()}) {
        // Evidence is late, lost or crossed now and then.
        if (Uniform() < 0.02) continue;
        m_pending.push_back({.due = m_seconds + 0.3 * Uniform(),
                             .judge = judge,
                             .reporter = member.id(),
                             .evidence = evidence});
      }
    }
  }

  void Judgement() {
    const auto& progress = m_known.Progress("s", m_config.move_revision());
    const MeshTargets targets = CountTargets(m_config, progress, m_members);
    for (auto& [zone, judge] : m_judges) {
      for (const auto& ruling : judge.Tick(Time(), progress, targets)) {
        Publish(zone, ruling);
      }
    }
  }

  void Publish(const std::string& zone, const Ruling& ruling) {
    MoveMark mark;
    mark.set_service("s");
    mark.set_move_revision(m_config.move_revision());
    if (const auto* raise = std::get_if<RaiseStage>(&ruling)) {
      if (zone.empty()) return;
      (*mark.mutable_stage_permille())[zone] = raise->stage_permille;
    } else if (const auto* recall = std::get_if<RecallVersion>(&ruling)) {
      mark.add_recalls()->set_version(recall->version);
      if (m_result.reason.empty()) {
        m_result.reason =
            fmt::format("{:.2f} s: {}", m_seconds, recall->reason);
      }
    } else if (const auto* blame = std::get_if<BlameTarget>(&ruling)) {
      m_result.blamed = true;
      mark.add_blamed(blame->member_id);
    } else if (!zone.empty()) {
      (*mark.mutable_settled())[zone] = true;
    }
    m_pending.push_back({.due = m_seconds + 0.5 * Uniform(),
                         .mark = std::move(mark),
                         .is_mark = true});
  }

  void Deliver() {
    std::vector<Pending> later;
    for (auto& pending : m_pending) {
      if (pending.due > m_seconds + kTickSeconds) {
        later.push_back(std::move(pending));
      } else if (pending.is_mark) {
        m_known.Join(pending.mark);
      } else {
        m_judges.at(pending.judge)
            .OnEvidence(pending.reporter, 1, pending.evidence);
      }
    }
    m_pending = std::move(later);
  }

  const Case& m_case;
  std::mt19937_64 m_rng;
  ServiceConfig m_config = MakeConfig();
  Batch m_batch;
  std::vector<MemberRecord> m_members;
  std::map<std::string, Judge> m_judges;  // By zone; "" is the mesh's.
  std::map<std::string, OutcomeLedger> m_ledgers;
  std::map<std::string, TargetLoads> m_loads;  // By caller's zone.
  std::map<std::string, double> m_first_s;     // First request of a target.
  std::vector<std::pair<double, std::pair<std::string, Outcome>>> m_late;
  std::vector<Pending> m_pending;
  MarkSet m_known;
  double m_seconds = 0;
  double m_shown_s = 0;  // When the fault showed first.
  CaseResult m_result;
};

// A count out of a total, with the 95% interval of Wilson.
struct Share {
  uint64_t count = 0;
  uint64_t total = 0;

  void Add(bool hit) {
    ++total;
    if (hit) ++count;
  }
  std::string Text() const {
    if (total == 0) return "-";
    const double n = static_cast<double>(total);
    const double p = static_cast<double>(count) / n;
    constexpr double kZ = 1.96;
    const double center = (p + kZ * kZ / (2 * n)) / (1 + kZ * kZ / n);
    const double half = kZ *
                        std::sqrt(p * (1 - p) / n + kZ * kZ / (4 * n * n)) /
                        (1 + kZ * kZ / n);
    return fmt::format("{}/{} [{:.1f}%, {:.1f}%]", count, total,
                       100 * (center - half), 100 * (center + half));
  }
};

struct Summary {
  Share good_in_time;
  Share bad_taken_back;
  Share false_recalls;
  Share wrong_blame;
  std::vector<double> harmful;  // Part of the traffic, writes on a bad version.
  std::vector<double> harmed;   // The same, only those that the fault hit.
  std::vector<double> last_harm_s;

  void Add(const Case& c, const CaseResult& result) {
    if (c.fault->bad) {
      bad_taken_back.Add(result.recalled);
      wrong_blame.Add(result.blamed && !result.recalled);
      const auto calls =
          static_cast<double>(std::max<uint64_t>(1, result.calls));
      harmful.push_back(static_cast<double>(result.writes_met_bad) / calls);
      harmed.push_back(static_cast<double>(result.writes_harmed) / calls);
      if (result.recalled) last_harm_s.push_back(result.last_harm_s);
      return;
    }
    good_in_time.Add(result.full_in_time && !result.recalled);
    false_recalls.Add(result.recalled);
  }
};

double Quantile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(std::ceil(part * last))];
}

void PrintSummary(const std::string& name, const Summary& summary) {
  std::cout << fmt::format(
      "{:<24} good in time {}  bad taken back {}  false recalls {}\n"
      "{:<24} writes on it p50 {:.3f}% p99 {:.3f}%  writes hit by the fault "
      "p50 {:.3f}% p99 {:.3f}%  fault shown to last request p50 {:.1f} s p99 "
      "{:.1f} s\n",
      name, summary.good_in_time.Text(), summary.bad_taken_back.Text(),
      summary.false_recalls.Text(), "", 100 * Quantile(summary.harmful, 0.5),
      100 * Quantile(summary.harmful, 0.99),
      100 * Quantile(summary.harmed, 0.5), 100 * Quantile(summary.harmed, 0.99),
      Quantile(summary.last_harm_s, 0.5), Quantile(summary.last_harm_s, 0.99));
}

json::object ToJson(const Summary& summary) {
  return {{"good_in_time", summary.good_in_time.count},
          {"good", summary.good_in_time.total},
          {"bad_taken_back", summary.bad_taken_back.count},
          {"bad", summary.bad_taken_back.total},
          {"false_recalls", summary.false_recalls.count},
          {"harmful_p99", Quantile(summary.harmful, 0.99)},
          {"harmed_p99", Quantile(summary.harmed, 0.99)},
          {"last_harm_p99_s", Quantile(summary.last_harm_s, 0.99)}};
}

std::vector<Case> AllCases() {
  std::vector<Case> cases;
  for (const auto& deployment : kDeployments) {
    for (const auto& fault : Faults()) {
      if (!FLAGS_only.empty() && fault.name != FLAGS_only) continue;
      for (double rate : {4.0, 40.0, 200.0}) {
        for (uint64_t i = 0; i < FLAGS_seeds; ++i) {
          cases.push_back({.deployment = &deployment,
                           .fault = &fault,
                           .calls_per_s = rate,
                           .seed = FLAGS_first_seed + i});
        }
      }
    }
  }
  return cases;
}

template <typename Judge>
std::vector<CaseResult> RunAll(const std::vector<Case>& cases) {
  std::vector<CaseResult> results(cases.size());
  std::atomic<size_t> next{0};
  std::vector<std::future<void>> workers;
  for (unsigned i = 0; i < std::thread::hardware_concurrency(); ++i) {
    workers.push_back(std::async(std::launch::async, [&] {
      for (size_t at = next++; at < cases.size(); at = next++) {
        results[at] = Run<Judge>(cases[at]).Watch();
      }
    }));
  }
  for (auto& worker : workers) worker.get();
  return results;
}

// Prints everything about one way to judge; gives its summary over all.
Summary Tell(const std::string& way, const std::vector<Case>& cases,
             const std::vector<CaseResult>& results, json::object* report) {
  std::map<std::string, Summary> parts;
  Summary all;
  for (size_t i = 0; i < cases.size(); ++i) {
    const Case& c = cases[i];
    parts["in " + c.deployment->name].Add(c, results[i]);
    parts[c.fault->name].Add(c, results[i]);
    parts[fmt::format("at {:g} calls/s", c.calls_per_s)].Add(c, results[i]);
    all.Add(c, results[i]);
    const bool missed = c.fault->bad
                            ? !results[i].recalled
                            : !results[i].full_in_time || results[i].recalled;
    if (missed && FLAGS_show_misses && way == "sequential") {
      std::cout << fmt::format(
          "missed: {} {} {:g} calls/s seed {}: recalled={} full={} {}\n",
          c.deployment->name, c.fault->name, c.calls_per_s, c.seed,
          results[i].recalled, results[i].full_in_time, results[i].reason);
    }
  }
  std::cout << "== " << way << "\n";
  json::object details;
  for (const auto& [name, summary] : parts) {
    PrintSummary(name, summary);
    details[name] = ToJson(summary);
  }
  PrintSummary("all", all);
  details["all"] = ToJson(all);
  (*report)[way] = std::move(details);
  return all;
}

int Main() {
  const auto cases = AllCases();
  json::object report;
  Tell("fixed thresholds", cases, RunAll<FixedThresholds>(cases), &report);
  const Summary all =
      Tell("sequential", cases, RunAll<MoveJudge>(cases), &report);
  if (!FLAGS_output.empty()) {
    std::ofstream(FLAGS_output) << json::serialize(report) << "\n";
  }
  std::cout << fmt::format(
      "moves: good_in_time={}/{} bad_taken_back={}/{} false_recalls={}/{} "
      "p99_harmful={:.5f}\n",
      all.good_in_time.count, all.good_in_time.total, all.bad_taken_back.count,
      all.bad_taken_back.total, all.false_recalls.count,
      all.false_recalls.total, Quantile(all.harmful, 0.99));
  return 0;
}

}  // namespace
}  // namespace kumquatmoor

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  spdlog::set_level(spdlog::level::off);
  return kumquatmoor::Main();
}
