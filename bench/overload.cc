// overload: what callers get of one backend server at 0.8 to 3 times its
// capacity, on a virtual clock, for several ways to queue. Callers that are
// refused come back after Retry-After, as often as their deployment lets them,
// within the deadline of their first attempt. It is no simulator of a cluster:
// the backend server is slots and run times.

#include <gflags/gflags.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "kumquatmoor/state/run_times.h"
#include "kumquatmoor/state/slot_queue.h"
#include "kumquatmoor/state/typical_deadlines.h"

DEFINE_double(seconds, 120, "Virtual time of each run.");
DEFINE_uint64(seed, 1, "Seed of the random numbers.");

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kSlots = 9;
constexpr char kRoute[] = "r";
// Part of its time left that a caller waits at most before it comes back.
constexpr double kLongestReturn = 1.0 / 3;
// Callers spread their deadlines by this part.
constexpr double kDeadlineSpread = 0.15;
constexpr double kLoads[] = {0.8, 0.9, 1.0, 1.1, 1.3, 2.0, 3.0};

// The busiest kind of request of a deployment.
struct Callers {
  std::string name;
  double run_ms;
  double run_spread;  // Of the logarithm; one in 100 runs 5 times as long.
  double objective_ms;
  double deadline_ms;
  int returns;
  double late_worth;
};

const Callers kCallers[] = {
    {.name = "Sagarmatha",
     .run_ms = 90,
     .run_spread = 0.3,
     .objective_ms = 300,
     .deadline_ms = 1'200,
     .returns = 1,
     .late_worth = 0.1},
    {.name = "Otopark, calls included",
     .run_ms = 200,
     .run_spread = 0.4,
     .objective_ms = 500,
     .deadline_ms = 3'000,
     .returns = 2,
     .late_worth = 0.3},
};

struct Way {
  std::string name;
  bool knows_age = true;
  SlotQueueOptions queue;
};

const Way kWays[] = {
    {.name = "each attempt is new, no margin",
     .knows_age = false,
     .queue = {.slots = kSlots, .run_time_margin = 1}},
    {.name = "age known, no margin",
     .queue = {.slots = kSlots, .run_time_margin = 1}},
    {.name = "age known (the product)", .queue = {.slots = kSlots}},
    {.name = "age known, margin 2",
     .queue = {.slots = kSlots, .run_time_margin = 2}},
    {.name = "age known, margin 2.6",
     .queue = {.slots = kSlots, .run_time_margin = 2.6}},
    {.name = "age known, nobody late waits",
     .queue = {.slots = kSlots, .late_waiting_per_slot = 0}},
};

struct Result {
  double in_time = 0;
  double late = 0;
  double refused_again = 0;
  double waited_in_vain =
      0;  // Refused after more than a tenth of the objective.
  double credit = 0;
};

class Run {
 public:
  Run(const Callers& callers, const Way& way, double load)
      : m_callers(callers), m_way(way), m_queue(way.queue), m_rng(FLAGS_seed) {
    constexpr double kTailFactor = 1 + 0.01 * 4;
    const double work_ms = callers.run_ms * kTailFactor;
    m_per_ms = load * kSlots / work_ms;
  }

  Result Watch() {
    const double end_ms = FLAGS_seconds * 1'000;
    Schedule(Next(), Kind::kArrives, 0);
    while (!m_events.empty() && m_events.top().at_ms < end_ms) {
      const Event event = m_events.top();
      m_events.pop();
      m_now_ms = event.at_ms;
      Take(event);
      for (uint64_t id : m_queue.TakeInfeasible(Now())) {
        Refuse(id, m_queue.LongestWait());
      }
      while (auto id = m_queue.TakeNext(Now())) Start(*id);
    }
    const auto asked = static_cast<double>(m_requests.size());
    m_result.credit =
        (m_result.in_time + m_callers.late_worth * m_result.late) / asked;
    for (double* part : {&m_result.in_time, &m_result.late,
                         &m_result.refused_again, &m_result.waited_in_vain}) {
      *part /= asked;
    }
    return m_result;
  }

 private:
  enum class Kind { kArrives, kReturns, kEnds };
  struct Event {
    double at_ms = 0;
    Kind kind = Kind::kArrives;
    uint64_t id = 0;
    bool operator<(const Event& other) const { return at_ms > other.at_ms; }
  };
  struct Request {
    double first_ms = 0;
    double deadline_ms = 0;
    double entered_ms = 0;
    double run_ms = 0;
    milliseconds expected{0};
    int returns = 0;
  };

