#ifndef KUMQUATMOOR_STATE_SLOT_QUEUE_H_
#define KUMQUATMOOR_STATE_SLOT_QUEUE_H_

// SlotQueue: the bounded queue of requests to one backend server, with
// admission control. A backend server runs a fixed number of requests at a
// time; each of them occupies a slot.
//
//   SlotQueue queue({.slots = 9});
//   const QueueResult result = queue.Enter(request, now);
//   if (result.admission == QueueAdmission::kRefused)
//     return Refuse(result.wait);                  // Retry-After
//   ...
//   queue.OnRunEnded(request.run_time);            // A slot is free.
//   for (uint64_t id : queue.TakeInfeasible(now)) Refuse(id);
//   while (auto id = queue.TakeNext(now)) Start(*id);
//
// A request is late if it can no longer meet its latency objective, with a
// margin for varying run times. Requests are served in this order:
// 1. Requests that are not late. Under overload, plain earliest deadline first
//    (EDF) would serve each request just after its objective.
// 2. More urgent priorities: of the organisation, then of the route. A nested
//    call, which a backend server makes while it runs another request, has that
//    of its parent if it is more urgent.
// 3. Nested calls: their parents hold slots elsewhere meanwhile.
// 4. Organisations that have received less (start-time fair queueing).
// 5. Shorter expected run times (SJF), by powers of 2.
// 6. Earlier latest start that meets the objective (EDF).
//
// Late requests only use slots that would otherwise stay free: a few may wait
// (`late_waiting_per_slot`) while no other request does. A late nested call is
// not one of these. It waits for as long as it can meet its deadline, behind
// the requests that are not late: a refusal would waste what its caller has
// done. A request that is refused is refused at once, with the estimated time
// until a slot is free.
//
// Time is an argument. Not thread-safe.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kumquatmoor/state/fair_share.h"
#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

struct SlotQueueOptions {
  uint32_t slots = 1;  // Requests that run at once.
  // Maximum number of waiting requests per slot. Bounds memory; the estimated
  // wait usually refuses requests long before this bound.
  size_t waiting_per_slot = 16;
  // Maximum number of late requests that wait per slot, while no other request
  // waits.
  size_t late_waiting_per_slot = 1;
  // A request is late unless it starts this many expected run times before its
  // objective: the mean, plus a standard deviation of 0.4 of the mean.
  double run_time_margin = 1.4;
};

struct QueuedRequest {
  uint64_t id = 0;                         // Unique among waiting requests.
  uint32_t priority = 0;                   // 0 is the most urgent.
  std::chrono::milliseconds run_time{50};  // Expected, at the usual speed.
  TimePoint objective;  // A response up to this time is in time.
  TimePoint deadline;   // A response after this time is of no use.
  // A backend server makes the request while it runs another one.
  bool is_nested_call = false;
  uint32_t organisation_priority = 0;  // Goes before `priority`.
  std::string organisation;            // "" if none.
};

enum class QueueAdmission { kRunNow, kQueued, kRefused };

struct QueueResult {
  QueueAdmission admission = QueueAdmission::kRefused;
  std::chrono::milliseconds wait{0};  // Estimated time until a slot is free.
};

class SlotQueue {
 public:
  explicit SlotQueue(SlotQueueOptions options);

  // Assigns a slot to the request, queues it, or refuses it.
  QueueResult Enter(const QueuedRequest& request, TimePoint now);
  // Releases the slot of a request with the expected run time `run_time`.
  void OnRunEnded(std::chrono::milliseconds run_time);
  // Assigns a free slot to the next request and returns its id. Returns nullopt
  // if no request waits or no slot is free.
  std::optional<uint64_t> TakeNext(TimePoint now);
  // Removes requests that can no longer end before their deadline, and late
  // requests beyond the number that may wait. Returns their ids.
  std::vector<uint64_t> TakeInfeasible(TimePoint now);
  // Removes a request whose caller went away. Returns false if no such request
  // waits.
  bool Remove(uint64_t id);

  void SetWaitingPerSlot(size_t limit) { m_options.waiting_per_slot = limit; }
  // How long requests run now, in per cent of their expected run times. The
  // order and the shares of organisations depend on the latter.
  void SetRunTimePercent(uint32_t percent) { m_run_time_percent = percent; }
  void SetSlots(uint32_t slots) { m_options.slots = slots; }
  uint32_t Slots() const { return m_options.slots; }
  uint32_t Running() const { return m_running; }
  size_t Waiting() const { return m_waiting.size(); }
  // Estimated time until a request at the end of the queue gets a slot.
  std::chrono::milliseconds LongestWait() const;
  // Estimated time until `request` gets a slot if it enters now.
  std::chrono::milliseconds WaitOf(const QueuedRequest& request,
                                   TimePoint now) const;

 private:
  // The expected run time of `request` at the present speed.
  std::chrono::milliseconds RunTime(const QueuedRequest& request) const {
    return request.run_time * m_run_time_percent / 100;
  }
  // The latest time at which `request` can start without being late.
  TimePoint LatestStart(const QueuedRequest& request) const;
  bool IsLate(const QueuedRequest& request, TimePoint now) const;
  // True if the request is late and no nested call, so that it waits only while
  // no other request does.
  bool IsExpendable(const QueuedRequest& request, TimePoint now) const;
  bool GoesBefore(const QueuedRequest& a, const QueuedRequest& b,
                  TimePoint now) const;
  // The sum of the expected run times of the waiting requests that will start
  // before `request`, if it enters the queue now.
  std::chrono::milliseconds WorkBefore(const QueuedRequest& request,
                                       TimePoint now) const;
  // The same for the requests of its class, `same_class`, which includes it.
  std::chrono::milliseconds WorkBeforeInClass(
      const QueuedRequest& request,
      std::vector<const QueuedRequest*> same_class) const;
  auto ClassOf(const QueuedRequest& request, TimePoint now) const;
  auto RankInOrganisation(const QueuedRequest& request) const;
  // Assigns a slot to the request.
  void Start(const QueuedRequest& request);
  // Estimated time until a request gets a slot if the waiting requests before
  // it have expected run times of `work` in total.
  std::chrono::milliseconds EstimatedWait(std::chrono::milliseconds work) const;
  size_t CountExpendable(TimePoint now) const;
  // Maximum number of expendable requests that may wait, given that `late` of
  // the waiting requests are expendable: 0 while any other request waits.
  size_t MaxLateWaiting(size_t late) const;

  SlotQueueOptions m_options;
  uint32_t m_run_time_percent = 100;
  uint32_t m_running = 0;
  // Sum of the expected run times of the running requests.
  std::chrono::milliseconds m_running_work{0};
  std::vector<QueuedRequest> m_waiting;
  FairShare m_shares;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_SLOT_QUEUE_H_
