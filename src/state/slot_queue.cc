// The estimated wait of a request has two parts: the time in which all slots
// together serve the waiting requests that go before it, and the time until one
// more slot becomes free. If n slots are each busy for a time R, the first
// becomes free after R / (n + 1) on average, so a short request does not wait
// for the full run time of a long one. Deadlines bound the wait and thus the
// length of the queue, so the next request is found by a linear scan.
//
// Requests of the same class (lateness, nested or not, priorities) are served
// by the start tags of their organisations. A tag rises with each request that
// starts, so the estimate of what goes before a request has to look ahead: it
// gives the waiting requests of an organisation the tags that they will have
// once those before them have started.

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

enum class Lateness { kInTime, kLateNestedCall, kLate };

}  // namespace

SlotQueue::SlotQueue(SlotQueueOptions options) : m_options(options) {}

TimePoint SlotQueue::LatestStart(const QueuedRequest& request) const {
  const std::chrono::duration<double, std::milli> margin =
      RunTime(request) * m_options.run_time_margin;
  return request.objective - std::chrono::duration_cast<milliseconds>(margin);
}

bool SlotQueue::IsLate(const QueuedRequest& request, TimePoint now) const {
  return now > LatestStart(request);
}

bool SlotQueue::IsExpendable(const QueuedRequest& request,
                             TimePoint now) const {
  return !request.is_nested_call && IsLate(request, now);
}

// The part of the order that comes before that of organisations.
auto SlotQueue::ClassOf(const QueuedRequest& request, TimePoint now) const {
  Lateness lateness = Lateness::kInTime;
  if (IsLate(request, now)) {
    lateness =
        request.is_nested_call ? Lateness::kLateNestedCall : Lateness::kLate;
  }
  return std::make_tuple(lateness, request.organisation_priority,
                         request.priority, !request.is_nested_call);
}

// The order of requests of the same class and organisation.
auto SlotQueue::RankInOrganisation(const QueuedRequest& request) const {
  return std::make_tuple(SizeClass(request), LatestStart(request), request.id);
}

bool SlotQueue::GoesBefore(const QueuedRequest& a, const QueuedRequest& b,
                           TimePoint now) const {
  const auto rank = [&](const QueuedRequest& request) {
    return std::make_tuple(ClassOf(request, now),
                           m_shares.StartTag(request.organisation),
                           RankInOrganisation(request));
  };
  return rank(a) < rank(b);
}

milliseconds SlotQueue::WorkBefore(const QueuedRequest& request,
                                   TimePoint now) const {
  const auto request_class = ClassOf(request, now);
  milliseconds work{0};
  std::vector<const QueuedRequest*> same_class{&request};
  bool one_organisation = true;
  for (const auto& other : m_waiting) {
    const auto other_class = ClassOf(other, now);
    if (other_class < request_class) work += other.run_time;
    if (other_class != request_class) continue;
    same_class.push_back(&other);
    one_organisation &= other.organisation == request.organisation;
  }
  if (one_organisation) {
    for (const QueuedRequest* other : same_class) {
      if (RankInOrganisation(*other) < RankInOrganisation(request)) {
        work += other->run_time;
      }
    }
    return work;
  }
  return work + WorkBeforeInClass(request, std::move(same_class));
}

milliseconds SlotQueue::WorkBeforeInClass(
    const QueuedRequest& request,
    std::vector<const QueuedRequest*> same_class) const {
  std::sort(same_class.begin(), same_class.end(),
            [&](const QueuedRequest* a, const QueuedRequest* b) {
              if (a->organisation != b->organisation) {
                return a->organisation < b->organisation;
              }
              return RankInOrganisation(*a) < RankInOrganisation(*b);
            });
  std::vector<FairShare::Tag> tags(same_class.size());
  size_t own = 0;
  for (size_t i = 0; i < same_class.size(); ++i) {
    const bool first = i == 0 || same_class[i - 1]->organisation !=
                                     same_class[i]->organisation;
    tags[i] = first ? m_shares.StartTag(same_class[i]->organisation)
                    : tags[i - 1] + same_class[i - 1]->run_time;
    if (same_class[i] == &request) own = i;
  }
  const auto rank = [&](size_t i) {
    return std::make_tuple(tags[i], RankInOrganisation(*same_class[i]));
  };
  milliseconds work{0};
  for (size_t i = 0; i < same_class.size(); ++i) {
    if (rank(i) < rank(own)) work += same_class[i]->run_time;
  }
  return work;
}

void SlotQueue::Start(const QueuedRequest& request) {
  ++m_running;
  m_running_work += request.run_time;
  m_shares.OnStarted(request.organisation, request.run_time);
}

milliseconds SlotQueue::EstimatedWait(milliseconds work) const {
  const milliseconds mean_run = m_running_work / std::max(1U, m_running);
  const milliseconds wait =
      work / std::max(1U, m_options.slots) + mean_run / (m_running + 1);
  return wait * m_run_time_percent / 100;
}

milliseconds SlotQueue::LongestWait() const {
  if (m_running < m_options.slots) return milliseconds(0);
  milliseconds work{0};
  for (const auto& request : m_waiting) work += request.run_time;
  return EstimatedWait(work);
}

milliseconds SlotQueue::WaitOf(const QueuedRequest& request,
                               TimePoint now) const {
  if (m_waiting.empty() && m_running < m_options.slots) return milliseconds(0);
  return EstimatedWait(WorkBefore(request, now));
}

size_t SlotQueue::CountExpendable(TimePoint now) const {
  return static_cast<size_t>(std::count_if(m_waiting.begin(), m_waiting.end(),
                                           [&](const QueuedRequest& request) {
                                             return IsExpendable(request, now);
                                           }));
}

size_t SlotQueue::MaxLateWaiting(size_t late) const {
  const bool other_waits = late < m_waiting.size();
  return other_waits ? 0 : m_options.late_waiting_per_slot * m_options.slots;
}

QueueResult SlotQueue::Enter(const QueuedRequest& request, TimePoint now) {
  if (m_waiting.empty() && m_running < m_options.slots) {
    Start(request);
    return {.admission = QueueAdmission::kRunNow};
  }
  QueueResult result{.wait = EstimatedWait(WorkBefore(request, now))};
  const TimePoint start = now + result.wait;
  const bool feasible = start + RunTime(request) <= request.deadline;
  const bool room =
      m_waiting.size() < m_options.waiting_per_slot * m_options.slots;
  const bool late = IsExpendable(request, start);
  const size_t waiting_late = CountExpendable(now);
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
  Start(*next);
  m_waiting.erase(next);
  return id;
}

std::vector<uint64_t> SlotQueue::TakeInfeasible(TimePoint now) {
  std::vector<uint64_t> removed;
  std::erase_if(m_waiting, [&](const QueuedRequest& request) {
    // A request may run for less than the mean, so only half of the expected
    // run time has to fit.
    if (now + RunTime(request) / 2 <= request.deadline) return false;
    removed.push_back(request.id);
    return true;
  });
  size_t late = CountExpendable(now);
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
