#ifndef KUMQUATMOOR_COORDINATION_QUOTA_LIMITS_H_
#define KUMQUATMOOR_COORDINATION_QUOTA_LIMITS_H_

// The quotas of a batch, and the member that grants the tokens of one.
//
//   const QuotaLimits limits = ReadQuotaLimits(batch);
//   if (const QuotaLimit* limit = FindQuota(limits, "acme")) ...
//   const std::string* authority = QuotaAuthorityOf(live_ids, "acme");
//
// Pure functions.

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "control.pb.h"

namespace kumquatmoor {

// Time for which granted tokens may be used. With it and a capacity of at most
// max(burst, kQuotaSpread * rate), the tokens used in any 5 s are at most
// burst + 5.5 * rate, whatever part of the earlier grants was still unused.
inline constexpr std::chrono::milliseconds kQuotaValidity{400};
// Least capacity of a bucket, as a time at its rate. With less, tokens are lost
// between the requests of the nodes that are short of them.
inline constexpr std::chrono::milliseconds kQuotaSpread{100};
// Organisations for which a node keeps state of quotas.
inline constexpr size_t kMaxQuotaOrganisations = 4'096;

struct QuotaLimit {
  double rate = 0;   // Requests per second over all nodes.
  double burst = 0;  // Requests that may exceed the rate at once.
};

using QuotaLimits = std::map<std::string, QuotaLimit, std::less<>>;

// The organisations of `batch` that have a rate, up to kMaxQuotaOrganisations.
QuotaLimits ReadQuotaLimits(const Batch& batch);
// Returns nullptr if the organisation has no quota.
const QuotaLimit* FindQuota(const QuotaLimits& limits,
                            std::string_view organisation);
// The id with the highest rendezvous hash for the organisation. Returns nullptr
// if `ids` is empty.
const std::string* QuotaAuthorityOf(std::span<const std::string> ids,
                                    std::string_view organisation);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_QUOTA_LIMITS_H_
