// Responses with a status of 3xx or 4xx: rejections by this node, and what the
// log and the metrics say of them. Together with the request, each line names
// the configuration and the limits that the node decided by.

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <cctype>
#include <utility>

#include "kumquatmoor/node/proxy.h"
#include "node/proxy_attempt.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using Origin = CallMetrics::Origin;

// Retry-After of a node that has no configuration yet, or not the newest.
constexpr milliseconds kNotReadyRetryAfter{300};
// Bytes of a part of a request that a line of the log has at most.
constexpr size_t kMaxLoggedBytes = 120;
constexpr unsigned kRedirectionClass = 3;
constexpr unsigned kCallerErrorClass = 4;

bool IsDenial(unsigned status) {
  return status / 100 == kRedirectionClass || status / 100 == kCallerErrorClass;
}

// The beginning of a text from a request, without characters that could be
// taken for the rest of the line.
std::string LogText(boost::beast::string_view text) {
  std::string shown(text.substr(0, kMaxLoggedBytes));
  std::replace_if(
      shown.begin(), shown.end(),
      [](unsigned char c) { return c == '"' || std::isprint(c) == 0; }, '?');
  return shown;
}

// What a request is routed by.
std::string RequestText(const InboundRequest& inbound) {
  const RequestHead& head = inbound.Head();
  return fmt::format(R"(method={} host="{}" target="{}")",
                     LogText(head.method_string()),
                     LogText(head[http::field::host]), LogText(head.target()));
}

}  // namespace

std::string Proxy::ConfigurationText() const {
  if (m_routes == nullptr) return "revision=none";
  const auto* index = m_routes->http_routes.get();
  const auto age =
      std::chrono::duration_cast<milliseconds>(Clock::now() - m_revision_since);
  const auto behind = std::chrono::duration_cast<milliseconds>(
      Clock::now() - m_behind_since.value_or(Clock::now()));
  return fmt::format("revision={} routes={} in_force_ms={} behind_ms={}",
                     m_routes->revision, index == nullptr ? 0 : index->Size(),
                     age.count(), behind.count());
}

void Proxy::ReportRejection(const InboundRequest& inbound, unsigned status,
                            std::string_view reason) {
  if (IsDenial(status)) m_metrics.OnDenied(status, Origin::kNode);
  const LogKind kind = IsDenial(status) ? LogKind::kDenied : LogKind::kRefused;
  if (!m_log_budget.Allow(kind, Clock::now())) return;
  const CallerBounds& bounds = inbound.Bounds();
  spdlog::info(
      "route: event=rejected request={} status={} origin=node {} {} "
      "max_header_bytes={} max_body_bytes={} reason=\"{}\"",
      LogText(inbound.Head()[m_options.headers.request_id]), status,
      RequestText(inbound), ConfigurationText(), bounds.max_header_bytes,
      bounds.max_body_bytes, reason);
}

void Proxy::ReportBackendDenial(const InboundRequest& inbound,
                                const Attempt& attempt) {
  const auto& head = attempt.result.head;
  const unsigned status = head.result_int();
  if (!IsDenial(status)) return;
  m_metrics.OnDenied(status, Origin::kBackend);
  if (!m_log_budget.Allow(LogKind::kDenied, Clock::now())) return;
  const std::string& signature = m_options.headers.signature;
  spdlog::info(
      "route: event=denied request={} status={} origin=backend {} {} "
      "route={} service={} version={} signed={} offers={} reason=\"{}\"",
      LogText(attempt.call.request_id), status, RequestText(inbound),
      ConfigurationText(), attempt.call.route, attempt.call.service,
      attempt.call.version, !signature.empty() && head.count(signature) > 0,
      attempt.offers, LogText(head.reason()));
}

asio::awaitable<bool> Proxy::Reject(InboundRequest& inbound,
                                    Rejection rejection) {
  if (!co_await inbound.AwaitTurn()) co_return false;
  rejection = WithoutDenialByDefaults(std::move(rejection));
  rejection = WithoutDenialWhileBehind(std::move(rejection));
  rejection = WithoutDenialByReplacedLimits(inbound, std::move(rejection));
  if (rejection.is_behind) m_metrics.OnRefusedBehind();
  ReportRejection(inbound, rejection.status, rejection.reason);
  LocalReply answer;
  answer.status = rejection.status;
  answer.verdict = Verdict::kNotRun;
  answer.request_id = std::string(inbound.Head()[m_options.headers.request_id]);
  answer.request_id_header = m_options.headers.request_id;
  answer.reason = std::move(rejection.reason);
  if (rejection.status == 503) answer.retry_after = kNotReadyRetryAfter;
  answer.close = ClosesAfter(inbound);
  co_await WriteLocalReply(inbound, answer);
  co_return inbound.KeepAlive() && inbound.IsFullyBuffered() && !answer.close;
}

}  // namespace kumquatmoor
