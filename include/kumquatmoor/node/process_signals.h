#ifndef KUMQUATMOOR_NODE_PROCESS_SIGNALS_H_
#define KUMQUATMOOR_NODE_PROCESS_SIGNALS_H_

// ProcessSignals: SIGTERM, SIGINT and SIGHUP of this process.
//
//   ProcessSignals signals;  // First of all in main.
//   ... start ...
//   signals.WaitForStop([] { ... });
//
// From the construction to the destruction the signals have no other effect
// than on WaitForStop. Those that arrive before its call are not lost.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace kumquatmoor {

class ProcessSignals {
 public:
  ProcessSignals();

  // Keeps the signals that arrive from now on for a ProcessSignals that is
  // constructed later. Without this, they end the process, or are dropped if it
  // is process 1 of its namespace.
  static void Block();

  // Blocks until SIGTERM or SIGINT arrives. Calls `on_reload` on this thread
  // when SIGHUP arrives before.
  void WaitForStop(const std::function<void()>& on_reload);

 private:
  void AwaitReload(const std::function<void()>& on_reload);

  boost::asio::io_context m_context{1};
  boost::asio::signal_set m_stop;
  boost::asio::signal_set m_reload;
  bool m_is_stopping = false;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_PROCESS_SIGNALS_H_
