// Gateway against a source that counts its calls.

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <thread>
#include <utility>

#include "kumquatmoor/node/gateway.h"
#include "kumquatmoor/node/proxy.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr char kOwnAddress[] = "127.42.0.2:8500";

class CountingSource : public ConfigurationSource {
 public:
  Result<SourceUpdate> Load() override {
    ++loads;
    return SourceUpdate();
  }
  Result<SourceUpdate> Await(milliseconds /*wait*/) override {
    ++awaits;
    return SourceUpdate();
  }
  Result<bool> Report(const MeshProgress& /*progress*/) override {
    return false;
  }

  std::atomic<int> loads{0};
  std::atomic<int> awaits{0};
};

// A node that reads the platform only while it is behind.
class GatewayFixture {
 public:
  GatewayFixture() {
    REQUIRE_FALSE(m_loop.Start());
    m_thread = std::thread([this] { m_context.run(); });
    m_gateway.Start();
  }
  ~GatewayFixture() {
    m_gateway.Stop();
    m_context.stop();
    m_thread.join();
  }

 protected:
  void OnLoop(std::function<void(ControlLoop&)> command) {
    m_loop.Run<bool>([command = std::move(command)](ControlLoop& loop) {
      command(loop);
      return true;
    });
  }
  void ReceiveDigest(uint64_t revision) {
    OnLoop([revision](ControlLoop& loop) {
      Datagram push;
      push.set_kind(Datagram::PUSH);
      push.set_from("ahead");
      push.mutable_digest()->set_revision(revision);
      loop.GetReplica().OnDatagram(push, Clock::now());
    });
  }
  static bool Await(const std::function<bool()>& condition) {
    for (int i = 0; i < 300; ++i) {
      if (condition()) return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

  CountingSource m_source;
  boost::asio::io_context m_context{1};
  boost::asio::io_context m_proxy_context{1};
  FaultPlan m_faults;  // Without rules.
  BoundedRing<Outcome> m_outcomes{1'024};
  BoundedRing<SyncPeer> m_syncs{16};
  Proxy m_proxy{
      m_proxy_context, {.id = "n", .zone = "z"}, nullptr, &m_outcomes};
  ControlLoop m_loop{m_context,
                     {.replica = {.id = "n",
                                  .zone = "z",
                                  .control_address = kOwnAddress,
                                  .data_address = kOwnAddress,
                                  .started_ms = 1},
                      .gateways_per_zone = 0,
                      .isolation_timeout = std::chrono::hours(1'000'000),
                      .max_time_behind = milliseconds(0)},
                     &m_faults,
                     &m_proxy,
                     &m_outcomes,
                     &m_syncs};
  // The directory is never written, so no platform is needed.
  Gateway m_gateway{{.directory_interval = std::chrono::hours(1)},
                    &m_loop,
                    nullptr,
                    &m_source};
  std::thread m_thread;
};

// Guards against a node that fetches every version of a large configuration
// since its start when it lacks the latest one (inc33-config).
TEST_CASE_METHOD(GatewayFixture,
                 "A node that was no gateway for long reads the state at once",
                 "[gateway]") {
  REQUIRE(Await([&] { return m_source.awaits > 0; }));
  const int loads = m_source.loads;
  OnLoop([](ControlLoop& loop) { loop.SetReady(); });
  ReceiveDigest(1);
  REQUIRE(Await([&] { return m_source.awaits > 2; }));
  CHECK(m_source.loads == loads);
  Batch batch;
  batch.set_revision(1);
  OnLoop([&](ControlLoop& loop) { loop.GetReplica().Offer(batch); });
  std::this_thread::sleep_for(milliseconds(3'500));
  const int awaits = m_source.awaits;
  ReceiveDigest(2);
  REQUIRE(Await([&] { return m_source.loads > loads; }));
  CHECK(m_source.awaits == awaits);
}

}  // namespace
}  // namespace kumquatmoor
