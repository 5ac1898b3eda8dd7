// The end of a request: the response of a target is relayed, or the node
// responds itself. A caller's request is answered by Answer or GiveUp, one of
// another node by ServeNode.

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
using std::chrono::milliseconds;

// Lowest HTTP status of responses that say nothing of the size of others.
constexpr unsigned kFirstErrorStatus = 300;

}  // namespace

asio::awaitable<bool> Proxy::Answer(InboundRequest& inbound, Attempt& attempt) {
  const Verdict verdict = attempt.result.verdict;
  const unsigned status = attempt.result.head.result_int();
  ReportBackendDenial(inbound, attempt);
  attempt.result.head.set(m_options.headers.request_id,
                          attempt.call.request_id);
  attempt.result.head.erase(headers::kLoad);
  attempt.result.head.erase(headers::kOffered);
  attempt.result.head.erase(headers::kCrashed);
  SetNoticeHeaders("", {}, &attempt.result.head);
  attempt.result.head.erase(headers::kLinkWaitMs);
  attempt.result.head.erase(headers::kRunTimeMs);
  const auto size = BodyBytes(attempt.result);
  if (size && status < kFirstErrorStatus) {
    m_response_sizes.Add(attempt.call.route, *size);
  }
  UpstreamPool& pool = attempt.local ? m_runner->Pool() : m_pool;
  if (attempt.result.fully_buffered) ReleaseConnection(attempt.result, pool);
  co_await inbound.AwaitTurn();
  // A drain that begins during the write must not close a connection that the
  // response keeps open.
  const bool close = ClosesAfter(inbound);
  const bool uses_link = m_options.callers_use_link;
  // A response that is complete is delivered, also when late.
  const TimePoint relay_until =
      attempt.result.fully_buffered ? TimePoint::max() : attempt.call.deadline;
  LinkReservation link;
  if (uses_link) link = m_runner->GetAdmission().ReserveLink(size.value_or(0));
  const bool complete =
      co_await RelayResponse(inbound, attempt.result, pool,
                             {.close = close,
                              .pacer = uses_link ? &m_pacer : nullptr,
                              .deadline = relay_until,
                              .sent_bytes = link.SentBytes()});
  if (attempt.local && !attempt.local->finished) {
    attempt.local->result.answered = true;
    attempt.local->result.verdict = verdict;
    attempt.local->result.head.result(status);
    m_runner->Finish(attempt.call, *attempt.local, complete);
  }
  const double elapsed_ms = ElapsedMs(attempt.call.started);
  if (complete) {
    m_call_times.Add(attempt.call.route,
                     milliseconds(static_cast<int64_t>(elapsed_ms)));
  }
  m_metrics.OnCall(verdict, elapsed_ms);
  co_return complete&& inbound.KeepAlive() && !close;
}

asio::awaitable<bool> Proxy::GiveUp(InboundRequest& inbound, const Call& call,
                                    const Attempt& attempt) {
  if (!co_await inbound.AwaitTurn()) co_return false;
  const ForwardResult& result = attempt.result;
  LocalReply answer;
  answer.verdict = result.verdict;
  answer.reason = result.reason.empty() ? "refused" : result.reason;
  answer.request_id = call.request_id;
  answer.request_id_header = m_options.headers.request_id;
  answer.close = ClosesAfter(inbound);
  if (result.verdict == Verdict::kNotRun) {
    answer.retry_after =
        std::clamp(attempt.retry_after, kMinRetryAfter, kMaxRetryAfter);
    const bool is_final = attempt.blocked && attempt.retry_after.count() == 0;
    if (is_final) answer.retry_after = milliseconds(0);
  } else {
    answer.verdict = Verdict::kMayHaveRun;
    answer.status = result.timed_out ? 504 : 502;
  }
  const LogKind kind =
      answer.verdict == Verdict::kNotRun ? LogKind::kRefused : LogKind::kFailed;
  if (m_log_budget.Allow(kind, Clock::now())) {
    spdlog::info(
        "route: event=given_up request={} route={} service={} verdict={} "
        "status={} offers={} refusals={} elapsed_ms={:.1f} reason=\"{}\"",
        call.request_id, call.route, call.service, VerdictName(answer.verdict),
        answer.status, attempt.offers, attempt.refusals,
        ElapsedMs(call.started), answer.reason);
  }
  m_metrics.OnCall(answer.verdict, ElapsedMs(call.started));
  co_await WriteLocalReply(inbound, answer);
  co_return inbound.KeepAlive() && inbound.IsFullyBuffered() && !answer.close;
}

// The request has not run, so that it may run elsewhere.
asio::awaitable<void> Proxy::RejectNode(InboundRequest& inbound) {
  LocalReply answer;
  answer.status = inbound.RejectionStatus();
  answer.reason = "the request is not accepted: " + inbound.RejectionReason();
  if (inbound.IsReadCancelled()) {
    answer.status = 503;
    answer.reason = "the node stops before the request has arrived";
  } else if (answer.status == 503) {
    m_metrics.OnBufferRefusal();
    answer.retry_after = kMinRetryAfter;
  }
  answer.request_id = std::string(inbound.Head()[m_options.headers.request_id]);
  answer.request_id_header = m_options.headers.request_id;
  answer.close = true;
  co_await WriteLocalReply(inbound, answer);
}

