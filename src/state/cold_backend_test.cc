#include "kumquatmoor/state/cold_backend.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "kumquatmoor/state/picker.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow = TimePoint() + seconds(100);
const ColdSettings kSettings{.rate = 20, .start = milliseconds(3'000)};

TEST_CASE("A backend server is cold as announced and after its start") {
  ColdPhase phase;
  phase.OnProcess(kNow, milliseconds(0));
  phase.OnReport(kNow, milliseconds(0));
  CHECK(phase.Status(kSettings).until == kNow + seconds(3));
  CHECK_FALSE(phase.Status({}).IsCold(kNow));
  // It may become cold again at any time.
  phase.OnReport(kNow + seconds(9), milliseconds(5'000));
  CHECK(phase.Status(kSettings).until == kNow + seconds(14));
  // Its node has restarted: the process is not a new one.
  phase.OnProcess(kNow, seconds(2));
  phase.OnReport(kNow, milliseconds(0));
  CHECK(phase.Status(kSettings).until == kNow + seconds(1));
}

// Guards against a full load on a process that was replaced unseen, and against
// one that stays cold since a report that was already on its way is ignored.
TEST_CASE("A backend server in unknown state is cold until a later report") {
  ColdPhase phase;
  phase.OnProcess(kNow - seconds(60), milliseconds(0));
  phase.OnReport(kNow, milliseconds(0));
  ColdLimit limit;
  limit.OnStatus(phase.Status(kSettings), kNow);
  CHECK_FALSE(limit.IsCold(kNow));
  const TimePoint lost = kNow + seconds(1);
  CHECK(limit.OnUnknown(lost));
  CHECK_FALSE(limit.OnUnknown(lost + seconds(1)));
  phase.OnUnknown(lost);
  CHECK(phase.Status(kSettings).IsCold(lost + seconds(60)));
  limit.OnStatus(phase.Status(kSettings), lost);
  CHECK(limit.IsCold(lost + seconds(60)));
  phase.OnReport(lost + seconds(2), milliseconds(0));
  // The loss is passed on late: the backend server has reported since.
  phase.OnUnknown(lost);
  limit.OnStatus(phase.Status(kSettings), lost + seconds(2));
  CHECK_FALSE(limit.IsCold(lost + seconds(2)));
}

// Guards against bursts: a cold backend server fails if it gets more than
// 1.5 times its rate, plus 8, in any second.
TEST_CASE("A cold backend server gets its rate and no more, at any demand") {
  const double rate = GENERATE(0.4, 3.0, 20.0, 180.0);
  ColdLimit limit;
  std::vector<TimePoint> sent;
  // Warm and cold again within the time, with 2,000 requests a second.
  for (milliseconds at{0}; at < seconds(20); ++at) {
    const TimePoint now = kNow + at;
    if (at.count() % 5'000 == 0) {
      limit.OnStatus({.rate = rate, .until = now + milliseconds(4'990)}, now);
    }
    for (int i = 0; i < 2; ++i) {
      if (limit.IsCold(now) && limit.Take(now)) sent.push_back(now);
    }
  }
  size_t most = 0;
  for (const TimePoint& begin : sent) {
    most = std::max<size_t>(
        most, std::lower_bound(sent.begin(), sent.end(), begin + seconds(1)) -
                  std::lower_bound(sent.begin(), sent.end(), begin));
  }
  CHECK(most <= rate * 1.5 + 1);
  // Each of the four phases may lose a part of a token.
  CHECK(sent.size() >= rate * 19.9 - 4);
  REQUIRE_FALSE(limit.Take(kNow + milliseconds(19'989)));
  const auto wait = limit.WaitTime(kNow + milliseconds(19'989));
  CHECK(wait > milliseconds(0));
  CHECK(wait <= milliseconds(static_cast<int>(1'000 / rate) + 1));
}

// Guards against callers that offer a cold target what a warm one gets, so that
// most of it is refused, and against ones that avoid it for good.
TEST_CASE("A cold target is chosen in proportion to its rate") {
  ServiceRoutes service{.service = "s"};
  VersionRoutes version{.version = "v1", .read_share = 1, .write_share = 1};
  TargetLoads loads;
  for (int i = 0; i < 4; ++i) {
    const std::string id = std::to_string(i);
    version.targets.push_back({.member_id = id, .zone = "a", .slots = 10});
    loads.OnSent(id, kNow - seconds(60));
    loads.OnDone(id, false, kNow, milliseconds(100));
  }
  const auto picks = [&](double cold_rate, size_t cold) {
    for (size_t i = 0; i < version.targets.size(); ++i) {
      version.targets[i].cold_rate = i < cold ? cold_rate : 0;
    }
    service.versions = {version};
    std::mt19937_64 rng(3);
    std::map<std::string, int> counts;
    for (int i = 0; i < 10'000; ++i) {
      ++counts[PickTarget(service, {.zone = "a"}, loads, kNow, rng)
                   .target->member_id];
    }
    return counts;
  };
  CHECK(loads.UsableShare({.member_id = "0", .slots = 10, .cold_rate = 10},
                          kNow) == Approx(0.1));
  // A quarter of the requests each if all were warm, of which a tenth.
  const auto one = picks(10, 1);
  CHECK(one.at("0") == Approx(250).margin(80));
  CHECK(one.at("1") > 3'000);
  // All are cold: they share the requests.
  auto all = picks(10, 4);
  for (const char* id : {"0", "1", "2", "3"}) {
    INFO(id);
    CHECK(all[id] == Approx(2'500).margin(300));
  }
}

}  // namespace
}  // namespace kumquatmoor
