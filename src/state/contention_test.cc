// Contending requests at one backend server, on a virtual clock.

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "kumquatmoor/state/call_failures.h"
#include "kumquatmoor/state/fair_share.h"
#include "kumquatmoor/state/hand_backs.h"
#include "kumquatmoor/state/host_speed.h"
#include "kumquatmoor/state/slot_queue.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow = TimePoint() + std::chrono::hours(1);
constexpr uint32_t kSlots = 9;
constexpr int kEndMs = 60'000;

// Requests of one kind, which arrive at random.
struct Kind {
  double per_ms = 0;
  int run_ms = 0;
  int objective_ms = 0;
  int deadline_ms = 0;
  QueuedRequest request;  // The properties that all of them share.
};

struct Served {
  int arrived = 0;
  int in_time = 0;   // Ended before the objective.
  int complete = 0;  // Ended before the deadline.
  double InTimeShare() const { return 1.0 * in_time / arrived; }
  double CompleteShare() const { return 1.0 * complete / arrived; }
};

// Runs the kinds against one backend server, by kind.
std::vector<Served> Simulate(const std::vector<Kind>& kinds) {
  struct Arrived {
    size_t kind;
    int at_ms;
  };
  SlotQueue queue({.slots = kSlots});
  std::mt19937_64 rng(11);
  std::vector<Served> served(kinds.size());
  std::vector<Arrived> requests;
  std::multimap<int, uint64_t> running;  // By end.
  const auto start = [&](int ms, uint64_t id) {
    running.emplace(ms + kinds[requests[id].kind].run_ms, id);
  };
  for (int ms = 0; ms < kEndMs; ++ms) {
    const TimePoint now = kNow + milliseconds(ms);
    while (!running.empty() && running.begin()->first <= ms) {
      const Arrived& request = requests[running.begin()->second];
      const Kind& kind = kinds[request.kind];
      const int took = ms - request.at_ms;
      served[request.kind].in_time += took <= kind.objective_ms;
      served[request.kind].complete += took <= kind.deadline_ms;
      queue.OnRunEnded(milliseconds(kind.run_ms));
      running.erase(running.begin());
    }
    for (size_t k = 0; k < kinds.size(); ++k) {
      const Kind& kind = kinds[k];
      std::poisson_distribution<int> arrivals(kind.per_ms);
      for (int i = arrivals(rng); i > 0; --i) {
        QueuedRequest request = kind.request;
        request.id = requests.size();
        request.run_time = milliseconds(kind.run_ms);
        request.objective = now + milliseconds(kind.objective_ms);
        request.deadline = now + milliseconds(kind.deadline_ms);
        requests.push_back({.kind = k, .at_ms = ms});
        ++served[k].arrived;
        if (queue.Enter(request, now).admission == QueueAdmission::kRunNow) {
          start(ms, request.id);
        }
      }
    }
    queue.TakeInfeasible(now);
    while (auto id = queue.TakeNext(now)) start(ms, *id);
  }
  return served;
}

// A load of 1 is the capacity of the backend server.
Kind WithLoad(double load, Kind kind) {
  kind.per_ms = load * kSlots / kind.run_ms;
  return kind;
}

// Guards against an organisation that sends ten times as much as each of the
// others taking most of the slots from them.
TEST_CASE("A busy organisation does not take the share of small ones") {
  std::vector<Kind> kinds;
  const auto add = [&](double load, const std::string& organisation) {
    kinds.push_back(
        WithLoad(load, {.run_ms = 90,
                        .objective_ms = 300,
                        .deadline_ms = 1'200,
                        .request = {.organisation = organisation}}));
  };
  add(1.2, "busy");
  for (int i = 0; i < 5; ++i) add(0.1, std::to_string(i));
  const std::vector<Served> fair = Simulate(kinds);
  for (auto& kind : kinds) kind.request.organisation.clear();
  const std::vector<Served> together = Simulate(kinds);
  int in_time = 0;
  int in_time_together = 0;
  for (size_t i = 0; i < kinds.size(); ++i) {
    INFO("organisation " << i << ": " << fair[i].InTimeShare() << ", before "
                         << together[i].InTimeShare());
    CHECK(fair[i].InTimeShare() > (i == 0 ? 0.25 : 0.9));
    in_time += fair[i].in_time;
    in_time_together += together[i].in_time;
  }
  CHECK(in_time > 0.98 * in_time_together);
}

