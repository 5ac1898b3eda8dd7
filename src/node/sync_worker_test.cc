// SyncWorker with a ControlLoop, against peers over loopback.

#include "kumquatmoor/node/sync_worker.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>

#include "control.grpc.pb.h"
#include "kumquatmoor/node/proxy.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr char kOwnAddress[] = "127.42.0.1:8500";
constexpr char kPeerAddress[] = "127.42.0.1:8501";
constexpr char kOtherAddress[] = "127.42.0.1:8502";
constexpr char kThirdAddress[] = "127.42.0.1:8503";
// For which the timeout of a synchronisation is 3 s.
constexpr uint64_t kLargeBatchBytes = 2'000'000;
// Within it a node has to get a batch in spite of one peer that does not reply.
constexpr milliseconds kMaxDelay{1'000};
// The same for two peers that do not reply.
constexpr milliseconds kMaxDelayOfTwo{1'500};

// A node that holds a batch with a settable revision.
class Peer : public Control::Service {
 public:
  explicit Peer(const std::string& address) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    builder.RegisterService(this);
    m_server = builder.BuildAndStart();
    REQUIRE(m_server != nullptr);
  }
  ~Peer() override { Leave(); }

  // Ends as a process does: open requests fail, no new ones are accepted.
  void Leave() { m_server->Shutdown(std::chrono::system_clock::now()); }

  grpc::Status Sync(grpc::ServerContext* context,
                    const SyncRequest* /*request*/, SyncReply* reply) override {
    ++requests;
    while (silent && !context->IsCancelled()) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    if (busy) {
      reply->set_retry_after_ms(400);
    } else {
      reply->mutable_batch()->set_revision(revision);
    }
    return grpc::Status::OK;
  }

  std::atomic<uint64_t> revision{1};
  std::atomic<bool> busy{false};
  std::atomic<bool> silent{false};  // Accepts requests and does not reply.
  std::atomic<int> requests{0};

 private:
  std::unique_ptr<grpc::Server> m_server;
};

// A node that joined through the peer at kPeerAddress.
class JoinedNode {
 public:
  JoinedNode() {
    REQUIRE_FALSE(m_loop.Start());
    m_thread = std::thread([this] { m_context.run(); });
    m_worker.Start();
    REQUIRE(AwaitRevision(1, milliseconds(5'000)));
  }
  ~JoinedNode() {
    m_worker.Stop();
    m_context.stop();
    m_thread.join();
  }

  // Lets the node receive a digest of `peer`, as a probe carries it.
  void ReceiveDigest(const std::string& address, uint64_t revision) {
    Datagram ping;
    ping.set_kind(Datagram::PUSH);
    ping.set_from("at " + address);
    MemberRecord* member = ping.add_rumours()->mutable_member();
    member->set_id("at " + address);
    member->set_zone("z");
    member->set_control_address(address);
    member->set_data_address(address);
    member->set_incarnation(1);
    ping.mutable_digest()->set_revision(revision);
    ping.mutable_digest()->set_batch_bytes(kLargeBatchBytes);
    m_loop.Run<bool>([ping](ControlLoop& loop) {
      loop.GetReplica().OnDatagram(ping, Clock::now());
      return true;
    });
  }

  bool AwaitRevision(uint64_t revision, milliseconds wait) {
    const auto end = std::chrono::steady_clock::now() + wait;
    while (std::chrono::steady_clock::now() < end) {
      const auto held = m_loop.Run<uint64_t>([](ControlLoop& loop) {
        return loop.GetReplica().CurrentBatch().revision();
      });
      if (held >= revision) return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

 private:
  asio::io_context m_context{1};
  asio::io_context m_proxy_context{1};
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
                                  .started_ms = 1}},
                     &m_faults,
                     &m_proxy,
                     &m_outcomes,
                     &m_syncs};
  ControlClient m_client{nullptr};
  SyncWorker m_worker{{.own_address = kOwnAddress, .seeds = {kPeerAddress}},
                      &m_loop,
                      &m_client,
                      &m_syncs};
  std::thread m_thread;
};

// Guards against a node that keeps an old configuration for seconds while it
// waits for one peer that does not reply (inc33-config).
TEST_CASE("A peer that does not reply does not keep a node from a new batch",
          "[sync-worker]") {
  Peer peer(kPeerAddress);
  Peer silent(kOtherAddress);
  silent.silent = true;
  JoinedNode node;
  peer.revision = 2;
  node.ReceiveDigest(kOtherAddress, 2);
  std::this_thread::sleep_for(milliseconds(100));
  node.ReceiveDigest(kPeerAddress, 2);
  CHECK(node.AwaitRevision(2, kMaxDelay));
}

// Guards against the same if the second peer does not reply either: the node
// waited until the timeout of a synchronisation.
TEST_CASE("Two peers that do not reply keep no node from a new batch",
          "[sync-worker]") {
  Peer peer(kPeerAddress);
  Peer silent(kOtherAddress);
  Peer also_silent(kThirdAddress);
  silent.silent = true;
  also_silent.silent = true;
  JoinedNode node;
  peer.revision = 2;
  for (const char* address : {kOtherAddress, kThirdAddress, kPeerAddress}) {
    node.ReceiveDigest(address, 2);
    std::this_thread::sleep_for(milliseconds(100));
  }
  CHECK(node.AwaitRevision(2, kMaxDelayOfTwo));
  CHECK(silent.requests + also_silent.requests == 2);
}

// Guards against a node that waits for a peer that leaves during a
// synchronisation.
TEST_CASE("A peer that leaves in a synchronisation is replaced at once",
          "[sync-worker]") {
  Peer peer(kPeerAddress);
  Peer leaving(kOtherAddress);
  JoinedNode node;
  leaving.silent = true;
  node.ReceiveDigest(kOtherAddress, 2);
  while (leaving.requests == 0) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  peer.revision = 2;
  node.ReceiveDigest(kPeerAddress, 2);
  leaving.Leave();
  CHECK(node.AwaitRevision(2, milliseconds(200)));
}

// Guards against a node that waits for a busy peer while others have time.
TEST_CASE("A busy peer is replaced by another one at once", "[sync-worker]") {
  Peer peer(kPeerAddress);
  Peer other(kOtherAddress);
  JoinedNode node;
  peer.busy = true;
  other.revision = 2;
  const int before = peer.requests;
  node.ReceiveDigest(kOtherAddress, 2);
  node.ReceiveDigest(kPeerAddress, 2);
  CHECK(node.AwaitRevision(2, milliseconds(200)));
  CHECK(peer.requests == before + 1);
}

}  // namespace
}  // namespace kumquatmoor
