// Power of d choices: a few candidates are drawn at random and the one with the
// lowest cost gets the request. Load reports lag, and choosing the cheapest of
// all targets would send the requests of all callers to the same target until
// its next report (herding).
//
// A refusal takes precedence over load reports: a target that refused as full
// gets no requests for a short time. Targets of other zones are candidates only
// if the target chosen in the own zone is full. Targets of a packed version are
// filled in the order of their ids.
//
// A version without a target that may be tried is dropped, and another version
// is drawn.

#include "kumquatmoor/state/picker.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace kumquatmoor {
namespace {

using Candidates = std::vector<const Target*>;
using std::chrono::milliseconds;

// Routes of a target whose run times are kept. Bounds memory.
constexpr size_t kMaxRoutesPerTarget = 64;

double ShareOf(const VersionRoutes& version, bool idempotent) {
  return idempotent ? version.read_share : version.write_share;
}

// Skips the targets that were tried, and those that would refuse the request
// for the sake of their retry budget.
Candidates UntriedTargets(const VersionRoutes& version,
                          const PickOptions& options, const TargetLoads& loads,
                          TimePoint now) {
  Candidates untried;
  for (const auto& target : version.targets) {
    const bool tried =
        options.tried != nullptr && options.tried->count(target.member_id) > 0;
    const bool denied =
        loads.IsRetryDenied(target.member_id, options.kind, now);
    if (!tried && !denied) untried.push_back(&target);
  }
  return untried;
}

// Skips unreachable targets, unless all are unreachable.
Candidates ReachableTargets(const Candidates& targets, const TargetLoads& loads,
                            TimePoint now) {
  Candidates reachable;
  std::copy_if(targets.begin(), targets.end(), std::back_inserter(reachable),
               [&](const Target* target) {
                 return !loads.IsUnreachable(target->member_id, now);
               });
  return reachable.empty() ? targets : reachable;
}

// Mean failure rate of all targets but `subject`. 1 if there are no others, so
// that a single target is never an outlier.
double FailureRateOfOthers(const Candidates& targets, const Target* subject,
                           const TargetLoads& loads, TimePoint now) {
  if (targets.size() < 2) return 1;
  double sum = 0;
  for (const auto* target : targets) {
    if (target != subject) sum += loads.FailureRate(target->member_id, now);
  }
  return sum / static_cast<double>(targets.size() - 1);
}

// Skips ejected targets and outliers, unless they are more than half of the
// targets.
Candidates HealthyTargets(const Candidates& targets, const TargetLoads& loads,
                          TimePoint now) {
  Candidates healthy;
  std::copy_if(targets.begin(), targets.end(), std::back_inserter(healthy),
               [&](const Target* target) {
                 if (loads.IsEjected(target->member_id, now)) return false;
                 return !loads.IsOutlier(
                     target->member_id,
                     FailureRateOfOthers(targets, target, loads, now), now);
               });
  return healthy.size() * 2 >= targets.size() ? healthy : targets;
}

// Skips targets that refused a request as full a moment ago, unless all did.
Candidates TargetsNotFull(const Candidates& targets, const TargetLoads& loads,
                          TimePoint now) {
  Candidates not_full;
  std::copy_if(targets.begin(), targets.end(), std::back_inserter(not_full),
               [&](const Target* target) {
                 return !loads.IsFull(target->member_id, now);
               });
  return not_full.empty() ? targets : not_full;
}

// The cost of one more request: the target's expected run time, since targets
// of a service differ in speed, times the load with it. While slots are free
// the load makes no difference: the request would not wait. A target without a
// run time counts as fast, so that it gets requests.
double CostOf(const Target& target, const PickOptions& options,
              const TargetLoads& loads, TimePoint now) {
  const double load = std::max(loads.Options().free_load,
                               loads.LoadOf(target, now) + 1.0 / target.slots);
  const double run_time_ms =
      std::max(1.0, loads.RunTimeMs(target.member_id, options.route, now));
  const double cost = load * run_time_ms;
  if (!options.bulk) return cost;
  const milliseconds link_wait = loads.LinkWait(target.member_id, now);
  return cost + static_cast<double>(link_wait.count());
}

// The cheapest of a few targets that are drawn at random, or nullptr.
const Target* CheapestOfFew(const Candidates& targets,
                            const PickOptions& options,
                            const TargetLoads& loads, TimePoint now,
                            std::mt19937_64& rng) {
  if (targets.empty()) return nullptr;
  std::uniform_int_distribution<size_t> draw(0, targets.size() - 1);
  const Target* cheapest = nullptr;
  double lowest_cost = 0;
  for (int i = 0; i < loads.Options().choices; ++i) {
    const Target* target = targets[draw(rng)];
    const double cost = CostOf(*target, options, loads, now);
    if (cheapest != nullptr && cost >= lowest_cost) continue;
    cheapest = target;
    lowest_cost = cost;
  }
  return cheapest;
}

// Whether a target of the own zone can take the request, so that no other zone
// has to.
bool HasRoom(const Target& target, const PickOptions& options,
             const TargetLoads& loads, TimePoint now) {
  if (loads.LoadOf(target, now) >= 1) return false;
  return !options.bulk || loads.LinkWait(target.member_id, now) <=
                              loads.Options().max_link_wait_in_zone;
}

// The first target, by id, with a load below `packed_load`, or nullptr.
const Target* FirstBelowPackedLoad(const Candidates& targets,
                                   const TargetLoads& loads, TimePoint now) {
  Candidates ordered = targets;
  std::sort(ordered.begin(), ordered.end(),
            [](const Target* a, const Target* b) {
              return a->member_id < b->member_id;
            });
  const auto found =
      std::find_if(ordered.begin(), ordered.end(), [&](const Target* target) {
        return loads.LoadOf(*target, now) < loads.Options().packed_load;
      });
  return found == ordered.end() ? nullptr : *found;
}

// Draws a version by its share. Returns nullptr if all shares are 0.
const VersionRoutes* DrawVersion(
    const std::vector<const VersionRoutes*>& versions, bool idempotent,
    std::mt19937_64& rng) {
  double sum = 0;
  for (const auto* version : versions) sum += ShareOf(*version, idempotent);
  if (sum <= 0) return nullptr;
  std::uniform_real_distribution<double> draw(0, sum);
  double left = draw(rng);
  for (const auto* version : versions) {
    left -= ShareOf(*version, idempotent);
    if (left < 0) return version;
  }
  return versions.back();
}

// The target with the highest hash of its id and the key (rendezvous hashing),
// or nullptr.
const Target* PinnedTarget(const Candidates& targets, std::string_view key) {
  const Target* pinned = nullptr;
  uint64_t highest = 0;
  for (const Target* target : targets) {
    const std::string text = target->member_id + '\n' + std::string(key);
    const uint64_t hash = XXH3_64bits(text.data(), text.size());
    if (pinned != nullptr && hash < highest) continue;
    pinned = target;
    highest = hash;
  }
  return pinned;
}

Pick PickInVersion(const VersionRoutes& version, const PickOptions& options,
                   const TargetLoads& loads, TimePoint now,
                   std::mt19937_64& rng) {
  const Candidates healthy = HealthyTargets(
      ReachableTargets(UntriedTargets(version, options, loads, now), loads,
                       now),
      loads, now);
  if (!options.pinned_key.empty()) {
    const Target* pinned = PinnedTarget(healthy, options.pinned_key);
    return {.version = &version,
            .target = pinned,
            .reason = pinned == nullptr ? "none untried" : "pinned"};
  }
  const Candidates candidates = TargetsNotFull(healthy, loads, now);
  Candidates own_zone;
  std::copy_if(
      candidates.begin(), candidates.end(), std::back_inserter(own_zone),
      [&](const Target* target) { return target->zone == options.zone; });
  if (version.packed) {
    const Target* packed = FirstBelowPackedLoad(own_zone, loads, now);
    if (packed != nullptr) {
      return {.version = &version, .target = packed, .reason = "packed"};
    }
  }
  const Target* local = CheapestOfFew(own_zone, options, loads, now, rng);
  if (local != nullptr && HasRoom(*local, options, loads, now)) {
    return {.version = &version, .target = local, .reason = "own zone"};
  }
  const Target* any = CheapestOfFew(candidates, options, loads, now, rng);
  if (any == nullptr) return {.version = &version, .reason = "none untried"};
  return {.version = &version,
          .target = any,
          .reason = local == nullptr ? "not in own zone" : "own zone is full"};
}

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

double TargetLoads::LoadOf(const Target& target, TimePoint now) const {
  auto found = m_entries.find(target.member_id);
  if (found == m_entries.end()) return 0;
  const Entry& entry = found->second;
  uint32_t in_flight = entry.in_flight;
  if (now - entry.reported_at < m_options.max_report_age) {
    in_flight = std::max(in_flight, entry.reported);
  }
  double load = static_cast<double>(in_flight) / target.slots;
  if (now - entry.first_sent < m_options.slow_start) load *= 2;
  return load;
}

Pick PickTarget(const ServiceRoutes& service, const PickOptions& options,
                const TargetLoads& loads, TimePoint now, std::mt19937_64& rng) {
  std::vector<const VersionRoutes*> versions;
  for (const auto& version : service.versions) {
    if (options.blocked_versions == nullptr ||
        options.blocked_versions->count(version.version) == 0) {
      versions.push_back(&version);
    }
  }
  if (versions.empty() && !service.versions.empty()) {
    return {.reason = "the request crashes backend servers"};
  }
  while (!versions.empty()) {
    const auto* version = DrawVersion(versions, options.idempotent, rng);
    if (version == nullptr) break;
    const Pick pick = PickInVersion(*version, options, loads, now, rng);
    if (pick.target != nullptr) return pick;
    versions.erase(std::find(versions.begin(), versions.end(), version));
  }
  return {.reason = "no live target"};
}

}  // namespace kumquatmoor
