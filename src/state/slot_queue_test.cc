#include "kumquatmoor/state/slot_queue.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "kumquatmoor/state/run_times.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow = TimePoint() + std::chrono::hours(1);

QueuedRequest Request(uint64_t id, int objective_ms, int deadline_ms,
                      uint32_t priority = 1, int run_time_ms = 100) {
  return {.id = id,
          .priority = priority,
          .run_time = milliseconds(run_time_ms),
          .objective = kNow + milliseconds(objective_ms),
          .deadline = kNow + milliseconds(deadline_ms)};
}

QueuedRequest Nested(QueuedRequest request) {
  request.is_nested_call = true;
  return request;
}

QueuedRequest Of(const std::string& organisation, uint32_t priority,
                 QueuedRequest request) {
  request.organisation = organisation;
  request.organisation_priority = priority;
  return request;
}

// A queue whose only slot is taken.
SlotQueue FullQueue(int run_time_ms) {
  SlotQueue queue({.slots = 1});
  queue.Enter(Request(1, 1'000, 1'000, 1, run_time_ms), kNow);
  return queue;
}

// Frees the slot and returns the ids of all requests in the order in which they
// are served.
std::vector<uint64_t> TakeAll(SlotQueue* queue, TimePoint now) {
  std::vector<uint64_t> order;
  queue->OnRunEnded(milliseconds(0));
  while (auto id = queue->TakeNext(now)) {
    order.push_back(*id);
    queue->OnRunEnded(milliseconds(0));
  }
  return order;
}

TEST_CASE("A request runs at once while a slot is free") {
  SlotQueue queue({.slots = 2});
  CHECK(queue.Enter(Request(1, 100, 200), kNow).admission ==
        QueueAdmission::kRunNow);
  CHECK(queue.Enter(Request(2, 100, 200), kNow).admission ==
        QueueAdmission::kRunNow);
  CHECK(queue.Enter(Request(3, 100, 200), kNow).admission ==
        QueueAdmission::kQueued);
  CHECK(queue.Running() == 2);
  CHECK(queue.Waiting() == 1);
}

TEST_CASE(
    "Waiting requests are served by lateness, priority, run time and latest "
    "start") {
  struct Case {
    const char* name;
    std::vector<QueuedRequest> requests;
    std::vector<uint64_t> order;
  };
  const Case cases[] = {
      {"earliest objective first",
       {Request(2, 300, 900), Request(3, 200, 900), Request(4, 250, 900)},
       {3, 4, 2}},
      {"priority before objective",
       {Request(2, 200, 900, 2), Request(3, 300, 900, 0)},
       {3, 2}},
      {"requests that can be in time before late ones",
       {Request(2, 5, 900, 0), Request(3, 300, 900, 2)},
       {3, 2}},
      {"earliest latest start, not earliest objective",
       {Request(2, 300, 900, 1, 70), Request(3, 310, 900, 1, 100)},
       {3, 2}},
      {"short requests before long ones",
       {Request(2, 300, 900, 1, 200), Request(3, 900, 900, 1, 40)},
       {3, 2}},
      {"nested calls behind more urgent priorities, before equal ones",
       {Request(4, 300, 900, 2), Nested(Request(2, 300, 900, 2)),
        Request(3, 300, 900, 0)},
       {3, 2, 4}},
      {"late nested calls behind requests in time, before other late ones",
       {Request(4, 5, 900, 0), Request(3, 300, 900, 2),
        Nested(Request(5, 5, 900, 2))},
       {3, 5, 4}},
      {"the organisation's priority before the route's",
       {Of("a", 1, Request(2, 300, 900, 0)),
        Of("b", 0, Request(3, 300, 900, 2))},
       {3, 2}},
      {"organisations in turn, each in the usual order",
       {Of("a", 0, Request(2, 600, 900)), Of("a", 0, Request(3, 610, 900)),
        Of("a", 0, Request(4, 605, 900)), Of("b", 0, Request(5, 700, 900))},
       {2, 5, 4, 3}},
      {"equal requests in order of their ids",
       {Request(2, 300, 900), Request(3, 300, 900)},
       {2, 3}},
  };
  for (const auto& c : cases) {
    INFO(c.name);
    SlotQueue queue = FullQueue(10);
    for (const auto& request : c.requests) {
      CHECK(queue.Enter(request, kNow).admission == QueueAdmission::kQueued);
    }
    CHECK(TakeAll(&queue, kNow) == c.order);
  }
}

TEST_CASE(
    "A request that cannot end before its deadline is refused with the wait") {
  SlotQueue queue = FullQueue(100);
  CHECK(queue.Enter(Request(2, 160, 250), kNow).admission ==
        QueueAdmission::kQueued);
  const QueueResult refused = queue.Enter(Request(3, 200, 240), kNow);
  CHECK(refused.admission == QueueAdmission::kRefused);
  CHECK(refused.wait == milliseconds(150));
  // A request with a more urgent priority goes before the waiting one and can
  // still end in time.
  CHECK(queue.Enter(Request(4, 195, 200, 0), kNow).admission ==
        QueueAdmission::kQueued);
}

