// A departure log and a platform in memory whose calls fail as a test says.

#include "kumquatmoor/node/departure_log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <map>
#include <set>
#include <string>
#include <thread>

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// How the platform handles writes.
enum class Mode { kSound, kAway, kLosesAnswers };

class MemoryPlatform : public Platform {
 public:
  Result<PlatformEntry> Get(const std::string& key) override {
    const std::lock_guard lock(m_mutex);
    ++reads;
    if (mode == Mode::kAway) return Fail(FailureCode::kUnavailable, "away");
    return m_entries[key];
  }
  Result<uint64_t> CompareAndSwap(const std::string& key,
                                  uint64_t expected_version,
                                  const std::string& value) override {
    std::this_thread::sleep_for(write_time);
    const std::lock_guard lock(m_mutex);
    ++writes;
    if (mode == Mode::kAway) return Fail(FailureCode::kUnavailable, "away");
    PlatformEntry& entry = m_entries[key];
    if (entry.version != expected_version) {
      return Fail(FailureCode::kConflict, "another version");
    }
    entry = {.value = value, .version = ++m_version};
    if (mode == Mode::kLosesAnswers) {
      mode = Mode::kSound;
      return Fail(FailureCode::kUnknown, "no answer");
    }
    return entry.version;
  }
  Result<PlatformItems> List(const std::string& /*prefix*/) override {
    return PlatformItems();
  }
  Result<PlatformItems> Watch(const std::string& /*prefix*/,
                              uint64_t /*revision*/,
                              milliseconds /*wait*/) override {
    return PlatformItems();
  }
  Result<bool> Delete(const std::string& key) override {
    const std::lock_guard lock(m_mutex);
    m_entries.erase(key);
    return true;
  }

  // The instances in the entry of the node.
  std::set<std::string> Written() {
    const std::lock_guard lock(m_mutex);
    std::set<std::string> instances;
    const PlatformItem item{.key = DepartureKey("n"),
                            .entry = m_entries[DepartureKey("n")]};
    for (const auto& entry : ParseDepartures(std::span(&item, 1))) {
      for (const auto& leaving : entry.leaving) {
        instances.insert(leaving.instance());
      }
    }
    return instances;
  }

  std::atomic<Mode> mode{Mode::kSound};
  std::atomic<int> reads{0};
  std::atomic<int> writes{0};
  milliseconds write_time{0};

 private:
  std::mutex m_mutex;
  std::map<std::string, PlatformEntry> m_entries;
  uint64_t m_version = 0;
};

class LogFixture {
 public:
  LogFixture() : m_thread([this] { m_context.run(); }) {}
  ~LogFixture() {
    log.Stop();
    m_context.stop();
    m_thread.join();
  }

  std::future<bool> Begin(const std::string& instance, int64_t started_ms = 1,
                          milliseconds timeout = milliseconds(500)) {
    LeavingInstance leaving;
    leaving.set_instance(instance);
    leaving.set_started_ms(started_ms);
    return asio::co_spawn(m_context, log.AwaitWritten(leaving, timeout),
                          asio::use_future);
  }
  bool Leave(const std::string& instance, int64_t started_ms = 1) {
    return Begin(instance, started_ms).get();
  }

  MemoryPlatform platform;
  DepartureLog log{{.member_id = "n",
                    .zone = "z",
                    .initial_backoff = milliseconds(20),
                    .max_backoff = milliseconds(50)},
                   &platform};

 private:
  asio::io_context m_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work{
      m_context.get_executor()};
  std::thread m_thread;
};

TEST_CASE_METHOD(LogFixture, "A departure is written once", "[departures]") {
  CHECK(Leave("i"));
  CHECK(platform.Written() == std::set<std::string>{"i"});
  CHECK(Leave("i"));
  CHECK(platform.writes == 1);
  CHECK(platform.reads == 0);
  // A later process of the instance.
  CHECK(Leave("i", 2));
  CHECK(platform.writes == 2);
}

// Guards against an acknowledgement that nothing but this process holds.
TEST_CASE_METHOD(LogFixture, "A departure that is not written is not confirmed",
                 "[departures]") {
  platform.mode = Mode::kAway;
  CHECK_FALSE(Leave("i"));
  CHECK(log.Metrics().find("departures_late_total 1") != std::string::npos);
  platform.mode = Mode::kSound;
  CHECK(Leave("i"));
  CHECK(platform.Written() == std::set<std::string>{"i"});
}

TEST_CASE_METHOD(LogFixture, "A write whose answer is lost is not repeated",
                 "[departures]") {
  platform.mode = Mode::kLosesAnswers;
  CHECK(Leave("i"));
  CHECK(platform.Written() == std::set<std::string>{"i"});
  CHECK(platform.reads == 1);
}

TEST_CASE("A node that restarts keeps what it had written", "[departures]") {
  LogFixture fixture;
  REQUIRE(fixture.Leave("i"));
  fixture.log.Stop();
  DepartureLog later({.member_id = "n", .zone = "z"}, &fixture.platform);
  asio::io_context context(1);
  LeavingInstance leaving;
  leaving.set_instance("j");
  auto written =
      asio::co_spawn(context, later.AwaitWritten(leaving, milliseconds(500)),
                     asio::use_future);
  context.run();
  CHECK(written.get());
  CHECK(fixture.platform.Written() == std::set<std::string>{"i", "j"});
}

TEST_CASE_METHOD(LogFixture, "Departures that come together are few writes",
                 "[departures]") {
  platform.write_time = milliseconds(20);
  std::vector<std::future<bool>> all;
  for (size_t i = 0; i < kMaxDepartures; ++i) {
    all.push_back(Begin("i" + std::to_string(i)));
  }
  for (auto& one : all) CHECK(one.get());
  CHECK(platform.Written().size() == kMaxDepartures);
  CHECK(platform.writes <= 3);
}

TEST_CASE_METHOD(LogFixture, "What the platform has lost is written again",
                 "[departures]") {
  REQUIRE(Leave("i"));
  CHECK(platform.Delete(DepartureKey("n")));
  log.WriteAgain();
  const auto end = std::chrono::steady_clock::now() + milliseconds(1'000);
  while (platform.Written().empty() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  CHECK(platform.Written() == std::set<std::string>{"i"});
  // An entry that is still there is not written.
  const int writes = platform.writes;
  log.WriteAgain();
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(platform.writes == writes);
}

}  // namespace
}  // namespace kumquatmoor
