// choice: compares load balancing policies on a virtual clock: the product's
// power of two choices, the least loaded of all targets, and round robin. Each
// caller's node estimates the load of targets from its own requests and from
// load reports in responses, which may be old or wrong. "own latency" is the
// product without the run times that targets report. A full target refuses, and
// the caller tries another one, or the request waits there. Targets are
// modelled as slots and service times only: this is not a simulation of a
// cluster.

#include <gflags/gflags.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "kumquatmoor/state/picker.h"
#include "kumquatmoor/state/routes.h"
#include "kumquatmoor/state/run_times.h"
#include "quantile.h"

DEFINE_double(seconds, 30, "Virtual time of each run.");
DEFINE_double(
    load, 0.7,
    "Offered load, as a fraction of the capacity of healthy targets.");
DEFINE_bool(
    believe_refusals, true,
    "Back off from a target that refused as full, and use its load report.");
DEFINE_uint64(seed, 1, "Seed of the random numbers.");

namespace kumquatmoor {
namespace {

constexpr size_t kMaxAttempts = 3;

struct Scenario {
  std::string name;
  int callers = 16;  // Nodes that send requests.
  int targets = 8;
  uint32_t slots = 10;  // Of each target.
  double mean_service_s = 0.02;
  // Standard deviation of the logarithm of the service times. 0: they are
  // distributed exponentially.
  double service_spread = 0;
  double objective_s = 1e9;
  // Speeds of the targets, in turn. Service times are divided by them.
  std::vector<double> speeds = {1};
  double load = 0;  // As --load, which applies if it is 0.
  // Requests that find no free slot wait at the target for one. Otherwise they
  // are refused.
  bool waits = false;
  // Factor of the first target's service times, and until when it applies.
  double slow_factor = 1;
  double slow_until_s = 1e9;
  bool first_reports_idle = false;  // The first target always reports no load.
  double report_lag_s = 0;          // Age of load reports.
  double first_starts_s = 0;        // When the first target joins.
};

const Scenario kScenarios[] = {
    {.name = "all equal"},
    {.name = "one ten times slower", .slow_factor = 10},
    {.name = "the same, reporting no load",
     .slow_factor = 10,
     .first_reports_idle = true},
    {.name = "reports lag by 0.5 s", .report_lag_s = 0.5},
    {.name = "one starts cold at 10 s",
     .slow_factor = 5,
     .slow_until_s = 13,
     .first_starts_s = 10},
    {.name = "unequal speeds, 32 callers",
     .callers = 32,
     .targets = 13,
     .slots = 5,
     .mean_service_s = 0.18,
     .service_spread = 0.8,
     .objective_s = 0.58,
     .speeds = {0.5, 1, 1, 1.5},
     .load = 0.45,
     .waits = true},
    {.name = "the same, more load",
     .callers = 32,
     .targets = 13,
     .slots = 5,
     .mean_service_s = 0.18,
     .service_spread = 0.8,
     .objective_s = 0.58,
     .speeds = {0.5, 1, 1, 1.5},
     .load = 0.75,
     .waits = true},
    {.name = "unequal speeds, few callers",
     .callers = 5,
     .targets = 4,
     .slots = 9,
     .mean_service_s = 0.09,
     .service_spread = 0.8,
     .objective_s = 0.28,
     .speeds = {0.5, 1, 1, 1.5},
     .load = 0.6,
     .waits = true},
};

enum class Policy { kProduct, kOwnLatency, kLeastLoaded, kRoundRobin };

struct Result {
  uint64_t calls = 0;
  uint64_t attempts = 0;             // Requests sent to targets.
  uint64_t refused = 0;              // Calls that no target accepted.
  uint64_t late = 0;                 // Calls that missed their objective.
  std::vector<double> latencies_ms;  // Of the other calls.
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, Policy policy)
      : m_scenario(scenario),
        m_policy(policy),
        m_rng(FLAGS_seed),
        m_loads(scenario.callers),
        m_next_index(scenario.callers),
        m_targets(scenario.targets) {
    m_service.versions.push_back(
        {.version = "v", .read_share = 1, .write_share = 1});
    for (int i = 0; i < scenario.targets; ++i) {
      if (i == 0 && scenario.first_starts_s > 0) continue;
      AddTarget(i);
    }
  }

