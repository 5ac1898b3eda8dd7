#include "kumquatmoor/node/process_signals.h"

#include <csignal>

namespace kumquatmoor {
namespace {

sigset_t Signals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  return signals;
}

}  // namespace

ProcessSignals::ProcessSignals()
    : m_stop(m_context, SIGTERM, SIGINT), m_reload(m_context, SIGHUP) {
  const sigset_t signals = Signals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

void ProcessSignals::Block() {
  const sigset_t signals = Signals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

void ProcessSignals::WaitForStop(const std::function<void()>& on_reload) {
  m_context.restart();
  m_is_stopping = false;
  AwaitReload(on_reload);
  m_stop.async_wait([&](boost::system::error_code, int) {
    // A handler of a reload may be about to run.
    m_is_stopping = true;
    m_reload.cancel();
  });
  m_context.run();
}

void ProcessSignals::AwaitReload(const std::function<void()>& on_reload) {
  m_reload.async_wait([&](boost::system::error_code error, int) {
    if (error || m_is_stopping) return;
    if (on_reload) on_reload();
    AwaitReload(on_reload);
  });
}

}  // namespace kumquatmoor
