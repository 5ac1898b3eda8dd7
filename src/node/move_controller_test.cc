#include "kumquatmoor/node/move_controller.h"

#include <catch2/catch.hpp>
#include <set>

#include "kumquatmoor/node/backend_registry.h"
#include "kumquatmoor/node/status.h"
#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

using std::chrono::seconds;

const TimePoint kNow = TimePoint() + seconds(100);

TEST_CASE("Losing a selected member replaces only that member") {
  std::vector<std::string> ids;
  for (int i = 0; i < 50; ++i) ids.push_back("n" + std::to_string(i));
  std::set<std::string> selected;
  for (int s = 0; s < 100; ++s) {
    const std::string subject = "s" + std::to_string(s);
    const auto top = RendezvousTop(ids, subject, 2);
    REQUIRE(top.size() == 2);
    selected.insert(top[0]);
    std::vector<std::string> remaining = ids;
    std::erase(remaining, top[0]);
    CHECK(RendezvousTop(remaining, subject, 1).front() == top[1]);
  }
  // The selections are spread over the members.
  CHECK(selected.size() > 30);
  CHECK(RendezvousTop({}, "s", 2).empty());
}

// A mesh of one node, which is the only analyzer of a move from v1 to v2.
class SingleNodeFixture {
 public:
  SingleNodeFixture()
      : m_replica({.id = "n", .zone = "z", .control_address = "n"}, kNow) {
    const Batch first =
        BuildBatch({}, std::vector<TableRow>{{"s", "v1", 100}}, {}, {});
    m_replica.Offer(BuildBatch(
        first, std::vector<TableRow>{{"s", "v1", 0}, {"s", "v2", 100}}, {},
        {}));
    Endpoint endpoint;
    endpoint.set_service("s");
    endpoint.set_version("v2");
    endpoint.set_slots(10);
    m_move_controller.SetBackendSlots("s", "v1", 10);
    m_move_controller.SetBackendSlots("s", "v2", 10);
    m_replica.SetEndpoints(std::vector<Endpoint>{endpoint}, kNow);
  }

  void AddOutcomes(const std::string& version, int count, bool error) {
    for (int i = 0; i < count; ++i) {
      m_move_controller.OnOutcome({.service = "s",
                                   .version = version,
                                   .route = "GET /x",
                                   .error = error,
                                   .latency_ms = 5});
    }
  }

  void AdvanceOneSecond() {
    m_time.now += seconds(1);
    m_time.unix_ms += 1'000;
    for (const auto& report :
         m_move_controller.TakeReports(m_replica, m_time.now)) {
      m_move_controller.OnOutcomeCounts("n", 1, report.counts);
    }
    for (const auto& mark : m_move_controller.Analyze(m_replica, m_time)) {
      m_replica.JoinMark(mark);
    }
  }

  ServiceStatus Status() const {
    return MakeServiceStatus(*FindService(m_replica.CurrentBatch(), "s"),
                             m_replica, m_move_controller, m_time.unix_ms);
  }

  Replica m_replica;
  MoveController m_move_controller{{.id = "n", .zone = "z"}};
  ClockReading m_time{.now = kNow, .unix_ms = 1'000'000};
};

TEST_CASE("A move without failures ends with the outcome done") {
  SingleNodeFixture f;
  f.AdvanceOneSecond();
  CHECK(f.Status().outcome() == "moving");
  for (int i = 0; i < 200 && f.Status().outcome() != "done"; ++i) {
    f.AddOutcomes("v1", 50, false);
    f.AddOutcomes("v2", 50, false);
    f.AdvanceOneSecond();
  }
  CHECK(f.Status().outcome() == "done");
}

// Guards against counters that survive the end of a move: they would recall the
// version again as soon as a second move to it starts.
TEST_CASE("Outcomes of an earlier move do not affect the next move") {
  SingleNodeFixture f;
  f.AdvanceOneSecond();
  f.AddOutcomes("v1", 100, false);
  f.AddOutcomes("v2", 100, true);
  for (int i = 0; i < 4; ++i) f.AdvanceOneSecond();
  REQUIRE(f.Status().outcome() == "taken back");
  CHECK_THAT(f.Status().reason(), Catch::Contains("GET /x: 100 of 100"));
  // A second move to the same version.
  const Batch second_move =
      BuildBatch(f.m_replica.CurrentBatch(),
                 std::vector<TableRow>{{"s", "v1", 0}, {"s", "v2", 100, 7}},
                 f.m_replica.Marks(), {});
  f.m_replica.Offer(second_move);
  for (int i = 0; i < 6; ++i) {
    f.AddOutcomes("v1", 50, false);
    f.AddOutcomes("v2", 50, false);
    f.AdvanceOneSecond();
  }
  CHECK(f.Status().outcome() == "moving");
}

