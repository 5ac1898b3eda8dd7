// The gateway's thread against a configuration source whose calls fail.

#include "kumquatmoor/node/gateway.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <stdexcept>
#include <thread>

#include "kumquatmoor/transport/fault_plan.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

class UnreachablePlatform : public Platform {
 public:
  Result<PlatformEntry> Get(const std::string&) override { return Lost(); }
  Result<uint64_t> CompareAndSwap(const std::string&, uint64_t,
                                  const std::string&) override {
    ++swaps;
    return Lost();
  }
  Result<PlatformItems> List(const std::string&) override { return Lost(); }
  Result<PlatformItems> Watch(const std::string&, uint64_t,
                              milliseconds) override {
    return Lost();
  }
  Result<bool> Delete(const std::string&) override { return Lost(); }

  std::atomic<int> swaps = 0;

 private:
  static boost::leaf::error_id Lost() {
    return Fail(FailureCode::kUnavailable, "unreachable");
  }
};

// A source whose Load does what the test says. Await has no changes, or fails
// as the store has lost its history.
class ScriptedSource : public ConfigurationSource {
 public:
  explicit ScriptedSource(std::function<Result<SourceUpdate>(int)> load)
      : m_load(std::move(load)) {}

  Result<SourceUpdate> Load() override { return m_load(++m_loads); }
  Result<SourceUpdate> Await(milliseconds wait) override {
    if (history_lost) return Fail(FailureCode::kNotFound, "history is gone");
    std::this_thread::sleep_for(wait);
    return SourceUpdate();
  }
  Result<bool> Report(const MeshProgress&) override { return false; }
  int Loads() const { return m_loads; }

  bool history_lost = false;

 private:
  std::function<Result<SourceUpdate>(int)> m_load;
  std::atomic<int> m_loads = 0;
};

struct GatewayRun {
  // The node reported to the mesh that it does not reach the platform.
  bool without_platform = false;
  int directory_writes = 0;
};

// Runs a gateway on `source` for `time`. No socket is opened.
GatewayRun RunGateway(ConfigurationSource* source, milliseconds time,
                      GatewayOptions options = {}) {
  boost::asio::io_context context(1);
  const auto work = boost::asio::make_work_guard(context);
  FaultPlan faults;
  BoundedRing<Outcome> outcomes(16);
  BoundedRing<SyncPeer> syncs(16);
  Proxy proxy(context, {}, &faults, &outcomes);
  ControlLoop loop(context, {.replica = {.id = "n", .zone = "a"}}, &faults,
                   &proxy, &outcomes, &syncs);
  UnreachablePlatform platform;
  Gateway gateway(options, &loop, &platform, source);
  std::thread thread([&] { context.run(); });
  gateway.Start();
  std::this_thread::sleep_for(time);
  gateway.Stop();
  const auto lost = loop.Run<bool>(
      [](ControlLoop& l) { return l.GetReplica().Self().without_platform(); });
  context.stop();
  thread.join();
  REQUIRE(lost);
  return {.without_platform = *lost, .directory_writes = platform.swaps};
}

// Guards against a gateway that reads the platform without a pause, because an
// entry names a key that does not exist.
TEST_CASE("A gateway backs off when a listing finds no entry", "[odd]") {
  ScriptedSource source([](int) -> Result<SourceUpdate> {
    return Fail(FailureCode::kNotFound, "there is no batch/7");
  });
  RunGateway(&source, milliseconds(600));
  CHECK(source.Loads() >= 2);
  CHECK(source.Loads() < 20);
}

// Guards against gateways that all step down for seconds when the store comes
// back from an older copy, or drops its history while it is listed.
TEST_CASE("A gateway whose listing meets lost history reaches the platform") {
  ScriptedSource gone([](int) -> Result<SourceUpdate> {
    return Fail(FailureCode::kNotFound, "history is gone");
  });
  CHECK_FALSE(RunGateway(&gone, milliseconds(600)).without_platform);
  ScriptedSource lost([](int) -> Result<SourceUpdate> {
    return Fail(FailureCode::kUnavailable, "unreachable");
  });
  CHECK(RunGateway(&lost, milliseconds(600)).without_platform);
}

// Guards against directory entries that stay lost with the store's history
// until the next regular update.
TEST_CASE("A gateway updates the directory once the history is lost") {
  ScriptedSource source(
      [](int) -> Result<SourceUpdate> { return SourceUpdate(); });
  const GatewayOptions options{.directory_interval = std::chrono::hours(1)};
  CHECK(RunGateway(&source, milliseconds(1'200), options).directory_writes ==
        0);
  source.history_lost = true;
  CHECK(RunGateway(&source, milliseconds(1'200), options).directory_writes > 0);
}

// Guards against an exception in a reader that ends the process or the thread.
TEST_CASE("A gateway whose source throws reads again", "[odd]") {
  ScriptedSource source([](int loads) -> Result<SourceUpdate> {
    if (loads == 1) throw std::length_error("an odd entry");
    return SourceUpdate();
  });
  RunGateway(&source, milliseconds(600));
  CHECK(source.Loads() == 2);
}

}  // namespace
}  // namespace kumquatmoor
