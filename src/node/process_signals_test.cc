#include "kumquatmoor/node/process_signals.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <memory>
#include <thread>

namespace kumquatmoor {

// Guards against a process that ends without a drain since the signal arrived
// while it started.
TEST_CASE("Signals that arrive before the wait are not lost") {
  ProcessSignals signals;
  std::raise(SIGHUP);
  std::raise(SIGTERM);
  int reloads = 0;
  signals.WaitForStop([&] { ++reloads; });
  CHECK(reloads <= 1);
}

// Guards against a process that runs on until it is killed since a SIGHUP
// followed the SIGTERM before the thread that waits was scheduled.
TEST_CASE("A reload right after the stop does not hide the stop") {
  // Both outlive the thread, which does not end if the test fails.
  const auto signals = std::make_shared<ProcessSignals>();
  const auto stopped = std::make_shared<std::promise<void>>();
  std::thread([signals, stopped] {
    int reloads = 0;
    // Both signals arrive before the context runs the next handler.
    signals->WaitForStop([&] {
      if (++reloads > 1) return;
      std::raise(SIGTERM);
      std::raise(SIGHUP);
    });
    stopped->set_value();
  }).detach();
  std::raise(SIGHUP);
  CHECK(stopped->get_future().wait_for(std::chrono::seconds(2)) ==
        std::future_status::ready);
}

}  // namespace kumquatmoor
