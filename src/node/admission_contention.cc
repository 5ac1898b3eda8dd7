// Refusals that save a slot or a wait. A request whose nested calls would fail
// is refused before it uses a slot. One that would wait, or run on a host that
// is slow at the moment, is handed back if its caller's node allows it. Both
// are decided here, as only this node sees the calls of its backend servers and
// the speed of their host.

#include <algorithm>

#include "kumquatmoor/node/admission.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kCallsFail = "calls of this route fail";
constexpr std::string_view kHandedBack = "another target is probably faster";
// Time after which a request may be sent again that was shed.
constexpr milliseconds kShedRetryAfter{250};

}  // namespace

void Admission::OnServerLoad(const std::string& service,
                             const std::string& version,
                             const std::string& instance,
                             const ServerLoad& load, TimePoint now) {
  auto found = m_entries.find({service, version});
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  if (entry.backend.instance != instance) return;
  entry.speed.OnReport(load.run_time_percent, now);
  UpdateSpeed(&entry, now);
}

void Admission::UpdateSpeed(Entry* entry, TimePoint now) {
  entry->queue.SetRunTimePercent(entry->speed.Percent(now));
}

bool Admission::IsShed(const AdmissionRequest& request, const Entry& entry,
                       TimePoint now, AdmissionResult* result) {
  // A request that takes no slot from others may try its calls.
  if (entry.queue.Running() < entry.queue.Slots()) return false;
  // The parent of a nested call would lose its slot.
  if (request.is_nested_call) return false;
  if (!m_call_failures.ShouldShed(request.route, now)) return false;
  result->reason = kCallsFail;
  result->shed = true;
  result->wait = kShedRetryAfter;
  return true;
}

bool Admission::IsHandedBack(const AdmissionRequest& request,
                             const Entry& entry, TimePoint now,
                             AdmissionResult* result) const {
  if (!request.may_hand_back || !entry.speed.IsReported()) return false;
  const milliseconds wait =
      entry.queue.WaitOf(ForQueue(request, 0, result->usual_run_time), now);
  if (wait.count() == 0 && !entry.speed.IsSlow(now)) return false;
  result->reason = kHandedBack;
  result->handed_back = wait + result->run_time;
  result->wait = wait;
  return true;
}

}  // namespace kumquatmoor