// Another target may have room.
asio::awaitable<bool> Proxy::RefuseNode(InboundRequest& inbound,
                                        const Call& call) {
  m_metrics.OnBufferRefusal();
  LocalReply answer;
  answer.reason = "the node's buffers are full";
  answer.request_id = call.request_id;
  answer.request_id_header = m_options.headers.request_id;
  answer.retry_after = kMinRetryAfter;
  answer.close = m_draining;
  co_await WriteLocalReply(inbound, answer);
  co_return inbound.KeepAlive() && inbound.IsFullyBuffered() && !answer.close;
}

asio::awaitable<bool> Proxy::ServeNode(InboundRequest& inbound) {
  Call call = ReadCall(inbound, m_options.headers);
  if (m_budget->IsScarce()) {
    co_return co_await RefuseNode(inbound, call);
  }
  const RequestHead& head = inbound.Head();
  call.route = std::string(Text(head[headers::kRoute]));
  call.idempotent = head[headers::kIdempotent] == "1";
  call.priority = ParseCount(Text(head[headers::kPriority])).value_or(0);
  call.attempt_kind = ParseAttemptKind(Text(head[headers::kAttemptKind]))
                          .value_or(AttemptKind::kFirst);
  call.via_link = true;
  call.key = std::string(Text(head[headers::kRequestKey]));
  call.known_crashes =
      ParseCount(Text(head[headers::kKnownCrashes])).value_or(0);
  call.organisation = std::string(Text(head[headers::kOrganisation]));
  call.organisation_priority =
      ParseCount(Text(head[headers::kOrganisationPriority])).value_or(0);
  call.is_nested_call = head[headers::kNestedCall] == "1";
  call.may_hand_back = head[headers::kMayHandBack] == "1";
  if (auto left = ParseCount(Text(head[headers::kObjectiveMs]))) {
    call.objective = call.started + milliseconds(*left);
  }
  m_runner->GetAdmission().OnRememberedNotice(
      call.service, call.version, std::string(Text(head[headers::kInstance])),
      ReadNoticeHeaders(head), call.started);
  LocalRun run;
  co_await m_runner->Run(inbound, head, call, run);
  const bool close = m_draining;
  if (run.result.answered) {
    if (run.result.fully_buffered) m_runner->Finish(call, run, true);
    const unsigned status = run.result.head.result_int();
    const bool complete =
        co_await RelayResponse(inbound, run.result, m_runner->Pool(),
                               {.close = close,
                                .pacer = &m_pacer,
                                .deadline = call.deadline,
                                .sent_bytes = run.link.SentBytes()});
    if (!complete) m_metrics.OnWastedBytes(*run.link.SentBytes());
    run.result.head.result(status);
    m_runner->Finish(call, run, complete);
    co_return complete&& inbound.KeepAlive() && !close;
  }
  m_runner->Finish(call, run, false);
  if (run.result.caller_gone) co_return false;
  LocalReply answer;
  answer.verdict = run.result.verdict;
  answer.reason = run.result.reason;
  answer.request_id = call.request_id;
  answer.request_id_header = m_options.headers.request_id;
  answer.offered = run.result.offered;
  answer.close = close;
  // Without a Retry-After header, the other node avoids this target for a
  // while.
  answer.blocked = run.admission.blocked;
  answer.crashed = run.crashed;
  if (answer.blocked) {
    answer.retry_after = run.admission.wait;
  } else if (!run.admission.leaving) {
    answer.retry_after = std::max(run.admission.wait, kMinRetryAfter);
  }
  answer.instance = run.admission.instance;
  answer.notice = run.admission.notice;
  answer.limited = run.admission.limited;
  answer.retry_denied = run.admission.retry_denied;
  answer.link_full = run.admission.link_full;
  answer.shed = run.admission.shed;
  answer.handed_back = run.admission.handed_back;
  answer.run_time = run.admission.run_time;
  answer.link_wait = m_runner->GetAdmission().LinkWait();
  if (answer.link_full) m_metrics.OnLinkRefusal();
  if (run.admission.slots > 0) answer.load = LoadText(run.admission);
  if (answer.verdict != Verdict::kNotRun) {
    answer.status = run.result.timed_out ? 504 : 502;
  }
  if (m_log_budget.Allow(LogKind::kAdmission, Clock::now())) {
    spdlog::info(
        "admit: event=not_served request={} service={} version={} verdict={} "
        "load={} elapsed_ms={:.1f} reason=\"{}\"",
        call.request_id, call.service, call.version,
        VerdictName(answer.verdict), answer.load, ElapsedMs(call.started),
        answer.reason);
  }
  co_await WriteLocalReply(inbound, answer);
  co_return inbound.KeepAlive() && inbound.IsFullyBuffered() && !close;
}

}  // namespace kumquatmoor