  TimePoint At(double ms) const {
    return TimePoint() + std::chrono::hours(1) +
           milliseconds(static_cast<int64_t>(ms));
  }
  TimePoint Now() const { return At(m_now_ms); }
  double Next() {
    return m_now_ms + std::exponential_distribution<double>(m_per_ms)(m_rng);
  }
  void Schedule(double at_ms, Kind kind, uint64_t id) {
    m_events.push({.at_ms = at_ms, .kind = kind, .id = id});
  }

  void Take(const Event& event) {
    if (event.kind == Kind::kArrives) {
      std::uniform_real_distribution<double> spread(1 - kDeadlineSpread, 1);
      m_requests.push_back(
          {.first_ms = m_now_ms,
           .deadline_ms = m_now_ms + m_callers.deadline_ms * spread(m_rng),
           .run_ms = DrawRunMs()});
      Enter(m_requests.size() - 1);
      Schedule(Next(), Kind::kArrives, 0);
    } else if (event.kind == Kind::kReturns) {
      Enter(event.id);
    } else {
      End(event.id);
    }
  }

  double DrawRunMs() {
    const double s = m_callers.run_spread;
    std::lognormal_distribution<double> draw(-s * s / 2, s);
    const bool tail = std::bernoulli_distribution(0.01)(m_rng);
    return m_callers.run_ms * draw(m_rng) * (tail ? 5 : 1);
  }

  void Enter(uint64_t id) {
    Request& request = m_requests[id];
    request.entered_ms = m_now_ms;
    request.expected = m_run_times.Expected(kRoute);
    const milliseconds asked(
        static_cast<int64_t>(request.deadline_ms - m_now_ms));
    const milliseconds age = m_way.knows_age
                                 ? m_deadlines.RecordDeadline(kRoute, asked)
                                 : milliseconds(0);
    const QueueResult answer =
        m_queue.Enter({.id = id,
                       .run_time = request.expected,
                       .objective = At(m_now_ms + m_callers.objective_ms) - age,
                       .deadline = At(request.deadline_ms)},
                      Now());
    if (answer.admission == QueueAdmission::kRunNow) Start(id);
    if (answer.admission == QueueAdmission::kRefused) Refuse(id, answer.wait);
  }

  void Start(uint64_t id) {
    Schedule(m_now_ms + m_requests[id].run_ms, Kind::kEnds, id);
  }

  void End(uint64_t id) {
    const Request& request = m_requests[id];
    m_queue.OnRunEnded(request.expected);
    m_run_times.Add(kRoute, milliseconds(static_cast<int64_t>(request.run_ms)));
    if (m_now_ms <= request.first_ms + m_callers.objective_ms) {
      ++m_result.in_time;
    } else if (m_now_ms <= request.deadline_ms) {
      ++m_result.late;
    }
  }

  void Refuse(uint64_t id, milliseconds wait) {
    Request& request = m_requests[id];
    constexpr double kInVain = 0.1;
    if (m_now_ms - request.entered_ms > kInVain * m_callers.objective_ms) {
      ++m_result.waited_in_vain;
    }
    if (request.returns > 0) ++m_result.refused_again;
    constexpr double kShortestReturnMs = 50;  // As the product tells callers.
    const double left = request.deadline_ms - m_now_ms;
    const double back =
        std::min(std::max(kShortestReturnMs, static_cast<double>(wait.count())),
                 left * kLongestReturn);
    if (request.returns >= m_callers.returns || left <= 0) return;
    ++request.returns;
    Schedule(m_now_ms + back, Kind::kReturns, id);
  }

  const Callers& m_callers;
  const Way& m_way;
  SlotQueue m_queue;
  RunTimes m_run_times;
  TypicalDeadlines m_deadlines;
  std::mt19937_64 m_rng;
  double m_per_ms = 0;
  double m_now_ms = 0;
  std::vector<Request> m_requests;  // By id.
  std::priority_queue<Event> m_events;
  Result m_result;
};

void Print() {
  for (const auto& callers : kCallers) {
    std::cout << fmt::format(
        "\n{}: parts of the requests\n\n| load | way | credit | in time | late "
        "| refused again | waited in vain |\n|---|---|---|---|---|---|---|\n",
        callers.name);
    for (double load : kLoads) {
      for (const auto& way : kWays) {
        const Result result = Run(callers, way, load).Watch();
        std::cout << fmt::format(
            "| {:.1f} | {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} |\n",
            load, way.name, result.credit, result.in_time, result.late,
            result.refused_again, result.waited_in_vain);
      }
    }
  }
}

}  // namespace
}  // namespace kumquatmoor

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Ways to queue under overload, on a virtual clock.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  kumquatmoor::Print();
  return 0;
}
