// What a backend server says of itself in its responses: its limit, that it
// leaves, and how fast its host is at the moment.

#include <algorithm>

#include "kumquatmoor/node/admission.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Burst of the limit that a backend server names. The requests that it allows
// in this time.
constexpr double kBackendLimitBurstSeconds = 0.25;
// Requests per second. A limit below this rate is raised to it, so that there
// is a response that can withdraw the limit.
constexpr double kMinBackendLimit = 0.25;

}  // namespace

bool Admission::OnNotice(const std::string& service, const std::string& version,
                         const std::string& instance,
                         const BackendNotice& notice, TimePoint now) {
  auto found = m_entries.find({service, version});
  if (found == m_entries.end()) return false;
  Entry& entry = found->second;
  if (entry.backend.instance != instance) return false;
  entry.responded = true;
  const BackendNotice before = entry.notice;
  SetNotice(KeepValidLimit(notice, before), &entry, now);
  return entry.notice != before;
}

void Admission::OnRememberedNotice(const std::string& service,
                                   const std::string& version,
                                   const std::string& instance,
                                   const BackendNotice& notice, TimePoint now) {
  auto found = m_entries.find({service, version});
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  if (entry.backend.instance != instance) return;
  if (notice.leaving) entry.notice.leaving = true;
  if (notice.limit && !entry.responded) SetNotice(notice, &entry, now);
}

void Admission::SetNotice(const BackendNotice& notice, Entry* entry,
                          TimePoint now) {
  entry->notice = {.limit = notice.limit,
                   .leaving = notice.leaving || entry->notice.leaving};
  if (!notice.limit) {
    entry->limit.reset();
    return;
  }
  const double rate = std::max(kMinBackendLimit, *notice.limit);
  const TokenBucketOptions options{
      .rate = rate, .burst = std::max(1.0, rate * kBackendLimitBurstSeconds)};
  if (entry->limit) {
    entry->limit->SetOptions(options, now);
  } else {
    entry->limit.emplace(options, now);
    entry->refuse_waiting = true;
  }
}

}  // namespace kumquatmoor
