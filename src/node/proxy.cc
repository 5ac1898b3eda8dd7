// A call is tried at one target after another until one answers, the attempts
// or the retry budget are used up, the deadline passes, or the verdict forbids
// another try. Whatever ends it, the caller is answered at once.
//
// A target of this very node is run without another hop; for every other one
// the request goes to the data address of the node beside it.

#include "kumquatmoor/node/proxy.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "kumquatmoor/protocol/headers.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr milliseconds kMaxDeadline{600'000};
// A request with side effects uses only connections that just worked, since
// it cannot be repeated when one has gone silent.
constexpr milliseconds kFreshIdle{500};
constexpr milliseconds kAnyIdle{5'000};
constexpr milliseconds kDrainPollInterval{20};
// Time in which callers of a node that drains can still reach other targets
// through it, until they have moved to another node.
constexpr milliseconds kCallerGrace{1'500};
constexpr std::chrono::seconds kCloseOldInterval{2};
constexpr uint32_t kRetryAfterSeconds = 1;
constexpr unsigned kErrorStatus = 400;

int64_t MillisecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<milliseconds>(to - from).count();
}

double Elapsed(TimePoint since) {
  return std::chrono::duration<double, std::milli>(Clock::now() - since)
      .count();
}

std::string_view Text(beast::string_view text) {
  return {text.data(), text.size()};
}

// "3/10": requests in flight and slots.
std::string LoadText(const AdmissionAnswer& admission) {
  return fmt::format("{}/{}", admission.in_flight, admission.slots);
}

std::optional<uint32_t> ParseCount(std::string_view text) {
  uint32_t count = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc() || end == text.data()) return std::nullopt;
  return count;
}

}  // namespace

// What is known of a request from its head.
struct Proxy::Call {
  std::string service;
  std::string version;  // Set between nodes.
  std::string request_id;
  std::string route;
  bool idempotent = true;
  TimePoint started;
  TimePoint deadline;

  AdmissionRequest ForAdmission() const {
    return {.service = service,
            .version = version,
            .request_id = request_id,
            .idempotent = idempotent};
  }
};

// A run at a backend server of this node.
struct Proxy::LocalRun {
  AdmissionAnswer admission;
  ForwardResult result;
  TimePoint started;
};

// One try of a call at one target.
struct Proxy::Attempt {
  ForwardResult result;
  std::optional<LocalRun> local;
  bool leaving = false;  // The target refuses for longer than a moment.
  Call call;             // With the version that was chosen.
};

Proxy::Proxy(asio::io_context& context, ProxyOptions options,
             const FaultPlan* faults, BoundedRing<Outcome>* outcomes)
    : m_context(context),
      m_options(std::move(options)),
      m_faults(faults),
      m_outcomes(outcomes),
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
      m_pool(context),
      m_retry_budget(m_options.retry_budget),
      m_rng(m_options.seed) {}

boost::system::error_code Proxy::Start() {
  if (auto error = m_caller_server.Start()) return error;
  if (auto error = m_data_server.Start()) return error;
  asio::co_spawn(m_context, CloseOldConnections(), asio::detached);
  return {};
}

void Proxy::SetRoutes(std::shared_ptr<const RouteTable> routes) {
  asio::post(m_context, [this, routes = std::move(routes)]() mutable {
    m_routes = std::move(routes);
    m_admission.SetRoutes(*m_routes);
  });
}

void Proxy::SetBackends(std::vector<LocalBackend> backends) {
  asio::post(m_context, [this, backends = std::move(backends)] {
    m_admission.SetBackends(backends);
    if (m_routes != nullptr) m_admission.SetRoutes(*m_routes);
  });
}

void Proxy::StartDrain(std::function<void()> drained) {
  asio::post(m_context, [this, drained = std::move(drained)]() mutable {
    m_draining = true;
    m_admission.StartDrain();
    asio::co_spawn(m_context, WaitUntilDrained(std::move(drained)),
                   asio::detached);
  });
}

void Proxy::Snapshot(std::function<void(const CallMetrics&)> take) {
  asio::post(m_context, [this, take = std::move(take)] { take(m_metrics); });
}

