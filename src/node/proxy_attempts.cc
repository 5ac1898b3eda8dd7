// One attempt of a request: it is sent to a backend server of this host or to
// the node on the target's host, and what the response says of that target is
// recorded.

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/protocol/backend_notice.h"
#include "kumquatmoor/protocol/headers.h"
#include "node/call.h"
#include "node/header_values.h"
#include "node/local_runner.h"
#include "node/proxy_attempt.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

// Sets the header, or removes it if `value` is empty.
void SetOptionalHeader(std::string_view name, const std::string& value,
                       RequestHead* head) {
  head->erase(name);
  if (!value.empty()) head->set(name, value);
}

// Removes all fields of that name, if the deployment has such a header.
void RemoveHeader(const std::string& name, RequestHead* head) {
  if (!name.empty()) head->erase(name);
}

}  // namespace

milliseconds Proxy::RelayTime(const std::string& route) const {
  if (!m_options.callers_use_link) return milliseconds(0);
  return m_runner->GetAdmission().LinkTransferTime(
      m_response_sizes.Expected(route).mean);
}

RequestHead Proxy::HeadForNode(const InboundRequest& inbound,
                               const Call& call) const {
  RequestHead head = inbound.Head();
  RemoveHopByHopHeaders(&head);
  if (RequiresKeys()) RemoveHeader(m_options.headers.authorization, &head);
  RemoveHeader(m_options.headers.organisation, &head);
  head.set(headers::kService, call.service);
  head.set(headers::kVersion, call.version);
  head.set(m_options.headers.request_id, call.request_id);
  head.set(headers::kRoute, call.route);
  head.set(headers::kIdempotent, call.idempotent ? "1" : "0");
  head.set(headers::kPriority, std::to_string(call.priority));
  head.set(headers::kAttemptKind, AttemptKindName(call.attempt_kind));
  head.set(headers::kRequestKey, call.key);
  const uint32_t crashes = std::max(
      call.known_crashes,
      m_crashes->StandingOf(call.key, call.service, call.version).crashes);
  head.erase(headers::kKnownCrashes);
  if (crashes > 0) head.set(headers::kKnownCrashes, std::to_string(crashes));
  const auto now = Clock::now();
  if (call.objective != TimePoint::max()) {
    const auto left = std::chrono::duration_cast<milliseconds>(
        call.objective - now - RelayTime(call.route));
    head.set(headers::kObjectiveMs,
             std::to_string(std::max<int64_t>(0, left.count())));
  }
  head.set(m_options.headers.deadline_ms,
           std::to_string(call.RemainingMs(now)));
  if (!m_options.headers.caller_service.empty()) {
    head.set(m_options.headers.caller_service, m_options.service);
  }
  SetOptionalHeader(headers::kOrganisation, call.organisation, &head);
  SetOptionalHeader(headers::kOrganisationPriority,
                    call.organisation_priority > 0
                        ? std::to_string(call.organisation_priority)
                        : "",
                    &head);
  SetOptionalHeader(headers::kNestedCall, call.is_nested_call ? "1" : "",
                    &head);
  SetOptionalHeader(headers::kMayHandBack, call.may_hand_back ? "1" : "",
                    &head);
  return head;
}

void Proxy::RememberNotice(const std::string& member_id,
                           const ForwardResult& result) {
  if (result.head.count(headers::kServedBy) == 0) {
    m_notices.OnNodeReply(member_id, result.head);
    return;
  }
  m_notices.OnResponse(member_id,
                       std::string(Text(result.head[headers::kInstance])),
                       NoticeOf(result.head, m_options.headers));
}

void Proxy::ReadLoad(const std::string& member_id, const std::string& route,
                     const http::fields& response) {
  const auto in_flight = ParseCount(Text(response[headers::kLoad]));
  if (!in_flight) return;
  const auto time = [&](const char* name) {
    return milliseconds(ParseCount(Text(response[name])).value_or(0));
  };
  m_loads.OnReport(member_id,
                   {.in_flight = *in_flight,
                    .link_wait = time(headers::kLinkWaitMs),
                    .route = route,
                    .run_time = time(headers::kRunTimeMs)},
                   Clock::now());
}