// Guards against calls that fail behind new work, after the request that made
// them has used its slot elsewhere, and against calls that take more from other
// requests than their own run time.
TEST_CASE("Nested calls are served under overload, at the cost of their work") {
  for (const double load : {0.7, 0.9, 1.3, 2.0}) {
    std::vector<Kind> kinds = {
        WithLoad(0.15, {.run_ms = 36,
                        .objective_ms = 150,
                        .deadline_ms = 600,
                        .request = {.priority = 2}}),
        WithLoad(load - 0.15, {.run_ms = 90,
                               .objective_ms = 300,
                               .deadline_ms = 1'200,
                               .request = {.priority = 1}})};
    const std::vector<Served> plain = Simulate(kinds);
    // The priority of a parent that is as urgent as the others.
    kinds[0].request.priority = 1;
    kinds[0].request.is_nested_call = true;
    const std::vector<Served> nested = Simulate(kinds);
    INFO("load " << load << ", calls " << nested[0].CompleteShare()
                 << ", before " << plain[0].CompleteShare() << ", others "
                 << nested[1].InTimeShare() << ", before "
                 << plain[1].InTimeShare());
    CHECK(nested[0].CompleteShare() > 0.99);
    const double work = 90.0 * nested[1].in_time + 36.0 * nested[0].in_time;
    const double plain_work = 90.0 * plain[1].in_time + 36.0 * plain[0].in_time;
    CHECK(work > 0.98 * plain_work);
  }
}

// Guards against the calls of less urgent requests taking the slots of more
// urgent ones at the service that they call.
TEST_CASE("Calls of less urgent requests leave room for more urgent ones") {
  const std::vector<Kind> kinds = {
      WithLoad(0.6, {.run_ms = 36,
                     .objective_ms = 300,
                     .deadline_ms = 600,
                     .request = {.priority = 2, .is_nested_call = true}}),
      WithLoad(0.7, {.run_ms = 150,
                     .objective_ms = 500,
                     .deadline_ms = 1'200,
                     .request = {.priority = 1}})};
  const std::vector<Served> served = Simulate(kinds);
  INFO("calls " << served[0].CompleteShare() << ", more urgent "
                << served[1].InTimeShare());
  CHECK(served[1].InTimeShare() > 0.95);
}

// Guards against late calls being refused like other late requests, which are
// worth less than the slot of a caller.
TEST_CASE("A late nested call waits until its deadline, ahead of late ones") {
  SlotQueue queue({.slots = 1});
  const auto request = [](uint64_t id, int objective_ms, bool nested) {
    return QueuedRequest{.id = id,
                         .run_time = milliseconds(40),
                         .objective = kNow + milliseconds(objective_ms),
                         .deadline = kNow + milliseconds(400),
                         .is_nested_call = nested};
  };
  queue.Enter(request(1, 400, false), kNow);
  CHECK(queue.Enter(request(2, 20, false), kNow).admission ==
        QueueAdmission::kQueued);
  CHECK(queue.Enter(request(3, 300, false), kNow).admission ==
        QueueAdmission::kQueued);
  CHECK(queue.Enter(request(4, 20, true), kNow).admission ==
        QueueAdmission::kQueued);
  CHECK(queue.TakeInfeasible(kNow) == std::vector<uint64_t>{2});
  queue.OnRunEnded(milliseconds(40));
  CHECK(queue.TakeNext(kNow) == 3);
  CHECK(queue.TakeInfeasible(kNow + milliseconds(380)).empty());
  CHECK(queue.TakeInfeasible(kNow + milliseconds(381)) ==
        std::vector<uint64_t>{4});
}

// Guards against memory that grows with the names of organisations, and against
// a gain by using many names.
TEST_CASE("The shares of organisations take bounded memory") {
  FairShare shares;
  for (size_t i = 0; i <= FairShare::kMaxOrganisations; ++i) {
    shares.OnStarted("busy " + std::to_string(i), milliseconds(100));
  }
  CHECK(shares.Size() == FairShare::kMaxOrganisations);
  // The last one has no entry, and shares its finish time with new ones.
  CHECK(shares.StartTag("new") == shares.StartTag("busy 0"));
  // Idle organisations are forgotten.
  FairShare idle;
  for (int i = 0; i < 1'000; ++i) {
    idle.OnStarted(std::to_string(i), milliseconds(1));
    idle.OnStarted("busy", milliseconds(10));
    idle.OnStarted("busy", milliseconds(10));
  }
  CHECK(idle.Size() <= FairShare::kMaxOrganisations);
  CHECK(idle.StartTag("new") == idle.StartTag("1"));
}

