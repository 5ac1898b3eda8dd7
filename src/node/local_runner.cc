// Each waiting request has a timer that expires at the last moment at which the
// request can still start. WakeWaiting, which runs whenever a slot becomes
// free, cancels the timers of the requests that Admission has decided on.

#include "node/local_runner.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Lowest HTTP status that counts as an error of the backend server.
constexpr unsigned kFirstErrorStatus = 400;
constexpr unsigned kGatewayTimeout = 504;
constexpr unsigned kSuccessClass = 2;
// Time after which a request may be sent again that was refused because another
// suspected one runs.
constexpr milliseconds kIsolationRetryAfter{200};

constexpr std::string_view kCrashing = "the request crashes backend servers";
constexpr std::string_view kIsolated =
    "another request that may crash the backend server runs";

// Removes all fields of that name, if the deployment has such a header.
void EraseHeader(const std::string& name, RequestHead* head) {
  if (!name.empty()) head->erase(name);
}

milliseconds ElapsedSince(TimePoint start) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - start);
}

}  // namespace

std::string LoadText(const AdmissionResult& admission) {
  return fmt::format("{}/{}", admission.in_flight, admission.slots);
}

BackendNotice NoticeOf(const boost::beast::http::fields& head,
                       const CallHeaders& names) {
  const auto text = [&](const std::string& name) -> std::string_view {
    if (name.empty()) return {};
    const auto value = head[name];
    return {value.data(), value.size()};
  };
  const std::string_view limit_text = text(names.backend_limit);
  const auto limit = ParseRate(limit_text);
  return {.limit = limit,
          .leaving = text(names.backend_leaving) == "1",
          .has_invalid_limit = !limit_text.empty() && !limit};
}

LocalRunner::LocalRunner(asio::io_context& context, const CallHeaders& headers,
                         AdmissionOptions options,
                         BoundedRing<Outcome>* outcomes, CallMetrics* metrics,
                         std::shared_ptr<BufferBudget> budget)
    : m_context(context),
      m_headers(headers),
      m_running(headers.call_id_separator),
      m_admission(options),
      m_pool(context),
      m_outcomes(outcomes),
      m_metrics(metrics),
      m_budget(std::move(budget)),
      m_crash_detector(context) {}

void LocalRunner::WakeWaiting() {
  for (auto& decision : m_admission.TakeDecisions(Clock::now())) {
    const auto found = m_waiters.find(decision.ticket);
    if (found == m_waiters.end()) continue;
    found->second->result = std::move(decision.result);
    found->second->timer.cancel();
  }
}

bool LocalRunner::IsCallOfRetry(const std::string& request_id) const {
  if (m_headers.call_id_separator.empty()) return false;
  const size_t end = request_id.rfind(m_headers.call_id_separator);
  return end != std::string::npos &&
         m_retried_runs.Contains(request_id.substr(0, end));
}

void LocalRunner::AbortAll() {
  for (auto& [ticket, waiter] : m_waiters) waiter->timer.cancel();
  for (auto* stream : *m_active) stream->close();
}

asio::awaitable<void> LocalRunner::AwaitSlot(InboundRequest& inbound,
                                             const Call& call, LocalRun& run) {
  const uint64_t ticket = run.admission.ticket;
  const auto waiter = std::make_shared<Waiter>(m_context);
  m_waiters.emplace(ticket, waiter);
  // A request that starts less than half of its expected run time before its
  // deadline cannot end in time. SlotQueue applies the same rule.
  waiter->timer.expires_at(call.deadline - run.admission.run_time / 2);
  {
    std::unique_ptr<CallerWatch> watch;
    if (inbound.IsFullyBuffered()) {
      inbound.StopTimer();
      watch = std::make_unique<CallerWatch>(inbound.Peer(), [waiter] {
        waiter->caller_gone = true;
        waiter->timer.cancel();
      });
    }
    boost::system::error_code wait_result;
    co_await waiter->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, wait_result));
  }
  m_waiters.erase(ticket);
  run.result.caller_gone = waiter->caller_gone;
  if (waiter->result) {
    run.admission = *waiter->result;
    co_return;
  }
  run.admission.queued = false;
  run.admission.reason = waiter->caller_gone ? "the caller went away"
                                             : "no slot before the deadline";
  m_admission.CancelQueued(call.ForAdmission(), ticket);
}

