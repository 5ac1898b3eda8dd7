#ifndef KUMQUATMOOR_COORDINATION_QUOTA_AUTHORITY_H_
#define KUMQUATMOOR_COORDINATION_QUOTA_AUTHORITY_H_

// QuotaAuthority: grants the tokens of organisations' quotas to nodes.
//
//   QuotaAuthority authority(now);
//   authority.SetMembers({.visible = 75, .known = 76}, now);  // On a change.
//   authority.Advance(now);                                   // On each tick.
//   const auto grant = authority.Answer("node-7", request, limit, now);
//
// Each organisation has a token bucket. A token that was granted counts as
// spent unless the node returns it. The caller decides whether this node is the
// authority of an organisation; see QuotaAuthorityOf(). It must call Forget()
// once it no longer is.
//
// A new authority starts with an empty bucket and half the rate for a second,
// since grants of its predecessor may be outstanding. The same holds after a
// pause of the process of a second or more. Rates and bursts are scaled by the
// visible part of the known members, so that the sides of a network partition
// share the limit.
//
// Time is an argument; it must include the time for which the host was
// suspended. Not thread-safe.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "control.pb.h"
#include "kumquatmoor/coordination/quota_limits.h"
#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

struct QuotaMembers {
  size_t visible = 1;  // Live members, with this node.
  size_t known = 1;    // The same and those that are suspected or dead.

  bool operator==(const QuotaMembers&) const = default;
};

class QuotaAuthority {
 public:
  // Time for which a new authority has half the rate.
  static constexpr std::chrono::milliseconds kStartTime{1'000};
  // The rate is not credited for a longer time between two calls of Advance():
  // the nodes have served by their fallback.
  static constexpr std::chrono::milliseconds kMaxTickInterval{200};

  explicit QuotaAuthority(TimePoint now) : m_since(now), m_last_tick(now) {}

  // Sets the number of members. Buckets that are made later start at `now`.
  void SetMembers(QuotaMembers members, TimePoint now);
  // Detects pauses of the process. Call at least every 100 ms.
  void Advance(TimePoint now);
  // Answers a request of `node`. `limit` is the organisation's quota in the
  // batch in force; a changed one applies at once. A request that only returns
  // tokens gets no reply.
  std::optional<QuotaGrant> Answer(std::string_view node,
                                   const QuotaRequest& request,
                                   QuotaLimit limit, TimePoint now);
  // Drops the buckets of the organisations for which `is_authority` is false.
  void Forget(const std::function<bool(std::string_view)>& is_authority);
  // Organisations with a bucket.
  size_t Size() const { return m_buckets.size(); }

 private:
  // Tokens of a node that it may return.
  struct Outstanding {
    uint32_t tokens = 0;
    TimePoint expires;
  };
  struct Bucket {
    QuotaLimit limit;
    double tokens = 0;
    TimePoint born;
    TimePoint refilled;
    // Tokens asked for in the present and in the previous demand window.
    double wanted = 0;
    double wanted_before = 0;
    TimePoint window_start;
    std::unordered_map<uint64_t, Outstanding> nodes;  // By hash of the id.
    size_t prune_at = 0;  // Number of entries at which expired ones are erased.
  };

  Bucket* FindOrAdd(const std::string& organisation, QuotaLimit limit,
                    TimePoint now);
  bool EvictFullBucket(TimePoint now);
  double Scale() const;
  double CapacityOf(const Bucket& bucket) const;
  void Refill(Bucket& bucket, TimePoint now) const;
  void TakeBack(Bucket& bucket, uint64_t node, uint32_t returned,
                TimePoint now) const;
  static void CountDemand(Bucket& bucket, double wanted, TimePoint now);
  std::chrono::milliseconds RetryAfter(const Bucket& bucket) const;

  QuotaMembers m_members;
  TimePoint m_since;  // Since when buckets of this process may grow.
  TimePoint m_last_tick;
  std::map<std::string, Bucket, std::less<>> m_buckets;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_QUOTA_AUTHORITY_H_
