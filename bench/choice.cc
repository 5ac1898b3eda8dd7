// choice: compares load balancing policies on a virtual clock: the product's
// power of two choices, the least loaded of all targets, and round robin. Each
// caller's node estimates the load of targets from its own requests and from
// load reports in answers, which may be old or wrong. A full target refuses,
// and the caller tries another one, as in the product. Targets are modelled as
// slots and service times only: this is not a simulation of a cluster.

#include <gflags/gflags.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
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

constexpr int kCallers = 16;  // Nodes that send requests.
constexpr int kTargets = 8;
constexpr uint32_t kSlots = 10;  // Of each target.
constexpr double kMeanServiceSeconds = 0.02;
constexpr size_t kMaxAttempts = 3;

struct Scenario {
  std::string name;
  // Factor of the first target's service times, and until when it applies.
  double slow_factor = 1;
  double slow_until_s = 1e9;
  bool first_reports_idle = false;  // The first target always reports no load.
  double report_lag_s = 0;          // Age of load reports.
  double first_starts_s = 0;        // The first target joins then.
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
};

enum class Policy { kTwoChoices, kLeastLoaded, kRoundRobin };

struct Result {
  uint64_t calls = 0;
  uint64_t attempts = 0;             // Requests sent to targets.
  uint64_t refused = 0;              // Calls that no target accepted.
  std::vector<double> latencies_ms;  // Of the other calls.
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, Policy policy)
      : m_scenario(scenario), m_policy(policy), m_rng(FLAGS_seed) {
    m_service.versions.push_back(
        {.version = "v", .read_share = 1, .write_share = 1});
    for (int i = 0; i < kTargets; ++i) {
      if (i == 0 && scenario.first_starts_s > 0) continue;
      AddTarget(i);
    }
  }

  Result Simulate() {
    const double rate = FLAGS_load * kTargets * kSlots /
                        kMeanServiceSeconds;  // Calls per second.
    std::exponential_distribution<double> interarrival_s(rate);
    double next_call_s = interarrival_s(m_rng);
    while (next_call_s < FLAGS_seconds) {
      while (!m_events.empty() && m_events.top().at_s <= next_call_s)
        EndNextRequest();
      m_now_s = next_call_s;
      if (Targets().size() < kTargets && m_now_s >= m_scenario.first_starts_s) {
        AddTarget(0);
      }
      SendCall(static_cast<int>(m_rng() % kCallers));
      next_call_s += interarrival_s(m_rng);
    }
    return std::move(m_result);
  }

 private:
  struct Event {
    double at_s = 0;
    int caller = 0;
    int target = 0;
    bool operator>(const Event& other) const { return at_s > other.at_s; }
  };
  struct LoadSample {
    double at_s = 0;
    uint32_t in_flight = 0;
  };

  std::vector<Target>& Targets() { return m_service.versions[0].targets; }

  void AddTarget(int number) {
    Targets().push_back(
        {.member_id = std::to_string(number), .zone = "z", .slots = kSlots});
  }

  TimePoint Now() const {
    return TimePoint() + std::chrono::hours(1) +
           std::chrono::microseconds(static_cast<int64_t>(m_now_s * 1e6));
  }

  const Target* Choose(int caller, const std::set<std::string>& tried) {
    const TargetLoads& loads = m_loads[caller];
    if (m_policy == Policy::kTwoChoices) {
      return PickTarget(m_service, {.zone = "z", .tried = &tried}, loads, Now(),
                        m_rng)
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
  bool StartRequest(int caller, int target) {
    const std::string id = std::to_string(target);
    m_loads[caller].OnSent(id, Now());
    uint32_t& in_flight = m_in_flight[target];
    if (in_flight >= kSlots) {
      m_loads[caller].OnDone(id, false, Now());
      if (FLAGS_believe_refusals) {
        m_loads[caller].OnFull(id, Now());
        m_loads[caller].OnReport(id, in_flight, Now());
      }
      return false;
    }
    ++in_flight;
    m_history[target].push_back({m_now_s, in_flight});
    std::exponential_distribution<double> service_time_s(1 /
                                                         kMeanServiceSeconds);
    double service_s = service_time_s(m_rng);
    const bool slow = target == 0 && m_now_s < m_scenario.slow_until_s;
    if (slow) service_s *= m_scenario.slow_factor;
    m_result.latencies_ms.push_back(service_s * 1'000);
    m_events.push({m_now_s + service_s, caller, target});
    return true;
  }

  void EndNextRequest() {
    const Event event = m_events.top();
    m_events.pop();
    m_now_s = event.at_s;
    --m_in_flight[event.target];
    m_history[event.target].push_back({m_now_s, m_in_flight[event.target]});
    m_loads[event.caller].OnDone(std::to_string(event.target), false, Now());
    Report(event.caller, event.target);
  }

  void Report(int caller, int target) {
    uint32_t in_flight = 0;
    const bool reports_idle = target == 0 && m_scenario.first_reports_idle;
    if (!reports_idle)
      in_flight = InFlightAt(target, m_now_s - m_scenario.report_lag_s);
    m_loads[caller].OnReport(std::to_string(target), in_flight, Now());
  }

  uint32_t InFlightAt(int target, double at_s) {
    auto& history = m_history[target];
    while (history.size() > 1 && history[1].at_s <= at_s) history.pop_front();
    return history.empty() || history[0].at_s > at_s ? 0 : history[0].in_flight;
  }

  const Scenario& m_scenario;
  Policy m_policy;
  std::mt19937_64 m_rng;
  ServiceRoutes m_service;
  double m_now_s = 0;
  std::array<TargetLoads, kCallers> m_loads;
  std::array<size_t, kCallers> m_next_index{};
  std::array<uint32_t, kTargets> m_in_flight{};
  std::array<std::deque<LoadSample>, kTargets> m_history;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  Result m_result;
};

int Main() {
  const std::pair<Policy, const char*> policies[] = {
      {Policy::kTwoChoices, "two choices"},
      {Policy::kLeastLoaded, "least loaded"},
      {Policy::kRoundRobin, "round robin"}};
  for (const auto& scenario : kScenarios) {
    for (const auto& [policy, name] : policies) {
      Result result = Simulation(scenario, policy).Simulate();
      const auto calls = static_cast<double>(result.calls);
      std::cout << fmt::format(
          "{:<30} {:<14} refused {:.3f}%  attempts per call {:.3f}  p50 {:.1f} "
          "ms  "
          "p99 {:.1f} ms\n",
          scenario.name, name,
          100 * static_cast<double>(result.refused) / calls,
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
