// Hedged requests: two attempts at the same time, of which the first response
// is used. Each attempt is a coroutine of its own. The one that starts them
// waits until both have ended, so that they may refer to the request; the
// slower one is ended by closing its connection, which takes no time.
//
// Two exchanges cannot both wait on the caller's connection. The race watches
// it for both.
//
// Only targets on other hosts take part: a request that waits for a slot of
// this host's backend server watches the caller's connection itself.

#include <spdlog/spdlog.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <utility>

#include "kumquatmoor/node/proxy.h"
#include "node/call.h"
#include "node/header_values.h"
#include "node/proxy_attempt.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr unsigned kFirstErrorStatus = 500;

bool IsUsable(const ForwardResult& result) {
  return result.answered && result.verdict == Verdict::kRan &&
         result.head.result_int() < kFirstErrorStatus;
}

}  // namespace

// One of the attempts.
struct Proxy::HedgeEntrant {
  std::shared_ptr<const RouteTable> routes;  // `pick` points into it.
  Pick pick;
  Attempt attempt;
  bool started = false;
  bool ended = false;
  bool cancelled = false;  // Before it ended.
  std::exception_ptr failure;
};

struct Proxy::HedgeRace {
  explicit HedgeRace(asio::io_context& context) : wake(context) {}

  void Cancel() {
    for (auto& entrant : entrants) {
      if (!entrant.started || entrant.ended) continue;
      entrant.cancelled = true;
      entrant.attempt.cancellation->Cancel();
    }
  }
  bool HaveAllEnded() const {
    return (!entrants[0].started || entrants[0].ended) &&
           (!entrants[1].started || entrants[1].ended);
  }
  // The entrant whose result is used: a response, else the one that may have
  // run, as the outcome of the request is that one's.
  size_t Winner() const {
    for (size_t i = 0; i < entrants.size(); ++i) {
      if (entrants[i].ended && IsUsable(entrants[i].attempt.result)) return i;
    }
    return entrants[1].started && entrants[1].attempt.MayHaveArrived() ? 1 : 0;
  }
  bool IsDecided() const {
    return HaveAllEnded() || (entrants[Winner()].ended &&
                              IsUsable(entrants[Winner()].attempt.result));
  }
  // Waits until an entrant ends, or until this time.
  asio::awaitable<void> Wait(TimePoint until) {
    boost::system::error_code cancelled;
    wake.expires_at(until);
    co_await wake.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
  }

  asio::steady_timer wake;
  std::array<HedgeEntrant, 2> entrants;
};

std::optional<milliseconds> Proxy::HedgeDelay(const InboundRequest& inbound,
                                              const Pick& pick,
                                              const Attempt& attempt) const {
  const Call& call = attempt.call;
  const bool is_possible = m_hedges.IsEnabled() && call.idempotent &&
                           call.max_attempts > 1 && attempt.offers == 0 &&
                           inbound.IsFullyBuffered() &&
                           pick.target->member_id != m_options.id &&
                           !m_response_sizes.Expected(call.route).IsBulk() &&
                           !m_crashes->Contains(call.key);
  if (!is_possible) return std::nullopt;
  return m_hedges.DelayOf(call.route, Clock::now());
}

void Proxy::StartEntrant(InboundRequest& inbound, HedgeRace* race,
                         HedgeEntrant* entrant) {
  entrant->started = true;
  entrant->attempt.cancellation = std::make_shared<ForwardCancellation>();
  asio::co_spawn(m_context, TryTarget(inbound, entrant->pick, entrant->attempt),
                 [race, entrant](std::exception_ptr failure) {
                   entrant->ended = true;
                   entrant->failure = std::move(failure);
                   race->wake.cancel();
                 });
}

