// This file has the sessions of other nodes and the functions that other
// threads call. The sessions of callers are in caller_session.cc, how a request
// is routed and retried is in proxy_calls.cc, the drain in proxy_drain.cc.

#include "kumquatmoor/node/proxy.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <limits>
#include <utility>

#include "node/local_runner.h"
#include "node/quota_gate.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using std::chrono::milliseconds;

constexpr milliseconds kDrainPollInterval{20};
// Interval at which idle pooled connections are closed and the numbers of
// suppressed log lines are reported.
constexpr std::chrono::seconds kHousekeepingInterval{1};

// Admission knows the link that its responses are paced for.
ProxyOptions WithLink(ProxyOptions options) {
  // The rest is used by heads and by requests to other nodes.
  constexpr double kPartForResponses = 0.9;
  options.admission.link_rate =
      kPartForResponses *
      LinkSchedulerOptions{.rate = options.link_rate}.UsableRate();
  return options;
}

CallerBounds ToCallerBounds(const CallerLimits& limits) {
  CallerBounds bounds;
  if (limits.max_header_bytes() > 0) {
    bounds.max_header_bytes = limits.max_header_bytes();
  }
  if (limits.max_body_bytes() > 0) {
    bounds.max_body_bytes = limits.max_body_bytes();
  }
  if (limits.header_timeout_ms() > 0) {
    bounds.header_timeout = milliseconds(limits.header_timeout_ms());
  }
  if (limits.idle_timeout_ms() > 0) {
    bounds.idle_timeout = milliseconds(limits.idle_timeout_ms());
  }
  return bounds;
}

// A request that another node sends on has been checked by that node, whose
// configuration may have other limits. Its head has grown by the header fields
// between nodes.
CallerBounds BoundsForNodes(const CallerBounds& callers) {
  constexpr uint64_t kMinHeaderBytes = 1U << 20U;
  constexpr uint64_t kAddedHeaderBytes = 65'536;
  const uint64_t header_bytes =
      std::max(kMinHeaderBytes, callers.max_header_bytes + kAddedHeaderBytes);
  CallerBounds bounds;
  bounds.max_header_bytes = static_cast<uint32_t>(
      std::min<uint64_t>(header_bytes, std::numeric_limits<uint32_t>::max()));
  bounds.max_body_bytes = std::numeric_limits<uint64_t>::max();
  return bounds;
}

}  // namespace

Proxy::Proxy(asio::io_context& context, ProxyOptions options,
             const FaultPlan* faults, BoundedRing<Outcome>* outcomes)
    : m_context(context),
      m_options(WithLink(std::move(options))),
      m_faults(faults),
      m_caller_server(context,
                      HttpServerOptions{.address = m_options.caller_address},
                      [this](asio::ip::tcp::socket socket) {
                        return CallerSession(std::move(socket));
                      }),
      m_data_server(context,
                    HttpServerOptions{.address = m_options.data_address},
                    [this](asio::ip::tcp::socket socket) {
                      return DataSession(std::move(socket));
                    }),
      m_budget(std::make_shared<BufferBudget>(m_options.buffer_bytes)),
      m_pool(context),
      m_pacer(context, m_options.link_rate),
      m_runner(std::make_unique<LocalRunner>(context, m_options.headers,
                                             m_options.admission, outcomes,
                                             &m_metrics, m_budget)),
      m_quotas(std::make_unique<QuotaGate>(context, m_options.seed)),
      m_rng(m_options.seed) {}

Proxy::~Proxy() = default;

boost::system::error_code Proxy::Start() {
  if (auto error = m_caller_server.Start()) return error;
  if (auto error = m_data_server.Start()) return error;
  asio::co_spawn(m_context, CloseOldConnections(), asio::detached);
  return {};
}

void Proxy::SetRoutes(std::shared_ptr<const RouteTable> routes) {
  // An announcement after this call counts as later than the end of an
  // evacuation, however late the proxy's thread runs.
  asio::post(m_context, [this, routes = std::move(routes),
                         now = Clock::now()]() mutable {
    if (m_routes == nullptr || m_routes->revision != routes->revision) {
      m_revision_since = Clock::now();
    }
    m_routes = std::move(routes);
    m_runner->GetAdmission().SetRoutes(*m_routes, now);
    m_runner->SetRemovesCredentials(RequiresKeys());
    m_runner->WakeWaiting();
    if (m_routes->http_routes != nullptr) {
      m_bounds = ToCallerBounds(m_routes->http_routes->Limits());
    }
  });
}

void Proxy::SetBackends(std::vector<LocalBackend> backends) {
  asio::post(m_context, [this, backends = std::move(backends)] {
    Admission& admission = m_runner->GetAdmission();
    admission.SetBackends(backends);
    if (m_routes != nullptr) admission.SetRoutes(*m_routes);
    m_runner->WakeWaiting();
  });
}

