#include "kumquatmoor/node/control_loop.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>

#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/transport/fault_plan.h"
#include "node/unix_time.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;

constexpr char kAddress[] = "127.0.0.1:9301";

// A control loop whose thread is the test's.
class ControlLoopFixture {
 public:
  asio::io_context context{1};
  asio::io_context proxy_context{1};
  FaultPlan faults;
  BoundedRing<Outcome> outcomes{16};
  BoundedRing<SyncPeer> syncs{16};
  Proxy proxy{proxy_context, {.id = "n", .zone = "z"}, nullptr, &outcomes};
  ControlLoop loop{context,
                   {.replica = {.id = "n",
                                .zone = "z",
                                .control_address = kAddress,
                                .data_address = kAddress,
                                .started_ms = 1}},
                   &faults,
                   &proxy,
                   &outcomes,
                   &syncs};
};

Announcement AnnouncementOf(int64_t started_ms, uint64_t sequence) {
  return {.instance = "i-1",
          .started_ms = started_ms,
          .sequence = sequence,
          .service = "s",
          .version = "v1",
          .address = "127.0.0.1:9000"};
}

}  // namespace

// Guards against a late announcement that makes a backend server available
// again, which deregistered without a start time with a node that had restarted
// and did not know it (review/3).
TEST_CASE_METHOD(ControlLoopFixture,
                 "An unknown backend server that deregistered stays draining",
                 "[deregister]") {
  loop.SetStoreLoaded();
  loop.SetReady();
  const int64_t before = UnixMs();
  const LeavingInstance leaving = loop.Deregister({.instance = "i-1"});
  CHECK(leaving.started_ms() >= before);
  loop.Announce(AnnouncementOf(before - 60'000, 23));
  const auto is_draining = [&] {
    const MemberRecord self = loop.GetReplica().Self();
    REQUIRE(self.endpoints_size() == 1);
    return self.endpoints(0).draining();
  };
  CHECK(is_draining());
  // Other members keep it for the case that this node restarts again.
  CHECK(loop.GetReplica().Self().leaving_size() == 1);
  // A later process of the instance is available at its first announcement.
  loop.Announce(AnnouncementOf(leaving.started_ms() + 1, 1));
  CHECK_FALSE(is_draining());
}

// A process that is known leaves, not one that starts in the same millisecond
// as it deregisters.
TEST_CASE_METHOD(ControlLoopFixture,
                 "A deregistration of a known process concerns no later one",
                 "[deregister]") {
  loop.SetStoreLoaded();
  loop.SetReady();
  loop.Announce(AnnouncementOf(1'000, 1));
  CHECK(loop.Deregister({.instance = "i-1"}).started_ms() == 1'000);
  CHECK(loop.Deregister({.instance = "i-1"}).started_ms() == 1'000);
  loop.Announce(AnnouncementOf(1'001, 1));
  REQUIRE(loop.GetReplica().Self().endpoints_size() == 1);
  CHECK_FALSE(loop.GetReplica().Self().endpoints(0).draining());
}

// Guards against a node that stops without publishing that it drains, since the
// ring of its control loop was full at that moment.
TEST_CASE_METHOD(ControlLoopFixture,
                 "A full ring of the control loop does not drop the drain") {
  while (loop.Post([](ControlLoop&) {})) {
  }
  bool ran = false;
  loop.PostUnbounded([&](ControlLoop&) { ran = true; });
  context.poll();
  CHECK(ran);
}

}  // namespace kumquatmoor
