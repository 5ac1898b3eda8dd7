// The part of Admission that limits how many requests a backend server gets:
// the limit that it names in its responses, and the one while it is cold. Each
// is a token bucket, from which a request takes a token before it enters the
// queue.

#include <algorithm>

#include "kumquatmoor/node/admission.h"
#include "node/admission_reasons.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Burst of the limit that a backend server names: the requests
// that it allows in this time.
constexpr double kBackendLimitBurstSeconds = 0.25;
// Requests per second. A limit below this rate is raised to it, so that there
// is a response that can withdraw the limit.
constexpr double kMinBackendLimit = 0.25;

// A refusal without a wait would count as one by a backend server that leaves.
constexpr milliseconds kMinColdWait{20};

}  // namespace

void Admission::SetRefusal(std::string_view reason, AdmissionResult* result) {
  result->reason = reason;
  result->duplicate = reason == kDuplicate;
  result->evacuated = reason == kEvacuated;
  result->is_cold = reason == kColdLimit;
  result->limited = reason == kBackendLimit || result->is_cold;
  result->leaving = result->evacuated || reason == kDraining ||
                    reason == kRecalled || reason == kClosed ||
                    reason == kNoSuchBackend;
}

bool Admission::TakeTokens(Entry* entry, TimePoint now,
                           AdmissionResult* result) {
  const bool is_queue_full = entry->cold.IsCold(now) &&
                             entry->waiting.size() >= ColdLimit::kMaxWaiting;
  if (is_queue_full || !entry->cold.Take(now)) {
    SetRefusal(kColdLimit, result);
    result->wait = ColdWait(*entry, now);
    return false;
  }
  if (entry->limit && !entry->limit->Take(now)) {
    entry->cold.Return();
    SetRefusal(kBackendLimit, result);
    result->wait = entry->limit->WaitTime(now);
    return false;
  }
  return true;
}

milliseconds Admission::ColdWait(Entry& entry, TimePoint now) {
  return std::max(entry.cold.WaitTime(now), kMinColdWait);
}

void Admission::ReturnTokens(Entry* entry) {
  entry->cold.Return();
  if (entry->limit) entry->limit->Return();
}

bool Admission::NoteColdUnknown(const std::string& service,
                                const std::string& version, TimePoint now) {
  const auto found = m_entries.find({service, version});
  if (found == m_entries.end()) return false;
  if (!found->second.cold.OnUnknown(now)) return false;
  found->second.waiting_refusal = kColdLimit;
  return true;
}

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
    entry->waiting_refusal = kBackendLimit;
  }
}

}  // namespace kumquatmoor
