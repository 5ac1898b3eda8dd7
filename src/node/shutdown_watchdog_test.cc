// Tests the end of processes whose threads do not end. Each runs in a child
// process.

#include "kumquatmoor/node/shutdown_watchdog.h"

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <string>
#include <thread>

#include "kumquatmoor/node/process_signals.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGrace{1'000};

void SleepForever() {
  while (true) pause();
}

// A child process with a watchdog, which runs `body` and then sleeps.
class Child {
 public:
  explicit Child(const std::function<void(ShutdownWatchdog&)>& body) {
    std::array<int, 2> ready{};
    REQUIRE(pipe(ready.data()) == 0);
    m_id = fork();
    if (m_id == 0) {
      ProcessSignals signals;
      ShutdownWatchdog watchdog;
      body(watchdog);
      Write(ready[1], "r");
      SleepForever();
    }
    char byte = 0;
    REQUIRE(read(ready[0], &byte, 1) == 1);
    for (const int end : {ready[0], ready[1]}) close(end);
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child() {
    if (!m_ended) {
      kill(m_id, SIGKILL);
      waitpid(m_id, nullptr, 0);
    }
  }

  void Signal(int signal) {
    if (signal == SIGTERM) m_stopped_at = Clock::now();
    kill(m_id, signal);
  }

  // Waits until `limit` after SIGTERM. True if the child has ended by itself.
  bool EndsWithin(milliseconds limit) {
    while (!m_ended && Clock::now() < m_stopped_at + limit) {
      m_ended = waitpid(m_id, &m_status, WNOHANG) == m_id;
      if (!m_ended) std::this_thread::sleep_for(milliseconds(2));
    }
    m_run_time =
        std::chrono::duration_cast<milliseconds>(Clock::now() - m_stopped_at);
    return m_ended;
  }
  milliseconds RunTime() const { return m_run_time; }
  int ExitCode() const {
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
  }
  static void Write(int descriptor, const std::string& text) {
    if (write(descriptor, text.data(), text.size()) < 0) std::_Exit(99);
  }

 private:
  pid_t m_id = -1;
  TimePoint m_stopped_at;
  milliseconds m_run_time{0};
  bool m_ended = false;
  int m_status = 0;
};

}  // namespace

// Guards against a process that is killed at the end of its grace since one of
// its threads waits.
TEST_CASE("A process ends before its grace whatever its threads wait for") {
  Child child([](ShutdownWatchdog& watchdog) { watchdog.SetGrace(kGrace); });
  child.Signal(SIGTERM);
  CHECK(child.EndsWithin(kGrace));
  CHECK(child.ExitCode() == ShutdownWatchdog::kExitCode);
  CHECK(child.RunTime() > kGrace * 9 / 10);
}

// Guards against a watchdog that waits for its own report.
TEST_CASE("A report that does not end does not delay the end of a process") {
  Child child([](ShutdownWatchdog& watchdog) {
    watchdog.SetGrace(kGrace);
    watchdog.SetReport(SleepForever);
  });
  child.Signal(SIGTERM);
  CHECK(child.EndsWithin(kGrace));
  CHECK(child.ExitCode() == ShutdownWatchdog::kExitCode);
}

TEST_CASE("What a process waits for is reported once") {
  std::array<int, 2> output{};
  REQUIRE(pipe(output.data()) == 0);
  Child child([&](ShutdownWatchdog& watchdog) {
    watchdog.SetGrace(kGrace);
    watchdog.SetReport([&] { Child::Write(output[1], "report"); });
  });
  child.Signal(SIGTERM);
  CHECK(child.EndsWithin(kGrace));
  close(output[1]);
  std::array<char, 64> bytes{};
  const ssize_t size = read(output[0], bytes.data(), bytes.size());
  CHECK(std::string(bytes.data(), static_cast<size_t>(
                                      std::max<ssize_t>(size, 0))) == "report");
  close(output[0]);
}

// Guards against a grace that counts from the end of a pause.
TEST_CASE("A process that continues after the end of its grace ends at once") {
  constexpr milliseconds kAtOnce{300};
  const bool signal_first = GENERATE(true, false);
  Child child([](ShutdownWatchdog& watchdog) { watchdog.SetGrace(kGrace); });
  // The watchdog has to run before the pause.
  std::this_thread::sleep_for(milliseconds(250));
  if (signal_first) {
    child.Signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(50));
    child.Signal(SIGSTOP);
  } else {
    child.Signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(150));
    child.Signal(SIGTERM);
  }
  CHECK_FALSE(child.EndsWithin(kGrace + milliseconds(200)));
  child.Signal(SIGCONT);
  CHECK(child.EndsWithin(kGrace + milliseconds(200) + kAtOnce));
}

// Guards against a signal that arrives before the settings are known.
TEST_CASE("A grace that is set after the signal counts from the signal") {
  Child child([](ShutdownWatchdog& watchdog) {
    std::thread([&watchdog] {
      std::this_thread::sleep_for(kGrace / 2);
      watchdog.SetGrace(kGrace);
    }).detach();
  });
  child.Signal(SIGTERM);
  CHECK(child.EndsWithin(kGrace));
}

TEST_CASE("A process without a known grace is not ended") {
  Child child([](ShutdownWatchdog&) {});
  child.Signal(SIGTERM);
  CHECK_FALSE(child.EndsWithin(kGrace));
}

}  // namespace kumquatmoor
