// Two candidates are drawn at random and the less loaded one is taken. Of two
// candidates with lagging reports this keeps the herd from all running to the
// one target that was idle a moment ago. A refusal is believed before any
// report: who is full rests for a moment. Targets of other zones are candidates
// only when both draws in the own zone are full.

#include "kumquatmoor/state/picker.h"

#include <algorithm>
#include <vector>

namespace kumquatmoor {
namespace {

using Candidates = std::vector<const Target*>;

double ShareOf(const VersionRoutes& version, bool idempotent) {
  return idempotent ? version.read_share : version.write_share;
}

Candidates UntriedTargets(const VersionRoutes& version,
                          const PickOptions& options) {
  Candidates untried;
  for (const auto& target : version.targets) {
    const bool tried =
        options.tried != nullptr && options.tried->count(target.member_id) > 0;
    if (!tried) untried.push_back(&target);
  }
  return untried;
}

// Leaves out ejected targets unless that would leave out more than half.
Candidates HealthyTargets(const Candidates& targets, const TargetLoads& loads,
                          TimePoint now) {
  Candidates healthy;
  std::copy_if(targets.begin(), targets.end(), std::back_inserter(healthy),
               [&](const Target* target) {
                 return !loads.IsEjected(target->member_id, now);
               });
  return healthy.size() * 2 >= targets.size() ? healthy : targets;
}

// Leaves out targets that just said they are full, unless that leaves none.
Candidates TargetsWithRoom(const Candidates& targets, const TargetLoads& loads,
                           TimePoint now) {
  Candidates room;
  std::copy_if(targets.begin(), targets.end(), std::back_inserter(room),
               [&](const Target* target) {
                 return !loads.IsFull(target->member_id, now);
               });
  return room.empty() ? targets : room;
}

const Target* LessLoadedOfTwo(const Candidates& targets,
                              const TargetLoads& loads, TimePoint now,
                              std::mt19937_64& rng) {
  if (targets.empty()) return nullptr;
  std::uniform_int_distribution<size_t> draw(0, targets.size() - 1);
  const Target* first = targets[draw(rng)];
  const Target* second = targets[draw(rng)];
  return loads.LoadOf(*second, now) < loads.LoadOf(*first, now) ? second
                                                                : first;
}

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

Pick PickInVersion(const VersionRoutes& version, const PickOptions& options,
                   const TargetLoads& loads, TimePoint now,
                   std::mt19937_64& rng) {
  const Candidates healthy =
      HealthyTargets(UntriedTargets(version, options), loads, now);
  const Candidates all = TargetsWithRoom(healthy, loads, now);
  Candidates own_zone;
  std::copy_if(
      all.begin(), all.end(), std::back_inserter(own_zone),
      [&](const Target* target) { return target->zone == options.zone; });
  const Target* near = LessLoadedOfTwo(own_zone, loads, now, rng);
  if (near != nullptr && loads.LoadOf(*near, now) < 1) {
    return {.version = &version, .target = near, .reason = "own zone"};
  }
  const Target* any = LessLoadedOfTwo(all, loads, now, rng);
  if (any == nullptr) return {.version = &version, .reason = "none untried"};
  return {.version = &version,
          .target = any,
          .reason = near == nullptr ? "not in own zone" : "own zone is full"};
}

}  // namespace

void TargetLoads::OnSent(const std::string& member_id, TimePoint now) {
  Entry& entry = m_entries[member_id];
  if (entry.first_sent == TimePoint()) entry.first_sent = now;
  ++entry.in_flight;
}

void TargetLoads::OnDone(const std::string& member_id, bool failed,
                         TimePoint now) {
  Entry& entry = m_entries[member_id];
  if (entry.in_flight > 0) --entry.in_flight;
  if (!failed) {
    entry.failures_in_a_row = 0;
    entry.ejections_in_a_row = 0;
    return;
  }
  ++entry.failures_in_a_row;
  if (entry.failures_in_a_row < m_options.ejection_failures) return;
  const uint32_t doublings = std::min(entry.ejections_in_a_row, 10U);
  const auto duration = std::min(m_options.first_ejection * (1U << doublings),
                                 m_options.longest_ejection);
  entry.ejected_until = now + duration;
  entry.failures_in_a_row = 0;
  ++entry.ejections_in_a_row;
}

void TargetLoads::OnRefused(const std::string& member_id, TimePoint now) {
  Entry& entry = m_entries[member_id];
  entry.ejected_until =
      std::max(entry.ejected_until, now + m_options.refusal_ejection);
}

void TargetLoads::OnFull(const std::string& member_id, TimePoint now) {
  m_entries[member_id].full_until = now + m_options.full_rest;
}

void TargetLoads::OnReport(const std::string& member_id, uint32_t in_flight,
                           TimePoint now) {
  Entry& entry = m_entries[member_id];
  entry.reported = in_flight;
  entry.reported_at = now;
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
  if (now - entry.reported_at < m_options.report_lifetime) {
    in_flight = std::max(in_flight, entry.reported);
  }
  double load = static_cast<double>(in_flight) / target.slots;
  if (now - entry.first_sent < m_options.slow_start) load *= 2;
  return load;
}

Pick PickTarget(const ServiceRoutes& service, const PickOptions& options,
                const TargetLoads& loads, TimePoint now, std::mt19937_64& rng) {
  std::vector<const VersionRoutes*> versions;
  for (const auto& version : service.versions) versions.push_back(&version);
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
