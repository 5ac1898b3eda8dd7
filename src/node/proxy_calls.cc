// How a request is routed and retried. A request is sent to one target after
// another until an attempt succeeds, the attempts or the retry budget are used
// up, the deadline passes, or the verdict forbids a retry. In each case the
// caller receives a response at once.
//
// If the target is on this host, the LocalRunner sends the request to it.
// Otherwise the request goes to the data address of the node on the target's
// host. If that node refuses the request, no backend server has received it, so
// the next attempt is not charged to the retry budget.

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/protocol/backend_notice.h"
#include "kumquatmoor/protocol/headers.h"
#include "node/call.h"
#include "node/local_runner.h"
#include "node/proxy_attempt.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

// Upper bound of the time that a caller may allow for a request.
constexpr milliseconds kMaxDeadline{600'000};
// Refusals by nodes after which a request fails. Each refusal costs a round
// trip, and the load reports of three nodes are a fair sample of all.
constexpr int kMaxRefusalsPerCall = 3;
// Unreachable nodes after which a request fails. More than half of all nodes
// may be lost at the same moment, for example with a zone or in a mass restart.
constexpr int kMaxUnreachableNodes = 6;
// Bounds of the Retry-After of a refused request. The lower bound covers the
// age of load reports, the upper bound a restart.
constexpr milliseconds kMinRetryAfter{50};
constexpr milliseconds kMaxRetryAfter{1'000};
// Lowest HTTP status of responses that say nothing of the size of others.
constexpr unsigned kFirstErrorStatus = 300;

double ElapsedMs(TimePoint since) {
  return std::chrono::duration<double, std::milli>(Clock::now() - since)
      .count();
}

std::string_view Text(beast::string_view text) {
  return {text.data(), text.size()};
}

std::optional<uint32_t> ParseCount(std::string_view text) {
  uint32_t count = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc() || end == text.data()) return std::nullopt;
  return count;
}

// True for the statuses that guarantee that the request has not run.
bool GuaranteesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

std::string Proxy::NewRequestId() {
  return fmt::format("{:016x}{:016x}", m_rng(), m_rng());
}

Call Proxy::ReadCall(const InboundRequest& inbound, const CallHeaders& names) {
  const RequestHead& head = inbound.Head();
  Call call;
  call.service = std::string(Text(head[headers::kService]));
  call.version = std::string(Text(head[headers::kVersion]));
  call.request_id = std::string(Text(head[names.request_id]));
  call.max_attempts = m_options.max_attempts;
  call.started = Clock::now();
  const auto requested_ms = ParseCount(Text(head[names.deadline_ms]));
  const milliseconds allowed =
      requested_ms ? milliseconds(*requested_ms) : m_options.default_deadline;
  call.allowed_time = std::min(allowed, kMaxDeadline);
  call.deadline = call.started + call.allowed_time;
  return call;
}

void Proxy::ApplyRoute(const HttpRoute& route, Call* call) {
  call->service = DrawService(route, m_rng);
  call->route = route.name();
  call->idempotent = route.kind() != NON_IDEMPOTENT;
  call->priority = route.priority();
  call->max_attempts = std::max(1U, route.max_attempts());
  if (route.timeout_ms() > 0) {
    call->deadline = std::min(call->deadline,
                              call->started + milliseconds(route.timeout_ms()));
  }
  const milliseconds request_age =
      m_typical_deadlines.RecordDeadline(route.name(), call->allowed_time);
  if (route.objective_ms() > 0) {
    call->objective =
        call->started + milliseconds(route.objective_ms()) - request_age;
  }
}

std::optional<Proxy::Rejection> Proxy::ReadCallerCall(
    const InboundRequest& inbound, Call* call) {
  *call = ReadCall(inbound, m_options.headers);
  if (m_runner->IsCallOfRetry(call->request_id)) {
    call->attempt_kind = AttemptKind::kCallOfRetry;
  }
  const RequestHead& head = inbound.Head();
  const std::string_view method = Text(head.method_string());
  if (!HasConfiguration()) {
    return Rejection{503, "this node holds no configuration yet"};
  }
  if (auto refusal = RefuseWhileBehind()) return refusal;
  const HttpRouteIndex* index = m_routes->http_routes.get();
  if (index != nullptr && !index->IsEmpty()) {
    if (call->request_id.empty()) return Rejection{400, "no request id"};
    const HttpRoute* route =
        index->Find(Text(head[http::field::host]), Text(head.target()));
    if (route == nullptr) return Rejection{404, "no route"};
    ApplyRoute(*route, call);
    call->key = KeyOf(inbound, *call);
    return std::nullopt;
  }
  std::string_view path = Text(head.target());
  if (call->service.empty() && path.size() > 1) {
    const std::string_view rest = path.substr(1);
    const size_t end = std::min(rest.find_first_of("/?"), rest.size());
    call->service = std::string(rest.substr(0, end));
    path = path.substr(1 + end);
  }
  if (call->request_id.empty()) call->request_id = NewRequestId();
  call->route = RouteOf(method, path);
  call->idempotent = IsIdempotent(method);
  call->key = KeyOf(inbound, *call);
  return std::nullopt;
}

std::string Proxy::KeyOf(const InboundRequest& inbound,
                         const Call& call) const {
  const RequestHead& head = inbound.Head();
  const bool has_routes =
      m_routes->http_routes != nullptr && !m_routes->http_routes->IsEmpty();
  const uint64_t length =
      ParseCount(Text(head[http::field::content_length])).value_or(0);
  std::string_view host = call.service;
  if (has_routes) host = Text(head[http::field::host]);
  return RequestKey({.host = host,
                     .method = Text(head.method_string()),
                     .target = Text(head.target()),
                     .caller = m_options.service,
                     .body = inbound.BufferedBody(),
                     .body_bytes = inbound.IsFullyBuffered() ? 0 : length});
}

Pick Proxy::PickFor(const Call& call, AttemptKind kind,
                    const std::set<std::string>& tried) {
  const ServiceRoutes* service = m_routes->Find(call.service);
  if (service == nullptr) return {.reason = "no live target"};
  PickOptions options{.zone = m_options.zone,
                      .idempotent = call.idempotent,
                      .kind = kind,
                      .route = call.route,
                      .bulk = m_response_sizes.Expected(call.route).IsBulk(),
                      .tried = &tried};
  std::set<std::string> blocked;
  if (m_crashes->Contains(call.key)) {
    for (const auto& version : service->versions) {
      const CrashStanding standing =
          m_crashes->StandingOf(call.key, call.service, version.version);
      if (standing.blocked) blocked.insert(version.version);
      if (standing.crashes >= kCrashesToIsolate) options.pinned_key = call.key;
    }
    options.blocked_versions = &blocked;
  }
  return PickTarget(*service, options, m_loads, Clock::now(), m_rng);
}

bool Proxy::IsBlockedEverywhere(const Call& call) const {
  const ServiceRoutes* service = m_routes->Find(call.service);
  if (service == nullptr || service->versions.empty()) return false;
  return std::all_of(service->versions.begin(), service->versions.end(),
                     [&](const VersionRoutes& version) {
                       return m_crashes
                           ->StandingOf(call.key, call.service, version.version)
                           .blocked;
                     });
}

asio::awaitable<bool> Proxy::ServeCaller(InboundRequest& inbound) {
  Call call;
  auto rejection = ReadCallerCall(inbound, &call);
  if (!rejection && m_budget->IsScarce()) {
    m_metrics.OnBufferRefusal();
    rejection = Rejection{503, "the node's buffers are full"};
  }
  if (!rejection && !EndsInGrace(call)) {
    rejection = Rejection{503, "the node stops before the request could end"};
  }
  call.deadline = std::min(call.deadline, m_drain_end);
  if (rejection) {
    co_return co_await Reject(inbound, std::move(*rejection));
  }
  if (m_behind_since) m_metrics.OnDecidedBehind(Clock::now() - *m_behind_since);
  Attempt attempt;
  attempt.call = call;
  co_await TryTargets(inbound, call, attempt);
  if (attempt.result.caller_gone) co_return false;
  const ForwardResult& result = attempt.result;
  if (result.answered && result.verdict != Verdict::kNotRun &&
      !GuaranteesNotRun(result.head.result_int())) {
    co_return co_await Answer(inbound, attempt);
  }
  co_return co_await GiveUp(inbound, call, attempt);
}

asio::awaitable<void> Proxy::TryTargets(InboundRequest& inbound,
                                        const Call& call, Attempt& attempt) {
  std::set<std::string> tried;
  std::optional<Attempt> arrived;  // The last one that may have arrived.
  while (true) {
    // `pick` points into the routing table, which must stay alive during the
    // attempt.
    const std::shared_ptr<const RouteTable> routes = m_routes;
    AttemptKind kind = call.attempt_kind;
    if (arrived || attempt.MayHaveArrived()) kind = AttemptKind::kRetry;
    const Pick pick = PickFor(call, kind, tried);
    if (pick.target == nullptr) {
      if (tried.empty()) {
        attempt.result.reason = std::string(pick.reason);
        attempt.blocked = IsBlockedEverywhere(call);
        if (attempt.blocked) m_metrics.OnBlocked();
      }
      break;
    }
    tried.insert(pick.target->member_id);
    Attempt next = attempt.Next();
    if (attempt.MayHaveArrived()) arrived = std::move(attempt);
    attempt = std::move(next);
    attempt.call.version = pick.target->version;
    attempt.call.known_crashes = attempt.crashes;
    attempt.call.attempt_kind = kind;
    attempt.call.deadline = std::min(call.deadline, m_drain_end);
    co_await TryTarget(inbound, pick, attempt);
    RecordAttempt(pick, attempt);
    if (attempt.MayHaveArrived()) ++attempt.offers;
    if (attempt.crashed) ++attempt.crashes;
    if (attempt.result.caller_gone) co_return;
    if (!ShouldRetry(inbound, attempt)) break;
    m_metrics.OnRetry();
  }
  // A refusal by a node says nothing about the attempts before it.
  if (arrived && !attempt.MayHaveArrived()) {
    arrived->refusals = attempt.refusals;
    arrived->unreachable = attempt.unreachable;
    attempt = std::move(*arrived);
  }
}

bool Proxy::ShouldRetry(const InboundRequest& inbound, const Attempt& attempt) {
  const ForwardResult& result = attempt.result;
  const Call& call = attempt.call;
  const bool refused = result.verdict == Verdict::kNotRun;
  const bool failed =
      !result.answered || result.head.result_int() >= 500 || refused;
  if (!failed || inbound.streamed || attempt.blocked) return false;
  // One crash may have had another cause.
  const CrashStanding standing =
      m_crashes->StandingOf(call.key, call.service, call.version);
  const uint32_t crashes = std::max(attempt.crashes, standing.crashes);
  if (attempt.crashed && crashes >= kCrashesToIsolate) return false;
  // A response with a large body cannot be kept until the next attempt ends.
  if (result.answered && !result.fully_buffered) return false;
  if (Clock::now() >= call.deadline || !EndsInGrace(call)) return false;
  if (!refused && !call.idempotent) return false;
  if (refused && !result.offered) {
    return attempt.refusals < kMaxRefusalsPerCall &&
           attempt.unreachable < kMaxUnreachableNodes;
  }
  return attempt.offers < call.max_attempts;
}

milliseconds Proxy::RelayTime(const std::string& route) const {
  if (!m_options.callers_use_link) return milliseconds(0);
  return m_runner->GetAdmission().LinkTransferTime(
      m_response_sizes.Expected(route).mean);
}

RequestHead Proxy::HeadForNode(const InboundRequest& inbound,
                               const Call& call) const {
  RequestHead head = inbound.Head();
  RemoveHopByHopHeaders(&head);
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
    attempt.retry_after = run.admission.wait;
    std::swap(attempt.result, run.result);
    if (attempt.result.verdict == Verdict::kNotRun) ++attempt.refusals;
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
  options.pacer = &m_pacer;
  options.budget = m_budget;
  options.to_node = true;
  attempt.result = co_await Forward(m_pool, inbound, options);
  if (attempt.result.verdict == Verdict::kNotRun) {
    ++(attempt.result.answered ? attempt.refusals : attempt.unreachable);
  }
  if (!attempt.result.answered) co_return;
  const auto& head = attempt.result.head;
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
  const bool failed = !result.answered || (status >= 500 && !refused);
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
             !attempt.link_full) {
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
  const LogKind kind = refused || unreachable ? LogKind::kRefused
                       : failed               ? LogKind::kFailed
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
  // A drain that begins during the write must not close a connection that the
  // response keeps open.
  const bool close = m_draining;
  UpstreamPool& pool = attempt.local ? m_runner->Pool() : m_pool;
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
  const ForwardResult& result = attempt.result;
  LocalReply answer;
  answer.verdict = result.verdict;
  answer.reason = result.reason.empty() ? "refused" : result.reason;
  answer.request_id = call.request_id;
  answer.request_id_header = m_options.headers.request_id;
  answer.close = m_draining;
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
