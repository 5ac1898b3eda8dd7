#include "kumquatmoor/node/node.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <future>
#include <random>
#include <utility>

#include "node/unix_time.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;

constexpr size_t kOutcomeRingCapacity = 65'536;
constexpr size_t kSyncRingCapacity = 16;
// The part of the retry ratio that is used. The rest is a margin for what the
// hosts have saved up.
constexpr double kUsedRetryRatio = 0.9;
constexpr double kBytesPerSecondPerMbps = 125'000;
constexpr char kJson[] = "application/json";
constexpr char kText[] = "text/plain; version=0.0.4";
// Each may hold a request of a megabyte.
constexpr size_t kMaxAdminConnections = 16;
// Time for a leaving node to send its last datagrams.
constexpr std::chrono::milliseconds kLeaveDelay{100};
// Time for the proxy's thread to report that its time is over.
constexpr std::chrono::milliseconds kReportDelay{30};
// Time for a thread to describe what it waits for.
constexpr std::chrono::milliseconds kAskTimeout{100};

uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

// The rest of the memory is for the connections themselves, the state of the
// mesh and the calls to the platform.
size_t BufferBytes(const NodeSettings& settings) {
  constexpr double kBufferPart = 0.4;
  constexpr double kBytesPerMb = 1U << 20U;
  if (settings.memory_mb == 0) return ProxyOptions().buffer_bytes;
  return static_cast<size_t>(kBufferPart * kBytesPerMb *
                             static_cast<double>(settings.memory_mb));
}

ProxyOptions MakeProxyOptions(const NodeSettings& settings,
                              CallHeaders headers) {
  return {.id = settings.id,
          .zone = settings.zone,
          .caller_address = settings.caller_address,
          .data_address = settings.data_address,
          .service = settings.service,
          .headers = std::move(headers),
          .default_deadline = settings.default_deadline,
          .max_attempts = settings.max_attempts,
          .admission = {.waiting_per_slot =
                            static_cast<size_t>(settings.waiting_per_slot),
                        .retries = {.ratio = kUsedRetryRatio *
                                             settings.retry_ratio}},
          .caller_grace = settings.caller_grace,
          .drain_timeout = settings.drain_timeout,
          .key_revocation = settings.key_revocation,
          .reply_timeout = settings.reply_timeout,
          .link_rate = settings.link_mbps * kBytesPerSecondPerMbps,
          .callers_use_link = settings.callers_use_link,
          .hedge_percent = settings.hedge_percent,
          .buffer_bytes = BufferBytes(settings),
          .seed = RandomSeed()};
}

ControlLoopOptions MakeLoopOptions(const NodeSettings& settings,
                                   const CallHeaders& headers) {
  ControlLoopOptions options;
  options.replica.id = settings.id;
  options.replica.zone = settings.zone;
  options.replica.control_address = settings.control_address;
  options.replica.data_address = settings.data_address;
  options.replica.started_ms = UnixMs();
  options.replica.seed = RandomSeed();
  options.replica.probe_interval = settings.probe_interval;
  options.key_revocation = settings.key_revocation;
  options.gateways_per_zone = static_cast<size_t>(settings.gateways_per_zone);
  options.cold_header = headers.cold_ms;
  return options;
}

SyncWorkerOptions MakeSyncOptions(const NodeSettings& settings) {
  SyncWorkerOptions options;
  options.own_address = settings.control_address;
  options.seeds = settings.seeds;
  options.seed = RandomSeed();
  return options;
}

HttpResponse JsonProblem(unsigned status, const std::string& message) {
  return MakeResponse(
      status, boost::json::serialize(boost::json::object{{"error", message}}),
      kJson);
}

// Runs `function` on the thread that runs `context`.
std::future<std::string> Ask(asio::io_context& context,
                             std::function<std::string()> function) {
  auto task =
      std::make_shared<std::packaged_task<std::string()>>(std::move(function));
  auto result = task->get_future();
  asio::post(context, [task] { (*task)(); });
  return result;
}

}  // namespace