bool Proxy::PrepareSecond(const HedgeEntrant& first,
                          std::set<std::string>* tried, HedgeEntrant* second) {
  const TimePoint now = Clock::now();
  const Call& call = first.attempt.call;
  std::set<std::string> skipped = *tried;
  skipped.insert(m_options.id);
  second->routes = m_routes;
  second->pick = PickFor(call, AttemptKind::kRetry, skipped);
  const Target* target = second->pick.target;
  // A node that has learned of a newer configuration, or drains, sends no more.
  const bool may_send = target != nullptr && !RefuseWhileBehind() &&
                        EndsInGrace(call) && !m_crashes->Contains(call.key);
  HedgeVerdict verdict = HedgeVerdict::kNotRepeatable;
  if (may_send) {
    verdict = m_hedges.Decide({.idempotent = call.idempotent,
                               .offers = first.attempt.offers,
                               .max_attempts = call.max_attempts,
                               .target_load = m_loads.LoadOf(*target, now),
                               .route = call.route,
                               .deadline = call.deadline},
                              now);
  }
  m_metrics.OnHedge(verdict);
  if (m_log_budget.Allow(LogKind::kServed, now)) {
    spdlog::info(
        "route: event=hedged request={} route={} service={} first={} second={} "
        "result={} elapsed_ms={:.1f}",
        call.request_id, call.route, call.service, first.pick.target->member_id,
        target == nullptr ? "" : target->member_id, HedgeVerdictName(verdict),
        ElapsedMs(first.attempt.started));
  }
  if (verdict != HedgeVerdict::kSend) return false;
  tried->insert(target->member_id);
  second->attempt = first.attempt.Next();
  second->attempt.call.version = target->version;
  second->attempt.call.attempt_kind = AttemptKind::kRetry;
  return true;
}

asio::awaitable<void> Proxy::TryHedged(InboundRequest& inbound,
                                       const Pick& pick,
                                       std::set<std::string>* tried,
                                       Attempt& attempt) {
  if (attempt.offers == 0) m_hedges.OnFirstAttempt();
  const auto delay = HedgeDelay(inbound, pick, attempt);
  if (!delay) {
    co_await TryTarget(inbound, pick, attempt);
  } else {
    HedgeRace race(m_context);
    auto& [first, second] = race.entrants;
    first.pick = pick;
    first.attempt = std::move(attempt);
    const int refusals = first.attempt.refusals;
    const int unreachable = first.attempt.unreachable;
    inbound.Stream().expires_never();
    std::optional<CallerWatch> watch;
    watch.emplace(inbound.Stream(), [&race] { race.Cancel(); });
    StartEntrant(inbound, &race, &first);
    const TimePoint hedge_at = Clock::now() + *delay;
    while (!first.ended && Clock::now() < hedge_at) {
      co_await race.Wait(hedge_at);
    }
    if (!first.ended && !watch->CallerGone() &&
        PrepareSecond(first, tried, &second)) {
      StartEntrant(inbound, &race, &second);
    }
    while (!race.IsDecided()) co_await race.Wait(TimePoint::max());
    const size_t winner = race.Winner();
    race.Cancel();
    while (!race.HaveAllEnded()) co_await race.Wait(TimePoint::max());
    const bool is_caller_gone = watch->CallerGone();
    watch.reset();
    for (const auto& entrant : race.entrants) {
      if (entrant.failure) std::rethrow_exception(entrant.failure);
    }
    HedgeEntrant& used = race.entrants[winner];
    HedgeEntrant& other = race.entrants[1 - winner];
    if (other.started) {
      // It ended since the caller needs it no longer, and did not fail.
      if (other.cancelled) other.attempt.result.caller_gone = true;
      RecordAttempt(other.pick, other.attempt);
      if (other.attempt.MayHaveArrived()) ++used.attempt.offers;
      if (other.attempt.crashed) ++used.attempt.crashes;
      if (!other.cancelled) {
        used.attempt.refusals += other.attempt.refusals - refusals;
        used.attempt.unreachable += other.attempt.unreachable - unreachable;
      }
      if (winner == 1 && IsUsable(used.attempt.result)) m_metrics.OnHedgeWon();
    }
    // The policy learns how long the request took, not its second attempt.
    const TimePoint started = first.attempt.started;
    attempt = std::move(used.attempt);
    if (is_caller_gone) attempt.result.caller_gone = true;
    RecordAttempt(used.pick, attempt);
    attempt.started = started;
    attempt.cancellation.reset();
    if (IsUsable(attempt.result)) {
      m_hedges.OnResponse(
          attempt.call.route,
          std::chrono::duration_cast<milliseconds>(Clock::now() - started),
          Clock::now());
    }
    co_return;
  }
  RecordAttempt(pick, attempt);
  if (IsUsable(attempt.result)) {
    m_hedges.OnResponse(attempt.call.route,
                        std::chrono::duration_cast<milliseconds>(
                            Clock::now() - attempt.started),
                        Clock::now());
  }
}

}  // namespace kumquatmoor