  Result Simulate() {
    const double load = m_scenario.load > 0 ? m_scenario.load : FLAGS_load;
    double slots = 0;  // Weighted by speed.
    for (int i = 0; i < m_scenario.targets; ++i) {
      slots += SpeedOf(i) * m_scenario.slots;
    }
    const double rate = load * slots / m_scenario.mean_service_s;
    std::exponential_distribution<double> interarrival_s(rate);
    double next_call_s = interarrival_s(m_rng);
    while (next_call_s < FLAGS_seconds) {
      while (!m_events.empty() && m_events.top().at_s <= next_call_s)
        EndNextRequest();
      m_now_s = next_call_s;
      if (Targets().size() < m_targets.size() &&
          m_now_s >= m_scenario.first_starts_s) {
        AddTarget(0);
      }
      SendCall(static_cast<int>(m_rng() % m_loads.size()));
      next_call_s += interarrival_s(m_rng);
    }
    return std::move(m_result);
  }

 private:
  struct Request {
    double sent_s = 0;
    double service_s = 0;
    int caller = 0;
  };
  struct Event {
    double at_s = 0;
    int target = 0;
    Request request;
    bool operator>(const Event& other) const { return at_s > other.at_s; }
  };
  struct LoadSample {
    double at_s = 0;
    uint32_t in_flight = 0;
  };
  struct TargetState {
    uint32_t running = 0;
    std::deque<Request> waiting;
    std::deque<LoadSample> history;  // Of the requests in flight.
    RunTimes run_times;
    uint32_t InFlight() const {
      return running + static_cast<uint32_t>(waiting.size());
    }
  };

  double SpeedOf(int target) const {
    return m_scenario.speeds[target % m_scenario.speeds.size()];
  }

  std::vector<Target>& Targets() { return m_service.versions[0].targets; }

  void AddTarget(int number) {
    Targets().push_back({.member_id = std::to_string(number),
                         .zone = "z",
                         .slots = m_scenario.slots});
  }

  TimePoint Now() const {
    return TimePoint() + std::chrono::hours(1) +
           std::chrono::microseconds(static_cast<int64_t>(m_now_s * 1e6));
  }

  const Target* Choose(int caller, const std::set<std::string>& tried) {
    const TargetLoads& loads = m_loads[caller];
    if (m_policy == Policy::kProduct || m_policy == Policy::kOwnLatency) {
      return PickTarget(m_service, {.zone = "z", .route = "r", .tried = &tried},
                        loads, Now(), m_rng)
          .target;
    }
    const auto& targets = Targets();
    const Target* best = nullptr;
    // Round robin takes the next target. Least loaded begins there, too, which
    // spreads ties over the targets.
    const size_t start = m_next_index[caller]++;
    for (size_t i = 0; i < targets.size(); ++i) {
      const Target& target = targets[(start + i) % targets.size()];
      if (tried.count(target.member_id) > 0) continue;
      if (loads.IsEjected(target.member_id, Now())) continue;
      if (m_policy == Policy::kRoundRobin) return &target;
      const bool better = best == nullptr || loads.LoadOf(target, Now()) <
                                                 loads.LoadOf(*best, Now());
      if (better) best = &target;
    }
    return best;
  }

  void SendCall(int caller) {
    ++m_result.calls;
    std::set<std::string> tried;
    while (tried.size() < kMaxAttempts) {
      const Target* target = Choose(caller, tried);
      if (target == nullptr) break;
      tried.insert(target->member_id);
      ++m_result.attempts;
      if (StartRequest(caller, std::stoi(target->member_id))) return;
    }
    ++m_result.refused;
  }

  // Returns false if the target is full.
  bool StartRequest(int caller, int number) {
    const std::string id = std::to_string(number);
    TargetState& target = m_targets[number];
    m_loads[caller].OnSent(id, Now());
    if (target.running >= m_scenario.slots && !m_scenario.waits) {
      m_loads[caller].OnDone(id, false, Now());
      if (FLAGS_believe_refusals) {
        m_loads[caller].OnFull(id, Now());
        m_loads[caller].OnReport(id, {.in_flight = target.InFlight()}, Now());
      }
      return false;
    }
    target.waiting.push_back({.sent_s = m_now_s,
                              .service_s = DrawServiceTime(number),
                              .caller = caller});
    RunNext(number);
    target.history.push_back({m_now_s, target.InFlight()});
    return true;
  }

