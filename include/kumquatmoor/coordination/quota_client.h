#ifndef KUMQUATMOOR_COORDINATION_QUOTA_CLIENT_H_
#define KUMQUATMOOR_COORDINATION_QUOTA_CLIENT_H_

// QuotaClient: a node's tokens of organisations' quotas, and its requests to
// the quota authorities for more.
//
//   QuotaClient client(seed);
//   client.SetLimits(limits, known_members, now);
//   const QuotaDecision decision = client.Take("acme", now);
//   if (const auto* denied = std::get_if<QuotaDenied>(&decision)) {
//     Refuse(denied->retry_after);
//   }
//   if (client.NextRequestsAt() <= now) Send(client.PopRequests(now));
//   client.OnGrant(grant, sent, now);
//
// While the node holds tokens, no request waits: it asks for more before they
// run out, by its demand of the last second. A request without a token waits
// for the reply, for at most kMaxWait. Take() has then returned QuotaWait, and
// the caller must end the wait with TakeWaiting() or StopWaiting().
//
// If the authority does not reply for kFallbackDelay, the node grants itself a
// part of the rate until an authority replies.
//
// Time is an argument; it must include the time for which the host was
// suspended. Not thread-safe.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/coordination/quota_limits.h"
#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

struct QuotaTaken {
  bool is_fallback = false;  // The token is not from an authority.
};
struct QuotaDenied {
  std::chrono::milliseconds retry_after{0};
};
struct QuotaWait {};
using QuotaDecision = std::variant<QuotaTaken, QuotaDenied, QuotaWait>;

class QuotaClient {
 public:
  // Longest wait of a request for a token.
  static constexpr std::chrono::milliseconds kMaxWait{100};
  // Time without a reply after which a request is repeated, and after which the
  // node falls back. A second repetition fits into the latter, which is less
  // than kMaxWait, so that a request that waits may get a token of the
  // fallback.
  static constexpr std::chrono::milliseconds kRepeatDelay{40};
  static constexpr std::chrono::milliseconds kFallbackDelay{95};
  // Interval of the requests in the fallback.
  static constexpr std::chrono::milliseconds kFallbackInterval{250};

  explicit QuotaClient(uint64_t seed) : m_rng(seed) {}

  // Sets the quotas of the batch in force and the number of known members.
  void SetLimits(std::shared_ptr<const QuotaLimits> limits,
                 size_t known_members);
  // The authority of some organisations is another member now. Repeats what was
  // not answered.
  void OnMembersChanged();
  bool HasQuota(std::string_view organisation) const {
    return m_limits != nullptr && FindQuota(*m_limits, organisation) != nullptr;
  }

  // Decides a new request of the organisation, which must have a quota.
  QuotaDecision Take(std::string_view organisation, TimePoint now);
  // Decides a waiting request again. The wait ends unless it returns QuotaWait.
  QuotaDecision TakeWaiting(std::string_view organisation, TimePoint now);
  // Ends the wait of a request at its time limit, and decides it.
  QuotaDecision StopWaiting(std::string_view organisation, TimePoint now);
  // Returns the token that a request took at `taken`: the request has not run.
  // Tokens that were taken longer ago than kQuotaValidity are not used again.
  void Return(std::string_view organisation, TimePoint taken, TimePoint now);

  // When PopRequests() should be called; TimePoint::max() if nothing is to be
  // asked or returned.
  TimePoint NextRequestsAt() const { return m_next_requests; }
  // The requests to send now, one for an organisation.
  std::vector<QuotaRequest> PopRequests(TimePoint now);
  // Takes over the reply to a request that was sent at `sent`. Its tokens
  // expire by that time, so that a slow reply does not extend them.
  void OnGrant(const QuotaGrant& grant, TimePoint sent, TimePoint now);
  // Organisations with state.
  size_t Size() const { return m_states.size(); }

 private:
  struct Tokens {
    uint32_t count = 0;
    TimePoint expires;
  };
  // Requests of the last second, by quarter.
  class Demand {
   public:
    void Add(TimePoint now);
    // Requests per second: of the last second, or of a part of it if that part
    // alone has more.
    double Rate(TimePoint now);

   private:
    static constexpr std::chrono::milliseconds kQuarter{250};
    void Advance(TimePoint now);

    std::array<uint32_t, 4> m_counts{};
    TimePoint m_start;  // Of the present quarter, which is m_counts[0].
  };
  struct State {
    std::vector<Tokens> tokens;
    Demand demand;
    uint32_t waiting = 0;
    uint32_t returned = 0;           // Tokens to return with the next request.
    bool is_due = false;             // A request is to be sent.
    std::optional<TimePoint> asked;  // Last request without a reply.
    std::optional<TimePoint> silent_since;  // First request without a reply.
    TimePoint denied_until;
    // Present in the fallback.
    std::optional<double> fallback_tokens;
    TimePoint fallback_refilled;
    TimePoint last_used;
  };

  State& StateOf(std::string_view organisation, TimePoint now);
  void DropIdle(TimePoint now);
  QuotaDecision Decide(std::string_view organisation, State& state,
                       TimePoint now);
  QuotaDecision DecideByFallback(std::string_view organisation, State& state,
                                 TimePoint now);
  // The rate that this node grants itself.
  double FallbackRate(const QuotaLimit& limit) const;
  static bool IsSilent(const State& state, TimePoint now);
  static uint32_t Held(State& state, TimePoint now);
  static bool UseToken(State& state, TimePoint now);
  void MarkDue(State& state, TimePoint now);
  // Moves tokens that will probably expire unused to `returned`.
  static void SetAsideUnused(State& state, TimePoint now);
  uint32_t Wanted(State& state, TimePoint now) const;
  // When the organisation's next request may be sent or repeated.
  static TimePoint NextRequestAt(const State& state);

  std::mt19937_64 m_rng;
  std::shared_ptr<const QuotaLimits> m_limits;
  size_t m_known_members = 1;
  std::map<std::string, State, std::less<>> m_states;
  TimePoint m_next_requests = TimePoint::max();
  TimePoint m_next_cleanup;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_QUOTA_CLIENT_H_