Node::Node(NodeSettings settings, NodeOptions options)
    : m_settings(std::move(settings)),
      m_options(std::move(options)),
      m_proxy_work(m_proxy_context.get_executor()),
      m_outcomes(kOutcomeRingCapacity),
      m_syncs(kSyncRingCapacity),
      m_proxy(m_proxy_context, MakeProxyOptions(m_settings, m_options.headers),
              &m_faults, &m_outcomes),
      m_loop(m_control_context, MakeLoopOptions(m_settings, m_options.headers),
             &m_faults, &m_proxy, &m_outcomes, &m_syncs),
      m_client(&m_faults),
      m_service(&m_loop, &m_client),
      m_sync_worker(MakeSyncOptions(m_settings), &m_loop, &m_client, &m_syncs),
      m_gateway({.seed = RandomSeed()}, &m_loop, m_options.platform,
                m_options.source),
      m_departures({.member_id = m_settings.id,
                    .zone = m_settings.zone,
                    .seed = RandomSeed()},
                   m_options.platform),
      m_admin(m_control_context,
              {.address = m_settings.admin_address,
               .max_connections = kMaxAdminConnections},
              MakeBufferedSession({}, [this](HttpRequest& request,
                                             asio::ip::tcp::socket& socket) {
                return HandleAdmin(request, socket);
              })) {
  m_proxy.SetLeavingHandler([this](const LocalBackend& backend) {
    m_loop.Post(
        [backend](ControlLoop& loop) { loop.OnBackendLeaving(backend); });
  });
  // Nothing repeats it: the backend server would stay cold for its node.
  m_proxy.SetColdUnknownHandler([this](const LocalBackend& backend,
                                       TimePoint at) {
    m_loop.PostUnbounded([address = backend.address, at](ControlLoop& loop) {
      loop.OnColdUnknown(address, at);
    });
  });
  m_proxy.SetQuotaHandler(
      [this](std::vector<QuotaRequest> requests, TimePoint sent) {
        m_loop.Post([requests = std::move(requests), sent](ControlLoop& loop) {
          loop.AskForQuota(requests, sent);
        });
      });
  m_loop.SetGenerationHandler([this] { m_departures.WriteAgain(); });
  m_proxy.SetCrashHandlers(
      [this](const BackendCrash& crash) {
        m_loop.Post([crash](ControlLoop& loop) { loop.OnBackendCrash(crash); });
      },
      [this](const std::string& key, const std::string& service,
             const std::string& version) {
        m_loop.Post([key, service, version](ControlLoop& loop) {
          loop.OnSuspectResponse(key, service, version);
        });
      });
}

Node::~Node() { Stop(); }

std::string Node::Start() {
  const auto problem = [](const std::string& address,
                          const boost::system::error_code& error) {
    return address + ": " + error.message();
  };
  if (auto error = m_proxy.Start()) {
    return problem(m_settings.caller_address + " or " + m_settings.data_address,
                   error);
  }
  if (auto error = m_loop.Start()) {
    return problem(m_settings.control_address, error);
  }
  if (auto error = m_admin.Start()) {
    return problem(m_settings.admin_address, error);
  }
  if (!m_service.Start(m_settings.control_address)) {
    return m_settings.control_address + ": cannot be bound";
  }
  m_proxy_thread = std::thread([this] { m_proxy_context.run(); });
  m_control_thread = std::thread([this] { m_control_context.run(); });
  m_sync_worker.Start();
  m_gateway.Start();
  spdlog::info("node: event=started id={} zone={} caller_address={}",
               m_settings.id, m_settings.zone, m_settings.caller_address);
  return {};
}

void Node::WaitForSignal(ProcessSignals& signals) {
  m_phase = "serving";
  signals.WaitForStop(m_options.on_reload);
  m_phase = "draining";
  spdlog::info("node: event=draining");
  Drain();
}