  double DrawServiceTime(int target) {
    const double mean = m_scenario.mean_service_s;
    const double spread = m_scenario.service_spread;
    double service_s = 0;
    if (spread == 0) {
      service_s = std::exponential_distribution<double>(1 / mean)(m_rng);
    } else {
      service_s = std::lognormal_distribution<double>(
          std::log(mean) - spread * spread / 2, spread)(m_rng);
    }
    const bool slow = target == 0 && m_now_s < m_scenario.slow_until_s;
    if (slow) service_s *= m_scenario.slow_factor;
    return service_s / SpeedOf(target);
  }

  void RunNext(int number) {
    TargetState& target = m_targets[number];
    while (target.running < m_scenario.slots && !target.waiting.empty()) {
      const Request& next = target.waiting.front();
      m_events.push({.at_s = m_now_s + next.service_s,
                     .target = number,
                     .request = next});
      target.waiting.pop_front();
      ++target.running;
    }
  }

  void EndNextRequest() {
    const Event event = m_events.top();
    m_events.pop();
    m_now_s = event.at_s;
    TargetState& target = m_targets[event.target];
    --target.running;
    RunNext(event.target);
    target.history.push_back({m_now_s, target.InFlight()});
    const Request& request = event.request;
    target.run_times.Add("r", Milliseconds(request.service_s));
    const double latency_s = m_now_s - request.sent_s;
    m_result.latencies_ms.push_back(latency_s * 1'000);
    if (latency_s > m_scenario.objective_s) ++m_result.late;
    m_loads[request.caller].OnDone(std::to_string(event.target), false, Now(),
                                   Milliseconds(latency_s));
    Report(request.caller, event.target);
  }

  static std::chrono::milliseconds Milliseconds(double seconds) {
    return std::chrono::milliseconds(static_cast<int64_t>(seconds * 1'000));
  }

  void Report(int caller, int target) {
    LoadReport report;
    const bool reports_idle = target == 0 && m_scenario.first_reports_idle;
    if (!reports_idle)
      report.in_flight = InFlightAt(target, m_now_s - m_scenario.report_lag_s);
    if (m_policy == Policy::kProduct) {
      report.route = "r";
      report.run_time = m_targets[target].run_times.Expected("r");
    }
    m_loads[caller].OnReport(std::to_string(target), report, Now());
  }

  uint32_t InFlightAt(int target, double at_s) {
    auto& history = m_targets[target].history;
    while (history.size() > 1 && history[1].at_s <= at_s) history.pop_front();
    return history.empty() || history[0].at_s > at_s ? 0 : history[0].in_flight;
  }

  const Scenario& m_scenario;
  Policy m_policy;
  std::mt19937_64 m_rng;
  ServiceRoutes m_service;
  double m_now_s = 0;
  std::vector<TargetLoads> m_loads;  // By caller.
  std::vector<size_t> m_next_index;  // By caller.
  std::vector<TargetState> m_targets;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  Result m_result;
};

int Main() {
  const std::pair<Policy, const char*> policies[] = {
      {Policy::kProduct, "product"},
      {Policy::kOwnLatency, "own latency"},
      {Policy::kLeastLoaded, "least loaded"},
      {Policy::kRoundRobin, "round robin"}};
  for (const auto& scenario : kScenarios) {
    for (const auto& [policy, name] : policies) {
      Result result = Simulation(scenario, policy).Simulate();
      const auto calls = static_cast<double>(result.calls);
      std::cout << fmt::format(
          "{:<30} {:<14} refused {:.3f}%  late {:.2f}%  attempts per call "
          "{:.3f}  "
          "p50 {:.1f} ms  "
          "p99 {:.1f} ms\n",
          scenario.name, name,
          100 * static_cast<double>(result.refused) / calls,
          100 * static_cast<double>(result.late) / calls,
          static_cast<double>(result.attempts) / calls,
          Quantile(result.latencies_ms, 0.5),
          Quantile(result.latencies_ms, 0.99));
    }
  }
  return 0;
}

}  // namespace
}  // namespace kumquatmoor

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return kumquatmoor::Main();
}
