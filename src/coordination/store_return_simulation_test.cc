// A seeded simulation: replicas read a store that comes back from older copies,
// exchange datagrams over a network that loses some, and restart. Operators
// write what the store has lost again, after a while, and go on with new
// configurations and orders. The invariants: the operators' version in force at
// a node never goes back, and all nodes agree on the newest configuration and
// order in the end.

#include <spdlog/fmt/fmt.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "kumquatmoor/coordination/replica.h"
#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/store_revision.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr int kNodes = 6;
constexpr milliseconds kStep{50};
constexpr double kLossProbability = 0.1;

struct Order {
  uint64_t revision = 0;
  int number = 0;  // Names the version to move to.
};

// What the store holds, as of one moment.
struct Content {
  uint64_t revision = 0;
  uint64_t config_revision = 0;
  uint64_t config_version = 0;
  std::optional<Order> order;
  std::optional<Order> done;  // The order whose outcome is written.
  uint64_t done_revision = 0;
};

class Store {
 public:
  void WriteConfig(uint64_t version) {
    m_content.config_version = version;
    m_content.config_revision = ++m_content.revision;
    m_written_config = version;
  }
  void WriteOrder(int number) {
    m_content.order = Order{.revision = ++m_content.revision, .number = number};
    m_written_order = number;
  }
  void WriteOutcome() {
    if (!m_content.order) return;
    m_content.done = m_content.order;
    m_content.done_revision = ++m_content.revision;
  }
  void Write() { ++m_content.revision; }  // Of a key that no batch depends on.
  void Copy() { m_copies.push_back(m_content); }
  void Return(std::mt19937_64* rng) {
    if (m_copies.empty()) return;
    m_content = m_copies[(*rng)() % m_copies.size()];
    m_copies.clear();
    ++m_generation;
  }
  // Writes what the operators wrote and the store has lost.
  void Restore() {
    if (m_content.config_version < m_written_config) {
      WriteConfig(m_written_config);
    }
    if (m_written_order > 0 &&
        (!m_content.order || m_content.order->number < m_written_order)) {
      WriteOrder(m_written_order);
    }
  }
  uint64_t WrittenConfig() const { return m_written_config; }
  int WrittenOrder() const { return m_written_order; }
  uint64_t Generation() const { return m_generation; }

  // The batch that a source builds from what the store holds.
  Batch Read() const {
    Batch batch;
    uint64_t revision = m_content.config_revision;
    ServiceConfig* config = batch.add_services();
    config->set_service("s");
    const bool is_done = m_content.done && m_content.order &&
                         m_content.done->number == m_content.order->number &&
                         m_content.done_revision > m_content.order->revision;
    const auto add_row = [&](std::string version, uint32_t from, uint32_t to) {
      Row* row = config->add_rows();
      row->set_version(std::move(version));
      row->set_from_weight(from);
      row->set_weight(to);
    };
    if (m_content.order) {
      const uint64_t order =
          MakeRevision(m_generation, m_content.order->revision);
      revision = std::max(revision, m_content.order->revision);
      if (m_content.done)
        revision = std::max(revision, m_content.done_revision);
      config->set_move_revision(order);
      config->set_order_revision(order);
      config->set_move_within_ms(9'000);
      add_row("*", is_done ? 0 : kFullWeight, 0);
      add_row(fmt::format("v{}", m_content.order->number),
              is_done ? kFullWeight : 0, kFullWeight);
      for (auto& row : *config->mutable_rows()) row.set_revision(order);
    } else {
      add_row("*", kFullWeight, kFullWeight);
    }
    batch.set_revision(MakeRevision(m_generation, revision));
    batch.set_config_version(m_content.config_version);
    return batch;
  }

 private:
  Content m_content;
  std::vector<Content> m_copies;
  uint64_t m_generation = 0;
  uint64_t m_written_config = 0;
  int m_written_order = 0;
};

class ReturnMesh {
 public:
  explicit ReturnMesh(uint64_t seed) : m_rng(seed) {
    store.WriteConfig(1);
    for (int i = 0; i < kNodes; ++i) Start(i);
  }

  // A node that starts reads the store, then joins through another.
  void Start(int i) {
    const std::string id = fmt::format("n{}", i);
    m_nodes[id] = std::make_unique<Replica>(
        ReplicaOptions{.id = id,
                       .zone = "z",
                       .control_address = id,
                       .started_ms = ++m_last_incarnation,
                       .seed = m_rng()},
        m_now);
    m_versions[id] = 0;
    m_nodes[id]->Offer(store.Read());
    for (auto& [other, node] : m_nodes) {
      if (other == id) continue;
      Sync(id, other, true);
      break;
    }
  }
  void Restart() { Start(static_cast<int>(m_rng() % kNodes)); }
  void ReadAtOneNode() { RandomNode().Offer(store.Read()); }

