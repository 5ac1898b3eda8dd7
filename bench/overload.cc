// overload: compares queueing policies for one backend server at 0.8 to 3 times
// its capacity, on a virtual clock, by the answers that callers get. A refused
// caller retries after Retry-After, as often as its deployment allows, within
// the deadline of its first attempt. The backend server is modelled as slots
// and run times only: this is not a simulation of a cluster.

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
// A caller waits at most this fraction of its remaining time before a retry.
constexpr double kMaxRetryDelayFraction = 1.0 / 3;
// Deadlines are spread over this fraction below the deployment's deadline.
constexpr double kDeadlineSpread = 0.15;
constexpr double kLoads[] = {0.8, 0.9, 1.0, 1.1, 1.3, 2.0, 3.0};

// The busiest kind of request of a deployment.
struct Workload {
  std::string name;
  double run_ms;
  // Standard deviation of the logarithm of run times. In addition, one in 100
  // requests runs 5 times as long.
  double run_time_sigma;
  double objective_ms;
  double deadline_ms;
  int max_retries;
  double late_credit;  // Value of a late answer; one in time counts 1.
};

const Workload kWorkloads[] = {
    {.name = "Sagarmatha",
     .run_ms = 90,
     .run_time_sigma = 0.3,
     .objective_ms = 300,
     .deadline_ms = 1'200,
     .max_retries = 1,
     .late_credit = 0.1},
    {.name = "Otopark, calls included",
     .run_ms = 200,
     .run_time_sigma = 0.4,
     .objective_ms = 500,
     .deadline_ms = 3'000,
     .max_retries = 2,
     .late_credit = 0.3},
};

struct QueuePolicy {
  std::string name;
  // Estimates the age of attempts with TypicalDeadlines. If false, a retry is
  // taken for a new request.
  bool estimates_age = true;
  SlotQueueOptions queue;
};

const QueuePolicy kPolicies[] = {
    {.name = "each attempt is new, no margin",
     .estimates_age = false,
     .queue = {.slots = kSlots, .run_time_margin = 1}},
    {.name = "age known, no margin",
     .queue = {.slots = kSlots, .run_time_margin = 1}},
    {.name = "age known (the product)", .queue = {.slots = kSlots}},
    {.name = "age known, margin 2",
     .queue = {.slots = kSlots, .run_time_margin = 2}},
    {.name = "age known, margin 2.6",
     .queue = {.slots = kSlots, .run_time_margin = 2.6}},
    {.name = "age known, no late request waits",
     .queue = {.slots = kSlots, .late_waiting_per_slot = 0}},
};

struct Result {
  double in_time = 0;
  double late = 0;
  double refused_retries = 0;
  // Refused after a wait of more than a tenth of the objective.
  double refused_after_wait = 0;
  double credit = 0;
};

class Simulation {
 public:
  Simulation(const Workload& workload, const QueuePolicy& policy, double load)
      : m_workload(workload),
        m_policy(policy),
        m_queue(policy.queue),
        m_rng(FLAGS_seed) {
    // One in 100 requests runs 5 times as long, which raises the mean.
    constexpr double kTailFactor = 1 + 0.01 * 4;
    const double work_ms = workload.run_ms * kTailFactor;
    m_arrivals_per_ms = load * kSlots / work_ms;
  }

  Result Simulate() {
    const double end_ms = FLAGS_seconds * 1'000;
    Schedule(NextArrivalMs(), EventKind::kArrival, 0);
    while (!m_events.empty() && m_events.top().at_ms < end_ms) {
      const Event event = m_events.top();
      m_events.pop();
      m_now_ms = event.at_ms;
      Handle(event);
      for (uint64_t id : m_queue.TakeInfeasible(Now())) {
        Refuse(id, m_queue.LongestWait());
      }
      while (auto id = m_queue.TakeNext(Now())) Start(*id);
    }
    const auto requests = static_cast<double>(m_requests.size());
    m_result.credit =
        (m_result.in_time + m_workload.late_credit * m_result.late) / requests;
    for (double* count :
         {&m_result.in_time, &m_result.late, &m_result.refused_retries,
          &m_result.refused_after_wait}) {
      *count /= requests;
    }
    return m_result;
  }

 private:
  enum class EventKind { kArrival, kRetry, kEnd };
  struct Event {
    double at_ms = 0;
    EventKind kind = EventKind::kArrival;
    uint64_t id = 0;
    bool operator<(const Event& other) const { return at_ms > other.at_ms; }
  };
  struct Request {
    double first_attempt_ms = 0;
    double deadline_ms = 0;
    double entered_ms = 0;
    double run_ms = 0;
    milliseconds expected_run{0};
    int retries = 0;
  };

