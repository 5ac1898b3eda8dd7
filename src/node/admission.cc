// With a queue (waiting_per_slot > 0), SlotQueue decides whether a request
// runs, waits or is refused. Without one, a request runs if a slot is free. The
// host's link is a second resource: LinkBacklog decides whether the response
// gets through it in time.

#include "kumquatmoor/node/admission.h"

#include <algorithm>

#include "node/admission_reasons.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// One slot in this many is reserved for requests with side effects, so that
// reads cannot starve them. Applies only if there is no queue.
constexpr uint32_t kReservedSlotDivisor = 10;
// Burst of a row's rate limit: the requests that the rate allows in this time.
constexpr double kBurstSeconds = 0.1;

// The part of one target in a limit that `targets` share, rounded up.
uint32_t LimitPerTarget(uint32_t limit, size_t targets) {
  const auto count = static_cast<uint32_t>(std::max<size_t>(1, targets));
  return (limit + count - 1) / count;
}

}  // namespace

void Admission::SetBackends(const std::vector<LocalBackend>& backends,
                            TimePoint now) {
  for (auto& [key, entry] : m_entries) entry.announced = false;
  for (const auto& backend : backends) {
    Entry& entry = m_entries[{backend.service, backend.version}];
    if (entry.backend.slots != backend.slots || !entry.announced) {
      entry.queue.SetSlots(backend.slots);
    }
    entry.queue.SetWaitingPerSlot(m_options.waiting_per_slot);
    entry.closed = m_closed.count({backend.service, backend.version}) > 0;
    if (!entry.retries) entry.retries.emplace(m_options.retries);
    // A process may have the instance id of an earlier one.
    const bool same_process = entry.backend.instance == backend.instance &&
                              entry.backend.announced == backend.announced;
    if (!same_process) {
      entry.notice = {};
      entry.speed = {};
      entry.responded = false;
      entry.limit.reset();
    }
    entry.backend = backend;
    entry.announced = true;
    if (!same_process) entry.cold = ColdLimit();
    if (entry.cold.OnStatus(backend.cold, now)) {
      entry.waiting_refusal = kColdLimit;
    }
  }
  std::erase_if(m_entries, [](const auto& item) {
    return !item.second.announced && item.second.queue.Running() == 0 &&
           item.second.waiting.empty();
  });
}

void Admission::SetRoutes(const RouteTable& routes, TimePoint now) {
  const bool was_evacuated = m_evacuated;
  m_evacuated = routes.evacuated_zones.contains(routes.zone);
  for (auto& [key, entry] : m_entries) {
    if (was_evacuated && !m_evacuated) entry.cold.OnUnknown(now);
    entry.recalled = routes.recalled.count(key) > 0;
    const ServiceRoutes* service = routes.Find(key.first);
    const VersionRoutes* version =
        service == nullptr ? nullptr : service->Find(key.second);
    if (version == nullptr) continue;
    const size_t targets = version->targets.size();
    entry.max_concurrent = LimitPerTarget(version->max_concurrent, targets);
    const double rate =
        static_cast<double>(version->max_rate) / static_cast<double>(targets);
    if (rate == entry.max_rate) continue;
    entry.max_rate = rate;
    entry.rate = TokenBucket(
        {.rate = rate, .burst = std::max(1.0, rate * kBurstSeconds)});
  }
}

std::string_view Admission::UnavailableReason(const Entry& entry) const {
  const bool leaving = entry.backend.draining || entry.notice.leaving;
  if (m_draining || leaving) return kDraining;
  if (!entry.announced) return kNoSuchBackend;
  if (entry.recalled) return kRecalled;
  if (entry.closed) return kClosed;
  if (m_evacuated) return kEvacuated;
  return {};
}

std::string_view Admission::RefusalReason(const AdmissionRequest& request,
                                          Entry* entry, TimePoint now) {
  const std::string_view unavailable = UnavailableReason(*entry);
  if (!unavailable.empty()) return unavailable;
  if (!request.idempotent && m_seen_ids.Contains(request.request_id)) {
    return kDuplicate;
  }
  if (entry->max_concurrent > 0 &&
      entry->queue.Running() >= entry->max_concurrent) {
    return "the row's max_concurrent is reached";
  }
  if (entry->max_rate > 0 && !entry->rate.Take(now)) {
    return "the row's max_rate is reached";
  }
  return {};
}

