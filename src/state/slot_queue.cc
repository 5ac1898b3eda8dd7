// The estimated wait of a request has two parts: the time in which all slots
// together serve the waiting requests that go before it, and the time until one
// more slot becomes free. If n slots are each busy for a time R, the first
// becomes free after R / (n + 1) on average, so a short request does not wait
// for a whole long one. Deadlines bound the wait and thus the length of the
// queue, so the next request is found by a linear scan.

#include "kumquatmoor/state/slot_queue.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Run times between the same powers of 2 count as equal.
int SizeClass(const QueuedRequest& request) {
  return std::bit_width(static_cast<uint64_t>(request.run_time.count()));
}

}  // namespace

SlotQueue::SlotQueue(SlotQueueOptions options) : m_options(options) {}

TimePoint SlotQueue::LatestStart(const QueuedRequest& request) const {
  const std::chrono::duration<double, std::milli> margin =
      request.run_time * m_options.run_time_margin;
  return request.objective - std::chrono::duration_cast<milliseconds>(margin);
}

bool SlotQueue::IsLate(const QueuedRequest& request, TimePoint now) const {
  return now > LatestStart(request);
}

bool SlotQueue::GoesBefore(const QueuedRequest& a, const QueuedRequest& b,
                           TimePoint now) const {
  const auto rank = [&](const QueuedRequest& request) {
    return std::make_tuple(IsLate(request, now), request.priority,
                           SizeClass(request), LatestStart(request),
                           request.id);
  };
  return rank(a) < rank(b);
}

milliseconds SlotQueue::EstimatedWait(milliseconds work) const {
  const milliseconds mean_run = m_running_work / std::max(1U, m_running);
  return work / std::max(1U, m_options.slots) + mean_run / (m_running + 1);
}

milliseconds SlotQueue::LongestWait() const {
  if (m_running < m_options.slots) return milliseconds(0);
  milliseconds work{0};
  for (const auto& request : m_waiting) work += request.run_time;
  return EstimatedWait(work);
}

size_t SlotQueue::CountLate(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      m_waiting.begin(), m_waiting.end(),
      [&](const QueuedRequest& request) { return IsLate(request, now); }));
}

size_t SlotQueue::MaxLateWaiting(size_t late) const {
  const bool other_waits = late < m_waiting.size();
  return other_waits ? 0 : m_options.late_waiting_per_slot * m_options.slots;
}

QueueResult SlotQueue::Enter(const QueuedRequest& request, TimePoint now) {
  if (m_waiting.empty() && m_running < m_options.slots) {
    ++m_running;
    m_running_work += request.run_time;
    return {.admission = QueueAdmission::kRunNow};
  }
  milliseconds work{0};
  for (const auto& other : m_waiting) {
    if (GoesBefore(other, request, now)) work += other.run_time;
  }
  QueueResult result{.wait = EstimatedWait(work)};
  const TimePoint start = now + result.wait;
  const bool feasible = start + request.run_time <= request.deadline;
  const bool room =
      m_waiting.size() < m_options.waiting_per_slot * m_options.slots;
  const bool late = IsLate(request, start);
  const size_t waiting_late = CountLate(now);
  const bool late_room = waiting_late < MaxLateWaiting(waiting_late);
  if (!feasible || !room || (late && !late_room)) return result;
  m_waiting.push_back(request);
  result.admission = QueueAdmission::kQueued;
  return result;
}

void SlotQueue::OnRunEnded(milliseconds run_time) {
  if (m_running > 0) --m_running;
  m_running_work = std::max(milliseconds(0), m_running_work - run_time);
}

std::optional<uint64_t> SlotQueue::TakeNext(TimePoint now) {
  if (m_waiting.empty() || m_running >= m_options.slots) return std::nullopt;
  const auto next =
      std::min_element(m_waiting.begin(), m_waiting.end(),
                       [&](const QueuedRequest& a, const QueuedRequest& b) {
                         return GoesBefore(a, b, now);
                       });
  const uint64_t id = next->id;
  m_running_work += next->run_time;
  m_waiting.erase(next);
  ++m_running;
  return id;
}

std::vector<uint64_t> SlotQueue::TakeInfeasible(TimePoint now) {
  std::vector<uint64_t> removed;
  std::erase_if(m_waiting, [&](const QueuedRequest& request) {
    // A request may run for less than the mean, so only half of the expected
    // run time has to fit.
    if (now + request.run_time / 2 <= request.deadline) return false;
    removed.push_back(request.id);
    return true;
  });
  size_t late = CountLate(now);
  for (const size_t limit = MaxLateWaiting(late); late > limit; --late) {
    const auto last =
        std::max_element(m_waiting.begin(), m_waiting.end(),
                         [&](const QueuedRequest& a, const QueuedRequest& b) {
                           return GoesBefore(a, b, now);
                         });
    removed.push_back(last->id);
    m_waiting.erase(last);
  }
  return removed;
}

bool SlotQueue::Remove(uint64_t id) {
  return std::erase_if(m_waiting, [&](const QueuedRequest& request) {
           return request.id == id;
         }) > 0;
}

}  // namespace kumquatmoor
