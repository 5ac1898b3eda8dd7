// A seeded tester: replicas exchange datagrams over a network that loses,
// delays and repeats them, while batches are offered, marks set, zones cut and
// nodes restarted. The oracle is simple: revisions only rise, routes resolve,
// and once the faults end all nodes hold the same.

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

uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

class Mesh {
 public:
  static constexpr int kNodes = 9;
  static constexpr milliseconds kStep{50};

  explicit Mesh(uint64_t seed, int nodes = kNodes) : m_rng(seed) {
    for (int i = 0; i < nodes; ++i) Start(i);
  }

  // The faults of the network, all off by default.
  double loss = 0;
  double repeat = 0;
  std::set<std::string> cut_zones;
  bool platform_down = false;

  void Start(int i) {
    ReplicaOptions options;
    options.id = Id(i);
    options.zone = ZoneOf(i);
    options.control_address = Id(i);
    options.started_ms = ++m_starts;
    options.seed = m_rng();
    m_nodes[Id(i)] = std::make_unique<Replica>(options, m_now);
    m_revisions[Id(i)] = 0;
    m_tables.erase(Id(i));
    Join(Id(i));
  }

  void Step() {
    m_now += kStep;
    ReadPlatform();
    while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
      const auto [to, datagram] = m_queue.begin()->second;
      m_queue.erase(m_queue.begin());
      if (m_nodes.count(to) == 0) continue;
      Send(to, m_nodes.at(to)->OnDatagram(datagram, m_now));
    }
    for (auto& [id, node] : m_nodes) {
      Send(id, node->Tick(m_now));
      if (const auto peer = node->PopSyncPeer()) Sync(id, peer->id);
    }
    CheckAlways();
  }

  void Run(milliseconds time) {
    for (const auto end = m_now + time; m_now < end;) Step();
  }

  // A batch after the latest one, offered to one node.
  void OfferNext() {
    if (platform_down) return;  // Nothing can be accepted.
    std::vector<TableRow> rows;
    const auto weight = static_cast<uint32_t>(m_rng() % 101);
    rows.push_back({"s0", "v0", weight});
    rows.push_back({"s0", "v1", kFullWeight - weight});
    rows.push_back({"s1", "v" + std::to_string(m_rng() % 3), kFullWeight});
    m_latest = BuildBatch(m_latest, rows, {}, {});
    m_batches.push_back(m_latest);
    Random().Offer(m_latest);
  }

  // A stale answer of the platform: an old batch comes again.
  void OfferOld() {
    if (!m_batches.empty()) {
      Random().Offer(m_batches[m_rng() % m_batches.size()]);
    }
  }

  void Recall() {
    if (m_latest.services_size() == 0) return;
    Replica& node = Random();
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
    Random().SetEndpoints(std::vector<Endpoint>{endpoint}, m_now);
  }

  void Restart() { Start(static_cast<int>(m_rng() % kNodes)); }
  // Ends one node without a word.
  void Kill(int i) { m_nodes.erase(Id(i)); }

  // What must hold once the faults are over and time has passed.
  void CheckEqual() {
    const Replica& first = *m_nodes.begin()->second;
    for (const auto& [id, node] : m_nodes) {
      INFO(id);
      REQUIRE(node->CurrentBatch().revision() == m_latest.revision());
      REQUIRE(BatchDigest(node->CurrentBatch()) == BatchDigest(m_latest));
      REQUIRE(node->Marks().Hash() == first.Marks().Hash());
      REQUIRE(node->Members().Hash() == first.Members().Hash());
      REQUIRE(node->LiveMembers().size() == m_nodes.size());
    }
    for (const auto& [service, revision] : m_recalls) {
      const auto* config = FindService(m_latest, service);
      if (config == nullptr || config->move_revision() != revision) continue;
      REQUIRE(first.Marks().IsRecalled(service, revision));
    }
  }

  TimePoint Now() const { return m_now; }
  std::mt19937_64& Rng() { return m_rng; }
  const Replica& Node(int i) const { return *m_nodes.at(Id(i)); }
  // Part of the nodes that hold the latest batch.
  double PartInForce() const {
    const auto current = [&](const auto& item) {
      return item.second->CurrentBatch().revision() == m_latest.revision();
    };
    const auto count = std::count_if(m_nodes.begin(), m_nodes.end(), current);
    return static_cast<double>(count) / static_cast<double>(m_nodes.size());
  }
  uint64_t DatagramsSent() const { return m_sent; }
  static std::string Id(int i) { return "n" + std::to_string(i); }
  static std::string ZoneOf(int i) { return "z" + std::to_string(i % 3); }

 private:
  Replica& Random() {
    auto it = m_nodes.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(m_rng() % m_nodes.size()));
    return *it->second;
  }

  bool Passes(const std::string& from, const std::string& to) const {
    const std::string a = m_nodes.at(from)->Self().zone();
    const std::string b = m_nodes.at(to)->Self().zone();
    return a == b || (cut_zones.count(a) == 0 && cut_zones.count(b) == 0);
  }

  void Send(const std::string& from, const std::vector<OutgoingDatagram>& out) {
    std::uniform_real_distribution<double> chance(0, 1);
    for (const auto& outgoing : out) {
      ++m_sent;
      REQUIRE(outgoing.datagram.ByteSizeLong() <= 1'400);
      const std::string& to = outgoing.address;
      if (m_nodes.count(to) == 0 || !Passes(from, to)) continue;
      if (chance(m_rng) < loss) continue;
      const int copies = chance(m_rng) < repeat ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        const milliseconds delay(1 + m_rng() % 120);
        m_queue.emplace(m_now + delay, std::pair(to, outgoing.datagram));
      }
    }
  }

  bool Sync(const std::string& from, const std::string& to) {
    if (m_nodes.count(to) == 0 || !Passes(from, to)) return false;
    Replica& node = *m_nodes.at(from);
    Replica& peer = *m_nodes.at(to);
    const SyncRequest request = node.MakeSyncRequest(false);
    const auto offer =
        node.HandleSyncReply(peer.HandleSyncRequest(request, m_now), m_now);
    if (offer) peer.HandleSyncRequest(*offer, m_now);
    return true;
  }

  // As Gateway: now and then a node offers what the platform holds. A batch
  // that only one node heard of would be lost with that node.
  void ReadPlatform() {
    if (m_now < m_next_read) return;
    m_next_read = m_now + milliseconds(1'000);
    if (!platform_down) Random().Offer(m_latest);
  }

  // As SyncWorker: several members, before the node takes part.
  void Join(const std::string& id) {
    int heard = 0;
    for (int i = 0; i < kNodes && heard < 3; ++i) {
      if (Id(i) != id && Sync(id, Id(i))) ++heard;
    }
    m_revisions[id] = m_nodes.at(id)->CurrentBatch().revision();
  }

  // Looks at every node of a small mesh, at one after another of a large one.
  void CheckAlways() {
    const size_t stride = std::max<size_t>(1, m_nodes.size() / kNodes);
    size_t turn = ++m_steps;
    for (const auto& [id, node] : m_nodes) {
      if (turn++ % stride != 0) continue;
      const Batch& batch = node->CurrentBatch();
      REQUIRE(batch.revision() >= m_revisions[id]);
      m_revisions[id] = batch.revision();
      if (batch.revision() > 0) REQUIRE(CheckBatch(batch).empty());
      const auto live = node->LiveMembers();
      const auto table = BuildRoutes(batch, node->Marks(), live, "z0");
      CheckUpdatedRoutes(id, *table);
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

  // Routes that are updated service by service are those that are built anew.
  void CheckUpdatedRoutes(const std::string& id, const RouteTable& built) {
    Replica& node = *m_nodes.at(id);
    auto& updated = m_tables[id];
    if (updated == nullptr) {
      node.PopChangedServices();
      updated = std::make_shared<const RouteTable>(built);
      return;
    }
    updated = UpdateRoutes(*updated, node.CurrentBatch(), node.Marks(),
                           node.PopChangedServices(),
                           [&](const std::string& service) {
                             return node.RoutableMembersOf(service, {});
                           });
    REQUIRE(TextOf(*updated) == TextOf(built));
  }

  static std::string TextOf(const RouteTable& table) {
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

  std::mt19937_64 m_rng;
  TimePoint m_now = TimePoint() + std::chrono::hours(1);
  TimePoint m_next_read;
  int64_t m_starts = 0;
  uint64_t m_sent = 0;
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
  switch (mesh->Rng()() % 13) {
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
      mesh->cut_zones = {Mesh::ZoneOf(static_cast<int>(mesh->Rng()() % 3))};
      break;
    case 9:
      mesh->cut_zones.clear();
      break;
    case 10:
      mesh->loss = static_cast<double>(mesh->Rng()() % 4) * 0.1;
      break;
    case 11:
      mesh->platform_down = !mesh->platform_down;
      break;
    default:
      mesh->repeat = static_cast<double>(mesh->Rng()() % 4) * 0.1;
  }
}

TEST_CASE("Replicas end equal after any faults", "[fuzz]") {
  const uint64_t first = FromEnvironment("SEED", 1);
  const uint64_t seeds = FromEnvironment("SEEDS", 40);
  const uint64_t steps = FromEnvironment("STEPS", 40);
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    INFO("SEED=" << seed << " STEPS=" << steps);
    Mesh mesh(seed);
    mesh.Run(milliseconds(2'000));
    mesh.OfferNext();
    for (uint64_t i = 0; i < steps; ++i) {
      RandomOperation(&mesh);
      mesh.Run(milliseconds(mesh.Rng()() % 1'500));
    }
    mesh.cut_zones.clear();
    mesh.platform_down = false;
    mesh.loss = 0;
    mesh.repeat = 0;
    mesh.Run(milliseconds(40'000));
    mesh.CheckEqual();
  }
}

TEST_CASE("A batch reaches every node within seconds, also with loss") {
  Mesh mesh(100);
  mesh.Run(milliseconds(3'000));
  for (double loss : {0.0, 0.05, 0.3}) {
    INFO(loss);
    mesh.loss = loss;
    mesh.OfferNext();
    mesh.Run(milliseconds(4'000));
    for (int i = 1; i < Mesh::kNodes; ++i) {
      CHECK(mesh.Node(i).CurrentBatch().revision() ==
            mesh.Node(0).CurrentBatch().revision());
    }
  }
}

// The stated target: within 3 s on 99 of 100 nodes of 200, with 5% of them dead
// and 5% of the datagrams lost.
TEST_CASE("A batch reaches 200 nodes in time, some dead") {
  constexpr int kLarge = 200;
  Mesh mesh(103, kLarge);
  mesh.Run(milliseconds(5'000));
  mesh.loss = 0.05;
  for (int i = 0; i < kLarge; i += 20) mesh.Kill(i);
  for (int change = 0; change < 5; ++change) {
    INFO("change " << change);
    mesh.OfferNext();
    mesh.Run(milliseconds(3'000));
    CHECK(mesh.PartInForce() >= 0.99);
  }
}

TEST_CASE("Nobody routes to the live members of an unreachable zone") {
  Replica replica({.id = "n", .zone = "here", .control_address = "n"}, {});
  Datagram news;
  news.set_kind(Datagram::PUSH);
  news.set_from("a");
  for (const char* id : {"a", "b", "c", "d"}) {
    MemberRecord* member = news.add_rumours()->mutable_member();
    member->set_id(id);
    member->set_zone("there");
    member->add_endpoints()->set_service("s");
  }
  for (int lost : {0, 1}) {
    news.mutable_rumours(lost)->mutable_member()->set_status(SUSPECT);
  }
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  replica.OnDatagram(news, now);
  REQUIRE(replica.LiveMembers().size() == 3);
  const auto unreachable = replica.UnreachableZones(now);
  CHECK(unreachable == std::set<std::string>{"there"});
  CHECK(replica.RoutableMembers(now).size() == 1);
  CHECK(replica.RoutableMembersOf("s", unreachable).empty());
}

TEST_CASE("A dead node is found, a paused one refutes") {
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

TEST_CASE("A zone that is cut off is unreachable and returns") {
  const uint64_t seed = GENERATE(range(102, 122));
  INFO(seed);
  Mesh mesh(seed);
  mesh.Run(milliseconds(3'000));
  mesh.cut_zones = {"z1"};
  mesh.Run(milliseconds(25'000));
  CHECK(mesh.Node(0).UnreachableZones(mesh.Now()) ==
        std::set<std::string>{"z1"});
  CHECK(mesh.Node(0).RoutableMembers(mesh.Now()).size() == 6);
  // The zone itself goes on with what it has.
  CHECK(mesh.Node(1).RoutableMembers(mesh.Now()).size() == 3);
  mesh.cut_zones.clear();
  mesh.Run(milliseconds(20'000));
  for (int i = 0; i < Mesh::kNodes; ++i) {
    CHECK(mesh.Node(i).LiveMembers().size() == Mesh::kNodes);
  }
}

TEST_CASE("A batch of the same revision with other contents is refused") {
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

TEST_CASE("A replica knows for how long others have held a newer batch") {
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
  // A member that is gone is not asked for what it holds.
  rumour->mutable_member()->set_status(LEFT);
  rumour->mutable_member()->set_version(1);
  replica.OnDatagram(ping, start + milliseconds(500));
  CHECK_FALSE(replica.PopSyncPeer());
  replica.Offer(
      BuildBatch({}, std::vector<TableRow>{{"a", "v1", 100}}, {}, {}));
  CHECK_FALSE(replica.IsBehindFor(milliseconds(0), start + milliseconds(600)));
}

TEST_CASE("A node that restarts hears which backend servers were leaving") {
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  Replica peer({.id = "peer", .control_address = "peer"}, now);
  Replica before({.id = "n", .control_address = "n", .started_ms = 5}, now);
  LeavingInstance leaving;
  leaving.set_instance("i1");
  leaving.set_started_ms(7);
  before.NoteLeaving(leaving, now);
  peer.HandleSyncRequest(before.MakeSyncRequest(false), now);
  Replica after({.id = "n", .control_address = "n", .started_ms = 6}, now);
  after.HandleSyncReply(
      peer.HandleSyncRequest(after.MakeSyncRequest(true), now), now);
  REQUIRE(after.Self().leaving_size() == 1);
  CHECK(after.Self().leaving(0).instance() == "i1");
}

}  // namespace
}  // namespace kumquatmoor