// Some slots are reserved for requests with side effects. With a queue, the
// priority of a request has this effect instead.
bool Admission::HasFreeSlot(const AdmissionRequest& request,
                            const Entry& entry) const {
  const uint32_t slots = entry.backend.slots;
  const uint32_t reserved =
      request.idempotent ? slots / kReservedSlotDivisor : 0;
  return entry.queue.Running() + reserved < slots;
}

AdmissionResult Admission::Describe(const Entry& entry,
                                    const std::string& route,
                                    TimePoint now) const {
  AdmissionResult result;
  result.slots = entry.backend.slots;
  result.instance = entry.backend.instance;
  result.notice = entry.notice;
  result.address = entry.backend.address;
  result.in_flight =
      entry.queue.Running() + static_cast<uint32_t>(entry.queue.Waiting());
  result.usual_run_time = entry.run_times.Expected(route);
  result.run_time_percent = entry.speed.Percent(now);
  result.run_time = result.usual_run_time * result.run_time_percent / 100;
  result.warm =
      now - entry.backend.announced >= kColdStart && !entry.cold.IsCold(now);
  return result;
}

AdmissionResult Admission::Admit(const AdmissionRequest& request,
                                 TimePoint now) {
  AdmissionResult result;
  auto found = m_entries.find({request.service, request.version});
  if (found == m_entries.end() || !found->second.announced) {
    result.reason = m_draining ? kDraining : kNoSuchBackend;
    result.leaving = true;
    return result;
  }
  Entry& entry = found->second;
  UpdateSpeed(&entry, now);
  result = Describe(entry, request.route, now);
  result.reason = RefusalReason(request, &entry, now);
  if (!result.reason.empty()) {
    SetRefusal(result.reason, &result);
    return result;
  }
  if (IsShed(request, entry, now, &result)) return result;
  if (IsHandedBack(request, entry, now, &result)) return result;
  if (m_options.waiting_per_slot == 0 && !HasFreeSlot(request, entry)) {
    result.reason = kAllSlotsTaken;
    return result;
  }
  const LinkEstimate link = EstimateLink(request, result.run_time, now);
  if (!link.in_time) {
    result.reason = kNoLinkInTime;
    result.link_full = true;
    result.wait = link.wait;
    return result;
  }
  if (!entry.retries->Take(request.kind, now)) {
    result.reason = kRetryBudget;
    result.retry_denied = true;
    return result;
  }
  if (!TakeTokens(&entry, now, &result)) {
    entry.retries->Return(request.kind);
    return result;
  }
  const uint64_t ticket = ++m_last_ticket;
  const QueueResult queue_result =
      entry.queue.Enter(ForQueue(request, ticket, result.usual_run_time), now);
  result.wait = queue_result.wait;
  if (queue_result.admission == QueueAdmission::kRefused) {
    entry.retries->Return(request.kind);
    ReturnTokens(&entry);
    result.reason = kNoSlotInTime;
    return result;
  }
  result.admitted = queue_result.admission == QueueAdmission::kRunNow;
  result.queued = !result.admitted;
  result.ticket = ticket;
  ++result.in_flight;
  if (result.queued) entry.waiting.emplace(ticket, request);
  if (!request.idempotent) m_seen_ids.Insert(request.request_id);
  return result;
}

LinkEstimate Admission::EstimateLink(const AdmissionRequest& request,
                                     milliseconds run_time,
                                     TimePoint now) const {
  if (!request.via_link) return {};
  return m_link->Estimate({.size = m_response_sizes.Expected(request.route),
                           .run_time = run_time,
                           .objective = request.objective,
                           .deadline = request.deadline},
                          now);
}

QueuedRequest Admission::ForQueue(const AdmissionRequest& request,
                                  uint64_t ticket,
                                  milliseconds run_time) const {
  QueuedRequest queued{.id = ticket,
                       .priority = request.priority,
                       .run_time = run_time,
                       .objective = request.objective,
                       .deadline = request.deadline,
                       .is_nested_call = request.is_nested_call,
                       .organisation_priority = request.organisation_priority,
                       .organisation = request.organisation};
  if (!request.via_link) return queued;
  const milliseconds transfer =
      m_link->TransferTime(m_response_sizes.Expected(request.route).mean);
  queued.objective -= transfer;
  queued.deadline -= transfer;
  return queued;
}

LinkReservation Admission::ReserveLink(const AdmissionRequest& request) const {
  if (!request.via_link) return {};
  return {m_link, m_response_sizes.Expected(request.route).mean};
}

