#ifndef KUMQUATMOOR_STATE_SLOT_QUEUE_H_
#define KUMQUATMOOR_STATE_SLOT_QUEUE_H_

// SlotQueue: the requests that wait for a slot of one backend server.
//
//   SlotQueue queue({.slots = 9});
//   const QueueResult answer = queue.Enter(request, now);
//   if (answer.admission == QueueAdmission::kRefused)
//     return Refuse(answer.wait);                  // Retry-After
//   ...
//   queue.OnRunEnded(request.run_time);            // A slot is free.
//   while (auto id = queue.TakeNext(now)) Start(*id);
//   for (uint64_t id : queue.TakeInfeasible(now)) Refuse(id);
//
// Bounded queue with admission control by estimated wait. Within a priority the
// shortest job goes first (SJF, by powers of 2 of the expected run time): calls
// that running backend servers make of each other are short and hold slots
// elsewhere meanwhile. Equally long ones go earliest deadline first (EDF), by
// the latest start that meets the latency objective. What can still meet its
// objective, with a margin for run times that vary, goes before what cannot:
// under overload plain EDF would serve each request just too late. Late
// requests only fill slots that would stay free: a slot's worth of them waits
// while nobody else does. All others are refused at once, with the time after
// which there should be room. Time is an argument. Not thread-safe.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

struct SlotQueueOptions {
  uint32_t slots = 1;  // Requests that run at once.
  // Requests that wait for each slot at most; bounds memory, the estimated wait
  // refuses long before it.
  size_t waiting_per_slot = 16;
  // Late requests that wait for each slot at most, while no other waits.
  size_t late_waiting_per_slot = 1;
  // Expected run times by which a request has to start before its objective:
  // their mean, and a standard deviation of 0.4 of it.
  double run_time_margin = 1.4;
};

struct QueuedRequest {
  uint64_t id = 0;                         // Unique among those that wait.
  uint32_t priority = 0;                   // 0 is the most urgent.
  std::chrono::milliseconds run_time{50};  // Expected.
  TimePoint objective;  // End up to which the answer has its full use.
  TimePoint deadline;   // End after which nobody waits for it.
};

enum class QueueAdmission { kRunNow, kQueued, kRefused };

struct QueueResult {
  QueueAdmission admission = QueueAdmission::kRefused;
  std::chrono::milliseconds wait{0};  // Estimated.
};

class SlotQueue {
 public:
  explicit SlotQueue(SlotQueueOptions options);

  // Takes a slot for the request, lets it wait, or refuses it.
  QueueResult Enter(const QueuedRequest& request, TimePoint now);
  // Gives back the slot of a request that was expected to run for `run_time`.
  void OnRunEnded(std::chrono::milliseconds run_time);
  // The request that gets a free slot; nothing if none waits or is free.
  std::optional<uint64_t> TakeNext(TimePoint now);
  // Removes those that can no longer end before their deadline, and late ones
  // beyond what slots may become free for.
  std::vector<uint64_t> TakeInfeasible(TimePoint now);
  // Removes a request whose caller went away. False if it does not wait.
  bool Remove(uint64_t id);

  void SetWaitingPerSlot(size_t most) { m_options.waiting_per_slot = most; }
  void SetSlots(uint32_t slots) { m_options.slots = slots; }
  uint32_t Slots() const { return m_options.slots; }
  uint32_t Running() const { return m_running; }
  size_t Waiting() const { return m_waiting.size(); }
  // Time until a request that goes behind all others gets a slot.
  std::chrono::milliseconds LongestWait() const;

 private:
  TimePoint LatestStart(const QueuedRequest& request) const;
  bool IsLate(const QueuedRequest& request, TimePoint now) const;
  bool GoesBefore(const QueuedRequest& a, const QueuedRequest& b,
                  TimePoint now) const;
  // Time until a request gets a slot behind others with this much work.
  std::chrono::milliseconds EstimatedWait(std::chrono::milliseconds work) const;
  size_t CountLate(TimePoint now) const;
  // How many late requests may wait, of the `late` ones that do.
  size_t MaxLateWaiting(size_t late) const;

  SlotQueueOptions m_options;
  uint32_t m_running = 0;
  std::chrono::milliseconds m_running_work{0};  // Expected run times, summed.
  std::vector<QueuedRequest> m_waiting;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_SLOT_QUEUE_H_