// Guards against refusing short requests due to the run time of long ones:
// calls of 40 ms between backend servers arrive while requests of 640 ms occupy
// all 9 slots. On average a slot becomes free every 71 ms.
TEST_CASE("A short request is queued while long ones occupy all slots") {
  SlotQueue queue({.slots = 9});
  for (uint64_t id = 1; id <= 9; ++id) {
    queue.Enter(Request(id, 2'000, 12'000, 1, 640), kNow);
  }
  CHECK(queue.Enter(Request(10, 2'000, 12'000, 1, 640), kNow).admission ==
        QueueAdmission::kQueued);
  const QueueResult call = queue.Enter(Request(11, 150, 500, 1, 40), kNow);
  CHECK(call.admission == QueueAdmission::kQueued);
  CHECK(call.wait == milliseconds(64));
}

TEST_CASE(
    "Late requests are refused while others wait, and excess ones are "
    "removed") {
  SlotQueue queue = FullQueue(100);
  CHECK(queue.Enter(Request(2, 120, 900), kNow).admission ==
        QueueAdmission::kQueued);
  const TimePoint later = kNow + milliseconds(50);
  CHECK(queue.Enter(Request(3, 120, 900), later).admission ==
        QueueAdmission::kRefused);
  CHECK(queue.Enter(Request(4, 400, 900), later).admission ==
        QueueAdmission::kQueued);
  const TimePoint when_both_late = kNow + milliseconds(400);
  CHECK(queue.TakeInfeasible(when_both_late) == std::vector<uint64_t>{4});
  CHECK(queue.Waiting() == 1);
}

TEST_CASE("Requests that became infeasible are removed") {
  SlotQueue queue = FullQueue(100);
  queue.Enter(Request(2, 160, 250), kNow);
  CHECK(queue.TakeInfeasible(kNow + milliseconds(200)).empty());
  CHECK(queue.TakeInfeasible(kNow + milliseconds(201)) ==
        std::vector<uint64_t>{2});
  CHECK(queue.Waiting() == 0);
  CHECK_FALSE(queue.Remove(2));
}

TEST_CASE("Expected run times follow the latest runs of each route") {
  RunTimes times;
  CHECK(times.Expected("a") == RunTimes::kDefaultRunTime);
  times.Add("a", milliseconds(400));
  CHECK(times.Expected("a") == milliseconds(400));
  CHECK(times.Expected("b") == milliseconds(400));
  for (int i = 0; i < 200; ++i) times.Add("b", milliseconds(20));
  CHECK(times.Expected("b") == milliseconds(20));
  CHECK(times.Expected("a") == milliseconds(400));
}

// Guards against overload collapse, where every request is served just after
// its objective. Requests with equal run times arrive at twice the capacity of
// ten slots, on a virtual clock. EDF among the requests that can be in time has
// to use nearly the whole capacity for requests that meet their objective.
TEST_CASE("At twice the capacity 90% of the capacity serves requests in time") {
  constexpr int kRunMs = 100;
  constexpr int kObjectiveMs = 300;
  SlotQueue queue({.slots = 10});
  std::mt19937_64 rng(7);
  // Arrivals in each ms: 200 a second; the capacity is 100 a second.
  std::poisson_distribution<int> arrivals(0.2);
  std::multimap<int, uint64_t> running;  // By end.
  std::map<uint64_t, int> arrived;
  uint64_t last_id = 0;
  int in_time = 0;
  int late = 0;
  constexpr int kEndMs = 20'000;
  for (int ms = 0; ms < kEndMs; ++ms) {
    const TimePoint now = kNow + milliseconds(ms);
    while (!running.empty() && running.begin()->first <= ms) {
      const int took = ms - arrived[running.begin()->second];
      ++(took <= kObjectiveMs ? in_time : late);
      running.erase(running.begin());
      queue.OnRunEnded(milliseconds(kRunMs));
    }
    for (int i = arrivals(rng); i > 0; --i) {
      QueuedRequest request{
          .id = ++last_id, .priority = 1, .run_time = milliseconds(kRunMs)};
      request.objective = now + milliseconds(kObjectiveMs);
      request.deadline = now + milliseconds(4 * kObjectiveMs);
      arrived[request.id] = ms;
      const auto answer = queue.Enter(request, now);
      if (answer.admission == QueueAdmission::kRunNow) {
        running.emplace(ms + kRunMs, request.id);
      }
    }
    queue.TakeInfeasible(now);
    while (auto id = queue.TakeNext(now)) running.emplace(ms + kRunMs, *id);
  }
  const int capacity = kEndMs / kRunMs * 10;
  CHECK(in_time + late > 0.97 * capacity);
  CHECK(in_time > 0.9 * capacity);
}

}  // namespace
}  // namespace kumquatmoor