bool Admission::IsLeaving(const std::string& service,
                          const std::string& version) const {
  const auto found = m_entries.find({service, version});
  if (found == m_entries.end()) return true;
  // Backend servers of an evacuated zone go on with what they run.
  const std::string_view reason = UnavailableReason(found->second);
  return !reason.empty() && reason != kEvacuated;
}

const LocalBackend* Admission::FindBackend(const std::string& service,
                                           const std::string& version) const {
  const auto found = m_entries.find({service, version});
  if (found == m_entries.end() || !found->second.announced) return nullptr;
  return &found->second.backend;
}

void Admission::Release(const AdmissionRequest& request, bool handed_over,
                        milliseconds expected,
                        std::optional<milliseconds> run_time) {
  auto found = m_entries.find({request.service, request.version});
  if (found != m_entries.end()) {
    found->second.queue.OnRunEnded(expected);
    if (run_time) found->second.run_times.Add(request.route, *run_time);
  }
  if (!handed_over && !request.idempotent) m_seen_ids.Erase(request.request_id);
}

std::vector<WaitDecision> Admission::TakeDecisions(TimePoint now) {
  std::vector<WaitDecision> decisions;
  const auto refuse = [&](Entry& entry, uint64_t ticket,
                          std::string_view reason) {
    auto waiting = entry.waiting.extract(ticket);
    const std::string& route = waiting.mapped().route;
    entry.retries->Return(waiting.mapped().kind);
    WaitDecision decision{.ticket = ticket,
                          .result = Describe(entry, route, now)};
    SetRefusal(reason, &decision.result);
    decision.result.wait = reason == kBackendLimit ? entry.limit->WaitTime(now)
                           : reason == kColdLimit  ? ColdWait(entry, now)
                                                   : entry.queue.LongestWait();
    if (!waiting.mapped().idempotent) {
      m_seen_ids.Erase(waiting.mapped().request_id);
    }
    decisions.push_back(std::move(decision));
  };
  for (auto& [key, entry] : m_entries) {
    UpdateSpeed(&entry, now);
    std::string_view unavailable = UnavailableReason(entry);
    const bool is_refused = entry.waiting_refusal == kBackendLimit
                                ? entry.limit.has_value()
                                : entry.cold.IsCold(now);
    if (unavailable.empty() && is_refused) unavailable = entry.waiting_refusal;
    entry.waiting_refusal = {};
    while (!unavailable.empty() && !entry.waiting.empty()) {
      const uint64_t ticket = entry.waiting.begin()->first;
      entry.queue.Remove(ticket);
      refuse(entry, ticket, unavailable);
    }
    for (uint64_t ticket : entry.queue.TakeInfeasible(now)) {
      refuse(entry, ticket, kNoSlotInTime);
    }
    while (auto ticket = entry.queue.TakeNext(now)) {
      const auto waiting = entry.waiting.extract(*ticket);
      const std::string& route = waiting.mapped().route;
      WaitDecision decision{.ticket = *ticket,
                            .result = Describe(entry, route, now)};
      decision.result.admitted = true;
      decisions.push_back(std::move(decision));
    }
  }
  return decisions;
}

bool Admission::CancelQueued(const AdmissionRequest& request, uint64_t ticket) {
  auto found = m_entries.find({request.service, request.version});
  if (found == m_entries.end()) return false;
  if (!found->second.queue.Remove(ticket)) return false;
  found->second.waiting.erase(ticket);
  found->second.retries->Return(request.kind);
  if (!request.idempotent) m_seen_ids.Erase(request.request_id);
  return true;
}

void Admission::CloseVersion(const std::string& service,
                             const std::string& version) {
  m_closed.emplace(service, version);
  auto found = m_entries.find({service, version});
  if (found != m_entries.end()) found->second.closed = true;
}

void Admission::OpenVersion(const std::string& service,
                            const std::string& version) {
  m_closed.erase({service, version});
  auto found = m_entries.find({service, version});
  if (found != m_entries.end()) found->second.closed = false;
}

uint32_t Admission::InFlight(const std::string& service,
                             const std::string& version) const {
  auto found = m_entries.find({service, version});
  if (found == m_entries.end()) return 0;
  const SlotQueue& queue = found->second.queue;
  return queue.Running() + static_cast<uint32_t>(queue.Waiting());
}

uint32_t Admission::TotalInFlight() const {
  uint32_t total = 0;
  for (const auto& [key, entry] : m_entries) {
    total += InFlight(key.first, key.second);
  }
  return total;
}

}  // namespace kumquatmoor
