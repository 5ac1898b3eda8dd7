// A node asks when it holds less than what its demand needs for kLowWater, and
// then for what it needs for kHighWater. At a demand of less than one request
// in kHighWater it asks for single tokens, as they are needed: tokens in
// reserve at many nodes would use up a small quota.
//
// Tokens of which a part will probably expire are returned kReturnTime before
// they do.
//
// The fallback cannot know whether the authority is down or only this node
// cannot reach it. In the latter case the authority goes on granting the whole
// rate, so that the tokens of the fallback exceed the limit. The part of the
// rate is chosen so that at a third of the members without an authority for
// 5 s they stay below a tenth of the limit; see FallbackRate(). The first token
// comes after a random part of the interval: with a fixed one, a quota of less
// than one request per node and second would serve nothing in a short outage.

#include "kumquatmoor/coordination/quota_client.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLowWater{125};
constexpr milliseconds kHighWater{250};
constexpr milliseconds kReturnTime{150};
// Time in which several requests for tokens become one message.
constexpr milliseconds kBatchDelay{2};
// State of an organisation that had no request for this time is dropped.
constexpr milliseconds kIdleTime{10'000};
constexpr milliseconds kCleanupInterval{1'000};
// Retry-After of a request that got no reply.
constexpr milliseconds kNoReplyRetryAfter{250};
// An authority is probably back after this time, whatever the fallback says.
constexpr milliseconds kMaxFallbackRetryAfter{1'000};
// Time at its rate that the fallback of an idle node saves up.
constexpr milliseconds kMaxFallbackSaving{2'000};
// The fallback's part of the rate, and of the burst and the constant in the
// limit of a window of 5 s.
constexpr double kFallbackPart = 0.3;
constexpr double kFallbackBurstPart = 0.05;
constexpr double kFallbackConstant = 7;
constexpr uint32_t kMaxWanted = 10'000;

double Seconds(Clock::duration time) {
  return std::chrono::duration<double>(time).count();
}

milliseconds CeilMs(Clock::duration time) {
  return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(time));
}

}  // namespace

void QuotaClient::Demand::Advance(TimePoint now) {
  if (now - m_start >= m_counts.size() * kQuarter) {
    m_counts.fill(0);
    m_start = now;
    return;
  }
  while (now - m_start >= kQuarter) {
    std::shift_right(m_counts.begin(), m_counts.end(), 1);
    m_counts[0] = 0;
    m_start += kQuarter;
  }
}

void QuotaClient::Demand::Add(TimePoint now) {
  Advance(now);
  ++m_counts[0];
}

// The last quarters alone show a rise early.
double QuotaClient::Demand::Rate(TimePoint now) {
  Advance(now);
  const double all = std::accumulate(m_counts.begin(), m_counts.end(), 0U);
  const double recent = m_counts[0] + m_counts[1];
  constexpr double kRecentToSecond = 2;
  constexpr double kMinRecent = 4;
  return recent < kMinRecent ? all : std::max(all, kRecentToSecond * recent);
}

void QuotaClient::SetLimits(std::shared_ptr<const QuotaLimits> limits,
                            size_t known_members) {
  m_limits = std::move(limits);
  m_known_members = std::max<size_t>(known_members, 1);
  std::erase_if(m_states, [&](const auto& entry) {
    return entry.second.waiting == 0 && !HasQuota(entry.first);
  });
}

void QuotaClient::OnMembersChanged() {
  for (auto& [name, state] : m_states) {
    if (!state.asked) continue;
    state.asked.reset();
    state.is_due = true;
    m_next_requests = TimePoint::min();
  }
}

void QuotaClient::DropIdle(TimePoint now) {
  if (now < m_next_cleanup) return;
  m_next_cleanup = now + kCleanupInterval;
  std::erase_if(m_states, [&](const auto& entry) {
    return entry.second.waiting == 0 &&
           now - entry.second.last_used >= kIdleTime;
  });
}

QuotaClient::State& QuotaClient::StateOf(std::string_view organisation,
                                         TimePoint now) {
  DropIdle(now);
  auto found = m_states.find(organisation);
  if (found == m_states.end()) {
    found = m_states.emplace(organisation, State()).first;
  }
  found->second.last_used = now;
  return found->second;
}

uint32_t QuotaClient::Held(State& state, TimePoint now) {
  std::erase_if(state.tokens, [&](const Tokens& tokens) {
    return tokens.count == 0 || tokens.expires <= now;
  });
  return std::accumulate(
      state.tokens.begin(), state.tokens.end(), 0U,
      [](uint32_t sum, const Tokens& tokens) { return sum + tokens.count; });
}

bool QuotaClient::UseToken(State& state, TimePoint now) {
  if (Held(state, now) == 0) return false;
  const auto first = std::min_element(
      state.tokens.begin(), state.tokens.end(),
      [](const Tokens& a, const Tokens& b) { return a.expires < b.expires; });
  --first->count;
  return true;
}

void QuotaClient::MarkDue(State& state, TimePoint now) {
  state.is_due = true;
  m_next_requests = std::min(m_next_requests,
                             std::max(now + kBatchDelay, NextRequestAt(state)));
}

bool QuotaClient::IsSilent(const State& state, TimePoint now) {
  return state.silent_since && now - *state.silent_since >= kFallbackDelay;
}

QuotaDecision QuotaClient::Take(std::string_view organisation, TimePoint now) {
  State& state = StateOf(organisation, now);
  state.demand.Add(now);
  const QuotaDecision decision = Decide(organisation, state, now);
  if (std::holds_alternative<QuotaWait>(decision)) ++state.waiting;
  return decision;
}

QuotaDecision QuotaClient::TakeWaiting(std::string_view organisation,
                                       TimePoint now) {
  State& state = StateOf(organisation, now);
  const QuotaDecision decision = Decide(organisation, state, now);
  const bool waits = std::holds_alternative<QuotaWait>(decision);
  if (!waits && state.waiting > 0) --state.waiting;
  return decision;
}

QuotaDecision QuotaClient::StopWaiting(std::string_view organisation,
                                       TimePoint now) {
  State& state = StateOf(organisation, now);
  const QuotaDecision decision = Decide(organisation, state, now);
  if (state.waiting > 0) --state.waiting;
  if (!std::holds_alternative<QuotaWait>(decision)) return decision;
  return QuotaDenied{.retry_after = kNoReplyRetryAfter};
}

QuotaDecision QuotaClient::Decide(std::string_view organisation, State& state,
                                  TimePoint now) {
  // The quota was removed while the request waited.
  if (!HasQuota(organisation)) return QuotaTaken{};
  if (UseToken(state, now)) {
    const double low = state.demand.Rate(now) * Seconds(kLowWater);
    const bool is_low = Held(state, now) < std::floor(low);
    if (is_low && now >= state.denied_until) MarkDue(state, now);
    return QuotaTaken{};
  }
  if (IsSilent(state, now)) return DecideByFallback(organisation, state, now);
  if (now < state.denied_until) {
    return QuotaDenied{.retry_after = CeilMs(state.denied_until - now)};
  }
  MarkDue(state, now);
  return QuotaWait{};
}

// A limit of 5 s allows a tenth of 5 * rate + burst, and 20, on top. Nodes that
// cannot reach the authority may be up to a third of all, so that this adds at
// most (5 * part * rate + 0.25 * burst + 35) / 3.
double QuotaClient::FallbackRate(const QuotaLimit& limit) const {
  const double part = kFallbackPart * limit.rate +
                      kFallbackBurstPart * limit.burst + kFallbackConstant;
  return std::min(limit.rate, part) / static_cast<double>(m_known_members);
}

QuotaDecision QuotaClient::DecideByFallback(std::string_view organisation,
                                            State& state, TimePoint now) {
  const double rate = FallbackRate(*FindQuota(*m_limits, organisation));
  if (!state.fallback_tokens) {
    state.fallback_tokens = std::uniform_real_distribution<>(0, 1)(m_rng);
    state.fallback_refilled = *state.silent_since;
  }
  double& tokens = *state.fallback_tokens;
  // Nodes that had no request for long do not save up a token each.
  const auto elapsed = now - state.fallback_refilled;
  if (elapsed > kMaxFallbackSaving) {
    tokens = std::uniform_real_distribution<>(0, 1)(m_rng);
  }
  tokens +=
      rate * Seconds(std::min<Clock::duration>(elapsed, kMaxFallbackSaving));
  state.fallback_refilled = now;
  tokens = std::min(tokens, 1 + rate * Seconds(kFallbackInterval));
  const bool may_ask = !state.asked || now - *state.asked >= kFallbackInterval;
  if (tokens >= 1) {
    tokens -= 1;
    if (may_ask) MarkDue(state, now);
    return QuotaTaken{.is_fallback = true};
  }
  if (may_ask) {
    MarkDue(state, now);
    return QuotaWait{};
  }
  const auto wait = std::chrono::duration<double>((1 - tokens) / rate);
  const std::chrono::duration<double> most = kMaxFallbackRetryAfter;
  return QuotaDenied{
      .retry_after = std::max(milliseconds(1), std::chrono::ceil<milliseconds>(
                                                   std::min(wait, most)))};
}

// A token that is used again much later than it was granted would exceed the
// limit of the window of its use.
void QuotaClient::Return(std::string_view organisation, TimePoint taken,
                         TimePoint now) {
  const TimePoint expires = taken + kQuotaValidity;
  if (!HasQuota(organisation) || expires <= now) return;
  State& state = StateOf(organisation, now);
  state.tokens.push_back({.count = 1, .expires = expires});
  MarkDue(state, now);
}

void QuotaClient::SetAsideUnused(State& state, TimePoint now) {
  Held(state, now);
  double needed =
      std::floor(state.demand.Rate(now) * Seconds(kReturnTime)) + state.waiting;
  for (auto& tokens : state.tokens) {
    if (tokens.expires - now > kReturnTime) continue;
    const auto kept = static_cast<uint32_t>(
        std::min<double>(tokens.count, std::max(needed, 0.0)));
    needed -= kept;
    state.returned += tokens.count - kept;
    tokens.count = kept;
  }
}

uint32_t QuotaClient::Wanted(State& state, TimePoint now) const {
  const double reserve =
      std::floor(state.demand.Rate(now) * Seconds(kHighWater));
  const double wanted = state.waiting + reserve - Held(state, now);
  if (now < state.denied_until && state.waiting == 0) return 0;
  return static_cast<uint32_t>(std::clamp<double>(wanted, 0, kMaxWanted));
}

TimePoint QuotaClient::NextRequestAt(const State& state) {
  if (!state.asked) return TimePoint::min();
  const bool is_fallback = state.silent_since &&
                           *state.asked - *state.silent_since >= kFallbackDelay;
  return *state.asked + (is_fallback ? kFallbackInterval : kRepeatDelay);
}

std::vector<QuotaRequest> QuotaClient::PopRequests(TimePoint now) {
  std::vector<QuotaRequest> requests;
  m_next_requests = TimePoint::max();
  for (auto& [name, state] : m_states) {
    const TimePoint next = NextRequestAt(state);
    SetAsideUnused(state, now);
    uint32_t wanted = 0;
    if (state.is_due && next <= now) {
      state.is_due = false;
      wanted = Wanted(state, now);
    }
    if (wanted > 0 || state.returned > 0) {
      QuotaRequest& request = requests.emplace_back();
      request.set_organisation(name);
      request.set_wanted(wanted);
      request.set_returned(std::exchange(state.returned, 0));
    }
    if (wanted > 0) {
      state.asked = now;
      if (!state.silent_since) state.silent_since = now;
      state.is_due = true;  // Until the reply.
    }
    if (state.is_due && wanted == 0 && next <= now) state.is_due = false;
    if (state.is_due) {
      m_next_requests = std::min(m_next_requests, NextRequestAt(state));
    }
    for (const auto& tokens : state.tokens) {
      const TimePoint at = tokens.expires - kReturnTime;
      if (tokens.count > 0 && at > now) {
        m_next_requests = std::min(m_next_requests, at);
      }
    }
  }
  return requests;
}

void QuotaClient::OnGrant(const QuotaGrant& grant, TimePoint sent,
                          TimePoint now) {
  const auto found = m_states.find(grant.organisation());
  if (found == m_states.end() || !grant.is_authority()) return;
  State& state = found->second;
  state.asked.reset();
  state.silent_since.reset();
  state.fallback_tokens.reset();
  state.is_due = false;
  state.denied_until = now + milliseconds(grant.retry_after_ms());
  const TimePoint expires = sent + milliseconds(grant.valid_ms());
  if (grant.tokens() > 0 && expires > now) {
    state.tokens.push_back({.count = grant.tokens(), .expires = expires});
    m_next_requests =
        std::min(m_next_requests, std::max(now, expires - kReturnTime));
  }
  const bool is_short = Held(state, now) < state.waiting;
  if (is_short && now >= state.denied_until) MarkDue(state, now);
}

}  // namespace kumquatmoor
