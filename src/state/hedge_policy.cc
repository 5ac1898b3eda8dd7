// Latencies are counted in buckets of a geometric scale, in slices of ten
// seconds. A quantile is the upper end of its bucket, so that it is at most 25%
// too late and never too early. The window has the present slice and the five
// before it.

#include "kumquatmoor/state/hedge_policy.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr double kGrowth = 1.25;  // From one bucket to the next.
constexpr double kPercent = 100;

}  // namespace

std::string_view HedgeVerdictName(HedgeVerdict verdict) {
  switch (verdict) {
    case HedgeVerdict::kSend:
      return "sent";
    case HedgeVerdict::kNotRepeatable:
      return "not_repeatable";
    case HedgeVerdict::kAttempts:
      return "attempts";
    case HedgeVerdict::kNoTime:
      return "no_time";
    case HedgeVerdict::kTargetLoad:
      return "target_load";
    case HedgeVerdict::kBudget:
      return "budget";
  }
  return "";
}

size_t HedgePolicy::BucketOf(milliseconds latency) {
  const double ms = std::max(1.0, static_cast<double>(latency.count()));
  const double bucket = std::ceil(std::log(ms) / std::log(kGrowth) - 1e-9);
  return std::min(kBuckets - 1, static_cast<size_t>(std::max(0.0, bucket)));
}

double HedgePolicy::UpperMs(size_t bucket) {
  return std::pow(kGrowth, static_cast<double>(bucket));
}

int64_t HedgePolicy::SliceOf(TimePoint now) {
  return now.time_since_epoch() / kSliceTime;
}

void HedgePolicy::OnFirstAttempt() {
  m_saved = std::min(kMaxSaved, m_saved + m_options.percent / kPercent);
}

void HedgePolicy::OnResponse(const std::string& route, milliseconds latency,
                             TimePoint now) {
  if (!IsEnabled()) return;
  auto found = m_routes.find(route);
  if (found == m_routes.end()) {
    if (m_routes.size() >= kMaxRoutes) return;
    found = m_routes.emplace(route, Latencies()).first;
  }
  Latencies& latencies = found->second;
  const int64_t number = SliceOf(now);
  while (!latencies.empty() &&
         latencies.front().number <= number - kWindow / kSliceTime) {
    latencies.pop_front();
  }
  if (latencies.empty() || latencies.back().number < number) {
    latencies.push_back({.number = number});
  }
  Slice& slice = latencies.back();
  uint16_t& bucket = slice.buckets[BucketOf(latency)];
  // A full bucket is as good as a sample.
  if (bucket == std::numeric_limits<uint16_t>::max()) return;
  ++bucket;
  ++slice.count;
}

std::optional<milliseconds> HedgePolicy::DelayOf(std::string_view route,
                                                 TimePoint now) const {
  const auto found = m_routes.find(route);
  if (!IsEnabled() || found == m_routes.end()) return std::nullopt;
  const int64_t oldest = SliceOf(now) - kWindow / kSliceTime + 1;
  std::array<uint32_t, kBuckets> sums{};
  uint32_t count = 0;
  for (const auto& slice : found->second) {
    if (slice.number < oldest) continue;
    count += slice.count;
    for (size_t i = 0; i < kBuckets; ++i) sums[i] += slice.buckets[i];
  }
  if (count < kMinSamples) return std::nullopt;
  double left = kQuantile * count;
  size_t bucket = 0;
  for (; bucket + 1 < kBuckets; ++bucket) {
    left -= sums[bucket];
    if (left <= 0) break;
  }
  return milliseconds(std::llround(std::ceil(UpperMs(bucket))));
}

HedgeVerdict HedgePolicy::Decide(const HedgeRequest& request, TimePoint now) {
  if (!request.idempotent || request.is_streamed || request.is_suspected) {
    return HedgeVerdict::kNotRepeatable;
  }
  // The first attempt has not ended and counts as one that may have arrived.
  if (request.offers + 1 >= request.max_attempts) {
    return HedgeVerdict::kAttempts;
  }
  const auto delay = DelayOf(request.route, now);
  if (!delay || request.deadline - now < *delay) return HedgeVerdict::kNoTime;
  if (request.target_load > kMaxTargetLoad) return HedgeVerdict::kTargetLoad;
  if (m_saved < 1) return HedgeVerdict::kBudget;
  m_saved -= 1;
  return HedgeVerdict::kSend;
}

void HedgePolicy::Return() { m_saved = std::min(kMaxSaved, m_saved + 1); }

}  // namespace kumquatmoor
