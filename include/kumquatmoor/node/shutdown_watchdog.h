#ifndef KUMQUATMOOR_NODE_SHUTDOWN_WATCHDOG_H_
#define KUMQUATMOOR_NODE_SHUTDOWN_WATCHDOG_H_

// ShutdownWatchdog: ends this process before it is killed at the end of its
// grace, whatever its other threads wait for.
//
//   ProcessSignals signals;
//   ShutdownWatchdog watchdog;
//   watchdog.SetGrace(std::chrono::seconds(6));
//   watchdog.SetReport([] { ... });
//
// The grace begins with SIGTERM or SIGINT. At kReportPart of it the report
// runs, once, on a thread of its own; at kEndPart of it the process ends by
// std::_Exit(kExitCode). The thread of the watchdog waits for no other thread.
//
// A signal that is sent while the process is stopped arrives when it continues.
// The grace then counts from the time at which the process was stopped.
// Thread-safe.

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <thread>

#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

class ShutdownWatchdog {
 public:
  static constexpr double kReportPart = 0.90;
  static constexpr double kEndPart = 0.97;
  static constexpr int kExitCode = 3;

  ShutdownWatchdog();
  ~ShutdownWatchdog();
  ShutdownWatchdog(const ShutdownWatchdog&) = delete;
  ShutdownWatchdog& operator=(const ShutdownWatchdog&) = delete;

  // Until this call, and if `grace` is zero, the process is not ended.
  void SetGrace(std::chrono::milliseconds grace) { m_grace = grace; }
  // What `report` uses must live until the process ends.
  void SetReport(std::function<void()> report);
  // The time until the process is ended, `fallback` if it is not.
  std::chrono::milliseconds TimeLeft(std::chrono::milliseconds fallback) const;

 private:
  void AwaitSignal();
  void AwaitTick();
  void Tick();
  void NotePause(TimePoint now);
  void StartReport();
  TimePoint TimeOf(double part) const;
  bool IsActive() const;

  boost::asio::io_context m_context{1};
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
  // The last time for which the process did not run.
  TimePoint m_paused_at;
  TimePoint m_resumed_at;
  bool m_reported = false;
  std::atomic<TimePoint> m_stop_at{TimePoint::max()};
  std::atomic<std::chrono::milliseconds> m_grace{std::chrono::milliseconds(0)};
  std::mutex m_mutex;  // Guards m_report. Not taken by the watchdog's thread.
  std::function<void()> m_report;
  std::thread m_thread;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_SHUTDOWN_WATCHDOG_H_