void LocalRunner::SetRequestHeaders(const Call& call,
                                    const AdmissionResult& admission,
                                    RequestHead* head) const {
  RemoveHopByHopHeaders(head);
  for (const char* name :
       {headers::kService, headers::kVersion, headers::kIdempotent,
        headers::kPriority, headers::kObjectiveMs, headers::kRoute,
        headers::kAttemptKind, headers::kInstance, headers::kBackendLimit,
        headers::kBackendLeaving, headers::kRequestKey, headers::kKnownCrashes,
        headers::kOrganisation, headers::kOrganisationPriority,
        headers::kNestedCall, headers::kMayHandBack}) {
    head->erase(name);
  }
  if (m_removes_credentials) EraseHeader(m_headers.authorization, head);
  // A call of a backend server may count for an organisation, but has no key.
  EraseHeader(m_headers.organisation, head);
  if (!m_headers.organisation.empty() && !call.organisation.empty() &&
      !call.is_nested_call) {
    head->set(m_headers.organisation, call.organisation);
  }
  head->set(m_headers.request_id, call.request_id);
  head->set(m_headers.deadline_ms,
            std::to_string(call.RemainingMs(Clock::now())));
  if (!m_headers.expected_instance.empty()) {
    head->set(m_headers.expected_instance, admission.instance);
  }
}

void LocalRunner::SetCrashHandlers(
    std::function<void(const BackendCrash&)> on_crash,
    std::function<void(const Call&)> on_response) {
  m_crash_detector.SetHandler(
      [this, on_crash = std::move(on_crash)](const BackendCrash& crash) {
        m_metrics->OnCrash();
        on_crash(crash);
      });
  m_on_response = std::move(on_response);
}

bool LocalRunner::IsBlocked(const Call& call, LocalRun& run) {
  const CrashStanding standing =
      m_crashes->StandingOf(call.key, call.service, call.version);
  if (standing.blocked) {
    run.admission.blocked = true;
    run.admission.reason = kCrashing;
    m_metrics->OnBlocked();
    return true;
  }
  if (std::max(standing.crashes, call.known_crashes) < kCrashesToIsolate) {
    return false;
  }
  std::weak_ptr<void>& other = m_isolated[{call.service, call.version}];
  if (!other.expired()) {
    run.admission.blocked = true;
    run.admission.reason = kIsolated;
    run.admission.wait = kIsolationRetryAfter;
    return true;
  }
  run.isolation = std::make_shared<int>(0);
  other = run.isolation;
  return false;
}

asio::awaitable<void> LocalRunner::Run(InboundRequest& inbound,
                                       RequestHead head, const Call& call,
                                       LocalRun& run) {
  if (IsBlocked(call, run)) {
    m_metrics->OnRefusal();
    run.result.verdict = Verdict::kNotRun;
    run.result.reason = std::string(run.admission.reason);
    co_return;
  }
  run.admission = m_admission.Admit(call.ForAdmission(), Clock::now());
  if (run.admission.admitted || run.admission.queued) {
    run.link = m_admission.ReserveLink(call.ForAdmission());
  }
  if (run.admission.queued) {
    co_await AwaitSlot(inbound, call, run);
  }
  if (!run.admission.admitted) {
    CountRefusal(run.admission);
    run.result.verdict =
        run.admission.duplicate ? Verdict::kMayHaveRun : Verdict::kNotRun;
    run.result.reason = std::string(run.admission.reason);
    co_return;
  }
  run.started = Clock::now();
  if (run.result.caller_gone) co_return;
  m_metrics->OnLocalRun(call.attempt_kind);
  if (call.attempt_kind != AttemptKind::kFirst) {
    m_retried_runs.Insert(call.request_id);
  }
  ForwardOptions options;
  options.address = run.admission.address;
  options.head = std::move(head);
  SetRequestHeaders(call, run.admission, &options.head);
  options.deadline = call.deadline;
  options.max_idle_age = call.MaxIdleAge();
  options.headers = &m_headers;
  options.to_backend = true;
  options.active = m_active;
  options.budget = m_budget;
  {
    const CrashDetector::RunEntry entry =
        m_crash_detector.Begin({.service = call.service,
                                .version = call.version,
                                .instance = run.admission.instance,
                                .address = run.admission.address,
                                .key = call.key});
    run.running = m_running.Begin(call);
    run.result = co_await Forward(m_pool, inbound, options);
    if (run.result.connection_lost &&
        !m_admission.IsLeaving(call.service, call.version)) {
      run.crashed = co_await m_crash_detector.HasCrashed(entry);
    }
  }
  NoteLostBackend(call, run);
  if (!run.result.answered) co_return;
  ReadNotice(call, run);
  MeasureResponse(call, run);
  run.result.head.set(headers::kVerdict, VerdictName(run.result.verdict));
  run.result.head.set(m_headers.request_id, call.request_id);
  run.result.head.set(headers::kServedBy, call.version);
  run.result.head.set(headers::kLoad, LoadText(run.admission));
  run.result.head.set(headers::kOffered, "1");
  run.result.head.set(headers::kRunTimeMs,
                      std::to_string(run.admission.run_time.count()));
  SetLinkWait(m_admission.LinkWait(), &run.result.head);
}

