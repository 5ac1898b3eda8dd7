// A member's hash depends on its id and the organisation only. All nodes with
// the same view of the live members find the same authority, and the loss of a
// member moves only the organisations that it was the authority of.

#include "kumquatmoor/coordination/quota_limits.h"

#include <xxhash.h>

namespace kumquatmoor {

QuotaLimits ReadQuotaLimits(const Batch& batch) {
  QuotaLimits limits;
  for (const auto& organisation : batch.organisations()) {
    if (limits.size() >= kMaxQuotaOrganisations) break;
    // Not true for NaN.
    if (!(organisation.rate() > 0)) continue;
    limits[organisation.name()] = {
        .rate = organisation.rate(),
        .burst = organisation.burst() > 0 ? organisation.burst() : 0};
  }
  return limits;
}

const QuotaLimit* FindQuota(const QuotaLimits& limits,
                            std::string_view organisation) {
  if (limits.empty() || organisation.empty()) return nullptr;
  const auto found = limits.find(organisation);
  return found == limits.end() ? nullptr : &found->second;
}

const std::string* QuotaAuthorityOf(std::span<const std::string> ids,
                                    std::string_view organisation) {
  const uint64_t seed = XXH3_64bits(organisation.data(), organisation.size());
  const std::string* best = nullptr;
  uint64_t best_hash = 0;
  for (const auto& id : ids) {
    const uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), seed);
    if (best != nullptr && hash <= best_hash) continue;
    best = &id;
    best_hash = hash;
  }
  return best;
}

}  // namespace kumquatmoor