TEST_CASE("An operator can recall only a version that gains traffic") {
  SingleNodeFixture f;
  RecallRequest request;
  request.set_service("s");
  request.set_version("v1");
  const Batch& batch = f.m_replica.CurrentBatch();
  CHECK_FALSE(MakeRecallMark(request, batch, 1).problem.empty());
  request.set_service("t");
  CHECK(MakeRecallMark(request, batch, 1).problem ==
        "the table has no service t");
  request.set_service("s");
  request.set_version("v2");
  const RecallMark recall = MakeRecallMark(request, batch, 1);
  CHECK(recall.problem.empty());
  CHECK(f.m_replica.JoinMark(recall.mark));
  CHECK(f.Status().outcome() == "taken back");
}

TEST_CASE("Announcements are validated, renewed and expire") {
  const std::string valid =
      R"({"service":"s","version":"v","address":"127.0.0.1:1","slots":3})";
  auto parsed = Attempt([&] { return ParseAnnouncement(valid); });
  REQUIRE(std::holds_alternative<Announcement>(parsed));
  Announcement announcement = std::get<Announcement>(parsed);
  BackendRegistry registry;
  CHECK(registry.Announce(announcement, kNow) == AnnounceOutcome::kChanged);
  CHECK(registry.Announce(announcement, kNow + seconds(2)) ==
        AnnounceOutcome::kRenewed);
  CHECK_FALSE(registry.Expire(kNow + seconds(4)));
  announcement.draining = true;
  CHECK(registry.Announce(announcement, kNow + seconds(4)) ==
        AnnounceOutcome::kChanged);
  CHECK(registry.Backends()[0].announced == kNow);
  CHECK(registry.Expire(kNow + seconds(8)));
  CHECK(registry.Endpoints().empty());
  for (const char* invalid :
       {"", "[]", "{}", R"({"service":"s","version":"v","address":"x"})",
        R"({"service":"s","version":"v","address":"127.0.0.1:1","slots":0})",
        R"({"service":"s","version":"v","address":"127.0.0.1:1","slot":1})"}) {
    INFO(invalid);
    auto refused = Attempt([&] { return ParseAnnouncement(invalid); });
    CHECK(std::holds_alternative<Failure>(refused));
  }
}

TEST_CASE("Announcements are ordered by start and sequence") {
  const auto make = [](const char* instance, int64_t started_ms,
                       uint64_t sequence, bool draining = false) {
    return Announcement{.instance = instance,
                        .started_ms = started_ms,
                        .sequence = sequence,
                        .service = "s",
                        .version = "v",
                        .address = "127.0.0.1:1",
                        .draining = draining,
                        .ttl = seconds(6)};
  };
  BackendRegistry registry;
  registry.Announce(make("i1", 10, 4, true), kNow);
  CHECK(registry.Announce(make("i1", 10, 3), kNow) == AnnounceOutcome::kStale);
  CHECK(registry.Backends()[0].draining);
  // A later process at the same address is announced; then a delayed
  // announcement of the earlier process arrives.
  registry.Announce(make("i2", 20, 1), kNow);
  CHECK(registry.Announce(make("i1", 10, 9), kNow) == AnnounceOutcome::kStale);
  CHECK_FALSE(registry.Deregister({.instance = "i1"}));
  CHECK_FALSE(registry.Deregister({.instance = "i2", .started_ms = 5}));
  CHECK_FALSE(registry.Backends()[0].draining);
  CHECK(registry.Deregister({.instance = "i2"}));
  CHECK(registry.Backends()[0].draining);
  registry.Announce(make("i2", 20, 2), kNow);
  CHECK(registry.Backends()[0].draining);
  // A new process with the same instance id.
  registry.Announce(make("i2", 30, 1), kNow);
  CHECK_FALSE(registry.Backends()[0].draining);
}

TEST_CASE("A delayed announcement of a leaving process stays draining") {
  // The node has just restarted and receives the leave notice first.
  BackendRegistry registry;
  const Announcement delayed{.instance = "i1",
                             .started_ms = 10,
                             .sequence = 3,
                             .service = "s",
                             .version = "v",
                             .address = "127.0.0.1:1",
                             .ttl = seconds(6)};
  CHECK_FALSE(registry.NoteLeaving("i1", 10));
  registry.Announce(delayed, kNow);
  CHECK(registry.Backends()[0].draining);
  // Here the announcement arrives before the leave notice.
  BackendRegistry late_notice;
  late_notice.Announce(delayed, kNow);
  CHECK_FALSE(late_notice.Backends()[0].draining);
  CHECK(late_notice.NoteLeaving("i1", 10));
  CHECK(late_notice.Backends()[0].draining);
}

}  // namespace
}  // namespace kumquatmoor
