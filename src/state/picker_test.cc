#include "kumquatmoor/state/picker.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServiceRoutes MakeService() {
  ServiceRoutes service;
  service.service = "s";
  VersionRoutes old_version{
      .version = "v1", .read_share = 0.9, .write_share = 1};
  VersionRoutes new_version{
      .version = "v2", .read_share = 0.1, .write_share = 0};
  for (int i = 0; i < 4; ++i) {
    const std::string id = std::to_string(i);
    const std::string zone = i < 2 ? "a" : "b";
    old_version.targets.push_back(
        {.member_id = "old" + id, .zone = zone, .slots = 10});
    new_version.targets.push_back(
        {.member_id = "new" + id, .zone = zone, .slots = 10});
  }
  service.versions = {old_version, new_version};
  return service;
}

TEST_CASE("Versions are drawn by their separate shares of reads and writes") {
  const ServiceRoutes service = MakeService();
  TargetLoads loads;
  std::mt19937_64 rng(5);
  const TimePoint now = TimePoint() + seconds(100);
  int reads = 0;
  for (int i = 0; i < 10'000; ++i) {
    const Pick read =
        PickTarget(service, {.zone = "a", .idempotent = true}, loads, now, rng);
    if (read.version->version == "v2") ++reads;
    const Pick write = PickTarget(service, {.zone = "a", .idempotent = false},
                                  loads, now, rng);
    REQUIRE(write.version->version == "v1");
  }
  // Four standard deviations of 10,000 draws at 0.1.
  CHECK(reads == Approx(1'000).margin(120));
}

TEST_CASE("Other zones get requests only while the own zone is full") {
  const ServiceRoutes service = MakeService();
  TargetLoads loads;
  std::mt19937_64 rng(6);
  const TimePoint now = TimePoint() + seconds(100);
  for (int i = 0; i < 200; ++i) {
    const Pick pick = PickTarget(service, {.zone = "a"}, loads, now, rng);
    CHECK(pick.target->zone == "a");
  }
  for (const char* id : {"old0", "old1", "new0", "new1"}) {
    loads.OnReport(id, {.in_flight = 10}, now);
  }
  int elsewhere = 0;
  for (int i = 0; i < 200; ++i) {
    const Pick pick = PickTarget(service, {.zone = "a"}, loads, now, rng);
    if (pick.target->zone == "b") ++elsewhere;
  }
  CHECK(elsewhere > 100);
  // Load reports older than max_report_age are ignored.
  const TimePoint later = now + seconds(2);
  CHECK(PickTarget(service, {.zone = "a"}, loads, later, rng).target->zone ==
        "a");
}

TEST_CASE("A target is ejected after repeated failures and returns later") {
  const ServiceRoutes service = MakeService();
  TargetLoads loads;
  std::mt19937_64 rng(7);
  const TimePoint now = TimePoint() + seconds(100);
  for (int i = 0; i < 5; ++i) {
    loads.OnSent("old0", now);
    loads.OnDone("old0", true, now);
  }
  CHECK(loads.IsEjected("old0", now));
  for (int i = 0; i < 200; ++i) {
    const Pick pick = PickTarget(service, {.zone = "a", .idempotent = false},
                                 loads, now, rng);
    CHECK(pick.target->member_id == "old1");
  }
  CHECK_FALSE(loads.IsEjected("old0", now + seconds(2)));
}

TEST_CASE("At most half of the targets are skipped as ejected") {
  const ServiceRoutes service = MakeService();
  TargetLoads loads;
  std::mt19937_64 rng(8);
  const TimePoint now = TimePoint() + seconds(100);
  for (const char* id : {"old0", "old1", "old2"}) loads.OnRefused(id, now);
  std::set<std::string> picked;
  for (int i = 0; i < 400; ++i) {
    picked.insert(
        PickTarget(service, {.zone = "a", .idempotent = false}, loads, now, rng)
            .target->member_id);
  }
  // Three of four targets are ejected, more than half, so none is skipped.
  CHECK(picked.count("old0") == 1);
}

TEST_CASE("Targets of a packed version are filled one after another") {
  ServiceRoutes service = MakeService();
  service.versions.erase(service.versions.begin());
  service.versions.front().read_share = 1;
  service.versions.front().packed = true;
  TargetLoads loads;
  std::mt19937_64 rng(8);
  TimePoint now = TimePoint() + seconds(100);
  loads.OnReport("new0", {.in_flight = 0}, now);
  std::map<std::string, int> sent;
  const auto send = [&](int requests) {
    for (int i = 0; i < requests; ++i) {
      const Pick pick = PickTarget(service, {.zone = "a"}, loads, now, rng);
      loads.OnSent(pick.target->member_id, now);
      ++sent[pick.target->member_id];
    }
  };
  send(1);  // Begins slow start.
  CHECK(sent == std::map<std::string, int>{{"new0", 1}});
  now += seconds(10);  // Past slow start.
  // 8 requests in 10 slots is the first load that is not below packed_load.
  send(7);
  CHECK(sent == std::map<std::string, int>{{"new0", 8}});
  send(3);
  CHECK(sent == std::map<std::string, int>{{"new0", 8}, {"new1", 3}});
}

TEST_CASE("Targets that were tried are skipped") {
  const ServiceRoutes service = MakeService();
  TargetLoads loads;
  std::mt19937_64 rng(9);
  std::set<std::string> tried;
  const PickOptions options{.zone = "a", .idempotent = false, .tried = &tried};
  for (int i = 0; i < 4; ++i) {
    const Pick pick = PickTarget(service, options, loads, {}, rng);
    REQUIRE(pick.target != nullptr);
    CHECK(tried.insert(pick.target->member_id).second);
  }
  // The share of writes of the canary version is 0, so its targets get none.
  const Pick none = PickTarget(service, options, loads, {}, rng);
  CHECK(none.target == nullptr);
  CHECK(none.reason == "no live target");
}

TEST_CASE("A token bucket enforces its rate") {
  TokenBucket bucket({.rate = 50, .burst = 5});
  TimePoint now = TimePoint() + seconds(1);
  int taken = 0;
  for (int i = 0; i < 10'000; ++i, now += milliseconds(1)) {
    if (bucket.Take(now)) ++taken;
  }
  CHECK(taken == Approx(500).margin(6));
}

TEST_CASE(
    "A target that refused as full is skipped despite a report of no load") {
  const ServiceRoutes service = MakeService();
  TargetLoads loads;
  std::mt19937_64 rng(9);
  const TimePoint now = TimePoint() + seconds(100);
  const auto picks_of = [&](const std::string& id, TimePoint at) {
    int count = 0;
    for (int i = 0; i < 200; ++i) {
      const Pick pick = PickTarget(service, {.zone = "a", .idempotent = false},
                                   loads, at, rng);
      REQUIRE(pick.target != nullptr);
      if (pick.target->member_id == id) ++count;
    }
    return count;
  };
  loads.OnFull("old0", now);
  loads.OnReport("old0", {.in_flight = 0}, now);  // A wrong report.
  CHECK(picks_of("old0", now) == 0);
  CHECK(picks_of("old1", now) == 200);
  CHECK(picks_of("old0", now + milliseconds(30)) > 0);
  // If the own zone is full, other zones get the requests. If all targets are
  // full, none is skipped.
  loads.OnFull("old0", now);
  loads.OnFull("old1", now);
  CHECK(picks_of("old0", now) + picks_of("old1", now) == 0);
  loads.OnFull("old2", now);
  loads.OnFull("old3", now);
  CHECK(picks_of("old0", now) + picks_of("old1", now) > 0);
}

// Sends 1,000 writes from a caller in zone b and counts the picks by target.
std::map<std::string, int> CountPicks(const TargetLoads& loads, TimePoint now,
                                      std::string_view route = "",
                                      bool bulk = false) {
  const ServiceRoutes service = MakeService();
  std::mt19937_64 rng(11);
  std::map<std::string, int> picks;
  for (int i = 0; i < 1'000; ++i) {
    const PickOptions options{
        .zone = "b", .idempotent = false, .route = route, .bulk = bulk};
    ++picks[PickTarget(service, options, loads, now, rng).target->member_id];
  }
  return picks;
}

TEST_CASE("All unreachable targets are skipped while any target is reachable") {
  TargetLoads loads;
  const TimePoint now = TimePoint() + seconds(100);
  for (const char* id : {"old0", "old2", "old3"}) loads.OnUnreachable(id, now);
  CHECK(CountPicks(loads, now)["old1"] == 1'000);
  // The time doubles with the second failure; the target returns after it.
  loads.OnUnreachable("old2", now);
  const TimePoint later = now + milliseconds(600);
  CHECK(CountPicks(loads, later)["old2"] == 0);
  CHECK(CountPicks(loads, later)["old3"] == 1'000);
  CHECK(CountPicks(loads, now + milliseconds(1'001))["old2"] > 300);
  // One request probes it, and the others skip it meanwhile.
  loads.OnSent("old2", now + milliseconds(1'001));
  CHECK(CountPicks(loads, now + milliseconds(1'100))["old2"] == 0);
  loads.OnDone("old2", false, now + milliseconds(1'200));
  CHECK(CountPicks(loads, now + milliseconds(1'600))["old2"] > 300);
  // If all targets are unreachable, none is skipped.
  for (const char* id : {"old0", "old1", "old2", "old3"}) {
    loads.OnUnreachable(id, now);
  }
  CHECK(CountPicks(loads, now).size() == 2);
}

// Guards against a gray failure: a target that fails half of its requests but
// passes health checks. It is found by passive outlier detection against the
// mean of the other targets.
TEST_CASE("A target that fails far more often than the others is an outlier") {
  TargetLoads loads;
  const TimePoint now = TimePoint() + seconds(100);
  for (int i = 0; i < 60; ++i) {
    for (const char* id : {"old0", "old1", "old2", "old3"}) {
      loads.OnSent(id, now);
      loads.OnDone(id, std::string(id) == "old2" && i % 2 == 0, now);
    }
  }
  CHECK(CountPicks(loads, now)["old2"] == 0);
  // It gets requests again after two half-lives of the failure rate.
  CHECK(CountPicks(loads, now + seconds(4))["old2"] > 300);
  // A fault that all targets share makes none of them an outlier.
  TargetLoads all;
  for (int i = 0; i < 60; ++i) {
    for (const char* id : {"old0", "old1", "old2", "old3"}) {
      all.OnSent(id, now);
      all.OnDone(id, i % 2 == 0, now);
    }
  }
  CHECK(CountPicks(all, now)["old2"] > 300);
}

// Targets of one service that differ in speed by a factor of 4.
TEST_CASE("Slower targets get fewer requests") {
  TargetLoads loads;
  const TimePoint now = TimePoint() + seconds(100);
  for (int i = 0; i < 30; ++i) {
    loads.OnSent("old2", now);
    loads.OnDone("old2", false, now, milliseconds(400));
    loads.OnSent("old3", now);
    loads.OnDone("old3", false, now, milliseconds(100));
  }
  const auto picks = CountPicks(loads, now);
  // The slow target is chosen only if all four draws give it.
  CHECK(picks.at("old2") < 120);
  // The fast target would serve a request sooner as long as a slot is free.
  loads.OnReport("old3", {.in_flight = 9}, now);
  CHECK(CountPicks(loads, now)["old2"] < 120);
  loads.OnReport("old3", {.in_flight = 40}, now);
  CHECK(CountPicks(loads, now)["old2"] > 600);
}

// Guards against slow targets that many callers choose as often as fast ones:
// each caller alone sees too few requests of a target to know its speed.
TEST_CASE("One report of run times is enough to avoid a slow target") {
  TargetLoads loads;
  const TimePoint now = TimePoint() + seconds(100);
  // The last request to each target took the same time by chance.
  for (const char* id : {"old2", "old3"}) {
    loads.OnSent(id, now);
    loads.OnDone(id, false, now, milliseconds(200));
  }
  loads.OnReport("old2", {.route = "r", .run_time = milliseconds(400)}, now);
  loads.OnReport("old3", {.route = "r", .run_time = milliseconds(100)}, now);
  CHECK(CountPicks(loads, now, "r")["old2"] < 120);
  // Nothing is known of other routes.
  CHECK(CountPicks(loads, now, "other")["old2"] > 300);
}

// Guards against downloads from a host whose link is full.
// One zone with twelve targets. Requests are picked one after another, run
// alone and report the run time of their target.
class TargetsOfUnequalSpeed {
 public:
  TargetsOfUnequalSpeed() {
    m_service.service = "s";
    m_service.versions = {{.version = "v1", .read_share = 1, .write_share = 1}};
    for (int i = 0; i < 12; ++i) {
      m_service.versions[0].targets.push_back(
          {.member_id = std::to_string(i), .zone = "a", .slots = 10});
    }
  }

  // Sends a request each 50 ms and returns how many went to the first target,
  // whose run time is `first`.
  int CountAtFirst(seconds time, milliseconds first) {
    int count = 0;
    const TimePoint end = m_now + time;
    while (m_now < end) {
      m_now += milliseconds(10);
      const Pick pick = PickTarget(m_service, {.zone = "a", .route = "r"},
                                   m_loads, m_now, m_rng);
      const std::string& id = pick.target->member_id;
      const bool is_first = id == "0";
      if (is_first) ++count;
      m_loads.OnSent(id, m_now);
      m_loads.OnDone(id, false, m_now, kRunTime);
      m_loads.OnReport(
          id, {.route = "r", .run_time = is_first ? first : kRunTime}, m_now);
    }
    return count;
  }

 private:
  static constexpr milliseconds kRunTime{100};

  ServiceRoutes m_service;
  TargetLoads m_loads;
  std::mt19937_64 m_rng{3};
  TimePoint m_now = TimePoint() + seconds(100);
};

// Guards against targets that are given up: no request goes to a target that
// was slow, so that no response says that it is fast again.
TEST_CASE("A target that was slow for a while gets requests again") {
  TargetsOfUnequalSpeed targets;
  targets.CountAtFirst(seconds(5), milliseconds(1'000));
  // The target is as fast as the others again.
  targets.CountAtFirst(seconds(20), milliseconds(100));
  // A fair share is 17.
  CHECK(targets.CountAtFirst(seconds(10), milliseconds(100)) >= 8);
}

TEST_CASE("A target that is hardly slower than the others is in use") {
  TargetsOfUnequalSpeed targets;
  // A fair share is 33.
  CHECK(targets.CountAtFirst(seconds(20), milliseconds(105)) >= 10);
}

TEST_CASE("A slow target is probed seldom") {
  TargetsOfUnequalSpeed targets;
  targets.CountAtFirst(seconds(5), milliseconds(1'000));
  // A fair share is 33.
  CHECK(targets.CountAtFirst(seconds(20), milliseconds(1'000)) <= 8);
}

TEST_CASE("Large responses are requested where the link is free") {
  TargetLoads loads;
  const TimePoint now = TimePoint() + seconds(100);
  loads.OnReport("old2", {.link_wait = milliseconds(400)}, now);
  loads.OnReport("old3", {.link_wait = milliseconds(10)}, now);
  CHECK(CountPicks(loads, now, "", true)["old2"] < 120);
  // It does not matter for small responses, which go first.
  CHECK(CountPicks(loads, now)["old2"] > 300);
  // The link has sent its responses since.
  CHECK(CountPicks(loads, now + milliseconds(500), "", true)["old2"] > 300);
  // The own zone is skipped while all its links are full.
  loads.OnReport("old3", {.link_wait = milliseconds(400)}, now);
  const auto picks = CountPicks(loads, now, "", true);
  CHECK(picks.at("old2") + picks.at("old3") < 200);
}

}  // namespace
}  // namespace kumquatmoor
