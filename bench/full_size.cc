// full_size: memory of the control state of one node in a mesh of the intended
// maximum size, and the time of each control operation on that state. Prints
// one line of JSON: memory in MB, times in microseconds, message sizes in
// bytes.
//
//   full_size --members=23000 --services=1300 --zones=28

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
DEFINE_uint64(services, 1'300,
              "Services in the table, with two versions each.");
DEFINE_uint64(zones, 28, "Availability zones.");

namespace kumquatmoor {
namespace {

namespace json = boost::json;
using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Resident set size of this process.
double ResidentMb() {
  std::ifstream file("/proc/self/statm");
  uint64_t total = 0;
  uint64_t resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

// Mean time of `call_count` calls of `action`, which gets the number of the
// call.
template <typename Action>
double MeanMicroseconds(int call_count, Action action) {
  const auto start = steady_clock::now();
  for (int i = 0; i < call_count; ++i) action(i);
  return duration<double, std::micro>(steady_clock::now() - start).count() /
         call_count;
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
  const double initial_mb = ResidentMb();
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
  const double state_mb = ResidentMb() - initial_mb;

  const double tick_us = MeanMicroseconds(200, [&](int) {
    now += milliseconds(50);
    replica.Tick(now);
  });
  const double rumour_us = MeanMicroseconds(200, [&](int i) {
    MemberRecord member = MakeMember(1 + static_cast<uint64_t>(i));
    member.set_version(1);
    Datagram push;
    push.set_kind(Datagram::PUSH);
    push.set_from("host-1");
    *push.add_rumours()->mutable_member() = member;
    replica.OnDatagram(push, now);
  });
  std::shared_ptr<const RouteTable> routes;
  const double routes_us = MeanMicroseconds(10, [&](int) {
    const auto members = replica.RoutableMembers(now);
    routes =
        BuildRoutes(replica.CurrentBatch(), replica.Marks(), members, "zone-0");
  });
  const double routes_mb = ResidentMb() - initial_mb - state_mb;
  Batch next = batch;
  const double apply_us = MeanMicroseconds(10, [&](int i) {
    next.set_revision(batch.revision() + 1 + static_cast<uint64_t>(i));
    replica.Offer(next);
  });
  MoveController move_controller({.id = "host-0", .zone = "zone-0"});
  const double analyze_us = MeanMicroseconds(20, [&](int) {
    move_controller.Analyze(replica, {.now = now, .unix_ms = 1});
  });
  AckTree tree({.id = "host-0"});
  const double ack_tree_us = MeanMicroseconds(20, [&](int) {
    std::vector<std::string> ids;
    for (const auto* member : replica.Members().AliveIn("zone-0")) {
      ids.push_back(member->id());
    }
    tree.SetMembers(std::move(ids));
  });
  const double update_us = MeanMicroseconds(100, [&](int i) {
    routes = UpdateRoutes(*routes, replica.CurrentBatch(), replica.Marks(),
                          {"service-" + std::to_string(i)},
                          [&](const std::string& service) {
                            return replica.RoutableMembersOf(service, {});
                          });
  });
  SyncRequest join_request;
  join_request.set_joining(true);
  SyncReply join_reply;
  const double join_us = MeanMicroseconds(3, [&](int) {
    join_reply = replica.HandleSyncRequest(join_request, now);
  });
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
                                {"judge_us", analyze_us},
                                {"ack_tree_us", ack_tree_us},
                                {"answer_join_us", join_us},
                                {"join_reply_bytes", join_reply.ByteSizeLong()},
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
