// choice: compares ways to choose a target, on a virtual clock: the product's
// power of two choices, the least loaded of all, and round robin. Callers'
// nodes know the load from their own requests and from reports in answers,
// which lag or lie. A full target refuses, and the caller tries another, as the
// product does. It is no simulator of a cluster: targets are slots and service
// times.

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
DEFINE_double(load, 0.7, "Requests, as a part of what healthy targets serve.");
DEFINE_bool(believe_refusals, true, "A refusal says the load, and rests.");
DEFINE_uint64(seed, 1, "Seed of the random numbers.");

namespace kumquatmoor {
namespace {

constexpr int kCallers = 16;
constexpr int kTargets = 8;
constexpr uint32_t kSlots = 10;
constexpr double kServiceSeconds = 0.02;
constexpr size_t kMostTries = 3;

struct Condition {
  std::string name;
  double slow_factor = 1;     // Of the first target.
  double slow_until_s = 1e9;  // Until then.
  bool first_lies = false;    // It always reports that it is idle.
  double report_lag_s = 0;    // Reports are that old.
  double first_starts_s = 0;  // It takes part from then on.
};

const Condition kConditions[] = {
    {.name = "all equal"},
    {.name = "one ten times slower", .slow_factor = 10},
    {.name = "the same, reporting no load",
     .slow_factor = 10,
     .first_lies = true},
    {.name = "reports lag by 0.5 s", .report_lag_s = 0.5},
    {.name = "one starts cold at 10 s",
     .slow_factor = 5,
     .slow_until_s = 13,
     .first_starts_s = 10},
};

enum class Way { kTwoChoices, kLeastLoaded, kRoundRobin };

struct Result {
  uint64_t calls = 0;
  uint64_t tries = 0;
  uint64_t refused = 0;    // Calls that no target took.
  std::vector<double> ms;  // Of the others.
};

class Run {
 public:
  Run(const Condition& condition, Way way)
      : m_condition(condition), m_way(way), m_rng(FLAGS_seed) {
    m_service.versions.push_back(
        {.version = "v", .read_share = 1, .write_share = 1});
    for (int i = 0; i < kTargets; ++i) {
      if (i == 0 && condition.first_starts_s > 0) continue;
      AddTarget(i);
    }
  }

  Result Watch() {
    const double rate =
        FLAGS_load * kTargets * kSlots / kServiceSeconds;  // Calls a second.
    std::exponential_distribution<double> gap(rate);
    double next = gap(m_rng);
    while (next < FLAGS_seconds) {
      while (!m_events.empty() && m_events.top().at_s <= next) EndNext();
      m_now_s = next;
      if (Targets().size() < kTargets &&
          m_now_s >= m_condition.first_starts_s) {
        AddTarget(0);
      }
      Call(static_cast<int>(m_rng() % kCallers));
      next += gap(m_rng);
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
  struct Load {
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
    if (m_way == Way::kTwoChoices) {
      return PickTarget(m_service, {.zone = "z", .tried = &tried}, loads, Now(),
                        m_rng)
          .target;
    }
    const auto& targets = Targets();
    const Target* best = nullptr;
    // Round robin takes the next, least loaded the best from there on.
    const size_t start = m_turn[caller]++;
    for (size_t i = 0; i < targets.size(); ++i) {
      const Target& target = targets[(start + i) % targets.size()];
      if (tried.count(target.member_id) > 0) continue;
      if (loads.IsEjected(target.member_id, Now())) continue;
      if (m_way == Way::kRoundRobin) return &target;
      const bool better = best == nullptr || loads.LoadOf(target, Now()) <
                                                 loads.LoadOf(*best, Now());
      if (better) best = &target;
    }
    return best;
  }

  void Call(int caller) {
    ++m_result.calls;
    std::set<std::string> tried;
    while (tried.size() < kMostTries) {
      const Target* target = Choose(caller, tried);
      if (target == nullptr) break;
      tried.insert(target->member_id);
      ++m_result.tries;
      if (Start(caller, std::stoi(target->member_id))) return;
    }
    ++m_result.refused;
  }

  // False if the target is full.
  bool Start(int caller, int target) {
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
    std::exponential_distribution<double> service(1 / kServiceSeconds);
    double takes = service(m_rng);
    const bool slow = target == 0 && m_now_s < m_condition.slow_until_s;
    if (slow) takes *= m_condition.slow_factor;
    m_result.ms.push_back(takes * 1'000);
    m_events.push({m_now_s + takes, caller, target});
    return true;
  }

  void EndNext() {
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
    const bool lies = target == 0 && m_condition.first_lies;
    if (!lies)
      in_flight = InFlightAt(target, m_now_s - m_condition.report_lag_s);
    m_loads[caller].OnReport(std::to_string(target), in_flight, Now());
  }

  uint32_t InFlightAt(int target, double at_s) {
    auto& history = m_history[target];
    while (history.size() > 1 && history[1].at_s <= at_s) history.pop_front();
    return history.empty() || history[0].at_s > at_s ? 0 : history[0].in_flight;
  }

  const Condition& m_condition;
  Way m_way;
  std::mt19937_64 m_rng;
  ServiceRoutes m_service;
  double m_now_s = 0;
  std::array<TargetLoads, kCallers> m_loads;
  std::array<size_t, kCallers> m_turn{};
  std::array<uint32_t, kTargets> m_in_flight{};
  std::array<std::deque<Load>, kTargets> m_history;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  Result m_result;
};

int Main() {
  const std::pair<Way, const char*> ways[] = {
      {Way::kTwoChoices, "two choices"},
      {Way::kLeastLoaded, "least loaded"},
      {Way::kRoundRobin, "round robin"}};
  for (const auto& condition : kConditions) {
    for (const auto& [way, name] : ways) {
      Result result = Run(condition, way).Watch();
      const auto calls = static_cast<double>(result.calls);
      std::cout << fmt::format(
          "{:<30} {:<14} refused {:.3f}%  tries a call {:.3f}  p50 {:.1f} ms  "
          "p99 {:.1f} ms\n",
          condition.name, name,
          100 * static_cast<double>(result.refused) / calls,
          static_cast<double>(result.tries) / calls, Quantile(result.ms, 0.5),
          Quantile(result.ms, 0.99));
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
