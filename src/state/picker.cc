// Power of d choices: a few candidates are drawn at random and the one with the
// lowest cost gets the request. Load reports lag, and choosing the cheapest of
// all targets would send the requests of all callers to the same target until
// its next report (herding).
//
// A refusal takes precedence over load reports: a target that refused as full
// gets no requests for a short time. Targets of other zones are candidates only
// if the target chosen in the own zone is full. Targets of a packed version are
// filled in the order of their ids. A cold target is a candidate of only so
// many requests as it may get; the node beside it enforces the limit.
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

// Skips cold targets at random, so that they are candidates in proportion to
// the part of their usual rate that they may get. Skips none if all would be.
Candidates WithoutColdTargets(const Candidates& targets,
                              const TargetLoads& loads, TimePoint now,
                              std::mt19937_64& rng) {
  std::uniform_real_distribution<double> draw(0, 1);
  Candidates accepted;
  std::copy_if(targets.begin(), targets.end(), std::back_inserter(accepted),
               [&](const Target* target) {
                 return target->cold_rate <= 0 ||
                        draw(rng) < loads.UsableShare(*target, now);
               });
  return accepted.empty() ? targets : accepted;
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
  const Candidates candidates =
      WithoutColdTargets(TargetsNotFull(healthy, loads, now), loads, now, rng);
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
