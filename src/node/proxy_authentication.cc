// Whether a caller's request may be routed where the configuration has
// organisations. The decision is in state/organisations.h; this file reads the
// request, and counts and logs the outcome. The key is neither logged nor
// passed on: a log line names the outcome only.

#include <spdlog/spdlog.h>

#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>

#include "kumquatmoor/node/proxy.h"
#include "node/call.h"
#include "node/header_values.h"
#include "node/local_runner.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;

// The part of the time for revocations that is used. The rest covers a request
// that the check found valid and that its client sent a moment before, and the
// rounding of ages.
constexpr double kUsedPart = 0.9;

// Time after the start of a node for which requests of its backend server may
// run that the node does not know of: those that the node before it has sent.
constexpr std::chrono::seconds kUnknownParentTime{10};

ParentState ParentStateOf(const RunningRequests& running,
                          const std::string& request_id) {
  if (running.FindParent(request_id) != nullptr) return ParentState::kRunning;
  return running.HasCallId(request_id) ? ParentState::kUnknown
                                       : ParentState::kNone;
}

}  // namespace

bool Proxy::RequiresKeys() const {
  return m_routes != nullptr && m_routes->organisations != nullptr &&
         m_routes->organisations->RequiresKeys();
}

CallerCredentials Proxy::CredentialsOf(const InboundRequest& inbound,
                                       const HttpRoute& route,
                                       const Call& call) const {
  const CallHeaders& names = m_options.headers;
  CallerCredentials caller{
      .scheme = names.authorization_scheme,
      .is_public = route.is_public(),
      .parent = ParentStateOf(m_runner->Running(), call.request_id)};
  if (names.authorization.empty()) return caller;
  const auto [first, last] = inbound.Head().equal_range(names.authorization);
  if (first == last) return caller;
  caller.credentials = Text(first->value());
  caller.is_ambiguous = std::next(first) != last;
  return caller;
}

void Proxy::SetConfirmedAt(BootTime at) {
  asio::post(m_context, [this, at] { m_confirmed_at = at; });
}

bool Proxy::IsConfirmed() const {
  if (m_options.key_revocation.count() == 0) return true;
  return m_confirmed_at && BootClock::now() - *m_confirmed_at <
                               kUsedPart * m_options.key_revocation;
}

bool Proxy::MayUseKey(const Call& call) const {
  if (call.key_hash.empty() || !RequiresKeys()) return true;
  const auto* organisation = m_routes->organisations->Find(call.key_hash);
  return organisation != nullptr && organisation->name == call.organisation &&
         IsConfirmed();
}

std::optional<Proxy::Rejection> Proxy::Authenticate(
    const InboundRequest& inbound, const HttpRoute& route, Call* call) {
  if (!RequiresKeys()) return std::nullopt;
  Authentication result = AuthenticateCaller(
      *m_routes->organisations, CredentialsOf(inbound, route, *call));
  m_metrics.OnAuthentication(result.outcome);
  const bool depends_on_keys = result.outcome != Authentication::kOpen &&
                               result.outcome != Authentication::kCallOfBackend;
  if (depends_on_keys && !IsConfirmed()) {
    // The key may be revoked by now, so the request is not named by it.
    if (route.is_public()) return std::nullopt;
    m_metrics.OnRefusedUnconfirmed();
    return Rejection{503, "the configuration is not known to be current"};
  }
  switch (result.outcome) {
    case Authentication::kOpen:
      return std::nullopt;
    case Authentication::kOrganisation:
      call->organisation = result.organisation->name;
      call->organisation_priority = result.organisation->priority;
      call->key_hash = std::move(result.key_hash);
      return std::nullopt;
    case Authentication::kCallOfBackend:
      call->is_nested_call = true;
      return std::nullopt;
    case Authentication::kUnknownParent:
      if (Clock::now() - m_started < kUnknownParentTime) {
        return Rejection{503,
                         "the node has just started, and does not know"
                         " the request that the call is made for"};
      }
      [[fallthrough]];
    case Authentication::kNoKey:
      return Rejection{401, "the request has no key"};
    case Authentication::kUnknownKey:
      return Rejection{401, "the key is not known"};
  }
  return std::nullopt;
}

}  // namespace kumquatmoor
