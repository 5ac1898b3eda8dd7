// full_size: one node's control state at the size of the target, and the cost
// of what a node does with it. Prints one line of JSON for each size.

#include <gflags/gflags.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "kumquatmoor/coordination/ack_tree.h"
#include "kumquatmoor/coordination/replica.h"
#include "kumquatmoor/node/move_controller.h"
#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/routes.h"

DEFINE_uint64(members, 23'000, "Nodes in the mesh.");
DEFINE_uint64(services, 1'300, "Services in the table.");
DEFINE_uint64(zones, 28, "Availability zones.");

namespace kumquatmoor {
namespace {

namespace json = boost::json;
using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

double ResidentMb() {
  std::ifstream file("/proc/self/statm");
  uint64_t total = 0;
  uint64_t resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

// Mean time of `action` in microseconds.
template <typename Action>
double Microseconds(int times, Action action) {
  const auto begin = steady_clock::now();
  for (int i = 0; i < times; ++i) action(i);
  return duration<double, std::micro>(steady_clock::now() - begin).count() /
         times;
}

MemberRecord MakeMember(uint64_t number) {
  MemberRecord member;
  member.set_id("host-" + std::to_string(number));
  member.set_zone("zone-" + std::to_string(number % FLAGS_zones));
  const std::string address = "10." + std::to_string(number >> 16U) + "." +
                              std::to_string((number >> 8U) & 255U) + "." +
                              std::to_string(number & 255U);
  member.set_control_address(address + ":7002");
  member.set_data_address(address + ":7001");
  member.set_incarnation(1'800'000'000'000);
  Endpoint* endpoint = member.add_endpoints();
  endpoint->set_service("service-" + std::to_string(number % FLAGS_services));
  endpoint->set_version("v1");
  endpoint->set_slots(10);
  endpoint->set_connections(100);
  return member;
}

Batch MakeBatch() {
  std::vector<TableRow> rows;
  for (uint64_t i = 0; i < FLAGS_services; ++i) {
    const std::string service = "service-" + std::to_string(i);
    rows.push_back({service, "v1", 90, 100, 1'000});
    rows.push_back({service, "v2", 10, 100, 1'000});
  }
  return BuildBatch({}, rows, {}, {.write_id = "w", .author = "bench"});
}

int Main() {
  TimePoint now = TimePoint() + std::chrono::hours(1);
  const double before_mb = ResidentMb();
  Replica replica({.id = "host-0",
                   .zone = "zone-0",
                   .control_address = "10.0.0.0:7002",
                   .started_ms = 1},
                  now);
  for (uint64_t i = 1; i < FLAGS_members; ++i) {
    SyncRequest request;
    *request.add_members() = MakeMember(i);
    Datagram push;
    push.set_kind(Datagram::PUSH);
    push.set_from("host-1");
    *push.add_rumours()->mutable_member() = request.members(0);
    replica.OnDatagram(push, now);
    if (i % 64 == 0) replica.Tick(now);
  }
  replica.Tick(now);
  Batch batch = MakeBatch();
  replica.Offer(batch);
  const double state_mb = ResidentMb() - before_mb;

  const double tick_us = Microseconds(200, [&](int) {
    now += milliseconds(50);
    replica.Tick(now);
  });
  const double rumour_us = Microseconds(200, [&](int i) {
    MemberRecord member = MakeMember(1 + static_cast<uint64_t>(i));
    member.set_version(1);
    Datagram push;
    push.set_kind(Datagram::PUSH);
    push.set_from("host-1");
    *push.add_rumours()->mutable_member() = member;
    replica.OnDatagram(push, now);
  });
  std::shared_ptr<const RouteTable> routes;
  const double routes_us = Microseconds(10, [&](int) {
    const auto members = replica.RoutableMembers(now);
    routes =
        BuildRoutes(replica.CurrentBatch(), replica.Marks(), members, "zone-0");
  });
  const double routes_mb = ResidentMb() - before_mb - state_mb;
  Batch next = batch;
  const double apply_us = Microseconds(10, [&](int i) {
    next.set_revision(batch.revision() + 1 + static_cast<uint64_t>(i));
    replica.Offer(next);
  });
  MoveController mover({.id = "host-0", .zone = "zone-0"});
  const double judge_us = Microseconds(
      20, [&](int) { mover.Analyze(replica, {.now = now, .unix_ms = 1}); });
  AckTree tree({.id = "host-0"});
  const double ack_us = Microseconds(20, [&](int) {
    std::vector<std::string> ids;
    for (const auto* member : replica.Members().AliveIn("zone-0")) {
      ids.push_back(member->id());
    }
    tree.SetMembers(std::move(ids));
  });
  const double update_us = Microseconds(100, [&](int i) {
    routes = UpdateRoutes(*routes, replica.CurrentBatch(), replica.Marks(),
                          {"service-" + std::to_string(i)},
                          [&](const std::string& service) {
                            return replica.RoutableMembersOf(service, {});
                          });
  });
  SyncRequest join;
  join.set_joining(true);
  SyncReply reply;
  const double join_us = Microseconds(
      3, [&](int) { reply = replica.HandleSyncRequest(join, now); });
  std::cout << json::serialize(
                   json::object{{"members", FLAGS_members},
                                {"services", FLAGS_services},
                                {"state_mb", state_mb},
                                {"routes_mb", routes_mb},
                                {"tick_us", tick_us},
                                {"rumour_us", rumour_us},
                                {"build_routes_us", routes_us},
                                {"update_routes_us", update_us},
                                {"apply_batch_us", apply_us},
                                {"judge_us", judge_us},
                                {"ack_tree_us", ack_us},
                                {"answer_join_us", join_us},
                                {"join_reply_bytes", reply.ByteSizeLong()},
                                {"batch_bytes", batch.ByteSizeLong()}})
            << std::endl;
  return 0;
}

}  // namespace
}  // namespace kumquatmoor

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  spdlog::set_level(spdlog::level::off);
  return kumquatmoor::Main();
}
