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
  HedgeRace(asio::io_context& context, const Pick& pick, Attempt attempt)
      : wake(context),
        refusals_before(attempt.refusals),
        unreachable_before(attempt.unreachable) {
    entrants[0].pick = pick;
    entrants[0].attempt = std::move(attempt);
  }

  asio::awaitable<size_t> Run(Proxy& proxy, InboundRequest& inbound,
                              milliseconds delay, std::set<std::string>* tried);
  void RecordOther(Proxy& proxy, HedgeEntrant& other, Attempt* used);

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
  int refusals_before;  // In earlier attempts of the request.
  int unreachable_before;
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
                        MayUseKey(call) && EndsInGrace(call) &&
                        !m_crashes->Contains(call.key);
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

// Starts the first attempt, the second one when it is due, and waits until both
// have ended. Returns the index of the attempt that is used.
asio::awaitable<size_t> Proxy::HedgeRace::Run(Proxy& proxy,
                                              InboundRequest& inbound,
                                              milliseconds delay,
                                              std::set<std::string>* tried) {
  auto& [first, second] = entrants;
  inbound.StopTimer();
  const CallerWatch watch(inbound.Peer(), [this] { Cancel(); });
  proxy.StartEntrant(inbound, this, &first);
  const TimePoint hedge_at = Clock::now() + delay;
  while (!first.ended && Clock::now() < hedge_at) {
    co_await Wait(hedge_at);
  }
  if (!first.ended && !watch.CallerGone() &&
      proxy.PrepareSecond(first, tried, &second)) {
    proxy.StartEntrant(inbound, this, &second);
  }
  while (!IsDecided()) {
    co_await Wait(TimePoint::max());
  }
  const size_t winner = Winner();
  Cancel();
  while (!HaveAllEnded()) {
    co_await Wait(TimePoint::max());
  }
  for (const auto& entrant : entrants) {
    if (entrant.failure) std::rethrow_exception(entrant.failure);
  }
  if (watch.CallerGone()) entrants[winner].attempt.result.caller_gone = true;
  co_return winner;
}

// Records the attempt that is not used, and adds its totals to those of `used`.
void Proxy::HedgeRace::RecordOther(Proxy& proxy, HedgeEntrant& other,
                                   Attempt* used) {
  if (!other.started) return;
  // It ended since it is not needed any more, and did not fail.
  if (other.cancelled) other.attempt.result.caller_gone = true;
  proxy.RecordAttempt(other.pick, other.attempt);
  if (other.attempt.MayHaveArrived()) ++used->offers;
  if (other.attempt.crashed) ++used->crashes;
  if (other.cancelled) return;
  used->refusals += other.attempt.refusals - refusals_before;
  used->unreachable += other.attempt.unreachable - unreachable_before;
}

asio::awaitable<void> Proxy::TryHedged(InboundRequest& inbound,
                                       const Pick& pick,
                                       std::set<std::string>* tried,
                                       Attempt& attempt) {
  if (tried->size() == 1) m_hedges.OnFirstAttempt();
  // The policy learns how long a hedged request took, not its second attempt:
  // each one would shorten the delay of the next.
  const TimePoint started = Clock::now();
  const auto delay = HedgeDelay(inbound, pick, attempt);
  if (!delay) {
    co_await TryTarget(inbound, pick, attempt);
    RecordAttempt(pick, attempt);
  } else {
    HedgeRace race(m_context, pick, std::move(attempt));
    const size_t winner = co_await race.Run(*this, inbound, *delay, tried);
    HedgeEntrant& used = race.entrants[winner];
    race.RecordOther(*this, race.entrants[1 - winner], &used.attempt);
    RecordAttempt(used.pick, used.attempt);
    attempt = std::move(used.attempt);
    attempt.cancellation.reset();
    if (winner == 1 && IsUsable(attempt.result)) m_metrics.OnHedgeWon();
  }
  if (!IsUsable(attempt.result)) co_return;
  const TimePoint now = Clock::now();
  m_hedges.OnResponse(attempt.call.route,
                      std::chrono::duration_cast<milliseconds>(now - started),
                      now);
}

}  // namespace kumquatmoor
