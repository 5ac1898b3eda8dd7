// Gateway against a source that counts its calls.

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "kumquatmoor/node/gateway.h"
#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr char kOwnAddress[] = "127.42.0.2:8500";

class CountingSource : public ConfigurationSource {
 public:
  Result<SourceUpdate> Load() override {
    ++loads;
    if (on_load) on_load();
    SourceUpdate update;
    const std::lock_guard lock(m_mutex);
    update.batch = m_batch;
    return update;
  }
  Result<SourceUpdate> Await(milliseconds /*wait*/) override {
    ++awaits;
    std::this_thread::sleep_for(await_time.exchange(milliseconds(0)));
    return SourceUpdate();
  }
  Result<bool> Report(const MeshProgress& /*progress*/) override {
    return false;
  }

  // What the platform holds: every Load reads it, Await sees no change.
  void SetBatch(const Batch& batch) {
    const std::lock_guard lock(m_mutex);
    m_batch = batch;
  }

  std::atomic<int> loads{0};
  std::atomic<int> awaits{0};
  // How long the next Await takes.
  std::atomic<milliseconds> await_time{milliseconds(0)};
  // Called during a Load. Set it before the gateway reads.
  std::function<void()> on_load;

 private:
  std::mutex m_mutex;
  std::optional<Batch> m_batch;
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
  // A digest of the live member "peer", which holds `batch`.
  void ReceiveDigestOf(const Batch& batch) {
    OnLoop([this, &batch](ControlLoop& loop) {
      Datagram push;
      push.set_kind(Datagram::PUSH);
      push.set_from("peer");
      MemberRecord* member = push.add_rumours()->mutable_member();
      member->set_id("peer");
      member->set_zone("z");
      member->set_control_address("127.42.0.2:8501");
      member->set_data_address("127.42.0.2:8501");
      member->set_incarnation(++m_incarnation);
      push.mutable_digest()->set_revision(batch.revision());
      push.mutable_digest()->set_batch_digest(BatchDigest(batch));
      loop.GetReplica().OnDatagram(push, Clock::now());
    });
  }
  std::string Author() {
    std::string author;
    OnLoop([&author](ControlLoop& loop) {
      author = loop.GetReplica().CurrentBatch().author();
    });
    return author;
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
  uint64_t m_incarnation = 1;
};

Batch BatchBy(const std::string& author) {
  Batch batch;
  batch.set_revision(1);
  batch.set_author(author);
  return batch;
}

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

// Guards against a node that keeps other contents than the mesh under the same
// revision until the next one (inc33-config, H6).
TEST_CASE_METHOD(GatewayFixture,
                 "A node with another batch of the same revision recovers",
                 "[gateway]") {
  REQUIRE(Await([&] { return m_source.loads > 0; }));
  OnLoop([](ControlLoop& loop) {
    loop.GetReplica().Offer(BatchBy("wrong"));
    loop.SetReady();
  });
  const int loads = m_source.loads;
  m_source.SetBatch(BatchBy("right"));
  ReceiveDigestOf(BatchBy("right"));
  CHECK(Await([&] { return Author() == "right"; }));
  // Nothing is left to find out.
  for (int i = 0; i < 20; ++i) {
    ReceiveDigestOf(BatchBy(i % 2 == 0 ? "right" : "wrong"));
    std::this_thread::sleep_for(milliseconds(100));
  }
  CHECK(Author() == "right");
  CHECK(m_source.loads == loads + 1);
}

// Guards against nodes that all read the platform again and again since one of
// them holds other contents under their revision.
TEST_CASE_METHOD(GatewayFixture,
                 "A conflict is checked by one read of the platform",
                 "[gateway]") {
  REQUIRE(Await([&] { return m_source.loads > 0; }));
  OnLoop([](ControlLoop& loop) {
    loop.GetReplica().Offer(BatchBy("right"));
    loop.SetReady();
  });
  const int loads = m_source.loads;
  m_source.SetBatch(BatchBy("right"));
  for (int i = 0; i < 25; ++i) {
    ReceiveDigestOf(BatchBy("wrong"));
    std::this_thread::sleep_for(milliseconds(100));
  }
  CHECK(Author() == "right");
  CHECK(m_source.loads == loads + 1);
}

// Guards against an update that is lost since the control thread is busy at the
// moment at which it has been read.
TEST_CASE_METHOD(GatewayFixture,
                 "An update that finds the control loop's ring full is kept",
                 "[gateway]") {
  REQUIRE(Await([&] { return m_source.loads > 0; }));
  OnLoop([](ControlLoop& loop) {
    loop.GetReplica().Offer(BatchBy("wrong"));
    loop.SetReady();
  });
  Batch next = BatchBy("next");
  next.set_revision(2);
  m_source.SetBatch(next);
  std::this_thread::sleep_for(milliseconds(3'500));
  std::promise<void> release;
  std::atomic<bool> was_full{false};
  m_source.on_load = [&, released = release.get_future().share()] {
    if (was_full) return;
    m_loop.Post([released](ControlLoop& /*loop*/) { released.wait(); });
    while (m_loop.Post([](ControlLoop& /*loop*/) {})) {
    }
    was_full = true;
  };
  ReceiveDigest(2);
  REQUIRE(Await([&] { return was_full.load(); }));
  std::this_thread::sleep_for(milliseconds(300));
  release.set_value();
  CHECK(Await([&] { return Author() == "next"; }));
}

// Guards against a gateway that was stopped and then fetches every version of a
// large configuration since, or waits for history that is gone.
TEST_CASE_METHOD(GatewayFixture,
                 "A gateway that was stopped for long reads the state",
                 "[gateway]") {
  constexpr milliseconds kStop{4'000};
  REQUIRE(Await([&] { return m_source.awaits > 0; }));
  const int loads = m_source.loads;
  // Both threads are held up, as by a stop of the process.
  m_source.await_time = kStop;
  REQUIRE(Await([&] { return m_source.await_time.load().count() == 0; }));
  m_loop.Post([kStop](ControlLoop&) { std::this_thread::sleep_for(kStop); });
  std::this_thread::sleep_for(kStop);
  CHECK(Await([&] { return m_source.loads > loads; }));
  // One read is enough.
  std::this_thread::sleep_for(milliseconds(1'000));
  CHECK(m_source.loads == loads + 1);
}

}  // namespace
}  // namespace kumquatmoor