// Publishes the local targets as draining, waits for the end of the requests in
// flight, and then announces that the node itself leaves.
void Node::Drain() {
  m_loop.PostUnbounded([](ControlLoop& loop) { loop.StartDrain(); });
  auto drained = std::make_shared<std::promise<void>>();
  auto done = drained->get_future();
  m_proxy.StartDrain([drained] { drained->set_value(); });
  if (done.wait_for(m_settings.drain_timeout + m_settings.reply_timeout +
                    kReportDelay) != std::future_status::ready) {
    spdlog::warn(
        "node: event=drain_timeout drain_timeout_ms={} reason=\"requests are "
        "still in flight\"",
        m_settings.drain_timeout.count());
  }
  m_phase = "leaving";
  m_loop.PostUnbounded([](ControlLoop& loop) { loop.Leave(); });
  std::this_thread::sleep_for(kLeaveDelay);
  spdlog::info("node: event=drained");
  m_phase = "ending";
}

std::string Node::DescribePending() {
  auto proxy =
      Ask(m_proxy_context, [this] { return m_proxy.DescribePending(); });
  auto control = Ask(m_control_context, [] { return std::string(); });
  const TimePoint until = Clock::now() + kAskTimeout;
  const bool proxy_responds =
      proxy.wait_until(until) == std::future_status::ready;
  const bool control_responds =
      control.wait_until(until) == std::future_status::ready;
  const auto text = [](bool responds) { return responds ? "runs" : "hangs"; };
  return fmt::format("phase={} proxy_thread={} control_thread={} {}",
                     m_phase.load(), text(proxy_responds),
                     text(control_responds),
                     proxy_responds ? proxy.get() : std::string());
}

void Node::Stop() {
  m_departures.Stop();
  m_gateway.Stop();
  m_sync_worker.Stop();
  m_service.Stop();
  m_proxy_context.stop();
  m_control_context.stop();
  if (m_proxy_thread.joinable()) m_proxy_thread.join();
  if (m_control_thread.joinable()) m_control_thread.join();
}

asio::awaitable<HttpResponse> Node::HandleAdmin(HttpRequest& request,
                                                asio::ip::tcp::socket& socket) {
  const std::string target(request.target());
  if (target == "/announce") co_return HandleAnnounce(request);
  if (target == "/faults") co_return HandleFaults(request);
  if (target != "/metrics") co_return JsonProblem(404, "no such page");
  auto text = std::make_shared<std::string>();
  auto ready = std::make_shared<asio::steady_timer>(socket.get_executor());
  ready->expires_after(std::chrono::seconds(1));
  m_proxy.ReadMetrics([this, text, ready](const CallMetrics& calls) {
    *text = calls.ToPrometheus();
    asio::post(m_control_context, [ready] { ready->cancel(); });
  });
  boost::system::error_code cancelled;
  co_await ready->async_wait(
      asio::redirect_error(asio::use_awaitable, cancelled));
  std::string extra;
  if (m_options.extra_metrics) extra = m_options.extra_metrics();
  co_return MakeResponse(
      200, *text + m_loop.ControlMetrics() + m_departures.Metrics() + extra,
      kText);
}

HttpResponse Node::HandleAnnounce(const HttpRequest& request) {
  auto parsed = Attempt([&] { return ParseAnnouncement(request.body()); });
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    return JsonProblem(400, failure->message);
  }
  m_loop.Announce(std::get<Announcement>(parsed));
  return MakeResponse(200, "{}", kJson);
}

HttpResponse Node::HandleFaults(const HttpRequest& request) {
  if (!m_options.fault_injection) {
    return JsonProblem(403, "start the node with --enable_fault_injection");
  }
  auto parsed = Attempt([&] { return ParseFaultRules(request.body()); });
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    return JsonProblem(400, failure->message);
  }
  spdlog::warn("fault: event=rules_replaced rules={}",
               std::get<std::vector<FaultRule>>(parsed).size());
  m_faults.Replace(std::get<std::vector<FaultRule>>(std::move(parsed)));
  return MakeResponse(200, "{}", kJson);
}

}  // namespace kumquatmoor
