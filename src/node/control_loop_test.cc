#include "kumquatmoor/node/control_loop.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/transport/fault_plan.h"

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

}  // namespace

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
