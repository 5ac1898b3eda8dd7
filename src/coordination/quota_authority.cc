// A bucket that is made for the first request of an organisation is filled as
// if it had been made at the last change of the members: that is the latest
// time at which this node can have become the authority. An organisation that
// has been idle thus finds its tokens.
//
// While tokens are short, a node gets a part of those in the bucket by what it
// wants of all that was wanted in the last moments, and at least one. Its next
// request comes after the time in which the bucket gets what is wanted.

#include "kumquatmoor/coordination/quota_authority.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDemandWindow{150};
// Interval of the requests of a node that is short of tokens.
constexpr milliseconds kMaxShortInterval{150};
// Longest time that a denial states. The quota may be raised meanwhile.
constexpr milliseconds kMaxRetryAfter{5'000};
// A node gets twice its part, as not all of the others ask again before the
// bucket is refilled.
constexpr double kPartFactor = 2;
// A bucket has at most twice as many entries as nodes that hold tokens, or this
// number.
constexpr size_t kMinNodesToPrune = 128;

double Seconds(Clock::duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void QuotaAuthority::SetMembers(QuotaMembers members, TimePoint now) {
  Advance(now);
  for (auto& [name, bucket] : m_buckets) Refill(bucket, now);
  m_members = members;
  m_since = now;
}

void QuotaAuthority::Advance(TimePoint now) {
  const auto gap = now - m_last_tick;
  const TimePoint last = m_last_tick;
  m_last_tick = std::max(m_last_tick, now);
  if (gap <= kMaxTickInterval) return;
  const bool is_replaced = gap >= kStartTime;
  m_since = is_replaced ? now : m_since + gap;
  for (auto& [name, bucket] : m_buckets) {
    Refill(bucket, last);
    bucket.refilled = now;
    if (!is_replaced) continue;
    bucket.tokens = 0;
    bucket.born = now;
  }
}

void QuotaAuthority::Forget(
    const std::function<bool(std::string_view)>& is_authority) {
  std::erase_if(m_buckets,
                [&](const auto& entry) { return !is_authority(entry.first); });
}

double QuotaAuthority::Scale() const {
  if (m_members.known <= m_members.visible) return 1;
  return static_cast<double>(m_members.visible) /
         static_cast<double>(m_members.known);
}

double QuotaAuthority::CapacityOf(const Bucket& bucket) const {
  const double spread = bucket.limit.rate * Seconds(kQuotaSpread);
  return std::max(1.0, Scale() * std::max(bucket.limit.burst, spread));
}

void QuotaAuthority::Refill(Bucket& bucket, TimePoint now) const {
  if (now <= bucket.refilled) return;
  const TimePoint full_rate_at = bucket.born + kStartTime;
  const auto all = now - bucket.refilled;
  const auto slow =
      std::clamp(full_rate_at - bucket.refilled, Clock::duration(0), all);
  bucket.tokens +=
      (Seconds(all) - Seconds(slow) / 2) * bucket.limit.rate * Scale();
  bucket.tokens = std::min(bucket.tokens, CapacityOf(bucket));
  bucket.refilled = now;
}

// Only a full bucket may be dropped: a new one for the same organisation would
// have at most as much.
bool QuotaAuthority::EvictFullBucket(TimePoint now) {
  for (auto it = m_buckets.begin(); it != m_buckets.end(); ++it) {
    Refill(it->second, now);
    if (it->second.tokens < CapacityOf(it->second)) continue;
    m_buckets.erase(it);
    return true;
  }
  return false;
}

QuotaAuthority::Bucket* QuotaAuthority::FindOrAdd(
    const std::string& organisation, QuotaLimit limit, TimePoint now) {
  const auto found = m_buckets.find(organisation);
  if (found != m_buckets.end()) {
    Bucket& bucket = found->second;
    Refill(bucket, now);
    bucket.limit = limit;
    bucket.tokens = std::min(bucket.tokens, CapacityOf(bucket));
    return &bucket;
  }
  if (m_buckets.size() >= kMaxQuotaOrganisations && !EvictFullBucket(now)) {
    return nullptr;
  }
  Bucket& bucket = m_buckets[organisation];
  bucket = {.limit = limit,
            .born = m_since,
            .refilled = m_since,
            .window_start = now,
            .prune_at = kMinNodesToPrune};
  Refill(bucket, now);
  return &bucket;
}

// Returns that exceed what the node has are those of a damaged or repeated
// datagram.
void QuotaAuthority::TakeBack(Bucket& bucket, uint64_t node, uint32_t returned,
                              TimePoint now) const {
  const auto found = bucket.nodes.find(node);
  if (found == bucket.nodes.end()) return;
  Outstanding& outstanding = found->second;
  if (outstanding.expires <= now) {
    bucket.nodes.erase(found);
    return;
  }
  const uint32_t taken = std::min(returned, outstanding.tokens);
  outstanding.tokens -= taken;
  bucket.tokens = std::min(bucket.tokens + taken, CapacityOf(bucket));
}

void QuotaAuthority::CountDemand(Bucket& bucket, double wanted, TimePoint now) {
  const auto age = now - bucket.window_start;
  if (age >= kDemandWindow) {
    bucket.wanted_before = age < 2 * kDemandWindow ? bucket.wanted : 0;
    bucket.wanted = 0;
    bucket.window_start = now;
  }
  bucket.wanted += wanted;
}

milliseconds QuotaAuthority::RetryAfter(const Bucket& bucket) const {
  const double rate = bucket.limit.rate * Scale();
  const double next = std::max(0.0, 1 - bucket.tokens) / rate;
  const double all = (bucket.wanted + bucket.wanted_before) / rate;
  const double wait = std::max(next, std::min(all, Seconds(kMaxShortInterval)));
  const double limited = std::min(wait, Seconds(kMaxRetryAfter));
  return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(
                                       std::chrono::duration<double>(limited)));
}

std::optional<QuotaGrant> QuotaAuthority::Answer(std::string_view node,
                                                 const QuotaRequest& request,
                                                 QuotaLimit limit,
                                                 TimePoint now) {
  Advance(now);
  QuotaGrant grant;
  grant.set_organisation(request.organisation());
  grant.set_is_authority(true);
  Bucket* bucket = FindOrAdd(request.organisation(), limit, now);
  if (bucket == nullptr) {
    if (request.wanted() == 0) return std::nullopt;
    grant.set_retry_after_ms(static_cast<uint32_t>(kStartTime.count()));
    return grant;
  }
  const uint64_t key = XXH3_64bits(node.data(), node.size());
  if (request.returned() > 0) TakeBack(*bucket, key, request.returned(), now);
  if (request.wanted() == 0) return std::nullopt;
  const double wanted = request.wanted();
  CountDemand(*bucket, wanted, now);
  const double available = std::floor(bucket->tokens);
  const double all = bucket->wanted + bucket->wanted_before;
  double part = std::min(wanted, available);
  if (all > available) {
    const double fair = std::floor(kPartFactor * available * wanted / all);
    part = std::min(part, std::max(fair, 1.0));
  }
  bucket->tokens -= part;
  if (part < wanted) {
    grant.set_retry_after_ms(
        static_cast<uint32_t>(RetryAfter(*bucket).count()));
  }
  if (part < 1) return grant;
  grant.set_tokens(static_cast<uint32_t>(part));
  grant.set_valid_ms(static_cast<uint32_t>(kQuotaValidity.count()));
  if (bucket->nodes.size() >= bucket->prune_at) {
    std::erase_if(bucket->nodes, [&](const auto& entry) {
      return entry.second.expires <= now;
    });
    bucket->prune_at = std::max(kMinNodesToPrune, 2 * bucket->nodes.size());
  }
  Outstanding& outstanding = bucket->nodes[key];
  if (outstanding.expires <= now) outstanding.tokens = 0;
  outstanding.tokens += grant.tokens();
  outstanding.expires = now + kQuotaValidity;
  return grant;
}

}  // namespace kumquatmoor