void Proxy::ChargeLink(size_t bytes) {
  if (!m_pacer.IsEnabled()) return;
  asio::post(m_context, [this, bytes] { m_pacer.Charge(bytes); });
}

void Proxy::SetLeavingHandler(
    std::function<void(const LocalBackend&)> handler) {
  m_runner->SetLeavingHandler(std::move(handler));
}

void Proxy::SetColdUnknownHandler(
    std::function<void(const LocalBackend&, TimePoint)> handler) {
  m_runner->SetColdUnknownHandler(std::move(handler));
}

void Proxy::SetCrashes(std::shared_ptr<const CrashSuspects> crashes) {
  asio::post(m_context, [this, crashes = std::move(crashes)]() mutable {
    m_crashes = crashes;
    m_runner->SetCrashes(std::move(crashes));
  });
}

void Proxy::SetCrashHandlers(
    std::function<void(const BackendCrash&)> on_crash,
    std::function<void(const std::string&, const std::string&,
                       const std::string&)>
        on_response) {
  m_runner->SetCrashHandlers(
      std::move(on_crash),
      [on_response = std::move(on_response)](const Call& call) {
        on_response(call.key, call.service, call.version);
      });
}

void Proxy::CloseVersion(std::string service, std::string version,
                         std::function<void()> closed) {
  asio::post(m_context, [this, service = std::move(service),
                         version = std::move(version),
                         closed = std::move(closed)]() mutable {
    m_runner->GetAdmission().CloseVersion(service, version);
    asio::co_spawn(m_context,
                   WaitUntilClosed(std::move(service), std::move(version),
                                   std::move(closed)),
                   asio::detached);
  });
}

void Proxy::OpenVersion(std::string service, std::string version) {
  asio::post(m_context, [this, service = std::move(service),
                         version = std::move(version)] {
    m_runner->GetAdmission().OpenVersion(service, version);
  });
}

asio::awaitable<void> Proxy::WaitUntilClosed(std::string service,
                                             std::string version,
                                             std::function<void()> closed) {
  asio::steady_timer timer(m_context);
  while (m_runner->GetAdmission().InFlight(service, version) > 0) {
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  closed();
}

void Proxy::ReadMetrics(std::function<void(const CallMetrics&)> reader) {
  asio::post(m_context,
             [this, reader = std::move(reader)] { reader(m_metrics); });
}

void Proxy::LogSuppressed() {
  for (const auto& [kind, lines] : m_log_budget.TakeSuppressedCounts()) {
    spdlog::warn("log: event=left_out kind={} lines={}", LogKindName(kind),
                 lines);
  }
}

void Proxy::LogRetries() {
  CallMetrics::Runs runs = m_metrics.LocalRuns();
  for (size_t kind = 0; kind < runs.size(); ++kind) {
    runs[kind] -= m_logged_runs[kind];
  }
  m_logged_runs = m_metrics.LocalRuns();
  const auto count = [&](AttemptKind kind) {
    return runs[static_cast<size_t>(kind)];
  };
  const uint64_t retries = count(AttemptKind::kRetry);
  const uint64_t calls_of_retries = count(AttemptKind::kCallOfRetry);
  if (retries + calls_of_retries == 0) return;
  spdlog::info("admit: event=retries first={} retry={} call_of_retry={}",
               count(AttemptKind::kFirst), retries, calls_of_retries);
}

asio::awaitable<void> Proxy::CloseOldConnections() {
  asio::steady_timer timer(m_context);
  while (true) {
    timer.expires_after(kHousekeepingInterval);
    co_await timer.async_wait(asio::use_awaitable);
    m_pool.CloseExpired();
    m_runner->Pool().CloseExpired();
    LogSuppressed();
    LogRetries();
  }
}

asio::awaitable<void> Proxy::DataSession(asio::ip::tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  bool keep_open = true;
  while (keep_open) {
    InboundRequest inbound(stream, buffer, BoundsForNodes(m_bounds), m_budget);
    const auto unregister = [requests = m_node_requests](InboundRequest* done) {
      requests->erase(done);
    };
    const std::unique_ptr<InboundRequest, decltype(unregister)> registration(
        &inbound, unregister);
    const ReadOutcome read = co_await inbound.ReadHead(
        [this, &inbound] { m_node_requests->insert(&inbound); });
    if (read == ReadOutcome::kRejected || inbound.IsReadCancelled()) {
      co_await RejectNode(inbound);
      co_await CloseAfterReply(stream);
    }
    if (read != ReadOutcome::kRequest || inbound.IsReadCancelled()) break;
    try {
      keep_open = co_await ServeNode(inbound);
    } catch (const std::exception&) {
      keep_open = false;
    }
  }
}

}  // namespace kumquatmoor