// Ends `calls` calls of a route, evenly over a time, of which a share fails
// that depends on the shed share. Returns the shed share at the end.
template <typename FailureShare>
double EndCalls(int calls, milliseconds time, FailureShare failure_share,
                CallFailures* failures, TimePoint* now) {
  double owed = 0;
  for (int i = 0; i < calls; ++i) {
    *now += time / calls;
    owed += failure_share(failures->ShedShare("r", *now));
    const bool failed = owed >= 1;
    if (failed) owed -= 1;
    failures->OnCallEnded("r", failed, *now);
  }
  return failures->ShedShare("r", *now);
}

// Guards against requests that use a slot although their calls fail, against
// shedding that goes on after a recovery, and against shedding that feeds on
// itself.
TEST_CASE("Requests are shed by the share of their calls that fail") {
  CallFailures failures;
  TimePoint now = kNow;
  const auto fail = [](double share) { return [=](double) { return share; }; };
  CHECK(EndCalls(200, milliseconds(4'000), fail(0.08), &failures, &now) == 0);
  CHECK_FALSE(failures.ShouldShed("r", now));
  // Failures that do not depend on the load.
  const double shed =
      EndCalls(500, milliseconds(10'000), fail(0.3), &failures, &now);
  CHECK(shed > 0.25);
  CHECK(shed < 0.4);
  int refused = 0;
  for (int i = 0; i < 1'000; ++i) refused += failures.ShouldShed("r", now);
  CHECK(refused == Approx(1'000 * shed).margin(2));
  CHECK_FALSE(failures.ShouldShed("other", now));
  // Some requests go through while all calls fail.
  CHECK(EndCalls(500, milliseconds(10'000), fail(1), &failures, &now) == 0.75);
  CHECK(EndCalls(250, milliseconds(20'000), fail(0), &failures, &now) == 0);
}

// Guards against requests that are lost late: of calls for 1.4 times what the
// called service can serve, 0.29 fail without shedding. A shed share equal to
// that of the calls that fail, whatever the load, splits the loss in half.
TEST_CASE("Shedding prevents nearly half of the failed calls under overload") {
  CallFailures failures;
  TimePoint now = kNow;
  double failed = 0;
  int steps = 0;
  const auto overload = [&](double shed) {
    const double demand = 1.4 * (1 - shed);
    const double share = demand > 1 ? 1 - 1 / demand : 0;
    failed += share;
    ++steps;
    return share;
  };
  EndCalls(3'000, milliseconds(60'000), overload, &failures, &now);
  INFO("failed " << failed / steps);
  CHECK(failed / steps < 0.55 * (1 - 1 / 1.4));
  CHECK(failures.ShedShare("r", now) > 0.1);
}

// Guards against estimates that ignore that the host is slow at the moment, and
// against a slow host that gets no request by which it could recover.
TEST_CASE("Estimates follow the speed of the host while its report is fresh") {
  SlotQueue queue({.slots = 1});
  const QueuedRequest request{.id = 1,
                              .run_time = milliseconds(100),
                              .objective = kNow + milliseconds(900),
                              .deadline = kNow + milliseconds(900)};
  queue.Enter(request, kNow);
  CHECK(queue.WaitOf(request, kNow) == milliseconds(50));
  queue.SetRunTimePercent(250);
  CHECK(queue.WaitOf(request, kNow) == milliseconds(125));
  HostSpeed speed;
  CHECK_FALSE(speed.IsReported());
  speed.OnReport(250, kNow);
  CHECK(speed.IsSlow(kNow + milliseconds(200)));
  CHECK_FALSE(speed.IsSlow(kNow + milliseconds(300)));
  CHECK(speed.Percent(kNow + milliseconds(300)) == 250);
  CHECK(speed.Percent(kNow + milliseconds(1'100)) == 100);
  speed.OnReport(std::nullopt, kNow);
  CHECK(speed.Percent(kNow) == 100);
  CHECK_FALSE(speed.IsReported());
}

// Guards against requests that pass from target to target while all are busy.
TEST_CASE("A request is handed back three times at most, then to the best") {
  HandBacks hand_backs;
  CHECK(hand_backs.Best().empty());
  hand_backs.Add("a", milliseconds(90));
  hand_backs.Add("b", milliseconds(60));
  CHECK_FALSE(hand_backs.IsSpent());
  hand_backs.Add("c", milliseconds(70));
  CHECK(hand_backs.IsSpent());
  CHECK(hand_backs.TakeBest() == "b");
  CHECK(hand_backs.Best().empty());
  HandBackPolicy policy;
  CHECK(policy.MayAsk("s", kNow));
  policy.OnSpent("s", kNow);
  CHECK_FALSE(policy.MayAsk("s", kNow + milliseconds(99)));
  CHECK(policy.MayAsk("s", kNow + milliseconds(100)));
}

}  // namespace
}  // namespace kumquatmoor
