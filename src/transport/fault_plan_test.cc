#include "kumquatmoor/transport/fault_plan.h"

#include <catch2/catch.hpp>

#include "kumquatmoor/transport/bounded_ring.h"
#include "kumquatmoor/transport/endpoint_address.h"

namespace kumquatmoor {
namespace {

TEST_CASE("FaultPlan applies the rules that match by zone and address") {
  FaultPlan plan;
  CHECK_FALSE(plan.IsCut("127.0.0.1:1", "a"));
  plan.Replace({{.kind = FaultKind::kCut, .zone = "b"},
                {.kind = FaultKind::kCut, .address = "127.0.0.9"},
                {.kind = FaultKind::kDelay,
                 .address = "127.0.0.1:2",
                 .delay = std::chrono::milliseconds(7)}});
  CHECK_FALSE(plan.IsCut("127.0.0.1:1", "a"));
  CHECK(plan.IsCut("127.0.0.1:1", "b"));
  CHECK(plan.IsCut("127.0.0.9:3", "a"));
  CHECK(plan.Delay("127.0.0.1:2", "a").count() == 7);
  CHECK(plan.Delay("127.0.0.1:3", "a").count() == 0);
  plan.Replace({});
  CHECK_FALSE(plan.IsCut("127.0.0.1:1", "b"));
}

TEST_CASE("ParseFaultRules reads valid rules and rejects invalid ones") {
  auto valid = Attempt([] {
    return ParseFaultRules(R"([{"kind":"cut","zone":"b"},
                               {"kind":"delay","delay_ms":5}])");
  });
  CHECK(std::get<std::vector<FaultRule>>(valid).size() == 2);
  for (const char* invalid : {"", "{}", R"([{"kind":"burn"}])", R"([{}])",
                              R"([{"kind":"cut","zome":"b"}])"}) {
    INFO(invalid);
    auto refused = Attempt([&] { return ParseFaultRules(invalid); });
    CHECK(std::holds_alternative<Failure>(refused));
  }
}

TEST_CASE("BoundedRing refuses items while full and keeps their order") {
  BoundedRing<int> ring(2);
  CHECK(ring.TryPush(1));
  CHECK(ring.TryPush(2));
  CHECK_FALSE(ring.TryPush(3));
  CHECK(ring.TryPop() == 1);
  CHECK(ring.TryPush(3));
  CHECK(ring.TryPop() == 2);
  CHECK(ring.TryPop() == 3);
  CHECK_FALSE(ring.PopFor(std::chrono::milliseconds(1)));
}

TEST_CASE("Endpoints are created from valid addresses only") {
  CHECK(TcpEndpoint("127.0.0.1:80")->port() == 80);
  CHECK(UdpEndpoint("[::1]:80")->address().is_v6());
  for (const char* invalid :
       {"", "a:1", "127.0.0.1", "127.0.0.1:70000", ":1"}) {
    CHECK_FALSE(TcpEndpoint(invalid));
  }
}

}  // namespace
}  // namespace kumquatmoor
