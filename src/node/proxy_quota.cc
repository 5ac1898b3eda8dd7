// Quotas of organisations at the node of the caller. A request takes a token
// before it is sent to a target, and a request that no target has run returns
// it. Calls that a backend server makes while it runs a request take none: the
// request has a token, and its work would be lost.
//
// The response with status 429 is not a denial by the configuration, so that it
// is counted by organisation and not among those.

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "kumquatmoor/node/proxy.h"
#include "node/boot_time.h"
#include "node/call.h"
#include "node/header_values.h"
#include "node/quota_gate.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using Quota = CallMetrics::Quota;

constexpr unsigned kTooManyRequests = 429;
// The unit of the Retry-After header that a node sends.
constexpr milliseconds kRetryAfterUnit{10};

// A time that is rounded down would let the caller come before the token.
milliseconds RoundedUp(milliseconds time) {
  return (time + kRetryAfterUnit - milliseconds(1)) / kRetryAfterUnit *
         kRetryAfterUnit;
}

}  // namespace

void Proxy::SetQuotas(std::shared_ptr<const QuotaLimits> limits,
                      size_t known_members) {
  asio::post(m_context,
             [this, limits = std::move(limits), known_members]() mutable {
               m_quotas->SetLimits(std::move(limits), known_members);
             });
}

void Proxy::SetQuotaHandler(
    std::function<void(std::vector<QuotaRequest>, TimePoint)> handler) {
  m_quotas->SetHandler(std::move(handler));
}

void Proxy::OnQuotaGrants(std::vector<QuotaGrant> grants, TimePoint sent) {
  asio::post(m_context, [this, grants = std::move(grants), sent] {
    m_quotas->OnGrants(grants, sent);
  });
}

asio::awaitable<std::optional<QuotaDenied>> Proxy::TakeQuotaToken(
    const Call& call, std::optional<TimePoint>* taken) {
  if (call.is_nested_call || !m_quotas->HasQuota(call.organisation)) {
    co_return std::nullopt;
  }
  const QuotaDecision decision =
      co_await m_quotas->Take(call.organisation, call.deadline);
  if (const auto* denied = std::get_if<QuotaDenied>(&decision)) {
    co_return *denied;
  }
  const auto* token = std::get_if<QuotaTaken>(&decision);
  const bool is_fallback = token != nullptr && token->is_fallback;
  m_metrics.OnQuota(call.organisation,
                    is_fallback ? Quota::kFallback : Quota::kGranted);
  *taken = BootTimePoint();
  co_return std::nullopt;
}

void Proxy::ReturnUnusedToken(const Call& call, std::optional<TimePoint> taken,
                              Verdict verdict) {
  if (!taken || verdict != Verdict::kNotRun) return;
  m_quotas->Return(call.organisation, *taken);
}

asio::awaitable<bool> Proxy::RefuseByQuota(InboundRequest& inbound,
                                           const Call& call,
                                           QuotaDenied denied) {
  m_metrics.OnQuota(call.organisation, Quota::kDenied);
  if (m_log_budget.Allow(LogKind::kQuota, Clock::now())) {
    spdlog::info(
        "quota: event=denied request={} organisation={} route={} revision={} "
        "retry_after_ms={} elapsed_ms={:.1f}",
        call.request_id, call.organisation, call.route, m_routes->revision,
        denied.retry_after.count(), ElapsedMs(call.started));
  }
  LocalReply answer;
  answer.status = kTooManyRequests;
  answer.verdict = Verdict::kNotRun;
  answer.request_id = call.request_id;
  answer.request_id_header = m_options.headers.request_id;
  answer.reason = "the organisation's quota is used up";
  answer.retry_after = RoundedUp(denied.retry_after);
  answer.close = m_draining;
  m_metrics.OnCall(Verdict::kNotRun, ElapsedMs(call.started));
  co_await WriteLocalReply(inbound, answer);
  co_return inbound.KeepAlive() && inbound.IsFullyBuffered() && !answer.close;
}

}  // namespace kumquatmoor