asio::awaitable<void> Proxy::WaitUntilDrained(std::function<void()> drained) {
  asio::steady_timer timer(m_context);
  timer.expires_after(kCallerGrace);
  co_await timer.async_wait(asio::use_awaitable);
  m_caller_server.StopAccepting();
  while (m_admission.TotalInFlight() > 0 || m_calls_in_progress > 0) {
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  m_data_server.StopAccepting();
  drained();
}

asio::awaitable<void> Proxy::CloseOldConnections() {
  asio::steady_timer timer(m_context);
  while (true) {
    timer.expires_after(kCloseOldInterval);
    co_await timer.async_wait(asio::use_awaitable);
    m_pool.CloseOld();
  }
}

asio::awaitable<void> Proxy::CallerSession(asio::ip::tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  bool keep = true;
  while (keep) {
    Inbound inbound(stream, buffer);
    if (!co_await inbound.ReadHead()) break;
    ++m_calls_in_progress;
    try {
      keep = co_await ServeCaller(inbound);
    } catch (const std::exception&) {
      keep = false;  // The caller's connection failed.
    }
    --m_calls_in_progress;
  }
}

asio::awaitable<void> Proxy::DataSession(asio::ip::tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  bool keep = true;
  while (keep) {
    Inbound inbound(stream, buffer);
    if (!co_await inbound.ReadHead()) break;
    keep = co_await ServeNode(inbound);
  }
}

std::string Proxy::NewRequestId() {
  return fmt::format("{:016x}{:016x}", m_rng(), m_rng());
}

Proxy::Call Proxy::ReadCall(const Inbound& inbound) {
  const RequestHead& head = inbound.Head();
  Call call;
  std::string_view path = Text(head.target());
  call.service = std::string(Text(head[headers::kService]));
  if (call.service.empty() && path.size() > 1) {
    const std::string_view rest = path.substr(1);
    const size_t end = std::min(rest.find_first_of("/?"), rest.size());
    call.service = std::string(rest.substr(0, end));
    path = path.substr(1 + end);
  }
  call.version = std::string(Text(head[headers::kVersion]));
  call.request_id = std::string(Text(head[headers::kRequestId]));
  if (call.request_id.empty()) call.request_id = NewRequestId();
  const std::string_view method = Text(head.method_string());
  call.route = RouteOf(method, path);
  call.idempotent = IsIdempotent(method);
  call.started = Clock::now();
  const auto asked = ParseCount(Text(head[headers::kDeadlineMs]));
  const milliseconds allowed =
      asked ? milliseconds(*asked) : m_options.default_deadline;
  call.deadline = call.started + std::min(allowed, kMaxDeadline);
  return call;
}

Pick Proxy::PickFor(const Call& call, const std::set<std::string>& tried) {
  if (m_routes == nullptr) return {.reason = "this node is still joining"};
  const ServiceRoutes* service = m_routes->Find(call.service);
  if (service == nullptr) return {.reason = "no live target"};
  const PickOptions options{
      .zone = m_options.zone, .idempotent = call.idempotent, .tried = &tried};
  return PickTarget(*service, options, m_loads, Clock::now(), m_rng);
}

asio::awaitable<bool> Proxy::ServeCaller(Inbound& inbound) {
  Call call = ReadCall(inbound);
  m_retry_budget.OnFirstTry();
  std::set<std::string> tried;
  Attempt attempt;
  // The snapshot that the pick points into stays alive during the attempt.
  std::shared_ptr<const RouteTable> routes;
  for (int64_t made = 1;; ++made) {
    routes = m_routes;
    const Pick pick = PickFor(call, tried);
    if (pick.target == nullptr) {
      if (made == 1) attempt.result.reason = std::string(pick.reason);
      break;
    }
    tried.insert(pick.target->member_id);
    attempt = Attempt();
    attempt.call = call;
    attempt.call.version = pick.version->version;
    co_await TryTarget(inbound, attempt.call, pick, attempt);
    NoteAttempt(call, pick, attempt);
    const bool refused = attempt.result.verdict == Verdict::kNotRun;
    if (attempt.result.answered && !refused) {
      co_return co_await Answer(inbound, call, attempt);
    }
    if (attempt.local) {
      std::swap(attempt.local->result, attempt.result);
      FinishLocalRun(attempt.call, *attempt.local, false);
      std::swap(attempt.local->result, attempt.result);
    }
    if (attempt.result.caller_gone) co_return false;
    if (!ShouldRetry(inbound, call, attempt, made)) break;
    m_metrics.OnRetry();
  }
  co_return co_await GiveUp(inbound, call, attempt);
}

bool Proxy::ShouldRetry(const Inbound& inbound, const Call& call,
                        const Attempt& attempt, int64_t made) {
  if (made >= m_options.max_attempts || inbound.streamed) return false;
  if (Clock::now() >= call.deadline) return false;
  if (!MayRetry(attempt.result.verdict, call.idempotent)) return false;
  return m_retry_budget.TakeRetry();
}

asio::awaitable<void> Proxy::TryTarget(Inbound& inbound, const Call& call,
                                       const Pick& pick, Attempt& attempt) {
  m_loads.OnSent(pick.target->member_id, Clock::now());
  if (pick.target->member_id == m_options.id) {
    attempt.local.emplace();
    co_await RunLocally(inbound, call, *attempt.local);
    attempt.result = std::move(attempt.local->result);
    attempt.leaving = attempt.local->admission.leaving;
    co_return;
  }
  ForwardOptions options;
  options.address = pick.target->data_address;
  options.zone = pick.target->zone;
  options.head = inbound.Head();
  RemoveHopHeaders(&options.head);
  options.head.set(headers::kService, call.service);
  options.head.set(headers::kVersion, call.version);
  options.head.set(headers::kRequestId, call.request_id);
  options.head.set(headers::kDeadlineMs,
                   std::to_string(std::max<int64_t>(
                       1, MillisecondsBetween(Clock::now(), call.deadline))));
  options.deadline = call.deadline;
  options.max_idle_age = call.idempotent ? kAnyIdle : kFreshIdle;
  options.faults = m_faults;
  attempt.result = co_await Forward(m_pool, inbound, options);
  if (!attempt.result.answered) co_return;
  const auto& head = attempt.result.head;
  if (auto in_flight = ParseCount(Text(head[headers::kLoad]))) {
    m_loads.OnReport(pick.target->member_id, *in_flight, Clock::now());
  }
  if (attempt.result.verdict == Verdict::kNotRun) {
    attempt.result.reason = std::string(Text(head[headers::kReason]));
    attempt.leaving = head.count(http::field::retry_after) == 0;
  }
}

void Proxy::NoteAttempt(const Call& call, const Pick& pick,
                        const Attempt& attempt) {
  const auto now = Clock::now();
  const ForwardResult& result = attempt.result;
  const unsigned status = result.answered ? result.head.result_int() : 0;
  const bool refused = result.answered && result.verdict == Verdict::kNotRun;
  const bool failed = !result.answered || (status >= 500 && !refused);
  m_loads.OnDone(pick.target->member_id, failed && !result.caller_gone, now);
  const bool unreachable =
      !result.answered && result.verdict == Verdict::kNotRun;
  if (attempt.leaving || (unreachable && !attempt.local)) {
    m_loads.OnRefused(pick.target->member_id, now);
  } else if (result.verdict == Verdict::kNotRun) {
    m_loads.OnFull(pick.target->member_id, now);
    // Another node's refusal has said its load in a header.
    if (attempt.local) {
      m_loads.OnReport(m_options.id, attempt.local->admission.in_flight, now);
    }
  }
  spdlog::info("route: {} {} {} to {} of {} in {}, {}: {} {} {}",
               call.request_id, call.service, call.route, attempt.call.version,
               pick.target->member_id, pick.target->zone, pick.reason,
               VerdictName(result.verdict), status, result.reason);
}

asio::awaitable<void> Proxy::RunLocally(Inbound& inbound, const Call& call,
                                        LocalRun& run) {
  run.started = Clock::now();
  run.admission = m_admission.Enter(call.ForAdmission(), run.started);
  if (!run.admission.admitted) {
    m_metrics.OnRefusal();
    run.result.verdict =
        run.admission.duplicate ? Verdict::kMayHaveRun : Verdict::kNotRun;
    run.result.reason = std::string(run.admission.reason);
    co_return;
  }
  m_metrics.OnLocalRun();
  ForwardOptions options;
  options.address = run.admission.address;
  options.head = inbound.Head();
  RemoveHopHeaders(&options.head);
  options.head.set(headers::kRequestId, call.request_id);
  options.head.set(headers::kDeadlineMs,
                   std::to_string(std::max<int64_t>(
                       1, MillisecondsBetween(Clock::now(), call.deadline))));
  options.deadline = call.deadline;
  options.max_idle_age = call.idempotent ? kAnyIdle : kFreshIdle;
  run.result = co_await Forward(m_pool, inbound, options);
  if (!run.result.answered) co_return;
  run.result.head.set(headers::kVerdict, VerdictName(run.result.verdict));
  run.result.head.set(headers::kRequestId, call.request_id);
  run.result.head.set(headers::kServedBy, call.version);
  run.result.head.set(headers::kLoad, LoadText(run.admission));
}

void Proxy::FinishLocalRun(const Call& call, LocalRun& run, bool whole) {
  if (!run.admission.admitted) return;
  const bool answered = run.result.answered;
  const bool refused = run.result.verdict == Verdict::kNotRun;
  m_admission.Leave(call.ForAdmission(), !refused);
  if (run.result.caller_gone) return;
  // A backend server that refuses while it has slots to spare is at fault.
  const bool busy = run.admission.in_flight * 2 > run.admission.slots;
  if (answered && refused && busy) return;
  const bool error = !answered || !whole || refused ||
                     run.result.head.result_int() >= kErrorStatus;
  Outcome outcome{.service = call.service,
                  .version = call.version,
                  .route = call.route,
                  .error = error,
                  .idempotent = call.idempotent,
                  .warm = run.admission.warm,
                  .latency_ms = Elapsed(run.started),
                  .in_flight = run.admission.in_flight};
  if (!m_outcomes->TryPush(std::move(outcome))) m_metrics.OnLostOutcome();
}

asio::awaitable<bool> Proxy::Answer(Inbound& inbound, const Call& call,
                                    Attempt& attempt) {
  const Verdict verdict = attempt.result.verdict;
  attempt.result.head.set(headers::kRequestId, call.request_id);
  attempt.result.head.erase(headers::kLoad);
  const unsigned status = attempt.result.head.result_int();
  const bool whole = co_await RelayResponse(inbound, attempt.result, m_pool);
  if (attempt.local) {
    attempt.local->result.answered = true;
    attempt.local->result.verdict = verdict;
    attempt.local->result.head.result(status);
    FinishLocalRun(attempt.call, *attempt.local, whole);
  }
  m_metrics.OnCall(verdict, Elapsed(call.started));
  co_return whole&& inbound.KeepAlive() && !m_draining;
}

asio::awaitable<bool> Proxy::GiveUp(Inbound& inbound, const Call& call,
                                    const Attempt& attempt) {
  const ForwardResult& result = attempt.result;
  OwnAnswer answer;
  answer.verdict = result.verdict;
  answer.reason = result.reason.empty() ? "refused" : result.reason;
  answer.request_id = call.request_id;
  answer.retry_after_s = kRetryAfterSeconds;
  if (result.verdict != Verdict::kNotRun) {
    answer.status = result.timed_out ? 504 : 502;
  }
  spdlog::info("route: {} {} {} given up: {} {}", call.request_id, call.service,
               call.route, VerdictName(answer.verdict), answer.reason);
  m_metrics.OnCall(answer.verdict, Elapsed(call.started));
  co_await WriteOwnAnswer(inbound, answer);
  co_return inbound.KeepAlive() && inbound.IsWhole();
}

asio::awaitable<bool> Proxy::ServeNode(Inbound& inbound) {
  const Call call = ReadCall(inbound);
  LocalRun run;
  bool whole = false;
  co_await RunLocally(inbound, call, run);
  if (run.result.answered) {
    const unsigned status = run.result.head.result_int();
    whole = co_await RelayResponse(inbound, run.result, m_pool);
    run.result.head.result(status);
  }
  FinishLocalRun(call, run, whole);
  if (run.result.answered) co_return whole&& inbound.KeepAlive();
  if (run.result.caller_gone) co_return false;
  OwnAnswer answer;
  answer.verdict = run.result.verdict;
  answer.reason = run.result.reason;
  answer.request_id = call.request_id;
  // Without this header the other node looks elsewhere for a while.
  answer.retry_after_s = run.admission.leaving ? 0 : kRetryAfterSeconds;
  if (run.admission.slots > 0) answer.load = LoadText(run.admission);
  if (answer.verdict != Verdict::kNotRun) {
    answer.status = run.result.timed_out ? 504 : 502;
  }
  spdlog::info("admit: {} {}/{} refused: {} {}", call.request_id, call.service,
               call.version, VerdictName(answer.verdict), answer.reason);
  co_await WriteOwnAnswer(inbound, answer);
  co_return inbound.KeepAlive() && inbound.IsWhole();
}

}  // namespace kumquatmoor
