#include "kumquatmoor/node/admission.h"

#include <algorithm>

namespace kumquatmoor {
namespace {

// Slots out of this many that only requests with side effects may take, so
// that reads cannot starve them.
constexpr uint32_t kReserveOneSlotIn = 10;
// Burst of a row's rate limit, as a part of a second.
constexpr double kBurstSeconds = 0.1;

constexpr std::string_view kDraining = "draining";
constexpr std::string_view kRecalled = "version was recalled";
constexpr std::string_view kDuplicate = "request id was seen before";
constexpr std::string_view kNotHere = "no such backend server here";

// This target's part of a limit that `targets` share, rounded up.
uint32_t PartOf(uint32_t limit, size_t targets) {
  const auto count = static_cast<uint32_t>(std::max<size_t>(1, targets));
  return (limit + count - 1) / count;
}

}  // namespace

void Admission::SetBackends(const std::vector<LocalBackend>& backends) {
  for (auto& [key, entry] : m_entries) entry.announced = false;
  for (const auto& backend : backends) {
    Entry& entry = m_entries[{backend.service, backend.version}];
    entry.backend = backend;
    entry.announced = true;
  }
  std::erase_if(m_entries, [](const auto& item) {
    return !item.second.announced && item.second.in_flight == 0;
  });
}

void Admission::SetRoutes(const RouteTable& routes) {
  for (auto& [key, entry] : m_entries) {
    entry.recalled = routes.recalled.count(key) > 0;
    const ServiceRoutes* service = routes.Find(key.first);
    const VersionRoutes* version =
        service == nullptr ? nullptr : service->Find(key.second);
    if (version == nullptr) continue;
    const size_t targets = version->targets.size();
    entry.max_concurrent = PartOf(version->max_concurrent, targets);
    const double rate =
        static_cast<double>(version->max_rate) / static_cast<double>(targets);
    if (rate == entry.max_rate) continue;
    entry.max_rate = rate;
    entry.rate = TokenBucket(
        {.rate = rate, .burst = std::max(1.0, rate * kBurstSeconds)});
  }
}

std::string_view Admission::ReasonToRefuse(const AdmissionRequest& request,
                                           Entry* entry, TimePoint now) {
  if (m_draining || entry->backend.draining) return kDraining;
  if (entry->recalled) return kRecalled;
  if (!request.idempotent && m_seen.count(request.request_id) > 0) {
    return kDuplicate;
  }
  const uint32_t slots = entry->backend.slots;
  const uint32_t reserved = request.idempotent ? slots / kReserveOneSlotIn : 0;
  if (entry->in_flight + reserved >= slots) return "all slots are taken";
  if (entry->max_concurrent > 0 && entry->in_flight >= entry->max_concurrent) {
    return "the row's max_concurrent is reached";
  }
  if (entry->max_rate > 0 && !entry->rate.Take(now)) {
    return "the row's max_rate is reached";
  }
  return {};
}

AdmissionAnswer Admission::Enter(const AdmissionRequest& request,
                                 TimePoint now) {
  AdmissionAnswer answer;
  auto found = m_entries.find({request.service, request.version});
  if (found == m_entries.end() || !found->second.announced) {
    answer.reason = m_draining ? kDraining : kNotHere;
    answer.leaving = true;
    return answer;
  }
  Entry& entry = found->second;
  answer.slots = entry.backend.slots;
  answer.reason = ReasonToRefuse(request, &entry, now);
  answer.in_flight = entry.in_flight;
  if (!answer.reason.empty()) {
    answer.duplicate = answer.reason == kDuplicate;
    answer.leaving = answer.reason == kDraining || answer.reason == kRecalled;
    return answer;
  }
  answer.admitted = true;
  answer.in_flight = ++entry.in_flight;
  answer.address = entry.backend.address;
  answer.warm = now - entry.backend.announced >= kColdStart;
  if (!request.idempotent) Remember(request.request_id);
  return answer;
}

void Admission::Leave(const AdmissionRequest& request, bool handed_over) {
  auto found = m_entries.find({request.service, request.version});
  if (found != m_entries.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
  if (!handed_over && !request.idempotent) m_seen.erase(request.request_id);
}

void Admission::Remember(const std::string& request_id) {
  if (!m_seen.insert(request_id).second) return;
  m_seen_order.push_back(request_id);
  if (m_seen_order.size() <= kRememberedIds) return;
  m_seen.erase(m_seen_order.front());
  m_seen_order.pop_front();
}

uint32_t Admission::InFlight(const std::string& service,
                             const std::string& version) const {
  auto found = m_entries.find({service, version});
  return found == m_entries.end() ? 0 : found->second.in_flight;
}

uint32_t Admission::TotalInFlight() const {
  uint32_t total = 0;
  for (const auto& [key, entry] : m_entries) total += entry.in_flight;
  return total;
}

}  // namespace kumquatmoor
