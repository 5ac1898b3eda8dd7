// What a node knows of the load of targets, from their reports and from what
// became of its own requests.

#include <algorithm>

#include "kumquatmoor/state/picker.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Routes of a target whose run times are kept. Bounds memory.
constexpr size_t kMaxRoutesPerTarget = 64;
constexpr double kMsPerSecond = 1'000;
// Of a request at a target whose run time is not known.
constexpr double kAssumedRunTimeMs = 100;
// A cold target counts with at least this part of its slots, so that some
// requests show its state.
constexpr double kMinUsableShare = 0.01;

}  // namespace

void TargetLoads::OnSent(const std::string& member_id, TimePoint now) {
  Entry& entry = m_entries[member_id];
  if (entry.first_sent == TimePoint()) entry.first_sent = now;
  // Half-open circuit breaker: this request probes a target that could not be
  // reached; other requests skip the target for `base_unreachable_time`.
  if (entry.consecutive_unreachable > 0) {
    entry.unreachable_until = now + m_options.base_unreachable_time;
  }
  ++entry.in_flight;
}

void TargetLoads::OnUnreachable(const std::string& member_id, TimePoint now) {
  Entry& entry = m_entries[member_id];
  const uint32_t doublings = std::min(entry.consecutive_unreachable, 10U);
  entry.unreachable_until =
      now + std::min(m_options.base_unreachable_time * (1U << doublings),
                     m_options.max_unreachable_time);
  ++entry.consecutive_unreachable;
}

bool TargetLoads::IsUnreachable(const std::string& member_id,
                                TimePoint now) const {
  auto found = m_entries.find(member_id);
  return found != m_entries.end() && now < found->second.unreachable_until;
}

double TargetLoads::FailureRate(const std::string& member_id,
                                TimePoint now) const {
  auto found = m_entries.find(member_id);
  if (found == m_entries.end()) return 0;
  const std::chrono::duration<double> age = now - found->second.failure_rate_at;
  const std::chrono::duration<double> half_life = m_options.failure_half_life;
  return found->second.failure_rate * std::exp2(-age / half_life);
}

bool TargetLoads::IsOutlier(const std::string& member_id,
                            double failure_rate_of_others,
                            TimePoint now) const {
  const double rate = FailureRate(member_id, now);
  return rate > m_options.outlier_failure_rate &&
         rate > m_options.outlier_rate_ratio * failure_rate_of_others;
}

double TargetLoads::RunTimeMs(const std::string& member_id,
                              std::string_view route, TimePoint now) const {
  auto found = m_entries.find(member_id);
  if (found == m_entries.end()) return 0;
  const auto& run_times = found->second.run_times;
  const auto reported = run_times.find(route);
  const RunTime& known =
      reported == run_times.end() ? found->second.latency : reported->second;
  const std::chrono::duration<double> age = now - known.at;
  const std::chrono::duration<double> half_life = m_options.run_time_half_life;
  return known.ms * std::exp2(-age / half_life);
}

void TargetLoads::OnDone(const std::string& member_id, bool failed,
                         TimePoint now,
                         std::optional<std::chrono::milliseconds> latency) {
  const double rate = FailureRate(member_id, now);
  Entry& entry = m_entries[member_id];
  if (entry.in_flight > 0) --entry.in_flight;
  entry.failure_rate = rate + m_options.ewma_weight * (failed - rate);
  entry.failure_rate_at = now;
  if (latency) {
    const auto ms = static_cast<double>(latency->count());
    const double weight = entry.latency.ms == 0 ? 1 : m_options.ewma_weight;
    entry.latency.ms += weight * (ms - entry.latency.ms);
    entry.latency.at = now;
  }
  if (!failed) entry.consecutive_unreachable = 0;
  if (!failed) {
    entry.consecutive_failures = 0;
    entry.consecutive_ejections = 0;
    return;
  }
  ++entry.consecutive_failures;
  if (entry.consecutive_failures < m_options.consecutive_failures_to_eject)
    return;
  const uint32_t doublings = std::min(entry.consecutive_ejections, 10U);
  const auto duration =
      std::min(m_options.base_ejection_time * (1U << doublings),
               m_options.max_ejection_time);
  entry.ejected_until = now + duration;
  entry.consecutive_failures = 0;
  ++entry.consecutive_ejections;
}

void TargetLoads::OnRefused(const std::string& member_id, TimePoint now) {
  Entry& entry = m_entries[member_id];
  entry.ejected_until =
      std::max(entry.ejected_until, now + m_options.refusal_ejection_time);
}

void TargetLoads::OnFull(const std::string& member_id, TimePoint now,
                         std::chrono::milliseconds backoff) {
  m_entries[member_id].full_until = now + backoff;
}

void TargetLoads::OnRetryDenied(const std::string& member_id, AttemptKind kind,
                                TimePoint now) {
  m_entries[member_id].retry_denied_until[static_cast<size_t>(kind)] =
      now + m_options.retry_denied_backoff;
}

bool TargetLoads::IsRetryDenied(const std::string& member_id, AttemptKind kind,
                                TimePoint now) const {
  auto found = m_entries.find(member_id);
  return found != m_entries.end() &&
         now < found->second.retry_denied_until[static_cast<size_t>(kind)];
}

void TargetLoads::OnReport(const std::string& member_id,
                           const LoadReport& report, TimePoint now) {
  Entry& entry = m_entries[member_id];
  entry.reported = report.in_flight;
  entry.reported_at = now;
  entry.link_idle_at = now + report.link_wait;
  if (report.run_time.count() == 0) return;
  const auto found = entry.run_times.find(report.route);
  const RunTime run_time{.ms = static_cast<double>(report.run_time.count()),
                         .at = now};
  if (found != entry.run_times.end()) {
    found->second = run_time;
  } else if (entry.run_times.size() < kMaxRoutesPerTarget) {
    entry.run_times.emplace(report.route, run_time);
  }
}

milliseconds TargetLoads::LinkWait(const std::string& member_id,
                                   TimePoint now) const {
  auto found = m_entries.find(member_id);
  if (found == m_entries.end()) return milliseconds(0);
  const auto wait = std::chrono::duration_cast<milliseconds>(
      found->second.link_idle_at - now);
  return std::max(milliseconds(0), wait);
}

bool TargetLoads::IsEjected(const std::string& member_id, TimePoint now) const {
  auto found = m_entries.find(member_id);
  return found != m_entries.end() && now < found->second.ejected_until;
}

bool TargetLoads::IsFull(const std::string& member_id, TimePoint now) const {
  auto found = m_entries.find(member_id);
  return found != m_entries.end() && now < found->second.full_until;
}

double TargetLoads::UsableShare(const Target& target, TimePoint now) const {
  if (target.cold_rate <= 0) return 1;
  const double known_ms = RunTimeMs(target.member_id, "", now);
  const double run_time_ms = known_ms > 0 ? known_ms : kAssumedRunTimeMs;
  const double usual_rate = target.slots * kMsPerSecond / run_time_ms;
  return std::clamp(target.cold_rate / usual_rate, kMinUsableShare, 1.0);
}

double TargetLoads::LoadOf(const Target& target, TimePoint now) const {
  auto found = m_entries.find(target.member_id);
  if (found == m_entries.end()) return 0;
  const Entry& entry = found->second;
  uint32_t in_flight = entry.in_flight;
  if (now - entry.reported_at < m_options.max_report_age) {
    in_flight = std::max(in_flight, entry.reported);
  }
  double load = in_flight / (target.slots * UsableShare(target, now));
  if (now - entry.first_sent < m_options.slow_start) load *= 2;
  return load;
}

}  // namespace kumquatmoor
