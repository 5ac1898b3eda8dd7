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
#include <optional>
#include <utility>

#include "kumquatmoor/coordination/quota_client.h"
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

// Upper bound of the time that a caller may allow for a request.
constexpr milliseconds kMaxDeadline{600'000};
// Refusals by nodes after which a request fails. Each refusal costs a round
// trip, and the load reports of three nodes are a fair sample of all.
constexpr int kMaxRefusalsPerCall = 3;
// Unreachable nodes after which a request fails. More than half of all nodes
// may be lost at the same moment, for example with a zone or in a mass restart.
constexpr int kMaxUnreachableNodes = 6;

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
  const Call* parent = m_runner->FindParent(call->request_id);
  const RequestHead& head = inbound.Head();
  const std::string_view method = Text(head.method_string());
  if (!HasConfiguration()) {
    return Rejection{503, "this node holds no configuration yet"};
  }
  if (auto refusal = RefuseWhileBehind()) return refusal;
  const HttpRouteIndex* index = m_routes->http_routes.get();
  if (index != nullptr && index->IsInUse()) {
    if (call->request_id.empty()) return Rejection{400, "no request id"};
    const HttpRoute* route =
        index->Find(Text(head[http::field::host]), Text(head.target()));
    if (route == nullptr) return Rejection{404, "no route"};
    if (auto refusal = Authenticate(inbound, *route, call)) return refusal;
    ApplyRoute(*route, call);
    // A key is that of a caller, whatever the id of its request looks like.
    if (parent != nullptr && call->key_hash.empty()) {
      InheritFromParent(*parent, call);
    }
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
  if (parent != nullptr) InheritFromParent(*parent, call);
  call->key = KeyOf(inbound, *call);
  return std::nullopt;
}

std::string Proxy::KeyOf(const InboundRequest& inbound,
                         const Call& call) const {
  const RequestHead& head = inbound.Head();
  const bool has_routes =
      m_routes->http_routes != nullptr && m_routes->http_routes->IsInUse();
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
  // The route may have changed since the request was read.
  if (!call.idempotent && !co_await inbound.AwaitTurn()) co_return false;
  if (m_behind_since) m_metrics.OnDecidedBehind(Clock::now() - *m_behind_since);
  std::optional<TimePoint> token;
  if (const auto denied = co_await TakeQuotaToken(call, &token)) {
    co_return co_await RefuseByQuota(inbound, call, *denied);
  }
  Attempt attempt;
  attempt.call = call;
  co_await TryTargets(inbound, call, attempt);
  ReturnUnusedToken(call, token, attempt.result.verdict);
  if (call.is_nested_call) ReportNestedCall(call, attempt);
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
  HandBacks hand_backs;
  while (tried.empty() || MayUseKey(call)) {
    // `pick` points into the routing table, which must stay alive during the
    // attempt.
    const std::shared_ptr<const RouteTable> routes = m_routes;
    AttemptKind kind = call.attempt_kind;
    if (arrived || attempt.MayHaveArrived()) kind = AttemptKind::kRetry;
    const Pick pick = PickOrReturn(call, kind, tried, &hand_backs);
    if (pick.target == nullptr) {
      if (tried.empty()) {
        attempt.result.reason = std::string(pick.reason);
        attempt.blocked = IsBlockedEverywhere(call);
        if (attempt.blocked) m_metrics.OnBlocked();
      }
      break;
    }
    tried.insert(pick.target->member_id);
    const bool may_hand_back = MayHandBack(inbound, call, hand_backs);
    Attempt next = attempt.Next();
    if (attempt.MayHaveArrived()) arrived = std::move(attempt);
    attempt = std::move(next);
    attempt.call.version = pick.target->version;
    attempt.call.known_crashes = attempt.crashes;
    attempt.call.attempt_kind = kind;
    attempt.call.may_hand_back = may_hand_back;
    attempt.call.deadline = std::min(call.deadline, m_drain_end);
    co_await TryHedged(inbound, pick, &tried, attempt);
    if (attempt.MayHaveArrived()) ++attempt.offers;
    if (attempt.crashed) ++attempt.crashes;
    if (attempt.result.caller_gone) co_return;
    if (attempt.handed_back) {
      hand_backs.Add(pick.target->member_id, *attempt.handed_back);
    }
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
  if (attempt.shed) return false;
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

}  // namespace kumquatmoor
