#include "kumquatmoor/node/shutdown_watchdog.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <system_error>
#include <utility>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{100};
// A tick that is later than this shows that the process did not run.
constexpr milliseconds kMinPause{100};
// A signal that arrives within this time after a pause may have been sent in
// it.
constexpr milliseconds kResumeTime{50};

}  // namespace

ShutdownWatchdog::ShutdownWatchdog()
    : m_signals(m_context, SIGTERM, SIGINT), m_timer(m_context) {
  m_timer.expires_after(milliseconds(0));
  AwaitSignal();
  AwaitTick();
  m_thread = std::thread([this] { m_context.run(); });
}

ShutdownWatchdog::~ShutdownWatchdog() {
  m_context.stop();
  m_thread.join();
}

void ShutdownWatchdog::SetReport(std::function<void()> report) {
  const std::lock_guard lock(m_mutex);
  m_report = std::move(report);
}

bool ShutdownWatchdog::IsActive() const {
  return m_stop_at.load() != TimePoint::max() &&
         m_grace.load() > milliseconds(0);
}

TimePoint ShutdownWatchdog::TimeOf(double part) const {
  return m_stop_at.load() +
         std::chrono::duration_cast<milliseconds>(m_grace.load() * part);
}

milliseconds ShutdownWatchdog::TimeLeft(milliseconds fallback) const {
  if (!IsActive()) return fallback;
  const auto left =
      std::chrono::duration_cast<milliseconds>(TimeOf(kEndPart) - Clock::now());
  return std::max(left, milliseconds(0));
}

void ShutdownWatchdog::AwaitSignal() {
  m_signals.async_wait([this](boost::system::error_code error, int) {
    if (error) return;
    const TimePoint now = Clock::now();
    NotePause(now);
    const bool was_paused = now - m_resumed_at < kResumeTime;
    m_stop_at = was_paused ? m_paused_at : now;
    Tick();
  });
}

void ShutdownWatchdog::AwaitTick() {
  m_timer.async_wait([this](boost::system::error_code error) {
    // An error: a signal has replaced this wait.
    if (!error) Tick();
  });
}

void ShutdownWatchdog::NotePause(TimePoint now) {
  if (now - m_timer.expiry() < kMinPause) return;
  m_paused_at = m_timer.expiry();
  m_resumed_at = now;
}

void ShutdownWatchdog::Tick() {
  const TimePoint now = Clock::now();
  NotePause(now);
  TimePoint next = now + kTickInterval;
  if (IsActive()) {
    if (now >= TimeOf(kEndPart)) std::_Exit(kExitCode);
    if (now >= TimeOf(kReportPart) && !m_reported) StartReport();
    next = std::min(next, TimeOf(m_reported ? kEndPart : kReportPart));
  }
  m_timer.expires_at(next);
  AwaitTick();
}

void ShutdownWatchdog::StartReport() {
  m_reported = true;
  try {
    std::thread([this] {
      const std::lock_guard lock(m_mutex);
      if (m_report) m_report();
    }).detach();
  } catch (const std::system_error&) {
    // No thread is left for the report.
  }
}

}  // namespace kumquatmoor