  void Step() {
    m_now += kStep;
    for (auto& [id, node] : m_nodes) {
      Send(node->Tick(m_now));
      if (const auto peer = node->PopSyncPeer()) Sync(id, peer->id, false);
    }
    for (auto& [id, node] : m_nodes) {
      const uint64_t version = node->CurrentBatch().config_version();
      REQUIRE(version >= m_versions[id]);
      m_versions[id] = version;
    }
  }
  void Run(int steps) {
    for (int step = 0; step < steps; ++step) Step();
  }

  void CheckAgreement() {
    const Batch& first = m_nodes.begin()->second->CurrentBatch();
    CHECK(first.config_version() == store.WrittenConfig());
    const std::string to = store.WrittenOrder() == 0
                               ? "*"
                               : fmt::format("v{}", store.WrittenOrder());
    for (const auto& [id, node] : m_nodes) {
      const Batch& batch = node->CurrentBatch();
      INFO(id << " " << FormatRevision(batch.revision()) << " carried "
              << batch.carried_weight() << "\n"
              << batch.DebugString() << "\n"
              << first.DebugString());
      REQUIRE(BatchDigest(batch) == BatchDigest(first));
      REQUIRE(batch.services(0).rows().rbegin()->version() == to);
      REQUIRE_FALSE(node->BehindSince());
    }
  }

  Store store;

 private:
  Replica& RandomNode() {
    return *m_nodes.at(fmt::format("n{}", m_rng() % kNodes));
  }
  void Send(const std::vector<OutgoingDatagram>& outgoing) {
    for (const auto& out : outgoing) {
      const bool is_lost =
          std::uniform_real_distribution<>(0, 1)(m_rng) < kLossProbability;
      if (is_lost || m_nodes.count(out.address) == 0) continue;
      Send(m_nodes.at(out.address)->OnDatagram(out.datagram, m_now));
    }
  }
  void Sync(const std::string& from, const std::string& to, bool joining) {
    Replica& caller = *m_nodes.at(from);
    Replica& peer = *m_nodes.at(to);
    const auto reply =
        peer.HandleSyncRequest(caller.MakeSyncRequest(joining), m_now);
    const auto offer = caller.HandleSyncReply(reply, m_now);
    if (offer) peer.HandleSyncRequest(*offer, m_now);
  }

  std::mt19937_64 m_rng;
  TimePoint m_now{};
  int64_t m_last_incarnation = 0;
  std::map<std::string, std::unique_ptr<Replica>> m_nodes;
  std::map<std::string, uint64_t> m_versions;  // Of operators, by node.
};

// One random event. `lost` is true between a return and the operators' writes.
void Play(ReturnMesh* mesh, std::mt19937_64* rng, bool* lost) {
  Store& store = mesh->store;
  switch ((*rng)() % 10) {
    case 0:
      if (!*lost) store.WriteConfig(store.WrittenConfig() + 1 + (*rng)() % 3);
      break;
    case 1:
      if (!*lost) store.WriteOrder(store.WrittenOrder() + 1);
      break;
    case 2:
      store.WriteOutcome();
      break;
    case 3:
    case 4:
      store.Copy();
      break;
    case 5:
      store.Return(rng);
      *lost = true;
      break;
    case 6:
      store.Restore();
      *lost = false;
      break;
    case 7:
      mesh->Restart();
      break;
    default:
      store.Write();
      mesh->ReadAtOneNode();
      break;
  }
}

// Guards against nodes that differ for good, and against a configuration that
// goes back, after any series of returns.
TEST_CASE("Replicas agree after any series of returns of the store", "[fuzz]") {
  const char* text = std::getenv("KUMQUATMOOR_RETURN_SEEDS");
  const uint64_t seeds =
      text == nullptr ? 40 : std::strtoull(text, nullptr, 10);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 rng(seed);
    ReturnMesh mesh(seed);
    bool lost = false;
    mesh.Run(20);
    for (int event = 0; event < 60; ++event) {
      Play(&mesh, &rng, &lost);
      mesh.Run(static_cast<int>(rng() % 10));
    }
    mesh.store.Restore();
    for (int read = 0; read < 4; ++read) {
      mesh.ReadAtOneNode();
      mesh.Run(100);
    }
    mesh.CheckAgreement();
  }
}

}  // namespace
}  // namespace kumquatmoor
