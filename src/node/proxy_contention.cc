// What a caller's node does for contending requests: it tries other targets for
// a request that was handed back, and records how the nested calls of its
// backend servers end.
//
// A target that handed a request back is not tried again, unless it is the best
// of those that did. It then gets the request without the permission to hand it
// back.

#include <algorithm>

#include "kumquatmoor/node/proxy.h"
#include "node/call.h"
#include "node/local_runner.h"
#include "node/proxy_attempt.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
// A backend server that gives up a call this long before its deadline, or
// later, has seen it time out.
constexpr milliseconds kTimeoutTolerance{20};

}  // namespace

Pick Proxy::PickOrReturn(const Call& call, AttemptKind kind,
                         const std::set<std::string>& tried,
                         HandBacks* hand_backs) {
  if (hand_backs->Best().empty() || !hand_backs->IsSpent()) {
    const Pick pick = PickFor(call, kind, tried);
    if (pick.target != nullptr || hand_backs->Best().empty()) return pick;
  }
  hand_backs->SetSpent();
  m_hand_back_policy.OnSpent(call.service, Clock::now());
  const std::string best = hand_backs->TakeBest();
  const ServiceRoutes* service = m_routes->Find(call.service);
  if (service == nullptr) return {.reason = "no live target"};
  for (const auto& version : service->versions) {
    for (const auto& target : version.targets) {
      if (target.member_id != best) continue;
      return {.version = &version,
              .target = &target,
              .reason = "best of those that handed it back"};
    }
  }
  return PickFor(call, kind, tried);
}

bool Proxy::MayHandBack(const InboundRequest& inbound, const Call& call,
                        const HandBacks& hand_backs) const {
  // A body that is streamed cannot be sent again, and all requests that may
  // crash a backend server have to go to the same one.
  return inbound.IsFullyBuffered() && !m_crashes->Contains(call.key) &&
         !hand_backs.IsSpent() &&
         m_hand_back_policy.MayAsk(call.service, Clock::now());
}

// A response with another error says that the called service is faulty, which
// is no reason to refuse the requests that call it.
void Proxy::ReportNestedCall(const Call& call, const Attempt& attempt) {
  const ForwardResult& result = attempt.result;
  const TimePoint now = Clock::now();
  bool failed = !result.answered || result.verdict == Verdict::kNotRun;
  if (!failed) {
    const unsigned status = result.head.result_int();
    failed = status == kTooManyRequests || status == kUnavailable ||
             status == kGatewayTimeout;
  }
  if (result.caller_gone) failed = now + kTimeoutTolerance >= call.deadline;
  m_runner->GetAdmission().OnNestedCallEnded(call.parent_route, failed, now);
}

}  // namespace kumquatmoor
