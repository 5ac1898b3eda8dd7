#include "kumquatmoor/node/log_sink.h"

#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>

#include "kumquatmoor/node/log_budget.h"

namespace kumquatmoor {
namespace {

TEST_CASE(
    "Logging more than a pipe holds does not block, and every line arrives in "
    "order") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  std::string received;
  std::thread reader;
  {
    auto sink = std::make_shared<BufferedSink>(ends[1]);
    spdlog::logger logger("test", sink);
    logger.set_pattern("%v");
    // Far more than the pipe holds, and logged before the reader starts.
    const std::string padding(1'000, '.');
    for (int i = 0; i < 1'000; ++i) logger.info("{} {}", i, padding);
    reader = std::thread([&] {
      std::array<char, 65'536> chunk{};
      ssize_t size = 0;
      while ((size = read(ends[0], chunk.data(), chunk.size())) > 0) {
        received.append(chunk.data(), static_cast<size_t>(size));
      }
    });
  }
  close(ends[1]);
  reader.join();
  close(ends[0]);
  CHECK(received.rfind("0 ", 0) == 0);
  CHECK(received.find("\n999 ") != std::string::npos);
  CHECK(std::count(received.begin(), received.end(), '\n') == 1'000);
}

TEST_CASE("A pipe without a reader delays neither logging nor the destructor") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  const auto start = std::chrono::steady_clock::now();
  {
    spdlog::logger logger("test", std::make_shared<BufferedSink>(ends[1]));
    const std::string text(1'000, 'x');
    for (int i = 0; i < 1'000; ++i) logger.info(text);
  }
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
  close(ends[0]);
  close(ends[1]);
}

// Guards against a process that is killed at the end of its grace since it
// waits until a slow reader has taken all of its log.
TEST_CASE("A slow reader of a pipe delays the end of the log by a fixed time") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  std::atomic<bool> stopped = false;
  std::thread reader([&] {
    std::array<char, 4'096> chunk{};
    while (!stopped && read(ends[0], chunk.data(), chunk.size()) > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(30));
    }
  });
  {
    const auto sink = std::make_shared<BufferedSink>(ends[1]);
    spdlog::logger logger("test", sink);
    const std::string text(1'000, 'x');
    for (int i = 0; i < 1'000; ++i) logger.info(text);
    const auto start = std::chrono::steady_clock::now();
    sink->Finish(std::chrono::milliseconds(300));
    CHECK(std::chrono::steady_clock::now() - start <
          std::chrono::milliseconds(2'000));
  }
  stopped = true;
  close(ends[1]);
  reader.join();
  close(ends[0]);
}

// Guards against a report that arrives behind megabytes of collected lines, or
// waits for a pipe that nobody reads.
TEST_CASE("A line that is written ahead does not wait for collected lines") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  {
    const auto sink = std::make_shared<BufferedSink>(ends[1]);
    spdlog::logger logger("test", sink);
    const std::string text(1'000, 'x');
    for (int i = 0; i < 1'000; ++i) logger.info(text);
    // The writer thread fills the pipe.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    const spdlog::details::log_msg line("test", spdlog::level::warn, "ahead");
    const auto start = std::chrono::steady_clock::now();
    CHECK_FALSE(sink->WriteAhead(line, std::chrono::milliseconds(50)));
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(1));
    std::thread ahead(
        [&] { sink->WriteAhead(line, std::chrono::milliseconds(5'000)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    // What the pipe held and what the writer thread had begun comes first.
    std::array<char, 65'536> chunk{};
    std::string received;
    while (received.find("ahead") == std::string::npos &&
           received.size() < 900'000) {
      const ssize_t size = read(ends[0], chunk.data(), chunk.size());
      REQUIRE(size > 0);
      received.append(chunk.data(), static_cast<size_t>(size));
    }
    CHECK(received.size() < 200'000);
    ahead.join();
  }
  close(ends[0]);
  close(ends[1]);
}

// Ends a child process in the way of kumquatmoord, while `threads` of its
// threads log. Returns its wait status.
int EndWhileLogging(int threads) {
  const pid_t child = fork();
  if (child == 0) {
    const int null = open("/dev/null", O_WRONLY | O_CLOEXEC);
    spdlog::set_default_logger(std::make_shared<spdlog::logger>(
        "child", std::make_shared<BufferedSink>(null)));
    spdlog::set_level(spdlog::level::info);
    for (int i = 0; i < threads; ++i) {
      std::thread([] {
        while (true) spdlog::info("a line of another thread");
      }).detach();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    FinishLogging();
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    std::_Exit(0);
  }
  int status = -1;
  waitpid(child, &status, 0);
  return status;
}

// Guards against a process that ends by a signal at the end of its drain, since
// a thread logs while the logger is destroyed.
TEST_CASE("A process whose threads still log ends without a signal") {
  int ended_well = 0;
  constexpr int kRuns = 50;
  for (int i = 0; i < kRuns; ++i) {
    if (EndWhileLogging(2) == 0) ++ended_well;
  }
  CHECK(ended_well == kRuns);
}

TEST_CASE("A flood of one kind of line does not suppress other kinds") {
  LogBudget budget;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  size_t served = 0;
  for (int i = 0; i < 10'000; ++i) {
    if (budget.Allow(LogKind::kServed, now)) ++served;
  }
  CHECK(served == LogBudget::kLines.burst);
  CHECK(budget.Allow(LogKind::kFailed, now));
  CHECK(budget.TakeSuppressedCounts().at(LogKind::kServed) == 10'000 - served);
  CHECK(budget.TakeSuppressedCounts().empty());
  CHECK(budget.Allow(LogKind::kServed, now + std::chrono::seconds(1)));
}

}  // namespace
}  // namespace kumquatmoor