asio::awaitable<void> Proxy::TryTarget(InboundRequest& inbound,
                                       const Pick& pick, Attempt& attempt) {
  const Call& call = attempt.call;
  attempt.started = Clock::now();
  m_loads.OnSent(pick.target->member_id, attempt.started);
  if (pick.target->member_id == m_options.id) {
    attempt.local.emplace();
    LocalRun& run = *attempt.local;
    co_await m_runner->Run(inbound, HeadForNode(inbound, call), call, run);
    const bool relay_pending = run.result.answered &&
                               run.result.verdict != Verdict::kNotRun &&
                               !run.result.fully_buffered;
    // A response that is fully buffered no longer needs the slot. One that is
    // streamed keeps the slot until its end.
    if (!relay_pending) m_runner->Finish(call, run, run.result.fully_buffered);
    attempt.leaving = run.admission.leaving;
    attempt.limited = run.admission.limited;
    attempt.retry_denied = run.admission.retry_denied;
    attempt.blocked = run.admission.blocked;
    attempt.crashed = run.crashed;
    attempt.shed = run.admission.shed;
    attempt.handed_back = run.admission.handed_back;
    attempt.retry_after = run.admission.wait;
    std::swap(attempt.result, run.result);
    if (attempt.result.verdict == Verdict::kNotRun && !attempt.handed_back) {
      ++attempt.refusals;
    }
    co_return;
  }
  ForwardOptions options;
  options.address = pick.target->data_address;
  options.zone = pick.target->zone;
  options.head = HeadForNode(inbound, call);
  m_notices.AddTo(pick.target->member_id, &options.head);
  options.deadline = call.deadline;
  options.max_idle_age = call.MaxIdleAge();
  options.faults = m_faults;
  options.headers = &m_options.headers;
  options.active = m_active;
  options.cancellation = attempt.cancellation;
  options.pacer = &m_pacer;
  options.budget = m_budget;
  options.to_node = true;
  attempt.result = co_await Forward(m_pool, inbound, options);
  const auto& head = attempt.result.head;
  if (attempt.result.answered && attempt.result.verdict == Verdict::kNotRun) {
    const auto expected = ParseCount(Text(head[headers::kHandedBack]));
    if (expected) attempt.handed_back = milliseconds(*expected);
  }
  if (attempt.result.verdict == Verdict::kNotRun && !attempt.handed_back) {
    ++(attempt.result.answered ? attempt.refusals : attempt.unreachable);
  }
  if (!attempt.result.answered) co_return;
  ReadLoad(pick.target->member_id, call.route, head);
  RememberNotice(pick.target->member_id, attempt.result);
  attempt.crashed = head.count(headers::kCrashed) > 0;
  if (attempt.result.verdict == Verdict::kNotRun) {
    attempt.result.reason = std::string(Text(head[headers::kReason]));
    attempt.blocked = head.count(headers::kBlocked) > 0;
    attempt.leaving =
        !attempt.blocked && head.count(http::field::retry_after) == 0;
    attempt.limited = head.count(headers::kLimited) > 0;
    attempt.retry_denied = head.count(headers::kRetryDenied) > 0;
    attempt.link_full = head.count(headers::kLinkFull) > 0;
    attempt.shed = head.count(headers::kShed) > 0;
    attempt.retry_after = ParseRetryAfter(Text(head[http::field::retry_after]));
  }
}

void Proxy::RecordAttempt(const Pick& pick, const Attempt& attempt) {
  const auto now = Clock::now();
  const Call& call = attempt.call;
  const ForwardResult& result = attempt.result;
  const std::string& target = pick.target->member_id;
  const unsigned status = result.answered ? result.head.result_int() : 0;
  const bool refused = result.answered && result.verdict == Verdict::kNotRun;
  // Neither is a fault of the target, also if it is on this host.
  const bool declined = attempt.shed || attempt.handed_back;
  const bool failed =
      !declined && (!result.answered || (status >= 500 && !refused));
  const bool ran = result.answered && result.verdict == Verdict::kRan;
  std::optional<milliseconds> latency;
  if (ran) {
    latency = std::chrono::duration_cast<milliseconds>(now - attempt.started);
  }
  m_loads.OnDone(target, failed && !result.caller_gone, now, latency);
  const bool unreachable =
      !result.answered && result.verdict == Verdict::kNotRun && !attempt.local;
  if ((unreachable && !result.caller_gone) || attempt.crashed) {
    m_loads.OnUnreachable(target, now);
  } else if (attempt.leaving) {
    m_loads.OnRefused(target, now);
  } else if (attempt.retry_denied) {
    m_loads.OnRetryDenied(target, call.attempt_kind, now);
  } else if (attempt.limited) {
    m_loads.OnFull(target, now, std::min(attempt.retry_after, kMaxRetryAfter));
  } else if (result.verdict == Verdict::kNotRun && !attempt.blocked &&
             !attempt.link_full && !declined) {
    m_loads.OnFull(target, now);
  }
  // The load of another node was in a header of its response.
  if (attempt.local) {
    m_loads.OnReport(m_options.id,
                     {.in_flight = attempt.local->admission.in_flight,
                      .route = call.route,
                      .run_time = attempt.local->admission.run_time},
                     now);
  }
  const LogKind kind = refused || unreachable || declined ? LogKind::kRefused
                       : failed                           ? LogKind::kFailed
                                                          : LogKind::kServed;
  if (!m_log_budget.Allow(kind, now)) return;
  spdlog::info(
      "route: event=attempt request={} route={} service={} version={} "
      "target={} zone={} kind={} because=\"{}\" revision={} asked_ms={} "
      "verdict={} status={} elapsed_ms={:.1f} reason=\"{}\"",
      call.request_id, call.route, call.service, call.version, target,
      pick.target->zone, AttemptKindName(call.attempt_kind), pick.reason,
      m_routes->revision, call.allowed_time.count(),
      VerdictName(result.verdict), status, ElapsedMs(call.started),
      result.reason);
}

}  // namespace kumquatmoor
