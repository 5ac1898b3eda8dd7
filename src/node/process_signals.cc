#include "kumquatmoor/node/process_signals.h"

#include <csignal>

namespace kumquatmoor {

ProcessSignals::ProcessSignals()
    : m_stop(m_context, SIGTERM, SIGINT), m_reload(m_context, SIGHUP) {}

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