void LocalRunner::CountRefusal(const AdmissionResult& admission) {
  m_metrics->OnRefusal();
  if (admission.evacuated) m_metrics->OnEvacuatedRefusal();
  if (admission.is_cold) m_metrics->OnColdRefusal();
  if (admission.shed) m_metrics->OnShed();
  if (admission.handed_back) m_metrics->OnHandedBack();
}

void LocalRunner::NoteLostBackend(const Call& call, const LocalRun& run) {
  const TimePoint now = Clock::now();
  const bool is_unreachable = !run.result.answered && !run.result.offered &&
                              !run.result.caller_gone && now < call.deadline;
  if (!is_unreachable && !run.crashed) return;
  const LocalBackend* backend =
      m_admission.FindBackend(call.service, call.version);
  // Another process may have announced itself since.
  if (backend == nullptr || backend->instance != run.admission.instance) return;
  if (!m_admission.NoteColdUnknown(call.service, call.version, now)) return;
  spdlog::warn("admit: event=cold instance={} reason=\"{}\"",
               run.admission.instance,
               run.crashed ? "crashed" : run.result.reason);
  if (m_on_cold_unknown) m_on_cold_unknown(*backend, now);
  WakeWaiting();
}

void LocalRunner::MeasureResponse(const Call& call, LocalRun& run) {
  const auto size = BodyBytes(run.result);
  if (!size) return;
  run.link.SetSize(*size);
  const bool success = run.result.head.result_int() / 100 == kSuccessClass;
  if (success) m_admission.OnResponse(call.route, *size);
}

void LocalRunner::ReadServerLoad(const Call& call, const LocalRun& run) {
  if (m_headers.server_load.empty()) return;
  const auto text = run.result.head[m_headers.server_load];
  const auto load = ParseServerLoad({text.data(), text.size()});
  if (!load) return;
  m_admission.OnServerLoad(call.service, call.version, run.admission.instance,
                           *load, Clock::now());
}

void LocalRunner::ReadNotice(const Call& call, LocalRun& run) {
  const BackendNotice notice = NoticeOf(run.result.head, m_headers);
  const std::string& instance = run.admission.instance;
  ReadServerLoad(call, run);
  if (notice != BackendNotice()) {
    run.result.head.set(headers::kInstance, instance);
  }
  if (!m_admission.OnNotice(call.service, call.version, instance, notice,
                            Clock::now())) {
    return;
  }
  WakeWaiting();
  spdlog::info("admit: event=notice instance={} limit={} leaving={}", instance,
               notice.limit ? fmt::format("{}", *notice.limit) : "none",
               notice.leaving);
  const LocalBackend* backend =
      m_admission.FindBackend(call.service, call.version);
  if (notice.leaving && m_on_leaving && backend != nullptr) {
    m_on_leaving(*backend);
  }
}

void LocalRunner::Finish(const Call& call, LocalRun& run, bool complete) {
  if (!run.admission.admitted || run.finished) return;
  run.finished = true;
  const bool ran = run.result.answered && run.result.verdict == Verdict::kRan;
  std::optional<milliseconds> run_time;
  if (ran && complete) {
    run_time = ElapsedSince(run.started) * 100 / run.admission.run_time_percent;
  }
  m_admission.Release(call.ForAdmission(),
                      run.result.verdict != Verdict::kNotRun,
                      run.admission.usual_run_time, run_time);
  if (!run.result.caller_gone) ReportOutcome(call, run, complete);
  run.isolation.reset();
  run.running.reset();
  // A 504 may say that the deadline ended the run before it could do harm.
  const bool responded =
      ran && complete && run.result.head.result_int() != kGatewayTimeout;
  if (responded && m_crashes->Contains(call.key) && m_on_response) {
    m_on_response(call);
  }
  WakeWaiting();
}

void LocalRunner::ReportOutcome(const Call& call, const LocalRun& run,
                                bool complete) {
  const bool answered = run.result.answered;
  const bool refused = run.result.verdict == Verdict::kNotRun;
  // A refusal by a busy backend server is not a failure. A backend server that
  // refuses although at least half of its slots are free is faulty.
  const bool busy = run.admission.in_flight * 2 > run.admission.slots;
  if (answered && refused && busy) return;
  const bool error = !answered || !complete || refused ||
                     run.result.head.result_int() >= kFirstErrorStatus;
  Outcome outcome{
      .service = call.service,
      .version = call.version,
      .route = call.route,
      .error = error,
      .idempotent = call.idempotent,
      .warm = run.admission.warm,
      .latency_ms = static_cast<double>(ElapsedSince(run.started).count()),
      .in_flight = run.admission.in_flight};
  if (!m_outcomes->TryPush(std::move(outcome))) m_metrics->OnLostOutcome();
}

}  // namespace kumquatmoor
