// A seeded simulation: replicas exchange datagrams over a network that loses,
// delays and duplicates them, while batches are offered, marks are set, zones
// are partitioned and nodes restart. The invariants: revisions never decrease,
// each route has a target, and all nodes converge to the same state when the
// faults end.

#include "kumquatmoor/coordination/replica.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <set>

#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

uint64_t EnvironmentOr(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

class Mesh {
 public:
  static constexpr int kNodes = 9;
  static constexpr milliseconds kStep{50};
  static constexpr int64_t kUnixMs = 1'000'000'000;  // Of all crashes.

  explicit Mesh(uint64_t seed, int nodes = kNodes) : m_rng(seed) {
    for (int i = 0; i < nodes; ++i) Start(i);
  }

  // Injected faults. The probabilities are per datagram.
  double loss_probability = 0;
  double duplicate_probability = 0;
  std::set<std::string> partitioned_zones;
  bool platform_down = false;
  bool sync_down = false;  // No synchronisation succeeds.

  int complete_reads = 0;  // Of the platform, after conflicts.
  bool platform_refuses = false;
  std::map<std::string, int> refused_reads;  // By node.

  void Start(int i) {
    ReplicaOptions options;
    options.id = Id(i);
    options.zone = ZoneOf(i);
    options.control_address = Id(i);
    options.started_ms = ++m_last_incarnation;
    options.seed = m_rng();
    m_nodes[Id(i)] = std::make_unique<Replica>(options, m_now);
    m_revisions[Id(i)] = 0;
    m_tables.erase(Id(i));
    Join(Id(i));
  }

  void Step() {
    m_now += kStep;
    OfferFromPlatform();
    while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
      const auto [to, datagram] = m_queue.begin()->second;
      m_queue.erase(m_queue.begin());
      if (m_nodes.count(to) == 0) continue;
      Send(to, m_nodes.at(to)->OnDatagram(datagram, m_now));
    }
    for (auto& [id, node] : m_nodes) {
      Send(id, node->Tick(m_now));
      if (node->NeedsCompleteRead(m_now)) ReadPlatform(id);
      if (const auto peer = node->PopSyncPeer()) Sync(id, peer->id);
    }
    CheckInvariants();
  }

  void Run(milliseconds time) {
    for (const auto end = m_now + time; m_now < end;) Step();
  }

  // Offers a successor of the latest batch to a random node.
  void OfferNext() {
    if (platform_down) return;  // No batch can be accepted.
    std::vector<TableRow> rows;
    const auto weight = static_cast<uint32_t>(m_rng() % 101);
    rows.push_back({"s0", "v0", weight});
    rows.push_back({"s0", "v1", kFullWeight - weight});
    rows.push_back({"s1", "v" + std::to_string(m_rng() % 3), kFullWeight});
    m_latest = BuildBatch(m_latest, rows, {}, {});
    m_batches.push_back(m_latest);
    RandomNode().Offer(m_latest);
  }

  // Offers a successor of the latest batch to a random node, and one with the
  // same revision and other contents to another node.
  void OfferNextAndFork() {
    const Batch fork = BuildBatch(
        m_latest, std::vector<TableRow>{{"s0", "v2", kFullWeight}}, {}, {});
    OfferNext();
    for (auto& [id, node] : m_nodes) {
      if (node->CurrentBatch().revision() == m_latest.revision()) continue;
      node->Offer(fork);
      return;
    }
  }

  // Offers an old batch to a random node, as a stale read of the platform does.
  void OfferOld() {
    if (!m_batches.empty()) {
      RandomNode().Offer(m_batches[m_rng() % m_batches.size()]);
    }
  }

  void Recall() {
    if (m_latest.services_size() == 0) return;
    Replica& node = RandomNode();
    const auto& batch = node.CurrentBatch();
    if (batch.services_size() == 0) return;
    MoveMark mark;
    mark.set_service(batch.services(0).service());
    mark.set_move_revision(batch.services(0).move_revision());
    mark.add_recalls()->set_version("v0");
    if (node.JoinMark(mark)) {
      m_recalls.insert({mark.service(), mark.move_revision()});
    }
  }

  void ChangeEndpoints() {
    Endpoint endpoint;
    endpoint.set_service("s" + std::to_string(m_rng() % 3));
    endpoint.set_version("v" + std::to_string(m_rng() % 3));
    endpoint.set_slots(1);
    endpoint.set_draining(m_rng() % 4 == 0);
    RandomNode().SetEndpoints(std::vector<Endpoint>{endpoint}, m_now);
  }

  void Restart() { Start(static_cast<int>(m_rng() % kNodes)); }
  // Ends a node without the announcement of Leave().
  void Kill(int i) { m_nodes.erase(Id(i)); }

  // Checks that all nodes hold the same state, as they must some time after the
  // last fault.
  void CheckConverged() {
    const Replica& first = *m_nodes.begin()->second;
    for (const auto& [id, node] : m_nodes) {
      INFO(id);
      REQUIRE(node->CurrentBatch().revision() == m_latest.revision());
      REQUIRE(BatchDigest(node->CurrentBatch()) == BatchDigest(m_latest));
      REQUIRE(node->Marks().Hash() == first.Marks().Hash());
      REQUIRE(node->Crashes().Hash() == first.Crashes().Hash());
      REQUIRE(node->Members().Hash() == first.Members().Hash());
      REQUIRE(node->LiveMembers().size() == m_nodes.size());
    }
    for (const auto& [service, revision] : m_recalls) {
      const auto* config = FindService(m_latest, service);
      if (config == nullptr || config->move_revision() != revision) continue;
      REQUIRE(first.Marks().IsRecalled(service, revision));
    }
  }

  // A backend server of a random node crashes while it runs the request.
  void Crash(const std::string& key) {
    const BackendCrash crash{.service = "s0",
                             .version = "v0",
                             .instance = std::to_string(m_rng()),
                             .keys = {key}};
    RandomNode().AddCrash(crash, kUnixMs);
  }
  // Fraction of the nodes that know that the request must not run.
  double FractionThatBlocks(const std::string& key) const {
    const auto blocks = [&](const auto& item) {
      return item.second->Crashes().StandingOf(key, "s0", "v0").blocked;
    };
    const auto count = std::count_if(m_nodes.begin(), m_nodes.end(), blocks);
    return static_cast<double>(count) / static_cast<double>(m_nodes.size());
  }

  TimePoint Now() const { return m_now; }
  std::mt19937_64& Rng() { return m_rng; }
  const Replica& Node(int i) const { return *m_nodes.at(Id(i)); }
  // Fraction of the nodes that hold the latest batch.
  double FractionWithLatest() const {
    const auto current = [&](const auto& item) {
      return item.second->CurrentBatch().revision() == m_latest.revision();
    };
    const auto count = std::count_if(m_nodes.begin(), m_nodes.end(), current);
    return static_cast<double>(count) / static_cast<double>(m_nodes.size());
  }
  // Nodes that do not hold the contents of the latest batch.
  int64_t CountOtherContents() const {
    const uint64_t digest = BatchDigest(m_latest);
    return std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto& item) {
      return BatchDigest(item.second->CurrentBatch()) != digest;
    });
  }
  uint64_t DatagramsSent() const { return m_datagrams_sent; }
  static std::string Id(int i) { return "n" + std::to_string(i); }
  static std::string ZoneOf(int i) { return "z" + std::to_string(i % 3); }

 private:
  Replica& RandomNode() {
    auto it = m_nodes.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(m_rng() % m_nodes.size()));
    return *it->second;
  }

  // Reads as a gateway does that backs off after a failure.
  void ReadPlatform(const std::string& id) {
    Replica& node = *m_nodes.at(id);
    if (platform_down || m_now < m_read_after[id]) return;
    if (platform_refuses) {
      ++refused_reads[id];
      m_read_after[id] = m_now + milliseconds(1 + m_rng() % 1'000);
      node.PostponeCompleteRead(m_now);
      return;
    }
    ++complete_reads;
    node.OfferComplete(m_latest, m_now);
  }

  bool IsConnected(const std::string& from, const std::string& to) const {
    const std::string a = m_nodes.at(from)->Self().zone();
    const std::string b = m_nodes.at(to)->Self().zone();
    return a == b ||
           (partitioned_zones.count(a) == 0 && partitioned_zones.count(b) == 0);
  }

  void Send(const std::string& from, const std::vector<OutgoingDatagram>& out) {
    std::uniform_real_distribution<double> chance(0, 1);
    for (const auto& outgoing : out) {
      ++m_datagrams_sent;
      REQUIRE(outgoing.datagram.ByteSizeLong() <= 1'400);
      const std::string& to = outgoing.address;
      if (m_nodes.count(to) == 0 || !IsConnected(from, to)) continue;
      if (chance(m_rng) < loss_probability) continue;
      const int copies = chance(m_rng) < duplicate_probability ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        const milliseconds delay(1 + m_rng() % 120);
        m_queue.emplace(m_now + delay, std::pair(to, outgoing.datagram));
      }
    }
  }

  bool Sync(const std::string& from, const std::string& to) {
    if (sync_down) return false;
    if (m_nodes.count(to) == 0 || !IsConnected(from, to)) return false;
    Replica& node = *m_nodes.at(from);
    Replica& peer = *m_nodes.at(to);
    const SyncRequest request = node.MakeSyncRequest(false);
    const auto offer =
        node.HandleSyncReply(peer.HandleSyncRequest(request, m_now), m_now);
    if (offer) peer.HandleSyncRequest(*offer, m_now);
    return true;
  }

  // Simulates Gateway: once per second, a random node reads the latest batch
  // from the platform. Without that, a batch that reached only one node would
  // be lost if that node restarts.
  void OfferFromPlatform() {
    if (m_now < m_next_read) return;
    m_next_read = m_now + milliseconds(1'000);
    if (!platform_down) RandomNode().Offer(m_latest);
  }

  // Simulates SyncWorker: a node synchronises with several members before it
  // takes part.
  void Join(const std::string& id) {
    int synced = 0;
    for (int i = 0; i < kNodes && synced < 3; ++i) {
      if (Id(i) != id && Sync(id, Id(i))) ++synced;
    }
    m_revisions[id] = m_nodes.at(id)->CurrentBatch().revision();
  }

  // Checks the invariants on every node of a small mesh, and on a rotating part
  // of the nodes of a large one.
  void CheckInvariants() {
    const size_t stride = std::max<size_t>(1, m_nodes.size() / kNodes);
    size_t position = ++m_steps;
    for (const auto& [id, node] : m_nodes) {
      if (position++ % stride != 0) continue;
      const Batch& batch = node->CurrentBatch();
      REQUIRE(batch.revision() >= m_revisions[id]);
      m_revisions[id] = batch.revision();
      if (batch.revision() > 0) REQUIRE(CheckBatch(batch).empty());
      const auto live = node->LiveMembers();
      const auto table = BuildRoutes(batch, node->Marks(), live, "z0");
      CheckIncrementalRoutes(id, *table);
      for (const auto& [name, service] : table->services) {
        REQUIRE(FindService(batch, name) != nullptr);
        for (const auto& version : service->versions) {
          REQUIRE_FALSE(version.targets.empty());
          const auto* config = FindService(batch, name);
          if (node->Marks().IsRecalled(name, config->move_revision())) {
            for (const auto& row : config->rows()) {
              if (row.version() == version.version) {
                REQUIRE(row.from_weight() > 0);
              }
            }
          }
        }
      }
    }
  }

  // Checks that routes updated incrementally, for the changed services only,
  // equal those that are built from scratch.
  void CheckIncrementalRoutes(const std::string& id,
                              const RouteTable& rebuilt) {
    Replica& node = *m_nodes.at(id);
    auto& updated = m_tables[id];
    if (updated == nullptr) {
      node.PopChangedServices();
      updated = std::make_shared<const RouteTable>(rebuilt);
      return;
    }
    updated = UpdateRoutes(*updated, node.CurrentBatch(), node.Marks(),
                           node.PopChangedServices(),
                           [&](const std::string& service) {
                             return node.RoutableMembersOf(service, {});
                           });
    REQUIRE(FormatTable(*updated) == FormatTable(rebuilt));
  }

  static std::string FormatTable(const RouteTable& table) {
    std::set<std::string> lines;
    for (const auto& [name, service] : table.services) {
      for (const auto& version : service->versions) {
        for (const auto& target : version.targets) {
          lines.insert(
              name + " " + std::to_string(service->move_revision) + " " +
              version.version + " " + std::to_string(version.read_share) + " " +
              std::to_string(version.write_share) + " " + target.member_id +
              " " + std::to_string(target.incarnation));
        }
      }
    }
    for (const auto& [service, version] : table.recalled) {
      lines.insert(fmt::format("recalled {} {}", service, version));
    }
    std::string text = std::to_string(table.revision);
    for (const auto& line : lines) text.append("\n").append(line);
    return text;
  }

  std::map<std::string, TimePoint> m_read_after;  // After a refusal, by node.
  std::mt19937_64 m_rng;
  TimePoint m_now = TimePoint() + std::chrono::hours(1);
  TimePoint m_next_read;
  int64_t m_last_incarnation = 0;
  uint64_t m_datagrams_sent = 0;
  size_t m_steps = 0;
  std::map<std::string, std::unique_ptr<Replica>> m_nodes;
  std::map<std::string, uint64_t> m_revisions;
  std::map<std::string, std::shared_ptr<const RouteTable>> m_tables;
  std::multimap<TimePoint, std::pair<std::string, Datagram>> m_queue;
  Batch m_latest;
  std::vector<Batch> m_batches;
  std::set<std::pair<std::string, uint64_t>> m_recalls;
};

void RandomOperation(Mesh* mesh) {
  switch (mesh->Rng()() % 14) {
    case 0:
    case 1:
    case 2:
      mesh->OfferNext();
      break;
    case 3:
      mesh->OfferOld();
      break;
    case 4:
      mesh->Recall();
      break;
    case 5:
    case 6:
      mesh->ChangeEndpoints();
      break;
    case 7:
      mesh->Restart();
      break;
    case 8:
      mesh->partitioned_zones = {
          Mesh::ZoneOf(static_cast<int>(mesh->Rng()() % 3))};
      break;
    case 9:
      mesh->partitioned_zones.clear();
      break;
    case 10:
      mesh->loss_probability = static_cast<double>(mesh->Rng()() % 4) * 0.1;
      break;
    case 11:
      mesh->platform_down = !mesh->platform_down;
      break;
    case 12:
      mesh->Crash(RequestKey({.target = std::to_string(mesh->Rng()() % 3)}));
      break;
    default:
      mesh->duplicate_probability =
          static_cast<double>(mesh->Rng()() % 4) * 0.1;
  }
}

TEST_CASE("Replicas converge after random faults end", "[fuzz]") {
  const uint64_t first = EnvironmentOr("SEED", 1);
  const uint64_t seeds = EnvironmentOr("SEEDS", 40);
  const uint64_t steps = EnvironmentOr("STEPS", 40);
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    INFO("SEED=" << seed << " STEPS=" << steps);
    Mesh mesh(seed);
    mesh.Run(milliseconds(2'000));
    mesh.OfferNext();
    for (uint64_t i = 0; i < steps; ++i) {
      RandomOperation(&mesh);
      mesh.Run(milliseconds(mesh.Rng()() % 1'500));
    }
    mesh.partitioned_zones.clear();
    mesh.platform_down = false;
    mesh.loss_probability = 0;
    mesh.duplicate_probability = 0;
    mesh.Run(milliseconds(40'000));
    mesh.CheckConverged();
  }
}

TEST_CASE("A batch reaches every node within 4 s despite datagram loss") {
  Mesh mesh(100);
  mesh.Run(milliseconds(3'000));
  for (double loss_probability : {0.0, 0.05, 0.3}) {
    INFO(loss_probability);
    mesh.loss_probability = loss_probability;
    mesh.OfferNext();
    mesh.Run(milliseconds(4'000));
    for (int i = 1; i < Mesh::kNodes; ++i) {
      CHECK(mesh.Node(i).CurrentBatch().revision() ==
            mesh.Node(0).CurrentBatch().revision());
    }
  }
}

// The requirement: a batch reaches 99% of 200 nodes within 3 s, while 5% of the
// nodes are dead and 5% of the datagrams are lost.
TEST_CASE("A batch reaches 99% of 200 nodes within 3 s with 5% of them dead") {
  constexpr int kLarge = 200;
  Mesh mesh(103, kLarge);
  mesh.Run(milliseconds(5'000));
  mesh.loss_probability = 0.05;
  for (int i = 0; i < kLarge; i += 20) mesh.Kill(i);
  for (int change = 0; change < 5; ++change) {
    INFO("change " << change);
    mesh.OfferNext();
    mesh.Run(milliseconds(3'000));
    CHECK(mesh.FractionWithLatest() >= 0.99);
  }
}

TEST_CASE("Live members of an unreachable zone are not routable") {
  Replica replica({.id = "n", .zone = "here", .control_address = "n"}, {});
  Datagram push;
  push.set_kind(Datagram::PUSH);
  push.set_from("a");
  for (const char* id : {"a", "b", "c", "d"}) {
    MemberRecord* member = push.add_rumours()->mutable_member();
    member->set_id(id);
    member->set_zone("there");
    member->add_endpoints()->set_service("s");
  }
  for (int index : {0, 1}) {
    push.mutable_rumours(index)->mutable_member()->set_status(SUSPECT);
  }
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  replica.OnDatagram(push, now);
  REQUIRE(replica.LiveMembers().size() == 3);
  const auto unreachable = replica.UnreachableZones(now);
  CHECK(unreachable == std::set<std::string>{"there"});
  CHECK(replica.RoutableMembers(now).size() == 1);
  CHECK(replica.RoutableMembersOf("s", unreachable).empty());
}

TEST_CASE("A killed node becomes DEAD, and ALIVE after its restart") {
  Mesh mesh(101);
  mesh.Run(milliseconds(3'000));
  mesh.Kill(3);
  mesh.Run(milliseconds(15'000));
  CHECK(mesh.Node(0).Members().Find("n3")->status() == DEAD);
  mesh.Start(3);
  mesh.Run(milliseconds(5'000));
  CHECK(mesh.Node(0).Members().Find("n3")->status() == ALIVE);
  CHECK(mesh.Node(0).LiveMembers().size() == Mesh::kNodes);
}

TEST_CASE("A partitioned zone is unreachable until the partition ends") {
  const uint64_t seed = GENERATE(range(102, 122));
  INFO(seed);
  Mesh mesh(seed);
  mesh.Run(milliseconds(3'000));
  mesh.partitioned_zones = {"z1"};
  mesh.Run(milliseconds(25'000));
  CHECK(mesh.Node(0).UnreachableZones(mesh.Now()) ==
        std::set<std::string>{"z1"});
  CHECK(mesh.Node(0).RoutableMembers(mesh.Now()).size() == 6);
  // Nodes of the partitioned zone can route to their own zone only.
  CHECK(mesh.Node(1).RoutableMembers(mesh.Now()).size() == 3);
  mesh.partitioned_zones.clear();
  mesh.Run(milliseconds(20'000));
  for (int i = 0; i < Mesh::kNodes; ++i) {
    CHECK(mesh.Node(i).LiveMembers().size() == Mesh::kNodes);
  }
}

TEST_CASE("A batch of the same revision with other contents is a conflict") {
  Replica replica({.id = "n", .control_address = "n"}, {});
  const Batch batch =
      BuildBatch({}, std::vector<TableRow>{{"a", "v1", 100}}, {}, {});
  Batch fork = batch;
  fork.set_author("somebody else");
  CHECK(replica.Offer(batch) == OfferOutcome::kApplied);
  CHECK(replica.Offer(batch) == OfferOutcome::kOld);
  CHECK(replica.Offer(fork) == OfferOutcome::kConflict);
  Batch bad =
      BuildBatch(batch, std::vector<TableRow>{{"a", "v2", 100}}, {}, {});
  bad.mutable_services(0)->mutable_rows(0)->set_weight(3);
  CHECK(replica.Offer(bad) == OfferOutcome::kInvalid);
  CHECK(replica.CurrentBatch().author().empty());
  CHECK(replica.Warnings().size() == 2);
}

// Guards against a node that keeps other contents than the mesh under the same
// revision (inc33-config, H6), and against a mesh that reads the platform node
// by node for one that is wrong.
TEST_CASE("A node with other contents under a revision recovers by a read") {
  constexpr int kNodes = 80;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    INFO(seed);
    Mesh mesh(seed, kNodes);
    mesh.Run(milliseconds(5'000));
    mesh.OfferNextAndFork();
    mesh.Run(milliseconds(4'000));
    CHECK(mesh.CountOtherContents() == 0);
    CHECK(mesh.complete_reads > 0);
    CHECK(mesh.complete_reads <= kNodes);
    const int before = mesh.complete_reads;
    mesh.Run(milliseconds(10'000));
    CHECK(mesh.complete_reads == before);
  }
}

// Guards against a storm of reads: after one conflict each node read the
// platform again and again for as long as that refused.
TEST_CASE("A platform that refuses is asked seldom after a conflict") {
  constexpr int kNodes = 195;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    Mesh mesh(seed, kNodes);
    mesh.Run(milliseconds(5'000));
    mesh.platform_refuses = true;
    mesh.OfferNextAndFork();
    mesh.Run(milliseconds(3'500));
    int most = 0;
    int sum = 0;
    for (const auto& [id, reads] : mesh.refused_reads) {
      most = std::max(most, reads);
      sum += reads;
    }
    INFO(sum << " refused reads in 3.5 s, most of one node " << most);
    CHECK(most <= 3);
    mesh.Run(milliseconds(6'500));
    most = 0;
    for (const auto& [id, reads] : mesh.refused_reads) {
      most = std::max(most, reads);
    }
    CHECK(most <= 7);  // One each 2 s.
    mesh.platform_refuses = false;
    mesh.Run(milliseconds(5'000));
    CHECK(mesh.CountOtherContents() == 0);
    CHECK(mesh.complete_reads <= kNodes);
  }
}

// Guards against a short refusal that keeps a node wrong for long.
TEST_CASE("A conflict is decided soon after a short refusal") {
  constexpr int kNodes = 80;
  Mesh mesh(1, kNodes);
  mesh.Run(milliseconds(5'000));
  mesh.platform_refuses = true;
  mesh.OfferNextAndFork();
  mesh.Run(milliseconds(600));
  mesh.platform_refuses = false;
  mesh.Run(milliseconds(2'000));
  CHECK(mesh.CountOtherContents() == 0);
}

// Guards against nodes that miss the push of a batch and then wait for the next
// probe and a synchronisation, which may fail.
TEST_CASE("A batch reaches 99% of 200 nodes by pushes alone") {
  constexpr int kNodes = 200;
  constexpr int kSeeds = 5;
  double fraction = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Mesh mesh(static_cast<uint64_t>(seed), kNodes);
    mesh.Run(milliseconds(3'000));
    mesh.OfferNext();
    mesh.Run(milliseconds(3'000));
    REQUIRE(mesh.FractionWithLatest() == 1);
    mesh.sync_down = true;
    mesh.OfferNext();
    mesh.platform_down = true;
    mesh.Run(milliseconds(1'200));
    fraction += mesh.FractionWithLatest() / kSeeds;
  }
  CHECK(fraction >= 0.99);
}

// Guards against pushes that a node cannot apply, which delay each change by a
// synchronisation.
TEST_CASE("A push brings a batch into force without a synchronisation",
          "[delta]") {
  TimePoint now;
  Replica sender({.id = "a", .control_address = "a"}, now);
  Replica receiver({.id = "b", .control_address = "b"}, now);
  Batch batch;
  batch.set_revision(3);
  receiver.HandleSyncRequest(sender.MakeSyncRequest(true), now);
  sender.HandleSyncRequest(receiver.MakeSyncRequest(true), now);
  REQUIRE(sender.Offer(batch) == OfferOutcome::kApplied);
  REQUIRE(receiver.Offer(batch) == OfferOutcome::kApplied);
  sender.Tick(now);
  // A batch that an operator wrote: it does not name the one that it replaces.
  batch.set_revision(5);
  batch.set_author("operators");
  REQUIRE(sender.Offer(batch) == OfferOutcome::kApplied);
  for (const auto& outgoing : sender.Tick(now)) {
    receiver.OnDatagram(outgoing.datagram, now);
  }
  CHECK(receiver.CurrentBatch().revision() == 5);
  CHECK_FALSE(receiver.PopSyncPeer());
}

Batch BatchOfRoutes(uint64_t revision, int routes) {
  Batch batch = BuildBatch({}, std::vector<TableRow>{{"a", "v1", 100}}, {}, {});
  batch.set_revision(revision);
  for (int i = 0; i < routes; ++i) {
    HttpRoute* route = batch.add_routes();
    route->set_name(fmt::format("route{:06}", i));
    route->set_host("shop.example");
    route->set_prefix(fmt::format("/{}/", i));
    WeightedService* part = route->add_parts();
    part->set_service("a");
    part->set_weight(1);
  }
  return batch;
}

// Guards against a synchronisation that takes the time of the whole
// configuration when the requester lacks one change of it (inc33-config).
TEST_CASE("A synchronisation carries what changed since the own revision",
          "[delta]") {
  const TimePoint now;
  constexpr int kRoutes = 5'000;
  Replica peer({.id = "a", .control_address = "a"}, now);
  Replica behind({.id = "b", .control_address = "b"}, now);
  Batch batch = BatchOfRoutes(3, kRoutes);
  REQUIRE(peer.Offer(batch) == OfferOutcome::kApplied);
  REQUIRE(behind.Offer(batch) == OfferOutcome::kApplied);
  for (int change = 0; change < 4; ++change) {
    batch.set_revision(batch.revision() + 2);
    batch.mutable_routes(change % 3)->set_timeout_ms(change + 1);
    REQUIRE(peer.Offer(batch) == OfferOutcome::kApplied);
  }
  const SyncReply reply =
      peer.HandleSyncRequest(behind.MakeSyncRequest(false), now);
  CHECK(reply.ByteSizeLong() < batch.ByteSizeLong() / 100);
  behind.HandleSyncReply(reply, now);
  CHECK(behind.CurrentBatch().SerializeAsString() == batch.SerializeAsString());
}

// Guards against a node that keeps an old batch since the delta to the newer
// one does not apply to it (inc33-config).
TEST_CASE("A damaged delta of a synchronisation leads to the whole batch",
          "[delta]") {
  const TimePoint now;
  Replica peer({.id = "a", .control_address = "a"}, now);
  Replica behind({.id = "b", .control_address = "b"}, now);
  Batch batch = BatchOfRoutes(3, 100);
  REQUIRE(peer.Offer(batch) == OfferOutcome::kApplied);
  REQUIRE(behind.Offer(BatchOfRoutes(3, 90)) == OfferOutcome::kApplied);
  batch = BatchOfRoutes(4, 101);
  REQUIRE(peer.Offer(batch) == OfferOutcome::kApplied);
  const SyncReply reply =
      peer.HandleSyncRequest(behind.MakeSyncRequest(false), now);
  REQUIRE(reply.has_delta());
  behind.HandleSyncReply(reply, now);
  CHECK(behind.CurrentBatch().revision() == 3);
  CHECK(behind.NeedsWholeBatch());
  behind.HandleSyncReply(
      peer.HandleSyncRequest(behind.MakeSyncRequest(false), now), now);
  CHECK(behind.CurrentBatch().SerializeAsString() == batch.SerializeAsString());
  CHECK_FALSE(behind.NeedsWholeBatch());
}

// Guards against a node that takes itself for up to date, and asks nobody,
// although it knows of a newer batch than the one it has just got
// (inc33-config).
TEST_CASE("A node stays behind until it has the newest batch that it knows of",
          "[delta]") {
  const TimePoint now;
  Replica peer({.id = "a", .control_address = "a"}, now);
  Replica behind({.id = "b", .control_address = "b"}, now);
  const auto digest = [&] {
    Datagram push;
    push.set_kind(Datagram::PUSH);
    push.set_from("a");
    push.mutable_digest()->set_revision(peer.CurrentBatch().revision());
    return push;
  };
  behind.HandleSyncReply(
      peer.HandleSyncRequest(behind.MakeSyncRequest(true), now), now);
  for (Replica* node : {&peer, &behind}) {
    REQUIRE(node->Offer(BatchOfRoutes(3, 100)) == OfferOutcome::kApplied);
  }
  REQUIRE(peer.Offer(BatchOfRoutes(4, 101)) == OfferOutcome::kApplied);
  REQUIRE(peer.Offer(BatchOfRoutes(5, 102)) == OfferOutcome::kApplied);
  behind.OnDatagram(digest(), now);
  const SyncReply reply =
      peer.HandleSyncRequest(behind.MakeSyncRequest(false), now);
  REQUIRE(reply.has_delta());
  // Another path is faster with the batch between.
  REQUIRE(behind.Offer(BatchOfRoutes(4, 101)) == OfferOutcome::kApplied);
  const TimePoint later = now + milliseconds(700);
  CHECK(behind.IsBehindFor(milliseconds(600), later));
  behind.HandleSyncReply(reply, now);
  CHECK(behind.IsBehindFor(milliseconds(600), later));
  REQUIRE(behind.PeersAhead().size() == 1);
  behind.HandleSyncReply(
      peer.HandleSyncRequest(behind.MakeSyncRequest(false), now), now);
  CHECK(behind.CurrentBatch().revision() == 5);
  CHECK_FALSE(behind.IsBehindFor(milliseconds(0), later));
  CHECK(behind.PeersAhead().empty());
}

// During a rolling update, nodes of both releases synchronise with each other.
TEST_CASE("A requester that does not accept deltas gets the whole batch",
          "[delta]") {
  const TimePoint now;
  Replica peer({.id = "a", .control_address = "a"}, now);
  REQUIRE(peer.Offer(BatchOfRoutes(3, 100)) == OfferOutcome::kApplied);
  REQUIRE(peer.Offer(BatchOfRoutes(4, 101)) == OfferOutcome::kApplied);
  SyncRequest request;
  request.set_have_revision(3);
  const SyncReply reply = peer.HandleSyncRequest(request, now);
  CHECK(reply.batch().revision() == 4);
  CHECK_FALSE(reply.has_delta());
}

TEST_CASE("A replica measures how long it has missed a newer batch") {
  Replica replica({.id = "n", .control_address = "n"}, {});
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  Datagram ping;
  ping.set_kind(Datagram::PING);
  ping.set_from("ahead");
  Rumour* rumour = ping.add_rumours();
  rumour->mutable_member()->set_id("ahead");
  ping.mutable_digest()->set_revision(1);
  replica.OnDatagram(ping, start);
  CHECK_FALSE(replica.IsBehindFor(milliseconds(1), start));
  replica.OnDatagram(ping, start + milliseconds(400));
  CHECK(replica.IsBehindFor(milliseconds(600), start + milliseconds(600)));
  // A member that has left is not synchronised with.
  rumour->mutable_member()->set_status(LEFT);
  rumour->mutable_member()->set_version(1);
  replica.OnDatagram(ping, start + milliseconds(500));
  CHECK_FALSE(replica.PopSyncPeer());
  replica.Offer(
      BuildBatch({}, std::vector<TableRow>{{"a", "v1", 100}}, {}, {}));
  CHECK_FALSE(replica.IsBehindFor(milliseconds(0), start + milliseconds(600)));
}

// Guards against nodes that send a request on although others know that it
// crashes backend servers (incident inc26-crashes).
TEST_CASE("All nodes block a crashing request within 3 s, also after restarts",
          "[crashing-request]") {
  const std::string key = RequestKey({.target = "/crash"});
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Mesh mesh(seed);
    mesh.loss_probability = 0.2;
    mesh.Run(milliseconds(2'000));
    for (uint32_t i = 0; i < kCrashesToBlock; ++i) mesh.Crash(key);
    mesh.Run(milliseconds(3'000));
    REQUIRE(mesh.FractionThatBlocks(key) == 1);
    for (int i = 0; i < Mesh::kNodes; ++i) {
      mesh.Start(i);
      REQUIRE(mesh.FractionThatBlocks(key) == 1);
      mesh.Run(milliseconds(200));
    }
  }
}

TEST_CASE("Crashes that parts of a mesh saw alone count together afterwards",
          "[crashing-request]") {
  const std::string key = RequestKey({.target = "/crash"});
  Mesh mesh(3);
  mesh.Run(milliseconds(2'000));
  mesh.partitioned_zones = {"z0", "z1", "z2"};
  for (int i = 0; i < 12; ++i) mesh.Crash(key);
  mesh.Run(milliseconds(4'000));
  mesh.partitioned_zones.clear();
  mesh.Run(milliseconds(20'000));
  CHECK(mesh.FractionThatBlocks(key) == 1);
}

TEST_CASE("All of 200 nodes block a crashing request within 3 s",
          "[crashing-request]") {
  const std::string key = RequestKey({.target = "/crash"});
  Mesh mesh(5, 200);
  mesh.loss_probability = 0.01;
  mesh.Run(milliseconds(3'000));
  for (uint32_t i = 0; i < kCrashesToBlock; ++i) mesh.Crash(key);
  mesh.Run(milliseconds(3'000));
  CHECK(mesh.FractionThatBlocks(key) == 1);
}

TEST_CASE("A restarted node gets its leaving instances from other members") {
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  Replica peer({.id = "peer", .control_address = "peer"}, now);
  Replica before({.id = "n", .control_address = "n", .started_ms = 5}, now);
  LeavingInstance leaving;
  leaving.set_instance("i1");
  leaving.set_started_ms(7);
  before.AddLeavingInstance(leaving, now);
  peer.HandleSyncRequest(before.MakeSyncRequest(false), now);
  Replica after({.id = "n", .control_address = "n", .started_ms = 6}, now);
  after.HandleSyncReply(
      peer.HandleSyncRequest(after.MakeSyncRequest(true), now), now);
  REQUIRE(after.Self().leaving_size() == 1);
  CHECK(after.Self().leaving(0).instance() == "i1");
}

}  // namespace
}  // namespace kumquatmoor