  TimePoint At(double ms) const {
    return TimePoint() + std::chrono::hours(1) +
           milliseconds(static_cast<int64_t>(ms));
  }
  TimePoint Now() const { return At(m_now_ms); }
  double NextArrivalMs() {
    return m_now_ms +
           std::exponential_distribution<double>(m_arrivals_per_ms)(m_rng);
  }
  void Schedule(double at_ms, EventKind kind, uint64_t id) {
    m_events.push({.at_ms = at_ms, .kind = kind, .id = id});
  }

  void Handle(const Event& event) {
    if (event.kind == EventKind::kArrival) {
      std::uniform_real_distribution<double> spread(1 - kDeadlineSpread, 1);
      m_requests.push_back(
          {.first_attempt_ms = m_now_ms,
           .deadline_ms = m_now_ms + m_workload.deadline_ms * spread(m_rng),
           .run_ms = DrawRunMs()});
      Enter(m_requests.size() - 1);
      Schedule(NextArrivalMs(), EventKind::kArrival, 0);
    } else if (event.kind == EventKind::kRetry) {
      Enter(event.id);
    } else {
      End(event.id);
    }
  }

  double DrawRunMs() {
    const double sigma = m_workload.run_time_sigma;
    std::lognormal_distribution<double> draw(-sigma * sigma / 2, sigma);
    const bool tail = std::bernoulli_distribution(0.01)(m_rng);
    return m_workload.run_ms * draw(m_rng) * (tail ? 5 : 1);
  }

  void Enter(uint64_t id) {
    Request& request = m_requests[id];
    request.entered_ms = m_now_ms;
    request.expected_run = m_run_times.Expected(kRoute);
    const milliseconds time_left(
        static_cast<int64_t>(request.deadline_ms - m_now_ms));
    const milliseconds age = m_policy.estimates_age
                                 ? m_deadlines.RecordDeadline(kRoute, time_left)
                                 : milliseconds(0);
    const QueueResult result = m_queue.Enter(
        {.id = id,
         .run_time = request.expected_run,
         .objective = At(m_now_ms + m_workload.objective_ms) - age,
         .deadline = At(request.deadline_ms)},
        Now());
    if (result.admission == QueueAdmission::kRunNow) Start(id);
    if (result.admission == QueueAdmission::kRefused) Refuse(id, result.wait);
  }

  void Start(uint64_t id) {
    Schedule(m_now_ms + m_requests[id].run_ms, EventKind::kEnd, id);
  }

  void End(uint64_t id) {
    const Request& request = m_requests[id];
    m_queue.OnRunEnded(request.expected_run);
    m_run_times.Add(kRoute, milliseconds(static_cast<int64_t>(request.run_ms)));
    if (m_now_ms <= request.first_attempt_ms + m_workload.objective_ms) {
      ++m_result.in_time;
    } else if (m_now_ms <= request.deadline_ms) {
      ++m_result.late;
    }
  }

  void Refuse(uint64_t id, milliseconds wait) {
    Request& request = m_requests[id];
    constexpr double kLongWaitFraction = 0.1;
    if (m_now_ms - request.entered_ms >
        kLongWaitFraction * m_workload.objective_ms) {
      ++m_result.refused_after_wait;
    }
    if (request.retries > 0) ++m_result.refused_retries;
    constexpr double kMinRetryDelayMs = 50;  // Shortest Retry-After.
    const double time_left_ms = request.deadline_ms - m_now_ms;
    const double retry_delay_ms =
        std::min(std::max(kMinRetryDelayMs, static_cast<double>(wait.count())),
                 time_left_ms * kMaxRetryDelayFraction);
    if (request.retries >= m_workload.max_retries || time_left_ms <= 0) return;
    ++request.retries;
    Schedule(m_now_ms + retry_delay_ms, EventKind::kRetry, id);
  }

  const Workload& m_workload;
  const QueuePolicy& m_policy;
  SlotQueue m_queue;
  RunTimes m_run_times;
  TypicalDeadlines m_deadlines;
  std::mt19937_64 m_rng;
  double m_arrivals_per_ms = 0;
  double m_now_ms = 0;
  std::vector<Request> m_requests;  // By id.
  std::priority_queue<Event> m_events;
  Result m_result;
};

void Print() {
  for (const auto& workload : kWorkloads) {
    std::cout << fmt::format(
        "\n{}: fractions of the requests\n\n"
        "| load | policy | credit | in time | late "
        "| refused retries | refused after a wait |\n"
        "|---|---|---|---|---|---|---|\n",
        workload.name);
    for (double load : kLoads) {
      for (const auto& policy : kPolicies) {
        const Result result = Simulation(workload, policy, load).Simulate();
        std::cout << fmt::format(
            "| {:.1f} | {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} |\n",
            load, policy.name, result.credit, result.in_time, result.late,
            result.refused_retries, result.refused_after_wait);
      }
    }
  }
}

}  // namespace
}  // namespace kumquatmoor

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Compares queueing policies under overload, on a virtual clock.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  kumquatmoor::Print();
  return 0;
}
